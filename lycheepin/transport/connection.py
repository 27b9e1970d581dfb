"""Client side of HTTP/1.1 towards endpoints and peers: one request at a time on a connection.

A connection goes back to its pool only after a complete answer. `sent` tells whether a byte of
the request has been handed to the socket: before that, the request certainly did not run.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import httptools

from lycheepin.names import Address

__all__ = ["AnswerHead", "BrokenAnswer", "Connection", "ConnectionPool", "Headers"]

Headers = list[tuple[bytes, bytes]]

HIGH_WATER_BYTES = 256 * 1024
LOW_WATER_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_PER_TARGET = 64
IDLE_S = 4.0


class BrokenAnswer(Exception):
    """The answer did not end cleanly and completely."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a lower-case name, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


def _accept_any(head: AnswerHead) -> bool:
    """Takes every answer as the one that is waited for."""
    return True


class Connection(asyncio.Protocol):
    """One connection; answers are parsed by httptools."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._head: asyncio.Future[AnswerHead] | None = None
        self._headers: Headers = []
        self._header_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._wake: asyncio.Event = asyncio.Event()
        self._writable: asyncio.Event = asyncio.Event()
        self._complete = False
        self._keep_alive = True
        self._broken: str | None = None
        self._busy = False
        self._surplus = False
        self._no_body = False
        self._accept: Callable[[AnswerHead], bool] = _accept_any
        self._skipping = False
        self._until_close = False
        self._go_ahead: asyncio.Event = asyncio.Event()
        self.sent = False
        self.close_after_use = False
        self.idle_since_s = 0.0
        self.idle_limit_s = IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writable.set()

    def eof_received(self) -> None:
        """Called by asyncio; the end of the stream is the end of an answer without a length."""
        head_arrived = self._head is not None and self._head.done() and not self._head.exception()
        if self._until_close and head_arrived and not self._complete:
            self._complete = True
            self._keep_alive = False
            self._wake.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        self._fail("connection closed" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio; bytes outside a request break the connection."""
        if not self._busy or self._complete:
            self._fail("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; headers after a complete answer belong to nobody."""
        if self._surplus:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            self._fail("headers too large")
            return
        self._headers.append((name, value))

    def on_message_begin(self) -> None:
        """Called by the parser; bytes after a complete answer make the connection unusable."""
        if self._complete:
            self._surplus = True
        self._skipping = False

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        if self._surplus:
            return
        if _is_interim(status):
            self._headers = []
            self._go_ahead.set()
            return
        head = AnswerHead(status, self._headers)
        self._headers = []
        if not self._accept(head):
            self._skipping = True
            self.close_after_use = True
            return
        self._until_close = _ends_with_connection(head)
        if self._head is not None and not self._head.done():
            self._head.set_result(head)
            self._go_ahead.set()
        if self._no_body:
            self._complete = True
            self._keep_alive = False
            self._wake.set()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if self._surplus or self._no_body or self._skipping:
            return
        self._chunks.append(body)
        self._buffered += len(body)
        if self._buffered > HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake.set()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._surplus or self._complete or _is_interim(self._parser.get_status_code()):
            return
        if self._skipping:
            return
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()
        self._wake.set()

    def _fail(self, reason: str) -> None:
        """Marks the connection as broken and wakes whoever waits."""
        if self._broken is None:
            self._broken = reason
        if self._head is not None and not self._head.done():
            self._head.set_exception(BrokenAnswer(reason))
            self._head.exception()
        self._wake.set()
        self._writable.set()
        self._go_ahead.set()
        self.close()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._broken is None
            and (self._complete or not self._busy)
            and self._keep_alive
            and not self._surplus
            and not self.close_after_use
            and not self._chunks
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def close(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def send_request_head(
        self,
        head: bytes,
        no_body: bool = False,
        accept: Callable[[AnswerHead], bool] = _accept_any,
    ) -> None:
        """Sends a request head; raises BrokenAnswer when nothing was handed to the socket.

        `no_body` tells that the answer has no body whatever its headers say, as for HEAD. Answers
        that `accept` turns down belong to earlier requests: they are skipped, and the connection
        is not used again.
        """
        if not self.reusable or self._transport is None:
            raise BrokenAnswer(self._broken or "connection closed")
        self._parser = httptools.HttpResponseParser(self)
        self._head = asyncio.get_running_loop().create_future()
        self._headers = []
        self._header_bytes = 0
        self._complete = False
        self._busy = True
        self._no_body = no_body
        self._accept = accept
        self._skipping = False
        self._until_close = False
        self._go_ahead.clear()
        self.sent = True
        self._transport.write(head)

    async def send_body(self, data: bytes) -> None:
        """Sends a part of the body, waiting while the socket is full."""
        if self._transport is None or self._broken is not None:
            raise BrokenAnswer(self._broken or "connection closed")
        self._transport.write(data)
        await self._writable.wait()

    async def wait_for_continue(self, timeout_s: float) -> None:
        """Waits for `100 Continue`, the final head or a timeout, whichever comes first."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._go_ahead.wait()
        except TimeoutError:
            pass

    @property
    def head_arrived(self) -> bool:
        """Whether the head of the answer has arrived, or never will."""
        return self._head is not None and self._head.done()

    async def head(self) -> AnswerHead:
        """Returns the head of the answer; raises BrokenAnswer."""
        assert self._head is not None
        return await asyncio.shield(self._head)

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises BrokenAnswer when it does not end completely."""
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._buffered -= len(chunk)
                if self._buffered < LOW_WATER_BYTES and self._transport is not None:
                    self._transport.resume_reading()
                yield chunk
            if self._complete:
                return
            if self._broken is not None:
                raise BrokenAnswer(self._broken)
            self._wake.clear()
            await self._wake.wait()


def _is_interim(status: int) -> bool:
    """Returns whether a status announces another head."""
    return 100 <= status < 200 and status != 101


def _ends_with_connection(head: AnswerHead) -> bool:
    """Returns whether an answer has neither a length nor chunks, so the connection ends it."""
    if head.status in (204, 304):
        return False
    return head.header(b"content-length") is None and head.header(b"transfer-encoding") is None


class ConnectionPool:
    """Idle connections by target."""

    def __init__(self, local_address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._local_address = local_address
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[Address, int], deque[Connection]] = {}

    async def acquire(self, address: Address, port: int) -> Connection:
        """Returns a connection; raises OSError or TimeoutError when none can be opened."""
        idle = self._idle.get((address, port))
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.reusable and now_s - connection.idle_since_s < connection.idle_limit_s:
                connection.sent = False
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_timeout_s):
            _, protocol = await loop.create_connection(
                Connection, address, port, local_addr=(self._local_address, 0)
            )
        return protocol

    def release(self, address: Address, port: int, connection: Connection) -> None:
        """Keeps a connection for the next request when its answer was complete."""
        idle = self._idle.setdefault((address, port), deque())
        if not connection.reusable or len(idle) >= IDLE_PER_TARGET:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def discard(self, address: Address, port: int) -> None:
        """Closes the idle connections to a target that is gone."""
        for connection in self._idle.pop((address, port), ()):
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
