"""Server side of HTTP/1.1: connections of callers, and their requests one after another.

Parsing is httptools'. Each request is handled by a task of its own; when the caller leaves, the
task is cancelled, and with it whatever it has going on elsewhere.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from lycheepin.gateway.incoming import REASONS, IncomingRequest
from lycheepin.steering.routes import CallerLimits

__all__ = ["CallerConnection", "Listener"]

# Bytes of a body held for one request before its caller has to wait.
BODY_HIGH_WATER_BYTES = 256 * 1024
# Requests that a caller may send ahead on one connection before reading pauses.
MAX_PIPELINED = 4
# Connections that may wait to be accepted; beyond it openings are dropped and sent again late.
BACKLOG = 1024
# Seconds between two looks at slow and idle connections.
SWEEP_S = 0.25

Handler = Callable[["IncomingRequest"], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: IncomingRequest | None = None
        self._queue: deque[IncomingRequest] = deque()
        self._active: IncomingRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False
        self._refused = False
        self._head_bytes = 0
        self._body_bytes = 0
        self.head_since_s: float | None = None
        self.idle_since_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio; the caller has left, so its request is abandoned."""
        self._listener.connections.discard(self)
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if self._refused:
            return
        if self._incoming is None and self.head_since_s is None:
            self.head_since_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400)
        except httptools.HttpParserError:
            self.refuse(400)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._incoming = None
        self._pending = IncomingRequest(self, self._loop.time())

    def on_url(self, url: bytes) -> None:
        """Called by the parser; a long target may come in parts."""
        self._count_head(len(url))
        self._pending.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._count_head(len(name) + len(value))
        self._pending.headers.append((name, value))
        self._pending.names[name.lower()] = value

    def _count_head(self, size: int) -> None:
        """Refuses a head that has become too large."""
        self._head_bytes += size
        if self._head_bytes > self._listener.limits.max_header_bytes:
            self.refuse(431)

    def on_headers_complete(self) -> None:
        """Called by the parser; the request is handled from here on."""
        if self._refused:
            return
        request = self._pending
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        self._incoming = request
        self._body_bytes = 0
        self._head_bytes = 0
        self.head_since_s = None
        if request.header(b"expect") is not None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED:
            self._pause()
        self._start_next()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if self._incoming is None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self.refuse(413)
            return
        if self._incoming.feed(body) > BODY_HIGH_WATER_BYTES:
            self._pause()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._incoming is not None:
            self._incoming.end_body()
        self._incoming = None

    def resume_body(self, held: int) -> None:
        """Goes on reading when a request has taken its body in."""
        if self._paused and held < BODY_HIGH_WATER_BYTES // 2 and len(self._queue) <= MAX_PIPELINED:
            self._paused = False
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Hands bytes to the socket."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while the caller does not read; raises ConnectionError when it has left."""
        await self._writable.wait()
        if self._transport is None or self._transport.is_closing():
            raise ConnectionError("the caller has left")

    def closes_after(self, request: IncomingRequest) -> bool:
        """Returns whether the connection closes after the answer to a request."""
        return (
            self._refused
            or self._listener.closing
            or not request.keep_alive
            or not request.body_complete
        )

    def end_answer(self, request: IncomingRequest) -> None:
        """Goes on with the next request, or closes."""
        if self.closes_after(request):
            self._refused = True
            self._queue.clear()
            if self._transport is not None:
                self._transport.close()

    def abort(self) -> None:
        """Closes at once."""
        if self._transport is not None:
            self._transport.abort()

    def refuse(self, status: int) -> None:
        """Answers what could not be read as a request, and closes."""
        if self._refused:
            return
        self._refused = True
        self._listener.on_refused(status)
        if self._task is not None:
            self._task.cancel()
        if self._active is not None and self._active.answered:
            self.abort()
            return
        reason = REASONS[status]
        self.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % (status, reason)
        )
        if self._transport is not None:
            self._transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is read, waits or is handled."""
        return self._active is None and not self._queue and self.head_since_s is None

    def close_idle(self) -> None:
        """Closes a connection that is idle."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def _pause(self) -> None:
        """Stops reading until a request has taken its body in."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _start_next(self) -> None:
        """Starts the task of the next request, if none is running."""
        if self._active is None and self._queue:
            self._active = self._queue.popleft()
            self._task = self._loop.create_task(self._handle(self._active))

    async def _handle(self, request: IncomingRequest) -> None:
        """Runs the handler of one request, then starts the next one."""
        self._listener.in_flight += 1
        try:
            await self._listener.handler(request)
        except asyncio.CancelledError:
            if not self._refused:
                self.abort()
            return
        except ConnectionError:
            self.abort()
            return
        except Exception as error:  # a fault in one request must not end the daemon
            self._listener.on_fault(error)
            self.abort()
            return
        finally:
            self._listener.in_flight -= 1
        self._active = None
        self._task = None
        self.idle_since_s = self._loop.time()
        self.resume_body(0)
        self._start_next()


class Listener:
    """One listening address, its connections and the handler of their requests."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        self.in_flight = 0
        self.closing = False
        self.on_refused: Callable[[int], None] = lambda status: None
        self.on_fault: Callable[[Exception], None] = lambda error: None
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections; raises OSError when the address is in use."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    def stop_listening(self) -> None:
        """Accepts no more connections."""
        for server in self._servers:
            server.close()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.connections):
            connection.close_idle()

    async def sweep(self) -> None:
        """Closes connections that stay idle too long or do not send a whole head, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = loop.time()
            for connection in list(self.connections):
                since_s = connection.head_since_s
                if since_s is not None and now_s - since_s > self.limits.header_timeout_s:
                    connection.refuse(408)
                elif (
                    connection.is_idle
                    and now_s - connection.idle_since_s > self.limits.idle_timeout_s
                ):
                    connection.close_idle()
