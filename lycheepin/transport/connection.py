"""HTTP/1.1 client connections to endpoints and peers, with one request at a time on each.

A connection returns to its pool only after a complete answer. Its attribute `sent` is false until
the first byte of a request has been handed to the socket; until then the request can't have run.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import httptools

from lycheepin.decoding import parse_count
from lycheepin.names import Address
from lycheepin.transport.headers import WHITESPACE, Headers
from lycheepin.transport.process_limits import limit_unread_bytes
from lycheepin.transport.progress_limit import EndlessElement, ProgressLimit
from lycheepin.transport.shared_buffer import SharedBufferProtocol

__all__ = ["AnswerHead", "BrokenAnswer", "Connection", "ConnectionPool"]


# Buffered bytes of a body at which reading from the socket pauses, and resumes.
HIGH_WATER_BYTES = 256 * 1024
LOW_WATER_BYTES = 64 * 1024
# Size below which parts of a body are joined, and size of the joined part: an object for each chunk
# of a few bytes would take many times their memory.
SMALL_PART_BYTES = 1024
JOINED_PART_BYTES = 16 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Limit on an element of an answer that has not ended, and on interim heads before an answer.
MAX_ELEMENT_BYTES = 64 * 1024
MAX_INTERIM_HEADS = 16
# Statuses of the protocol, and the versions of it that are spoken on these connections.
STATUSES = range(100, 600)
VERSIONS = frozenset(("1.0", "1.1"))
# First byte of an answer; the parser also takes start lines of other protocols.
FIRST_BYTES = (b"H", b"")
SWITCHING_PROTOCOLS = 101
# Time in seconds for which a reset may follow the end of an answer without a length, if the request
# is longer than LONG_REQUEST_BYTES or was not sent in full: an endpoint that ends without having
# read it resets the connection.
RESET_WAIT_S = 0.25
LONG_REQUEST_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_TARGET = 64
IDLE_LIMIT_S = 4.0


class BrokenAnswer(Exception):
    """The answer is malformed or incomplete, or the connection closed before it."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a lower-case name, or None."""
        return next(iter(self.headers_named(name)), None)

    @property
    def content_length(self) -> int | None:
        """The length of the body in bytes, or None if the answer doesn't tell it."""
        if self.header(b"transfer-encoding") is not None:
            return None
        return parse_count(self.header(b"content-length") or b"")

    def headers_named(self, name: bytes) -> list[bytes]:
        """Returns all headers of a lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]


def _accept_any(head: AnswerHead) -> bool:
    """Accepts any answer as the answer to the current request."""
    return True


class Connection(SharedBufferProtocol):
    """A connection that sends requests and parses the answers with httptools.

    It is not reused if `close_after_use` is set, or after it was idle for `idle_limit_s`.
    `rested_s` is how long it was idle before the present request; 0 for the first one.
    `reused` is true if it has carried another request before the present one.
    `answer_begun` is true once any byte has arrived after the present request.
    `sending_body` is true while parts of the present request's body are still to be handed over.
    Reading pauses when more than `high_water_bytes` of a body are buffered. `pool` counts the
    connection while it is open; `target` is where it has kept it, if it has.
    """

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self._pool = pool
        self.high_water_bytes = HIGH_WATER_BYTES
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._progress_limit = ProgressLimit(MAX_ELEMENT_BYTES)
        self._interim_heads = 0
        self._head: asyncio.Future[AnswerHead] | None = None
        self._headers: Headers = []
        self._header_bytes = 0
        self._chunks: deque[bytes | bytearray] = deque()
        self._buffered_bytes = 0
        self._body_changed: asyncio.Event = asyncio.Event()
        self._writable: asyncio.Event = asyncio.Event()
        self._complete = False
        self._keep_alive = True
        self._failure: str | None = None
        self._used = False
        self._sent_bytes = 0
        self._extra_message = False
        self._no_body = False
        self._accept_head: Callable[[AnswerHead], bool] = _accept_any
        self._skipping_answer = False
        self._ends_at_close = False
        self._continue_or_head: asyncio.Event = asyncio.Event()
        self.sent = False
        self.reused = False
        self.answer_begun = False
        self.sending_body = False
        self.close_after_use = False
        self.target: tuple[Address, int] | None = None
        self.idle_since_s = 0.0
        self.rested_s = 0.0
        self.idle_limit_s = IDLE_LIMIT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._pool is not None:
            self._pool.open_count += 1
        self._writable.set()

    def eof_received(self) -> bool:
        """Called by asyncio; the end of the stream ends an answer without a length.

        Returns whether the connection is kept: until RESET_WAIT_S later, if the endpoint may not
        have read the whole request.
        """
        head_arrived = self._head is not None and self._head.done() and not self._head.exception()
        if not self._ends_at_close or not head_arrived or self._complete:
            return False
        assert self._transport is not None
        is_long = self.sending_body or self._sent_bytes > LONG_REQUEST_BYTES
        if is_long or self._transport.get_write_buffer_size() > 0:
            asyncio.get_running_loop().call_later(RESET_WAIT_S, self._end_unless_reset)
            return True
        self._end_with_stream()
        return False

    def _end_unless_reset(self) -> None:
        """Ends an answer without a length, or fails it if the connection was reset meanwhile."""
        if self._failure is not None or self._transport is None:
            return
        connection = self._transport.get_extra_info("socket")
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(f"connection reset after the end of its stream: error {error}")
        else:
            self._end_with_stream()

    def _end_with_stream(self) -> None:
        """Ends an answer without a length."""
        self._complete = True
        self._keep_alive = False
        self._body_changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio when the connection is closed; fails a request in progress."""
        if self._pool is not None:
            self._pool.open_count -= 1
            self._pool.forget(self)
            self._pool.on_lost()
        # These refer to the connection, which would otherwise stay until a collection.
        del self._parser
        self._accept_head = _accept_any
        self._fail("connection closed" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Called by asyncio when the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio when the write buffer has free space again."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio; data that belongs to no request fails the connection."""
        if not self._used or self._complete:
            self._fail("unexpected data outside a request")
            return
        begins = not self.answer_begun
        self.answer_begun = True
        if begins and data.lstrip(b"\r\n")[:1] not in FIRST_BYTES:
            self._fail("malformed HTTP: no answer")
            return
        try:
            self._progress_limit.feed(self._parser.feed_data, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"malformed HTTP: {error}")
        except EndlessElement as error:
            self._fail(str(error))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; headers of a message after a complete answer are ignored."""
        self._progress_limit.record_progress()
        if self._extra_message:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            self._fail("headers too large")
            return
        self._headers.append((name, value.rstrip(WHITESPACE)))

    def on_message_begin(self) -> None:
        """Called by the parser; a message after a complete answer makes the connection unusable."""
        if self._complete:
            self._extra_message = True
        self._skipping_answer = False
        self._headers = []

    def on_headers_complete(self) -> None:
        """Called by the parser; interim heads and heads of rejected answers are skipped."""
        self._progress_limit.record_progress()
        status = self._parser.get_status_code()
        if self._extra_message:
            return
        version = self._parser.get_http_version()
        if status not in STATUSES or status == SWITCHING_PROTOCOLS or version not in VERSIONS:
            self._fail(f"status {status} of HTTP/{version} is no answer")
            return
        if _is_interim(status):
            self._headers = []
            self._continue_or_head.set()
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                self._fail("too many interim heads")
            return
        head = AnswerHead(status, self._headers)
        self._headers = []
        if not self._accept_head(head):
            self._skipping_answer = True
            self.close_after_use = True
            return
        self._ends_at_close = _ends_with_connection(head)
        if self._head is not None and not self._head.done():
            self._head.set_result(head)
            self._continue_or_head.set()
        if self._no_body:
            self._complete = True
            self._keep_alive = False
            self._body_changed.set()

    def on_body(self, body: bytes) -> None:
        """Called by the parser; reading pauses above HIGH_WATER_BYTES of buffered body."""
        self._progress_limit.record_progress()
        if self._extra_message or self._no_body or self._skipping_answer:
            return
        self._buffer_part(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > self.high_water_bytes and self._transport is not None:
            self._transport.pause_reading()
        self._body_changed.set()

    def _buffer_part(self, part: bytes) -> None:
        """Buffers a part of the body; small parts are joined."""
        if len(part) >= SMALL_PART_BYTES:
            self._chunks.append(part)
            return
        last = self._chunks[-1] if self._chunks else None
        if isinstance(last, bytearray) and len(last) < JOINED_PART_BYTES:
            last += part
        else:
            self._chunks.append(bytearray(part))

    def on_message_complete(self) -> None:
        """Called by the parser; ends the answer, unless the message is interim or skipped."""
        if self._extra_message or self._complete or _is_interim(self._parser.get_status_code()):
            return
        if self._skipping_answer:
            return
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()
        self._body_changed.set()

    def _fail(self, reason: str) -> None:
        """Closes the connection and notifies all waiting tasks of the failure."""
        if self._failure is None:
            self._failure = reason
        if self._head is not None and not self._head.done():
            self._head.set_exception(BrokenAnswer(reason))
            self._head.exception()
        self._body_changed.set()
        self._writable.set()
        self._continue_or_head.set()
        self.close()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._failure is None
            and (self._complete or not self._used)
            and self._keep_alive
            and not self._extra_message
            and not self.close_after_use
            and not self._chunks
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def close(self) -> None:
        """Closes the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def send_request_head(
        self,
        head: bytes,
        no_body: bool = False,
        accept: Callable[[AnswerHead], bool] = _accept_any,
    ) -> None:
        """Sends a request head, which may be followed by the start of the body.

        With `no_body`, the answer has no body whatever its headers are, as for HEAD. Answers that
        `accept` rejects belong to earlier requests: they are skipped, and the connection is not
        used again. Raises BrokenAnswer when nothing was handed to the socket.
        """
        if not self.reusable or self._transport is None:
            raise BrokenAnswer(self._failure or "connection closed")
        self._parser = httptools.HttpResponseParser(self)
        self._progress_limit.record_progress()
        self._interim_heads = 0
        self._head = asyncio.get_running_loop().create_future()
        self._headers = []
        self._header_bytes = 0
        self._complete = False
        self.reused = self._used
        self._used = True
        self._no_body = no_body
        self._accept_head = accept
        self._skipping_answer = False
        self._ends_at_close = False
        self._continue_or_head.clear()
        self.sent = True
        self.answer_begun = False
        self.sending_body = False
        self._sent_bytes = len(head)
        self._transport.write(head)

    async def send_body(self, data: bytes) -> None:
        """Sends a part of the body and waits while the write buffer is full."""
        if self._transport is None or self._failure is not None:
            raise BrokenAnswer(self._failure or "connection closed")
        self._sent_bytes += len(data)
        self._transport.write(data)
        await self._writable.wait()

    async def wait_for_continue(self, timeout_s: float) -> None:
        """Waits for `100 Continue` or the final head of the answer, but at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._continue_or_head.wait()
        except TimeoutError:
            pass

    @property
    def ended_by_close(self) -> bool:
        """Whether the answer had no length and ended when the connection was closed."""
        return self._ends_at_close and self._complete

    async def head(self) -> AnswerHead:
        """Waits for the head of the answer; raises BrokenAnswer when the connection fails first."""
        assert self._head is not None
        return await asyncio.shield(self._head)

    async def wait_for_head(self) -> None:
        """Waits until the head of the answer has arrived, or the connection has failed before."""
        if self._head is not None:
            await asyncio.wait((self._head,))

    def put_back(self, parts: list[bytes], high_water_bytes: int, unread_bytes: int) -> None:
        """Lets `body` yield parts again that it has yielded, and lowers the limits on buffering.

        The kernel then holds at most `unread_bytes` unread, unless that is 0.
        """
        if unread_bytes and self._transport is not None:
            limit_unread_bytes(self._transport, unread_bytes)
        self._chunks.extendleft(reversed(parts))
        self._buffered_bytes += sum(len(part) for part in parts)
        self.high_water_bytes = high_water_bytes
        if self._buffered_bytes > high_water_bytes and self._transport is not None:
            self._transport.pause_reading()

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks; raises BrokenAnswer when it is incomplete."""
        while True:
            while self._chunks:
                chunk = bytes(self._chunks.popleft())
                self._buffered_bytes -= len(chunk)
                if self._buffered_bytes < LOW_WATER_BYTES and self._transport is not None:
                    self._transport.resume_reading()
                yield chunk
            if self._complete:
                return
            if self._failure is not None:
                raise BrokenAnswer(self._failure)
            self._body_changed.clear()
            await self._body_changed.wait()


def _is_interim(status: int) -> bool:
    """Returns whether an answer is interim, so that another head follows it."""
    return 100 <= status < 200


def _ends_with_connection(head: AnswerHead) -> bool:
    """Returns whether the body ends only with the connection: no length, not chunked."""
    if head.status in (204, 304):
        return False
    return head.header(b"content-length") is None and head.header(b"transfer-encoding") is None


class ConnectionPool:
    """Idle connections by address and port.

    A new connection replaces one that is idle unless `has_room` returns true. `open_count` is the
    number of connections that are open or being opened; `on_lost` is called when one has ended.
    """

    def __init__(self, local_address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self.has_room: Callable[[], bool] = lambda: True
        self.on_lost: Callable[[], None] = lambda: None
        self.open_count = 0
        self._local_address = local_address
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[Address, int], deque[Connection]] = {}

    async def acquire(
        self, address: Address, port: int, max_rest_s: float = math.inf
    ) -> Connection:
        """Returns an idle connection that has rested less than `max_rest_s`, or a new one.

        Raises OSError or TimeoutError if opening fails.
        """
        idle = self._idle.get((address, port))
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            connection.rested_s = now_s - connection.idle_since_s
            if connection.reusable and connection.rested_s < min(
                max_rest_s, connection.idle_limit_s
            ):
                connection.sent = False
                return connection
            connection.close()
        return await self.open(address, port)

    async def open(self, address: Address, port: int) -> Connection:
        """Returns a new connection; raises OSError or TimeoutError if opening fails."""
        loop = asyncio.get_running_loop()
        if not self.has_room():
            self._close_one()
        self.open_count += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, protocol = await loop.create_connection(
                    lambda: Connection(self),
                    address,
                    port,
                    local_addr=(self._local_address, 0),
                )
        finally:
            self.open_count -= 1
        return protocol

    def _close_one(self) -> None:
        """Closes the idle connection that has rested longest, if there is one."""
        oldest = min(
            (idle for idle in self._idle.values() if idle),
            key=lambda idle: idle[0].idle_since_s,
            default=None,
        )
        if oldest is not None:
            oldest.popleft().close()

    @property
    def idle_count(self) -> int:
        """The number of connections that are kept for later requests."""
        return sum(len(idle) for idle in self._idle.values())

    async def is_refused(self, address: Address, port: int) -> bool:
        """Returns whether a new connection is refused; one that is accepted is kept.

        Without an answer it is not known, so False is returned.
        """
        try:
            connection = await self.open(address, port)
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        except OSError:
            return False
        self.release(address, port, connection)
        return False

    async def check_end(self, address: Address, port: int, connection: Connection) -> None:
        """Raises BrokenAnswer if an answer without a length ended because its endpoint did."""
        if connection.ended_by_close and await self.is_refused(address, port):
            raise BrokenAnswer("the endpoint ended with an answer without a length")

    def release(self, address: Address, port: int, connection: Connection) -> None:
        """Keeps a connection for later requests if it can be reused, and closes it otherwise."""
        idle = self._idle.setdefault((address, port), deque())
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_TARGET:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        connection.target = (address, port)
        idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """Removes a connection that has ended from those that are kept."""
        if connection.target is not None:
            with contextlib.suppress(ValueError):
                self._idle.get(connection.target, deque()).remove(connection)

    def discard(self, address: Address, port: int) -> None:
        """Closes all idle connections to an address and port that are no longer in use."""
        for connection in self._idle.pop((address, port), ()):
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
