"""Routes of the operators' configuration: which service answers a host and path, and how."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lycheepin.names import RegionName, ServiceName

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "TrafficSplitter",
]


class RequestKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    PROTECTED = "protected"


@dataclass(frozen=True)
class ServiceShare:
    """The part of a route's requests that one service answers, relative to the other weights."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """One route. `timeout_s` is the longest time from arrival to the final answer."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    sticky: bool
    allowed_regions: frozenset[RegionName]


@dataclass(frozen=True)
class ServiceSpec:
    """What the configuration says of a service; cold rates are requests per second."""

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration, indexed by host."""

    version: int
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: dict[ServiceName, ServiceSpec],
        limits: CallerLimits,
    ) -> RoutingTable:
        """Returns the table of some routes, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        return cls(version, services, limits, ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TrafficSplitter:
    """Splits a route's requests over its services in the proportions of their weights.

    Smooth weighted round robin: each service's credit grows by its weight, the highest is used
    and pays the sum. The parts are exact after every full round.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, int], dict[ServiceName, float]] = {}

    def pick_service(self, route: Route, version: int) -> ServiceName:
        """Returns the service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, version)
        credits = self._credits.get(key)
        if credits is None:
            self._credits = {k: v for k, v in self._credits.items() if k[1] == version}
            credits = self._credits[key] = {share.service: 0.0 for share in route.shares}
        for share in route.shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(share.weight for share in route.shares)
        return chosen
