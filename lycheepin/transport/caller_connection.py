"""A connection of a caller: its requests, parsed by httptools, and the answers in their order.

Each request is handled in its own task; if the caller disconnects, the task is cancelled, together
with the attempt that it waits for. What the connection holds is recorded in its server's holdings;
a caller that leaves its answers unread gets no further ones.
"""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus

import httptools

from lycheepin.steering.holdings import Stage
from lycheepin.transport.graceful_close import GracefulClose
from lycheepin.transport.headers import WHITESPACE
from lycheepin.transport.incoming import BodyRefused, IncomingRequest
from lycheepin.transport.process_limits import (
    count_undelivered_bytes,
    has_left,
    has_unread_bytes,
    limit_unread_bytes,
)
from lycheepin.transport.progress_limit import EndlessElement, ProgressLimit
from lycheepin.transport.server import Server
from lycheepin.transport.shared_buffer import SharedBufferProtocol

__all__ = ["ELEMENT_MARGIN_BYTES", "CallerConnection"]

# Buffered bytes of a request body above which reading from the connection pauses.
BODY_HIGH_WATER_BYTES = 256 * 1024
# Bytes of a body up to which it is taken while memory is short.
SMALL_BODY_BYTES = 64 * 1024
# Number of pipelined requests on one connection above which reading pauses.
MAX_PIPELINED = 4
# Bytes passed to the parser at a time, so that few requests begin once reading has paused.
HEAD_SLICE_BYTES = 1024
BODY_SLICE_BYTES = 16 * 1024
# Memory in bytes of a connection without requests, and of a request that is being handled.
CONNECTION_BYTES = 8 * 1024
HANDLER_BYTES = 8 * 1024
# Limit on an element of a request that has not ended, beyond the limit on its whole head: the size
# and extension of a chunk, and the parser's reading in slices.
ELEMENT_MARGIN_BYTES = 16 * 1024
# Least time in seconds for which an answer may stay unread.
MIN_UNREAD_LIMIT_S = 3.0

# Headers that announce a body.
_BODY_HEADERS = {b"content-length", b"transfer-encoding"}


