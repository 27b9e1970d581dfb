"""Shares of limits that apply to all daemons together: retries, and requests to one endpoint.

Each daemon spends only its own share, so the total stays within the limit without communication,
also when daemons can't reach each other. Only daemons that callers are sent to have a share: where
a few of hundreds carry all requests, the shares of the others would never be spent. The limits keep
retries from amplifying an outage, and endpoints that restart with empty caches, or that name a
limit, from being overloaded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from types import MappingProxyType

from lycheepin.names import DaemonName, EndpointId, RegionName

__all__ = [
    "OWN_REGION_WEIGHT",
    "BudgetLimits",
    "Carriers",
    "ColdStartLimiter",
    "RetryBudgetShare",
    "Share",
]

# Fraction of a shared limit that is spent. The rest covers clock differences, and daemons that
# restart within the window and lose count of what they spent.
SAFETY_FRACTION = 0.8
# Time in seconds for which the share of a daemon that is no longer listed is kept free: it drains,
# or registers again after the store has lost its entry.
DEPARTURE_S = 4.0
# Factor on the weight of endpoints in a daemon's own region, when it orders them.
OWN_REGION_WEIGHT = 4
# Window in seconds over which requests to a cold endpoint are counted. The limit is per second;
# the longer window covers network delays that vary and shorten the gaps between requests.
COLD_WINDOW_S = 1.3


@dataclass(frozen=True)
class BudgetLimits:
    """Limits of the deployment.

    In any `window_s` seconds, the retries of a service stay within `retry_ratio` times its
    requests plus `retry_slack` requests. A cold endpoint gets at most `cold_over` times its
    service's cold rate plus `cold_slack` requests per second.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    window_s: float = 10.0
    cold_over: float = 1.0
    cold_slack: float = 0.0


@dataclass(frozen=True)
class Share:
    """A daemon's share of a number of requests, and how many carriers have none."""

    requests: int
    carriers_without: int


class Carriers:
    """The daemons that carry requests, among which shared limits are divided.

    `find_names` returns their names, as the same object until they change, and `find_region` the
    region of one. One that is no longer listed keeps its share for DEPARTURE_S seconds, before the
    others divide it: it may still be draining, or its entry was lost and is written again. A daemon
    that knows of none, as at its start, counts itself. Times are monotonic seconds.
    """

    def __init__(
        self,
        own: DaemonName,
        find_names: Callable[[], Sequence[DaemonName]],
        find_region: Callable[[DaemonName], RegionName | None] = lambda name: None,
    ) -> None:
        self._own = own
        self._find_names = find_names
        self._find_region = find_region
        self._listed: Sequence[DaemonName] = ()
        self._departed_until_s: dict[DaemonName, float] = {}
        self._regions: dict[DaemonName, RegionName | None] = {own: None}
        self._shares: dict[tuple[EndpointId, int, RegionName | None], Share] = {}

    @classmethod
    def from_regions(
        cls, own: DaemonName, regions: Mapping[DaemonName, RegionName | None]
    ) -> Carriers:
        """Returns carriers that stay the same, with their regions."""
        names = tuple(regions)
        return cls(own, lambda: names, regions.get)

    @property
    def own(self) -> DaemonName:
        """The name of this daemon."""
        return self._own

    def find_regions(self, now_s: float) -> dict[DaemonName, RegionName | None]:
        """Returns the carriers that have a share now, with their regions; changes nothing."""
        copy = Carriers(self._own, self._find_names, self._find_region)
        copy._listed = self._listed
        copy._departed_until_s = dict(self._departed_until_s)
        copy._regions = dict(self._regions)
        copy._update(now_s)
        return copy._regions

    def slack_fraction(self, now_s: float) -> float:
        """Returns this daemon's share of a limit that is divided equally; 0 if it has none."""
        self._update(now_s)
        return 1 / len(self._regions) if self._own in self._regions else 0.0

    def count_share(self, endpoint_id: EndpointId, limit: int, now_s: float) -> int:
        """Returns how many of `limit` requests to an endpoint this daemon may send."""
        return self.find_share(endpoint_id, limit, now_s).requests

    def find_share(
        self,
        endpoint_id: EndpointId,
        limit: int,
        now_s: float,
        region: RegionName | None = None,
    ) -> Share:
        """Returns this daemon's share of `limit` requests to an endpoint.

        All daemons that know the same carriers compute the same shares, whose sum is `limit`. With
        a `region`, the carriers in it count OWN_REGION_WEIGHT times, as they choose the region's
        endpoints that much more often. Requests that can't be divided are given one by one to the
        carriers that lack the largest fraction of one; a hash decides between equal ones.
        """
        self._update(now_s)
        key = (endpoint_id, limit, region)
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(*key)
        return share

    def is_chosen(self, key: str, now_s: float) -> bool:
        """Returns whether this daemon is the one that all choose for a key."""
        return self.count_share(EndpointId(key), 1, now_s) == 1

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the shares of an endpoint that no longer exists."""
        self._shares = {key: n for key, n in self._shares.items() if key[0] != endpoint_id}

    def _update(self, now_s: float) -> None:
        """Applies changes of the listed carriers, and the end of the time of departed ones."""
        listed = self._find_names()
        departed = self._departed_until_s
        if listed is self._listed and all(now_s < until_s for until_s in departed.values()):
            return
        for name in {*self._listed}.difference(listed):
            departed.setdefault(name, now_s + DEPARTURE_S)
        self._departed_until_s = {
            name: until_s
            for name, until_s in departed.items()
            if now_s < until_s and name not in listed
        }
        regions = {name: self._regions.get(name) for name in self._departed_until_s}
        regions |= {name: self._find_region(name) for name in listed}
        self._listed = listed
        self._regions = regions or {self._own: None}
        self._shares.clear()

    def _compute_share(
        self, endpoint_id: EndpointId, limit: int, region: RegionName | None
    ) -> Share:
        """Returns the share of this daemon in the requests to an endpoint."""
        weights = {name: self._weigh(own, region) for name, own in self._regions.items()}
        total = sum(weights.values())
        whole = {name: limit * weight // total for name, weight in weights.items()}
        ranked = sorted(
            weights,
            key=lambda name: (
                -(limit * weights[name] % total),
                blake2b(f"{endpoint_id}\0{name}".encode()).digest(),
            ),
        )
        favoured = set(ranked[: limit - sum(whole.values())])
        without = sum(not whole[name] and name not in favoured for name in weights)
        return Share(whole.get(self._own, 0) + (self._own in favoured), without)

    @staticmethod
    def _weigh(own: RegionName | None, region: RegionName | None) -> int:
        """Returns the weight of a carrier by its own region in shares of an endpoint's region."""
        return OWN_REGION_WEIGHT if region is not None and own == region else 1


