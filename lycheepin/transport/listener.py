"""HTTP/1.1 server: accepts connections and closes those that take or rest too long.

Connections are accepted only while the process has sockets for them; when it has none, those that
are idle or slow to send end first. If there are none, new ones wait in the queue of the listening
socket, and connections close after their next answer.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from lycheepin.steering.holdings import Holder, Holdings, Machine
from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.caller_connection import CallerConnection
from lycheepin.transport.incoming import REASONS
from lycheepin.transport.process_limits import read_descriptor_limit
from lycheepin.transport.server import Handler

__all__ = ["Listener"]

# Length of the accept queue; beyond it, SYN packets are dropped and retransmitted late.
BACKLOG = 1024
# Interval in seconds of the checks for timed-out connections.
TIMEOUT_CHECK_S = 0.25
# Interval in seconds of the checks for idle connections of a listener that closes.
CLOSE_CHECK_S = 0.02
# Connections accepted before others are served.
MAX_ACCEPTED_AT_ONCE = 64
# Retry-After, in seconds, of a request that is refused because memory is short.
RETRY_AFTER_S = 1


def build_refusal(status: int) -> bytes:
    """Returns the answer to an invalid request, after which its connection is closed."""
    reason = REASONS[status]
    retry_after = b"Retry-After: %d\r\n" % RETRY_AFTER_S if status == 503 else b""
    return (
        b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\n" % (status, reason)
        + retry_after
        + b"Connection: close\r\n\r\n"
    )


class Listener:
    """Listening sockets, their connections and the handler of their requests.

    Listeners of one process share its `holdings`.
    """

    def __init__(self, handler: Handler, holdings: Holdings | None = None) -> None:
        self.handler = handler
        self.holdings = holdings or Holdings(Machine.from_limits(max_fds=read_descriptor_limit()))
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        self.in_flight = 0
        self.closing = False
        self.pauses = 0
        self.build_refusal: Callable[[int], bytes] = build_refusal
        self.on_refused: Callable[[int], None] = lambda status: None
        self.on_error: Callable[[Exception], None] = lambda error: None
        self.on_evicted: Callable[[str, Holder], None] = lambda reason, holder: None
        self._listening: list[socket.socket] = []
        self._paused: set[socket.socket] = set()
        self._opening: set[asyncio.Task[object]] = set()
        self._is_ending = False

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections; raises OSError if the address is in use."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
        listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((host, port))
            await self.listen_on(listening)
        except OSError:
            listening.close()
            raise

    async def listen_on(self, listening: socket.socket) -> None:
        """Starts to accept connections on a socket that is bound already."""
        listening.setblocking(False)
        listening.listen(BACKLOG)
        self._listening.append(listening)
        asyncio.get_running_loop().add_reader(listening, self._accept, listening)

    def stop_listening(self) -> None:
        """Stops accepting connections; open connections are kept."""
        loop = asyncio.get_running_loop()
        for listening in self._listening:
            loop.remove_reader(listening)
            listening.close()
        self._listening.clear()
        self._paused.clear()

    def _accept(self, listening: socket.socket) -> None:
        """Accepts the connections that wait at a listening socket, as far as there are sockets."""
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            if not self.holdings.admits_connection:
                # The sockets of those that end are free in the next turn of the event loop.
                if not self._end_idlest():
                    self._pause_accepting(listening)
                return
            try:
                connection, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor or no memory is left
                self.on_error(error)
                self._end_idlest()
                self._pause_accepting(listening)
                return
            connection.setblocking(False)
            self.holdings.opening += 1
            opening = loop.create_task(
                loop.connect_accepted_socket(partial(CallerConnection, self), connection)
            )
            self._opening.add(opening)
            opening.add_done_callback(self._on_opened)

    def _on_opened(self, opening: asyncio.Task[object]) -> None:
        """Called when an accepted connection is ready, or has failed before."""
        self._opening.discard(opening)
        self.holdings.opening -= 1
        if not opening.cancelled() and isinstance(error := opening.exception(), Exception):
            self.on_error(error)

    def _pause_accepting(self, listening: socket.socket) -> None:
        """Leaves new connections in the queue of a listening socket until the next check."""
        self.pauses += 1
        self._paused.add(listening)
        asyncio.get_running_loop().remove_reader(listening)

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted; none may be while all sockets are in use."""
        return not self._paused

    def resume_accepting(self) -> None:
        """Accepts connections again where this was paused, if there are sockets for them."""
        if not self.holdings.admits_connection:
            return
        for listening in self._paused:
            asyncio.get_running_loop().add_reader(listening, self._accept, listening)
        self._paused.clear()

    def _end_idlest(self) -> bool:
        """Ends connections that keep sockets for nothing; returns whether there are any."""
        now_s = asyncio.get_running_loop().time()
        chosen = self.holdings.choose_idlest(now_s) or self.holdings.choose_stopped_readers(now_s)
        for holder in chosen:
            holder.evict("sockets")
        return bool(chosen)

    def end_largest(self) -> None:
        """Ends connections until the process holds less than it may."""
        if self._is_ending:
            return
        self._is_ending = True
        for holder in self.holdings.choose_largest():
            holder.evict("memory")
        self._is_ending = False

    def _end_stalled(self, now_s: float) -> None:
        """Ends connections that have stalled, while the process is short of memory."""
        if self.holdings.is_short:
            for holder in self.holdings.choose_stalled(now_s):
                holder.evict("stalled")

    async def close_connections(self, until_s: float) -> None:
        """Accepts no connections any more and closes each once it is idle.

        Returns when none is left, or at `until_s` in the event loop's time; the connections that
        are left then are aborted. Their timeouts apply until then.
        """
        self.closing = True
        self.stop_listening()
        loop = asyncio.get_running_loop()
        while True:
            for connection in list(self.connections):
                self._check_connection(connection, loop.time())
                connection.close_if_idle()
            if not self.connections or loop.time() >= until_s:
                break
            await asyncio.sleep(CLOSE_CHECK_S)
        for connection in list(self.connections):
            connection.abort()

    async def close_expired_connections(self) -> None:
        """Closes connections that exceed the header or idle timeout; runs indefinitely."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            now_s = loop.time()
            for connection in list(self.connections):
                self._check_connection(connection, now_s)
            self._end_stalled(now_s)
            if not (self.is_accepting or self.holdings.admits_connection):
                self._end_idlest()
            self.resume_accepting()

    def _check_connection(self, connection: CallerConnection, now_s: float) -> None:
        """Closes a connection that exceeds a timeout."""
        connection.check_progress(now_s)
        head_since_s = connection.head_since_s if connection.is_reading else None
        if head_since_s is not None and now_s - head_since_s > self.limits.header_timeout_s:
            connection.refuse_request(408)
        elif connection.is_idle and now_s - connection.idle_since_s > self.limits.idle_timeout_s:
            connection.close_expired(now_s)