class CallerConnection(SharedBufferProtocol):
    """A connection of a caller; its requests are handled one at a time, in order."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._progress_limit = ProgressLimit(ELEMENT_MARGIN_BYTES)
        self._parsing = IncomingRequest(self, self._loop.time())
        self._receiving: IncomingRequest | None = None
        self._queue: deque[IncomingRequest] = deque()
        self._current: IncomingRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False
        self._unparsed = b""
        self._unsent_bytes = self._undelivered_bytes = 0
        self._unread_limit_s: float | None = None
        self._closing = False
        self._graceful_close: GracefulClose | None = None
        self._refused = False
        self._repeats_head = False
        self._head_bytes = self._head_fields = 0
        self._body_bytes = 0
        self.head_since_s: float | None = None
        self.idle_since_s = self._active_since_s = self._loop.time()
        self.caller_host = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio; adds the connection to its server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.caller_host = str(peer[0]) if isinstance(peer, tuple) else ""
        self._server.connections.add(self)
        self.observe_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio; cancels the request that is being handled."""
        self._server.connections.discard(self)
        self._server.holdings.remove(self)
        self._transport = None
        if self._graceful_close is not None:
            self._graceful_close.cancel()
        self._drop_requests()
        # These refer to the connection, which would otherwise stay until a collection.
        del self._parser, self._parsing
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._server.resume_accepting()

    def pause_writing(self) -> None:
        """Called by asyncio when the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio when the write buffer has been emptied."""
        self._writable.set()
        self._active_since_s = self._loop.time()
        self.observe_held()

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the parser, or keeps them while reading is paused."""
        if self._graceful_close is not None:
            self._graceful_close.drop(data)
            return
        if self._closing or self._refused:
            return
        self._active_since_s = self._loop.time()
        self._unparsed += data
        self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Passes the bytes that were received to the parser until reading pauses."""
        data, start = memoryview(self._unparsed), 0
        while start < len(data) and not (self._paused or self._closing or self._refused):
            size = HEAD_SLICE_BYTES if self._receiving is None else BODY_SLICE_BYTES
            piece = data[start : start + size]
            start += len(piece)
            try:
                self._progress_limit.feed(self._parse, piece)
            except httptools.HttpParserError:
                self.refuse_request(400)
            except EndlessElement:
                self.refuse_request(431)
            self.observe_held()
        self._unparsed = b"" if self._closing or self._refused else bytes(data[start:])
        if self._unparsed:
            self.observe_held()

    def _parse(self, data: memoryview) -> None:
        """Passes bytes to the parser; an offer to upgrade the connection is not taken up.

        Raises HttpParserError for malformed bytes and for CONNECT.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                if self._parser.get_method() == b"CONNECT":
                    self._parsing.body_complete = False
                    if self._parsing in self._queue:
                        self._queue.remove(self._parsing)
                    raise httptools.HttpParserError("CONNECT") from upgrade
                self._parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]
                if self._parsing.headers_by_name.keys() & _BODY_HEADERS:
                    self._expect_body(self._parsing)

    def _expect_body(self, request: IncomingRequest) -> None:
        """Lets the parser read the body of a request that offered an upgrade.

        The parser ends such a request before its body, so it is given the head without the offer.
        """
        request.body_complete = False
        self._receiving = request
        head = [request.method + b" " + request.target + b" HTTP/1.1"]
        head += [n + b": " + value for n, value in request.headers if n.lower() != b"upgrade"]
        self._repeats_head = True
        self._parser.feed_data(b"\r\n".join(head) + b"\r\n\r\n")
        self._repeats_head = False
        self._head_bytes = self._head_fields = 0

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request."""
        if self._repeats_head:
            return
        self._receiving = None
        self._head_bytes = self._head_fields = 0
        self.head_since_s = self._loop.time()
        self._parsing = IncomingRequest(self, self.head_since_s)
        limits = self._server.limits
        self._progress_limit.limit_bytes = limits.max_header_bytes + ELEMENT_MARGIN_BYTES

    def on_url(self, url: bytes) -> None:
        """Called by the parser; a long target may arrive in several parts."""
        if self._repeats_head:
            return
        self._count_head_bytes(len(url))
        self._parsing.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header, and for each trailer, which is ignored."""
        self._progress_limit.record_progress()
        self._count_head_bytes(len(name) + len(value))
        if self._receiving is not None:
            return
        if name.lower() == b"host" and b"host" in self._parsing.headers_by_name:
            raise httptools.HttpParserError("two hosts")
        value = value.rstrip(WHITESPACE)
        self._parsing.add_header(name, value)

    def _count_head_bytes(self, size: int) -> None:
        """Adds a field to the size of the head; refuses the request if it is too large."""
        limits = self._server.limits
        self._head_bytes += size
        self._head_fields += 1
        if self._head_bytes > limits.max_header_bytes or self._head_fields > limits.max_headers:
            self.refuse_request(431)

    def on_headers_complete(self) -> None:
        """Called by the parser; queues the request, whose body may still be arriving."""
        self._progress_limit.record_progress()
        if self._closing or self._repeats_head:
            return
        request = self._parsing
        request.method = self._parser.get_method()
        request.remove_host_from_target()
        request.keep_alive = self._parser.should_keep_alive()
        request.awaits_continue = request.header(b"expect") is not None
        self._receiving = request
        self._body_bytes = 0
        self._head_bytes = self._head_fields = 0
        self.head_since_s = None
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED:
            self._pause_reading()
        self._start_next()

    def on_body(self, body: bytes) -> None:
        """Called by the parser; buffers a part of the body, or refuses one that is too large."""
        self._progress_limit.record_progress()
        if self._receiving is None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self.refuse_request(413)
            return
        buffered = self._receiving.feed_body(body)
        if buffered > BODY_HIGH_WATER_BYTES or self._waits_for_memory:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        if self._receiving is not None:
            self._receiving.end_body()
        self._receiving = None

    def resume_reading(self, buffered: int) -> None:
        """Resumes reading if it is paused and only a few bytes are buffered."""
        if (
            self._paused
            and buffered < BODY_HIGH_WATER_BYTES // 2
            and len(self._queue) <= MAX_PIPELINED
            and not self._waits_for_memory
        ):
            self._paused = False
            self._loop.call_soon(self._continue_reading)
        self.observe_held()

    def _continue_reading(self) -> None:
        """Parses the bytes that were kept, then reads further ones unless reading pauses again."""
        if self.head_since_s is not None:
            self.head_since_s = self._loop.time()
        self._parse_unparsed()
        if not self._paused and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Writes bytes to the transport; ignored if the connection is ending."""
        if self._graceful_close is not None:
            return
        if self._transport is not None and not self._transport.is_closing():
            if not self.has_unsent_bytes:
                self._active_since_s = self._loop.time()
            self._transport.write(data)
            self.observe_held()

    async def drain(self) -> None:
        """Waits while the write buffer is full; raises ConnectionError if the caller has left."""
        await self._writable.wait()
        if self._transport is None or self._transport.is_closing():
            raise ConnectionError("the caller has left")

    def closes_after(self, request: IncomingRequest) -> bool:
        """Returns whether the connection is closed after the answer to a request."""
        return (
            self._closing
            or (self._refused and not self._queue)
            or self._server.closing
            or not self._server.is_accepting
            or not request.keep_alive
            or not request.body_complete
        )

    def end_answer(self, request: IncomingRequest) -> None:
        """Ends an answer; closes the connection unless it is kept alive."""
        self._unread_limit_s = request.unread_limit_s
        if self.closes_after(request):
            self._close_after_answer()

    def _close_after_answer(self) -> None:
        """Ends the connection once the caller has taken what was sent."""
        self._closing = True
        is_receiving = self._receiving is not None or self._paused
        self._drop_requests()
        if self._transport is None or self._transport.is_closing():
            return
        self._paused = False
        self._graceful_close = GracefulClose(
            self._transport,
            self._find_unread_limit_s(),
            is_receiving,
            lambda: self._server.on_evicted("unread", self),
            self._observe_delivery,
        )

    def _observe_delivery(self) -> None:
        """Records that the caller has taken a part of its answer."""
        self._active_since_s = self._loop.time()
        self.observe_held()

    def abort(self) -> None:
        """Closes the connection immediately, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def refuse_request(self, status: int) -> None:
        """Answers an invalid request with an error status and closes the connection.

        If an answer has already begun, the connection is aborted. Requests that arrived whole
        before the invalid one are answered, and the connection is closed without an answer to it.
        Of the bytes that follow only a body that is too large is still read.
        """
        if self._closing or self._refused:
            return
        self._server.on_refused(status)
        if self._current is not None and self._current.body_complete:
            self._refused = True
            self.head_since_s = None
            if self._receiving is not None and self._receiving in self._queue:
                self._queue.remove(self._receiving)
            return
        if status != HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            self._receiving = None
        if self._task is not None:
            self._task.cancel()
        if self._current is not None and self._current.answered:
            self._closing = True
            self.abort()
            return
        self.write(self._server.build_refusal(status))
        self._close_after_answer()

    def evict(self, reason: str) -> None:
        """Ends the connection because memory or sockets are short.

        A request that waits for its body is refused: it has not run. Others end without an answer.
        """
        self._server.on_evicted(reason, self)
        request = self._current
        if request is not None and request.awaits_body and reason != "sockets":
            request.refuse_body()
            self._queue.clear()
            self._unparsed = b""
            self.observe_held()
            return
        self._closing = True
        self._server.holdings.record(self, CONNECTION_BYTES)
        self.abort()

    def observe_held(self) -> None:
        """Records how much memory the connection holds; lets others end if it is too much."""
        if self._transport is None or self._transport.is_closing():
            return
        self._unsent_bytes = self._transport.get_write_buffer_size()
        held_bytes = CONNECTION_BYTES + self._unsent_bytes + len(self._unparsed)
        if not self._closing:
            held_bytes += self._progress_limit.pending_bytes
            held_bytes += sum(request.held_bytes for request in self._queue)
            if self.head_since_s is not None:
                held_bytes += self._parsing.held_bytes
        if self._current is not None:
            held_bytes += self._current.held_bytes + HANDLER_BYTES
        if self._paused:
            held_bytes += self._server.holdings.machine.unread_bytes
        self._server.holdings.record(self, held_bytes)
        if self._server.holdings.is_full:
            self._server.end_largest()

    def check_progress(self, now_s: float) -> None:
        """Cuts off a caller that has read nothing of its answer for too long, or that has left.

        Reading that waited for memory goes on once there is enough. A connection that is ending
        checks itself.
        """
        if self._transport is None or not (self._paused or self._unsent_bytes):
            return
        if self._graceful_close is not None:
            return
        if self._paused and has_left(self._transport):
            self.abort()
            return
        if self._paused:
            self.resume_reading(self._receiving.buffered_bytes if self._receiving else 0)
        if self._current is not None and self._current.answered:
            self._unread_limit_s = self._current.unread_limit_s
        if self._has_stopped_reading(self._transport, now_s) and self.has_unsent_bytes:
            self._server.on_evicted("unread", self)
            self.abort()

    def close_expired(self, now_s: float) -> None:
        """Closes a connection that has been idle for too long.

        Its caller may still take the last answer; it is cut off when it has stopped to.
        """
        if self._transport is not None and self._has_stopped_reading(self._transport, now_s):
            self._server.on_evicted("unread", self)
            self.abort()
        else:
            self.close_if_idle()

    def _has_stopped_reading(self, transport: asyncio.Transport, now_s: float) -> bool:
        """Returns whether the caller has taken nothing of its answer for too long."""
        undelivered_bytes = count_undelivered_bytes(transport)
        if undelivered_bytes != self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._observe_delivery()
        return undelivered_bytes > 0 and now_s - self._active_since_s > self._find_unread_limit_s()

    def _find_unread_limit_s(self) -> float:
        """Returns for how long the caller may take nothing of its answer, in seconds."""
        limit_s = self._unread_limit_s or self._server.limits.idle_timeout_s
        return max(limit_s, MIN_UNREAD_LIMIT_S)

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""
        if self._current is not None and not self._closing:
            if self._current.awaits_body:
                return Stage.BODY
            if not self._current.answered:
                return Stage.RUNNING
        if self.has_unsent_bytes:
            return Stage.ANSWER
        if self._graceful_close is not None and self._graceful_close.undelivered_bytes:
            return Stage.ANSWER
        if self._current is not None and not self._closing:
            return Stage.RUNNING
        return Stage.IDLE if self.head_since_s is None else Stage.HEAD

    @property
    def active_since_s(self) -> float:
        """When the last byte was sent or received, or when the connection became idle."""
        return self.idle_since_s if self.stage is Stage.IDLE else self._active_since_s

    @property
    def is_reading(self) -> bool:
        """Whether the connection is read; a head that has begun makes no progress otherwise."""
        return not self._paused

    @property
    def _waits_for_memory(self) -> bool:
        """Whether no more of a body is taken because memory is short."""
        request = self._receiving
        return (
            request is not None
            and request.awaits_body
            and request.held_bytes > SMALL_BODY_BYTES
            and self._server.holdings.is_short
        )

    def _drop_requests(self) -> None:
        """Forgets requests that are neither handled nor answered any more."""
        self._queue.clear()
        self._unparsed = b""
        self._receiving = None
        self.head_since_s = None
        self._parsing = IncomingRequest(self, 0.0)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued, handled or answered."""
        is_waiting = self._current is None and not self._queue and self.head_since_s is None
        return is_waiting and not self._closing

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of an answer waits for the caller to read."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle.

        It isn't while the caller hasn't taken the last answer, or the next request has arrived. One
        that crosses the close is not read, which the caller sees: the connection is reset.
        """
        if self._transport is None or not self.is_idle:
            return
        if not (count_undelivered_bytes(self._transport) or has_unread_bytes(self._transport)):
            self._transport.close()

    def _pause_reading(self) -> None:
        """Pauses reading from the connection."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()
            if self._server.holdings.is_short:
                limit_unread_bytes(self._transport, self._server.holdings.machine.unread_bytes)

    def _start_next(self) -> None:
        """Starts to handle the next queued request, unless one is being handled."""
        if self._current is None and self._queue:
            self._current = self._queue.popleft()
            self._task = self._loop.create_task(self._handle_request(self._current))

    async def _handle_request(self, request: IncomingRequest) -> None:
        """Runs the handler for a request; starts the next one once the answer is mostly read."""
        self._server.in_flight += 1
        try:
            request.awaits_body = False
            if request.body_refused:
                raise BodyRefused
            await self._server.handler(request)
        except asyncio.CancelledError:
            self._end_task()
            if not self._closing:
                self.abort()
            return
        except ConnectionError:
            self._end_task()
            self.abort()
            return
        except BodyRefused:
            self.write(self._server.build_refusal(HTTPStatus.SERVICE_UNAVAILABLE))
            self._close_after_answer()
        except Exception as error:  # an error in one request must not stop the daemon
            self._server.on_error(error)
            self._end_task()
            self.abort()
            return
        finally:
            self._server.in_flight -= 1
        if self._transport is None:
            self._end_task()
            return
        if self._parsing is request:
            self._parsing = IncomingRequest(self, 0.0)
        if not self._writable.is_set():
            request.release()
            self.observe_held()
            await self._writable.wait()
        self._end_task()
        self.idle_since_s = self._loop.time()
        self._start_next()
        self.resume_reading(0)

    def _end_task(self) -> None:
        """Forgets the request that was handled, and its task."""
        self._current = None
        self._task = None
