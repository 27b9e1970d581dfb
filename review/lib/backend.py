"""Stand-in of a backend, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from review.lib.http import REQUEST_ID, Message, encode, read_message

IDLE_CLOSE_S = 10


@dataclass
class Run:
    """A request that a backend began to work on."""

    backend: str
    identifier: str
    method: str
    target: str
    body_bytes: int
    body_digest: str
    began_s: float


class Backend:
    """A sound backend with `slots` slots and a short queue; work takes `work_s` seconds.

    `answer` returns an answer of its own in place of the sound one. `extra` makes it faulty: it
    returns bytes that are sent after a complete answer, and after how many seconds.
    """

    def __init__(
        self, identifier: str, service: str, zone: str, runs: list[Run], work_s: float, slots: int
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work_s = work_s
        self.slots = slots
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.answer: Callable[[Message], bytes | None] = lambda request: None
        self.extra: Callable[[Message], tuple[float, bytes] | None] = lambda request: None
        self._slot = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends the backend: nothing listens, and all connections are closed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Returns the entry with which it registers itself."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection, one at a time."""
        self._connections.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_CLOSE_S):
                    request = await read_message(reader)
                writer.write(await self._handle(request))
                await writer.drain()
                extra = self.extra(request)
                if extra is not None:
                    asyncio.get_running_loop().call_later(extra[0], _write_late, writer, extra[1])
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
            return
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: Message) -> bytes:
        """Returns the answer to a request."""
        method, target, _ = request.start.split(" ")
        identifier = request.headers.get(REQUEST_ID, "")
        if request.headers.get("target-instance", self.identifier) != self.identifier:
            return self._encode(421, "Misdirected Request", identifier, Instance_Id=self.identifier)
        if self.running + self.waiting >= 3 * self.slots:
            return self._encode(503, "Service Unavailable", identifier, Not_Executed="1")
        self.waiting += 1
        async with self._slot:
            self.waiting -= 1
            self.running += 1
            try:
                digest = hashlib.sha256(request.body).hexdigest()
                size = len(request.body)
                self.runs.append(
                    Run(self.identifier, identifier, method, target, size, digest, time.monotonic())
                )
                await asyncio.sleep(self.work_s)
                own = self.answer(request)
                return (
                    own
                    if own is not None
                    else self._encode(
                        200,
                        "OK",
                        identifier,
                        digest.encode(),
                        Response_Signature=f"sig.{digest[:16]}",
                    )
                )
            finally:
                self.running -= 1

    def _encode(
        self, status: int, reason: str, identifier: str, body: bytes = b"", **headers: str
    ) -> bytes:
        """Returns the bytes of an answer."""
        fields = {"Request-Id": identifier, "Keep-Alive": f"timeout={IDLE_CLOSE_S}"}
        fields["Server-Load"] = f"{self.running},{self.waiting},{self.slots}"
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return encode(f"HTTP/1.1 {status} {reason}", fields, body)


def _write_late(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Writes bytes to a connection that may have been closed meanwhile."""
    if not writer.transport.is_closing():
        writer.write(content)
