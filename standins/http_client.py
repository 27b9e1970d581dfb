"""An HTTP/1.1 client on h11 that sends each request once, on its own connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import h11

__all__ = ["Answer", "FetchFailure", "fetch"]

READ_BYTES = 65536


@dataclass(frozen=True)
class Answer:
    """A complete answer; names of headers are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class FetchFailure:
    """A request without a complete answer.

    `sent` is true when any part of the request may have been sent.
    """

    sent: bool
    reason: str


async def fetch(
    source: str,
    host: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 40.0,
) -> Answer | FetchFailure:
    """Sends a request from a source address and returns its answer, or the failure."""
    sent = False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, local_addr=(source, 0))
            connection = h11.Connection(h11.CLIENT)
            fields = [("host", host), ("content-length", str(len(body))), *headers]
            sent = True
            writer.write(connection.send(h11.Request(method=method, target=target, headers=fields)))
            writer.write(connection.send(h11.Data(data=body)) or b"")
            writer.write(connection.send(h11.EndOfMessage()) or b"")
            sending = asyncio.ensure_future(writer.drain())
            try:
                return await _read_answer(connection, reader)
            finally:
                sending.cancel()
                await asyncio.wait({sending})
                if not sending.cancelled():
                    sending.exception()  # what the reader has seen says more
    except (OSError, TimeoutError, h11.RemoteProtocolError, EOFError) as error:
        return FetchFailure(sent, repr(error))
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(connection: h11.Connection, reader: asyncio.StreamReader) -> Answer:
    """Reads and returns a complete answer.

    Raises `EOFError` or `h11.RemoteProtocolError` when the connection ends early.
    """
    status, headers, parts = 0, {}, []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, b"".join(parts), headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError("closed before the answer ended")
