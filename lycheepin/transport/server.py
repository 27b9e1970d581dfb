"""What a caller's connection needs of the server that accepted it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from lycheepin.steering.holdings import Holder, Holdings
from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["Handler", "Server"]

Handler = Callable[[IncomingRequest], Awaitable[None]]


class Server(Protocol):
    """Handler, limits and counters that the connections of a server share.

    `build_refusal` returns the answer to an invalid request by its status. `on_refused` and
    `on_error` are called for each such request, and for each error of the handler; `on_evicted`
    with the reason for each connection that ends because memory or sockets are short, or because
    its answer stays unread. `holdings` is what the process holds for all its connections.
    """

    handler: Handler
    connections: set[Any]
    limits: CallerLimits
    in_flight: int
    closing: bool
    holdings: Holdings
    build_refusal: Callable[[int], bytes]
    on_refused: Callable[[int], None]
    on_error: Callable[[Exception], None]
    on_evicted: Callable[[str, Holder], None]

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted; none may be while all sockets are in use."""

    def resume_accepting(self) -> None:
        """Accepts connections again, after sockets have become free."""

    def end_largest(self) -> None:
        """Ends connections until the process holds less than it may."""
