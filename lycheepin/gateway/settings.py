"""Settings of a gateway process, whatever file they come from."""

from __future__ import annotations

from dataclasses import dataclass

from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.steering.budgets import BudgetLimits

__all__ = ["GatewaySettings", "SocketAddress"]


@dataclass(frozen=True)
class SocketAddress:
    """One TCP address."""

    host: Address
    port: int

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Returns the address written as `host:port`; raises ValueError for another form."""
        host, _, port = text.rpartition(":")
        return cls(Address(host), int(port))

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewaySettings:
    """What one gateway knows at its start; times in seconds.

    `front` is for callers' requests, `ready` for the platform's checks, `directory` for callers'
    look-ups, `control` for other daemons, `metrics` for operators. `seeds` are the control
    addresses of some daemons, which may be down. `link_mbps` is what the VM's link carries, in
    Mbit/s, and `processors` the cores that the process may use; 0 when that is not known.
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
    control: SocketAddress
    seeds: tuple[SocketAddress, ...]
    store: SocketAddress
    grace_s: float
    lookup_max_s: float
    terms: BudgetLimits
    link_mbps: float = 0.0
    processors: float = 0.0
