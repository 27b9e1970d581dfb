"""What a caller's connection needs of the server that accepted it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["Handler", "Server"]

Handler = Callable[[IncomingRequest], Awaitable[None]]


class Server(Protocol):
    """Handler, limits and counters that the connections of a server share.

    `build_refusal` returns the answer to an invalid request by its status. `on_refused` and
    `on_error` are called for each such request, and for each error of the handler.
    """

    handler: Handler
    connections: set[Any]
    limits: CallerLimits
    in_flight: int
    closing: bool
    build_refusal: Callable[[int], bytes]
    on_refused: Callable[[int], None]
    on_error: Callable[[Exception], None]
