"""Decides who may fill endpoints while there is too little room, and who is refused.

Load addressed: a workspace that sends ten times its usual, a lower priority that floods a service,
all workspaces at several times their usual, and endpoints that go within a second. Each daemon
decides from the requests that it has seen itself, without messages.

Requests compete where the room is: for the endpoints of one service in one region. What these took
in the last seconds is shared by the workspaces by weight; what one doesn't use, the others may. In
a workspace's share its higher priorities come first. A request beyond the share may fill endpoints
less far, the more of those within shares find no room; so may a lower priority while a higher one
lacks room. While next to nothing is refused, nobody is held back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf, isfinite
from typing import NamedTuple

from lycheepin.names import RegionName, ServiceName, WorkspaceName
from lycheepin.steering.choices import AttemptRequirements, Claim, RefusalRule
from lycheepin.steering.workspaces import Workspace

__all__ = ["Contention", "ContentionRecord", "find_level"]

# Length in seconds of the window in which requests are counted, and time between two computations
# of shares.
WINDOW_S = 4.0
INTERVAL_S = 0.25
# Number of requests in a window below which nothing can be said about shares.
MIN_REQUESTS = 12
# Fraction of the requests that is refused for lack of room, below which nobody is held.
MIN_REFUSED_FRACTION = 0.05
# Part of what is served of all requests that is served of each workspace, whatever its share. The
# users' bound is a quarter; daemons see a part of a workspace's requests each.
MIN_SERVED_RATIO = 0.5
# Growth of the room that is kept for workspaces within their shares, with the fraction of their
# requests that lack it.
SHARE_GAIN = 3.0
# The same for a higher priority, of whose requests a fraction may be refused without: endpoints
# are chosen by estimates of their load.
PRIORITY_GAIN = 5.0
TOLERATED_LACK = 0.2
# Fraction of its requests by which a lower priority may be served more often than a higher one,
# and the growth of the room that is kept beyond.
ORDER_MARGIN = 0.02
ORDER_GAIN = 10.0

# Endpoints of one service in one region.
_Group = tuple[ServiceName, RegionName]


def find_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Returns the share by weight at which pairs of demand and weight use a capacity up.

    Those that demand less than their share leave the rest to the others; inf if all get what they
    demand.
    """
    ordered = sorted((demand / weight, demand, weight) for demand, weight in demands)
    weights = sum(weight for _, _, weight in ordered)
    for ratio, demand, weight in ordered:
        if ratio * weights > capacity:
            return max(0.0, capacity / weights)
        capacity -= demand
        weights -= weight
    return inf


@dataclass(slots=True)
class _Count:
    """Requests in the window: all, those sent, and those within shares that found no room."""

    demand: int = 0
    sent: int = 0
    unplaced: int = 0

    @property
    def served(self) -> float:
        """The fraction that was sent."""
        return self.sent / self.demand if self.demand else 1.0

    @property
    def lack(self) -> float:
        """The fraction of those within shares that found no room."""
        return self.unplaced / (self.sent + self.unplaced) if self.unplaced else 0.0

    def add(self, request: _Counted, sign: int) -> None:
        """Adds a request, or takes it away."""
        self.demand += sign
        self.sent += sign * request.is_sent
        self.unplaced += sign * request.is_unplaced


@dataclass(slots=True)
class _WorkspaceCount(_Count):
    """Requests of a workspace in the window, with those sent by priority."""

    rate_per_s: float = 0.0
    sent_by_priority: dict[int, int] = field(default_factory=dict)

    def count_used(self, priority: int) -> int:
        """Returns what was sent of a priority and of higher ones, which come first."""
        return sum(sent for p, sent in self.sent_by_priority.items() if p <= priority)


class _Counted(NamedTuple):
    """A request that was counted; `workspace` is None for a caller without one."""

    time_s: float
    workspace: WorkspaceName | None
    priority: int
    is_sent: bool
    is_unplaced: bool


