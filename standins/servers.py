"""Stand-in of an endpoint of the gateway's platform, whose answers are decided by a script."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from standins.messages import read_message

__all__ = [
    "EndpointStandIn",
    "Peer",
    "ReceivedRequest",
    "answer_ok",
    "build_answer",
    "reset_connection",
]


@dataclass
class ReceivedRequest:
    """A request as the endpoint received it; `number` counts the endpoint's requests from 0.

    An endpoint that answers early has not read the body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    number: int
    writer: asyncio.StreamWriter = field(repr=False)
    body_read: bool = True


Script = Callable[[ReceivedRequest], Awaitable[bytes]]
# What a server does on a connection.
Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def build_answer(
    received: ReceivedRequest, status: int = 200, body: bytes = b"ok", **headers: str
) -> bytes:
    """Returns the bytes of an answer with the request's id and a signature.

    `headers` are added or replace the default ones; an underscore in a name stands for a hyphen.
    Headers with an empty value are left out.
    """
    fields = {
        "Request-Id": received.headers.get("request-id", ""),
        "Response-Signature": f"sig-{received.headers.get('request-id', '')}",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer_ok(received: ReceivedRequest) -> bytes:
    """Returns an answer with status 200."""
    return build_answer(received)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, which its peer can tell from one that was closed."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class EndpointStandIn:
    """An endpoint on a free port.

    `script` returns the bytes to send as the answer to a request, none to reset the connection.
    `aborted_requests` counts requests whose connection was closed before their answer was ready.
    """

    def __init__(self, host: str, script: Script = answer_ok) -> None:
        self.host = host
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.accepted_connections = 0
        self.aborted_requests = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self.open_connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuses new connections; open ones are kept."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        for writer in self.open_connections:
            writer.transport.abort()

    def build_entry(self, zone: str, service: str = "desk", **changes: Any) -> dict[str, Any]:
        """Returns the entry with which the endpoint is registered; `changes` replace its fields."""
        return {
            "service": service,
            "address": f"{self.host}:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection, one at a time."""
        self.accepted_connections += 1
        self.open_connections.add(writer)
        try:
            while True:
                received = await self._read_request(reader, writer)
                self.received_requests.append(received)
                content = await self._run_script(received, reader)
                if not content:
                    return
                writer.write(content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return  # the peer has closed the connection, or the stand-in is closed
        finally:
            self.open_connections.discard(writer)
            writer.transport.abort()

    async def _run_script(self, received: ReceivedRequest, reader: asyncio.StreamReader) -> bytes:
        """Returns the answer of the script; none if the peer closes the connection before."""
        answer = asyncio.ensure_future(self.script(received))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.add_done_callback(lambda task: task.cancelled() or task.exception())
        if not answer.done():
            answer.cancel()
            self.aborted_requests += 1
            return b""
        closed.cancel()
        await asyncio.wait({closed})
        return answer.result()

    async def _read_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ReceivedRequest:
        """Reads and returns the next request."""
        start_line, headers, body = await read_message(reader)
        method, target, _ = start_line.split(" ")
        return ReceivedRequest(method, target, headers, body, len(self.received_requests), writer)
