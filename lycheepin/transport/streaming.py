"""Bodies that are sent on as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lycheepin.transport.connection import Connection

__all__ = ["stream_body"]

ReadChunk = Callable[[], Awaitable[bytes]]


async def stream_body(
    connection: Connection,
    read_chunk: ReadChunk,
    is_chunked: bool,
    pace: Callable[[int], Awaitable[None]] | None = None,
) -> None:
    """Sends the parts of a body as they arrive, until its end or until the receiver answers.

    `read_chunk` returns the next part, empty at the end. `pace` is awaited with the size of each
    part that was sent. After an early answer the connection is not used again: the receiver would
    read the next request as the rest of this body.
    """
    answered = asyncio.ensure_future(connection.wait_for_head())
    connection.sending_body = True
    try:
        while (chunk := await _read_next(read_chunk, answered)) is not None:
            if not chunk:
                if is_chunked:
                    await connection.send_body(b"0\r\n\r\n")
                connection.sending_body = False
                return
            framed = b"%x\r\n%b\r\n" % (len(chunk), chunk) if is_chunked else chunk
            await connection.send_body(framed)
            if pace is not None:
                await pace(len(chunk))
    finally:
        answered.cancel()
    connection.close_after_use = True


async def _read_next(read_chunk: ReadChunk, answered: asyncio.Future[None]) -> bytes | None:
    """Returns the next part of a body, empty at its end; None if the receiver answers before."""
    reading = asyncio.ensure_future(read_chunk())
    try:
        await asyncio.wait((reading, answered), return_when=asyncio.FIRST_COMPLETED)
        return reading.result() if reading.done() and not answered.done() else None
    finally:
        reading.cancel()