class _Counts:
    """The requests in the window by workspace and by priority."""

    def __init__(self) -> None:
        self.workspaces: dict[WorkspaceName | None, _WorkspaceCount] = {}
        self.priorities: dict[int, _Count] = {}
        self.total = _Count()
        self.requests: deque[_Counted] = deque()

    def add(self, request: _Counted, rate_per_s: float) -> None:
        """Adds a request of a workspace with this quota."""
        self.requests.append(request)
        if request.workspace not in self.workspaces:
            self.workspaces[request.workspace] = _WorkspaceCount()
        if request.priority not in self.priorities:
            self.priorities[request.priority] = _Count()
        self.workspaces[request.workspace].rate_per_s = rate_per_s
        self._change(request, 1)

    def drop_until(self, time_s: float) -> None:
        """Drops the requests that were counted at a time or before."""
        while self.requests and self.requests[0].time_s <= time_s:
            request = self.requests.popleft()
            self._change(request, -1)
            if not self.workspaces[request.workspace].demand:
                del self.workspaces[request.workspace]
            if not self.priorities[request.priority].demand:
                del self.priorities[request.priority]

    def _change(self, request: _Counted, sign: int) -> None:
        """Adds a request to what it counts for, or takes it away."""
        workspace = self.workspaces[request.workspace]
        workspace.add(request, sign)
        self.priorities[request.priority].add(request, sign)
        self.total.add(request, sign)
        if request.is_sent:
            sent = workspace.sent_by_priority
            sent[request.priority] = sent.get(request.priority, 0) + sign


@dataclass(frozen=True)
class _Shares:
    """What the requests of a window lead to.

    `level` is the share for one unit of weight in requests, `usual_weight` that of workspaces
    without a quota, and `served` the fraction of all requests that is sent. `kept` is the part of
    the waiting room that is kept for workspaces within their shares, and `kept_by_priority` what
    is kept from lower priorities that are served more often than higher ones.
    """

    level: float = inf
    usual_weight: float = 1.0
    served: float = 1.0
    kept: float = 0.0
    kept_by_priority: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_counts(cls, counts: _Counts) -> _Shares:
        """Returns the shares that follow from the requests of a window."""
        total = counts.total
        if total.demand < MIN_REQUESTS or 1 - total.served < MIN_REFUSED_FRACTION:
            return cls()
        rates = [count.rate_per_s for count in counts.workspaces.values() if count.rate_per_s]
        usual_weight = sum(rates) / len(rates) if rates else 1.0
        demands = [
            (float(count.demand), count.rate_per_s or usual_weight)
            for count in counts.workspaces.values()
        ]
        has_workspaces = any(name is not None for name in counts.workspaces)
        return cls(
            find_level(demands, float(total.sent)) if has_workspaces else inf,
            usual_weight,
            total.served,
            min(1.0, SHARE_GAIN * total.lack),
            _find_kept_by_priority(counts.priorities, has_workspaces),
        )


def _find_kept_by_priority(
    priorities: Mapping[int, _Count], has_workspaces: bool
) -> dict[int, float]:
    """Returns the room that is kept from lower priorities for higher ones that lack it.

    Without workspaces, it is kept only from priorities that are served more often than higher ones.
    """
    kept: dict[int, float] = {}
    higher, least_served = _Count(), 1.0
    for priority in sorted(priorities):
        count = priorities[priority]
        part = ORDER_GAIN * (count.served - least_served - ORDER_MARGIN)
        if has_workspaces:
            part = max(part, PRIORITY_GAIN * (higher.lack - TOLERATED_LACK))
        if part > 0:
            kept[priority] = min(1.0, part)
        if count.demand >= MIN_REQUESTS:
            least_served = min(least_served, count.served)
        higher.sent, higher.unplaced = higher.sent + count.sent, higher.unplaced + count.unplaced
    return kept


@dataclass(frozen=True)
class ContentionRecord:
    """What is counted for one group of endpoints, as a value.

    `rates_per_s` are the quotas of the workspaces. The shares and the time of their computation
    are None where they are not limited, or were never computed.
    """

    service: ServiceName
    region: RegionName
    requests: tuple[_Counted, ...]
    rates_per_s: tuple[tuple[WorkspaceName | None, float], ...]
    level: float | None
    shares: _Shares
    shared_at_s: float | None