class RetryBudgetShare:
    """This daemon's share of the retry budget of a service, over a sliding window."""

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Counts a caller's request for the service."""
        self._expire(now_s)
        self._requests.append(now_s)

    def can_spend(self, now_s: float, slack_fraction: float, part: float = 1.0) -> bool:
        """Returns whether a part of this daemon's share covers one more retry.

        The share covers the retries of the daemon's own requests and a fraction of the slack.
        """
        self._expire(now_s)
        slack = self.limits.retry_slack * slack_fraction
        allowed = SAFETY_FRACTION * (self.limits.retry_ratio * len(self._requests) + slack)
        return len(self._retries) + 1 <= part * allowed

    def try_spend(self, now_s: float, slack_fraction: float) -> bool:
        """Counts a retry if the share covers it; returns whether it does."""
        if not self.can_spend(now_s, slack_fraction):
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        """Removes requests and retries that are older than the window."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self.limits.window_s:
                times.popleft()


class ColdStartLimiter:
    """This daemon's share of the requests that a cold endpoint may get per second."""

    def __init__(
        self,
        limits: BudgetLimits,
        carriers: Carriers,
        starts_s: Mapping[EndpointId, Iterable[float]] = MappingProxyType({}),
    ) -> None:
        self.limits = limits
        self._carriers = carriers
        self._starts = {name: deque(times_s) for name, times_s in starts_s.items()}

    @property
    def starts_s(self) -> dict[EndpointId, tuple[float, ...]]:
        """The times of the counted requests by endpoint, in seconds."""
        return {name: tuple(times_s) for name, times_s in self._starts.items()}

    def try_start(self, endpoint_id: EndpointId, cold_per_s: float, now_s: float) -> bool:
        """Counts a request to a cold endpoint if the share covers it; returns whether it does.

        `cold_per_s` is the rate per second that the configuration of the service sets.
        """
        limit = int(SAFETY_FRACTION * (cold_per_s * self.limits.cold_over + self.limits.cold_slack))
        share = self._carriers.count_share(endpoint_id, limit, now_s)
        starts = self._starts.setdefault(endpoint_id, deque())
        while starts and starts[0] <= now_s - COLD_WINDOW_S:
            starts.popleft()
        if len(starts) >= share:
            return False
        starts.append(now_s)
        return True

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the count of an endpoint that no longer exists."""
        self._starts.pop(endpoint_id, None)
        self._carriers.forget_endpoint(endpoint_id)
