"""Settings of a gateway process, independent of the format they are read from."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lycheepin.decoding import MAX_PORT, require_ipv4
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.steering.budgets import BudgetLimits
from lycheepin.steering.quota_shares import QuotaTerms
from lycheepin.steering.store_contact import DEFAULT_HEARTBEAT_S

__all__ = ["GatewaySettings", "SocketAddress"]

_PORT_DIGITS = re.compile("[0-9]{1,5}")


@dataclass(frozen=True)
class SocketAddress:
    """A TCP address."""

    host: Address
    port: int

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Returns the address written as `host:port`; raises ValueError if malformed."""
        host, _, digits = text.rpartition(":")
        if not host or not _PORT_DIGITS.fullmatch(digits):
            raise ValueError(f"not host:port: {text!r:.60}")
        port = int(digits)
        if not 0 < port <= MAX_PORT:
            raise ValueError(f"not a port from 1 to {MAX_PORT}: {port}")
        return cls(Address(host), port)

    @classmethod
    def parse_ipv4(cls, text: str) -> SocketAddress:
        """Returns the address written as `host:port`; raises ValueError unless it is IPv4."""
        address = cls.parse(text)
        require_ipv4(address.host)
        return address

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process; times in seconds.

    Listeners: `front` serves callers' requests, `ready` the platform's readiness checks,
    `directory` callers' look-ups, `control` other daemons and `metrics` operators. `seeds` are
    control addresses of daemons to ask at the start if the store does not answer; some may be
    down. Changes of the configuration, drains and evacuations have to be in force within
    `apply_limit_s`. `link_mbps` is the bandwidth of the VM's link in Mbit/s and `processors` the
    number of cores that the process may use; 0 if unknown. `bootstrap` is true when all daemons
    start for the first time. Endpoints write to their entries every `heartbeat_s`, and leases of
    the store live for `min_lease_s` at least. Of the requests from a region at most the part
    `max_shift` may change the region in which they run within seconds; None: any. `memory_mb` and
    `max_fds` are the machine's memory and descriptors; 0: the defaults of `Machine`.
    Daemons exchange tokens of quotas on the UDP port `exchange_port`, 0 if they don't. With
    `paces_returns`, requests return by and by to endpoints that have started or recovered.
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
    apply_limit_s: float
    terms: BudgetLimits
    link_mbps: float = 0.0
    processors: float = 0.0
    bootstrap: bool = False
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    min_lease_s: float = 0.0
    max_shift: float | None = None
    memory_mb: float = 0.0
    max_fds: int = 0
    quota_terms: QuotaTerms = QuotaTerms()
    exchange_port: int = 0
    paces_returns: bool = False
