"""Settings of a gateway process, whatever file they come from."""

from __future__ import annotations

from dataclasses import dataclass

from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.steering.budgets import BudgetTerms

__all__ = ["GatewaySettings", "SocketAddress"]


@dataclass(frozen=True)
class SocketAddress:
    """One TCP address."""

    host: Address
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewaySettings:
    """What one gateway knows at its start; times in seconds.

    `front` is for callers' requests, `ready` for the platform's checks, `directory` for callers'
    look-ups, `metrics` for operators. `inner_ports` are the first and last port
    free for traffic between daemons.
    """

    name: DaemonName
    host: Address
    zone: ZoneName
    region: RegionName
    zones: dict[ZoneName, RegionName]
    front: SocketAddress
    ready: SocketAddress
    directory: SocketAddress
    metrics: SocketAddress
    inner_ports: tuple[int, int]
    store: SocketAddress
    heartbeat_s: float
    memory_mb: int
    grace_s: float
    lookup_max_s: float
    terms: BudgetTerms
