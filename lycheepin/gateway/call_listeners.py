"""Listeners for calls: readiness checks, look-ups, metrics, other daemons and operators.

Each address answers only the calls that it is for, as others than daemons and operators reach some
of them: callers look up addresses, and the configuration, with the keys in it, isn't for them.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.steering.holdings import Holdings
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener

__all__ = ["CallListeners", "Purpose"]


class Purpose(Enum):
    """What an address is for; the values are the names of the settings."""

    READY = "ready"
    DIRECTORY = "directory"
    METRICS = "metrics"
    CONTROL = "control"


# Answers a call to an address that has some purposes.
CallHandler = Callable[[frozenset[Purpose], IncomingRequest], Awaitable[None]]


class CallListeners:
    """One listener for each address of the settings; addresses may be the same.

    They share the process's `holdings`.
    """

    def __init__(self, settings: GatewaySettings, holdings: Holdings, handler: CallHandler) -> None:
        purposes: defaultdict[SocketAddress, set[Purpose]] = defaultdict(set)
        for purpose in Purpose:
            purposes[getattr(settings, purpose.value)].add(purpose)
        self.by_address = {
            address: Listener(partial(handler, frozenset(found)), holdings)
            for address, found in purposes.items()
        }

    @property
    def pauses(self) -> int:
        """How often a listener had to stop accepting connections."""
        return sum(listener.pauses for listener in self.by_address.values())

    async def listen(self) -> None:
        """Starts to accept connections; raises OSError if an address is in use."""
        for address, listener in self.by_address.items():
            await listener.listen(address.host, address.port)

    async def close_expired_connections(self) -> None:
        """Closes connections that exceed a timeout; runs indefinitely."""
        listeners = self.by_address.values()
        await asyncio.gather(*(listener.close_expired_connections() for listener in listeners))

    async def close_connections(self, until_s: float) -> None:
        """Accepts no connections any more and closes each once it is idle, at `until_s` all."""
        listeners = self.by_address.values()
        await asyncio.gather(*(listener.close_connections(until_s) for listener in listeners))
