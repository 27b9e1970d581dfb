"""HTTP/1.1 server: accepts connections and closes those that take or rest too long."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.caller_connection import CallerConnection
from lycheepin.transport.incoming import REASONS
from lycheepin.transport.server import Handler

__all__ = ["Listener"]

# Length of the accept queue; beyond it, SYN packets are dropped and retransmitted late.
BACKLOG = 1024
# Interval in seconds of the checks for timed-out connections.
TIMEOUT_CHECK_S = 0.25


def build_refusal(status: int) -> bytes:
    """Returns the answer to an invalid request, after which its connection is closed."""
    reason = REASONS[status]
    return b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % (status, reason)


class Listener:
    """Listening sockets, their connections and the handler of their requests."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        self.in_flight = 0
        self.closing = False
        self.build_refusal: Callable[[int], bytes] = build_refusal
        self.on_refused: Callable[[int], None] = lambda status: None
        self.on_error: Callable[[Exception], None] = lambda error: None
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections; raises OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    async def listen_on(self, listening: socket.socket) -> None:
        """Starts to accept connections on a socket that listens already."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), sock=listening, backlog=BACKLOG
        )
        self._servers.append(server)

    def stop_listening(self) -> None:
        """Stops accepting connections; open connections are kept."""
        for server in self._servers:
            server.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, queued, handled or answered on any connection."""
        return any(
            not connection.is_idle or connection.has_unsent_bytes for connection in self.connections
        )

    def close_idle_connections(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close_expired_connections(self) -> None:
        """Closes connections that exceed the header or idle timeout; runs indefinitely."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_S)
            now_s = loop.time()
            for connection in list(self.connections):
                head_since_s = connection.head_since_s
                if head_since_s is not None and now_s - head_since_s > self.limits.header_timeout_s:
                    connection.refuse_request(408)
                elif (
                    connection.is_idle
                    and now_s - connection.idle_since_s > self.limits.idle_timeout_s
                ):
                    connection.close_if_idle()
