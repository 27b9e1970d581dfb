"""Routes of the configuration: which services answer a host and path, and by which rules."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lycheepin.names import RegionName, ServiceName
from lycheepin.steering.workspaces import WorkspaceKeys

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
    """Whether a request may run more than once: protected ones may not."""

    IDEMPOTENT = "idempotent"
    PROTECTED = "protected"


@dataclass(frozen=True)
class ServiceShare:
    """A service of a route and its weight, relative to the weights of the others."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """The rules for the requests of one host and path prefix.

    `timeout_s` is the longest time from arrival to the final answer, `target_s` the time in which
    an answer should come. `priority` 0 is the highest. The requests of a `sticky` route with the
    same object key prefer the same endpoints. `allowed_regions` is empty when any region may serve
    the route. Requests of a public route need no key of a workspace.
    """

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
    is_public: bool = False


@dataclass(frozen=True)
class ServiceSpec:
    """Configuration of a service.

    `cold_start_s` is how long an endpoint stays cold, in seconds, and `cold_per_s` the requests
    per second that a cold endpoint may get.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests of callers in bytes, and on their connections in seconds.

    `max_headers` is the number of headers and parts of the target.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    max_headers: int = 65_536


@dataclass(frozen=True)
class RoutingTable:
    """The routes of one version by their host in lower case, and its services and limits.

    `workspaces` is None only in a deployment without workspaces, whose requests carry no keys; one
    whose last workspace was removed has a table without any, and no key is valid.
    """

    version: int
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    workspaces: WorkspaceKeys | None = None

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: dict[ServiceName, ServiceSpec],
        limits: CallerLimits,
        workspaces: WorkspaceKeys | None = None,
    ) -> RoutingTable:
        """Returns a table of routes, which matches longer prefixes first.

        Raises ValueError for a route that goes to no service.
        """
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            if not any(share.weight > 0 for share in route.shares):
                raise ValueError(f"route {route.name!r} goes to no service")
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        return cls(version, services, limits, ordered, workspaces)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a host in lower case with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TrafficSplitter:
    """Splits a route's requests over its services in the proportions of their weights.

    Uses smooth weighted round robin: for each request, every service gains its weight as credit,
    and the one with the most credit is chosen and loses the sum of the weights. The proportions
    are exact after every full round.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, int], dict[ServiceName, float]] = {}

    def pick_service(self, route: Route, version: int) -> ServiceName:
        """Returns the service for the next request of a route of a configuration version."""
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