class _Window:
    """The requests for one group of endpoints in the last WINDOW_S seconds."""

    def __init__(self, record: ContentionRecord | None = None) -> None:
        self.counts = _Counts()
        self.shares = _Shares()
        self._shared_at_s = -inf
        if record is not None:
            rates_per_s = dict(record.rates_per_s)
            for request in record.requests:
                self.counts.add(request, rates_per_s.get(request.workspace, 0.0))
            level = inf if record.level is None else record.level
            self.shares = replace(record.shares, level=level)
            self._shared_at_s = -inf if record.shared_at_s is None else record.shared_at_s

    def build_record(self, group: _Group) -> ContentionRecord:
        """Returns what is counted for a group."""
        shares = self.shares
        return ContentionRecord(
            *group,
            tuple(self.counts.requests),
            tuple((name, count.rate_per_s) for name, count in self.counts.workspaces.items()),
            shares.level if isfinite(shares.level) else None,
            replace(shares, level=0.0, kept_by_priority=dict(shares.kept_by_priority)),
            self._shared_at_s if isfinite(self._shared_at_s) else None,
        )

    def advance(self, now_s: float) -> None:
        """Drops old requests; updates the shares where they are older than INTERVAL_S."""
        self.counts.drop_until(now_s - WINDOW_S)
        if now_s - self._shared_at_s >= INTERVAL_S:
            self.shares = _Shares.from_counts(self.counts)
            self._shared_at_s = now_s


class Contention:
    """The requests for each group of endpoints, and the claims that follow; times are monotonic.

    The memory is bounded by the number of requests in a window.
    """

    def __init__(self, records: Iterable[ContentionRecord] = ()) -> None:
        self._windows = {(each.service, each.region): _Window(each) for each in records}

    @property
    def records(self) -> tuple[ContentionRecord, ...]:
        """What is counted, by group."""
        return tuple(window.build_record(group) for group, window in self._windows.items())

    def find_claim(
        self, requirements: AttemptRequirements, region: RegionName, now_s: float
    ) -> Claim:
        """Returns what a request may take of an endpoint in a region."""
        window = self._windows.get((requirements.service, region))
        if window is None:
            return Claim(region)
        window.advance(now_s)
        shares = window.shares
        claim = Claim(region)
        if shares.level < inf:
            claim = self._find_share(requirements, window, region)
        kept = shares.kept_by_priority.get(requirements.priority, 0.0)
        if kept > claim.kept:
            return replace(claim, kept=kept, rule=RefusalRule.PRIORITY)
        return claim

    @staticmethod
    def _find_share(
        requirements: AttemptRequirements, window: _Window, region: RegionName
    ) -> Claim:
        """Returns the claim of a request by the share of its workspace."""
        shares, workspace = window.shares, requirements.workspace
        name = workspace.name if workspace is not None else None
        count = window.counts.workspaces.get(name)
        used = count.count_used(requirements.priority) if count is not None else 0
        demand = count.demand + 1 if count is not None else 1
        weight = _find_rate(workspace) or shares.usual_weight
        share = max(shares.level * weight, MIN_SERVED_RATIO * shares.served * demand)
        if used < share:
            return Claim(region, used, share)
        return Claim(region, used, share, shares.kept, RefusalRule.OVER_SHARE)

    def count_request(
        self,
        requirements: AttemptRequirements,
        region: RegionName,
        is_sent: bool,
        is_unplaced: bool,
        now_s: float,
    ) -> None:
        """Counts a request that is sent to a region's endpoints, or refused as they are full.

        `is_unplaced` is true for one within its share that found no room.
        """
        group = (requirements.service, region)
        window = self._windows.get(group)
        if window is None:
            window = self._windows[group] = _Window()
        window.advance(now_s)
        workspace = requirements.workspace
        name = workspace.name if workspace is not None else None
        request = _Counted(now_s, name, requirements.priority, is_sent, is_unplaced)
        window.counts.add(request, _find_rate(workspace))


def _find_rate(workspace: Workspace | None) -> float:
    """Returns the quota of a workspace in requests per second; 0 if it has none."""
    return workspace.rate_per_s if workspace is not None else 0.0
