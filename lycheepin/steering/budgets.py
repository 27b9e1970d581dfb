"""Budgets that all daemons share: second attempts, and starts at cold endpoints.

Each daemon spends only its own part, so no sum over the daemons is ever too large, whoever can
reach whom. Answers the load of retry storms and of endpoints that come back cold.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lycheepin.names import DaemonName, EndpointId

__all__ = ["BudgetLimits", "ColdGate", "RetryBudgetShare"]

# Part of a shared bound that is spent: the rest covers clocks that differ and daemons that
# restart inside the window and forget what they have spent.
SAFE_PART = 0.8
# Seconds over which starts at a cold endpoint are counted; longer than the one second that is
# promised, since the way there may stretch and squeeze the gaps.
COLD_WINDOW_S = 1.3


@dataclass(frozen=True)
class BudgetLimits:
    """The bounds of the deployment. Slack is in requests, the window in seconds."""

    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    window_s: float = 10.0
    cold_over: float = 1.0
    cold_slack: float = 0.0


class RetryBudgetShare:
    """This daemon's part of the second attempts that a service may get in a window."""

    def __init__(self, terms: BudgetLimits) -> None:
        self.limits = terms
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Counts a caller's request for the service."""
        self._requests.append(now_s)

    def can_spend(self, now_s: float, daemons: int) -> bool:
        """Returns whether a second attempt fits the part of one of `daemons`."""
        self._expire(now_s)
        slack = self.limits.retry_slack / max(1, daemons)
        allowed = SAFE_PART * (self.limits.retry_ratio * len(self._requests) + slack)
        return len(self._retries) + 1 <= allowed

    def try_spend(self, now_s: float, daemons: int) -> bool:
        """Counts a second attempt if it fits the part of one of `daemons`; returns whether."""
        if not self.can_spend(now_s, daemons):
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        """Forgets what lies before the window."""
        for events in (self._requests, self._retries):
            while events and events[0] <= now_s - self.limits.window_s:
                events.popleft()


class ColdGate:
    """This daemon's part of the requests that a cold endpoint may get in a second."""

    def __init__(self, terms: BudgetLimits) -> None:
        self.limits = terms
        self._starts: dict[EndpointId, deque[float]] = {}

    def try_start(
        self,
        endpoint_id: EndpointId,
        cold_per_s: float,
        own: DaemonName,
        daemons: Sequence[DaemonName],
        now_s: float,
    ) -> bool:
        """Counts a start if it fits this daemon's part; returns whether it does."""
        limit = int(SAFE_PART * (cold_per_s * self.limits.cold_over + self.limits.cold_slack))
        part = _part_of(endpoint_id, own, daemons, limit)
        starts = self._starts.setdefault(endpoint_id, deque())
        while starts and starts[0] <= now_s - COLD_WINDOW_S:
            starts.popleft()
        if len(starts) >= part:
            return False
        starts.append(now_s)
        return True

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Drops the account of an endpoint that is gone."""
        self._starts.pop(endpoint_id, None)


def _part_of(
    endpoint_id: EndpointId, own: DaemonName, daemons: Sequence[DaemonName], limit: int
) -> int:
    """Returns how many of `limit` starts belong to `own`; the same answer at all daemons."""
    names = set(daemons) | {own}
    if limit >= len(names):
        return limit // len(names)
    ranked = sorted(names, key=lambda name: blake2b(f"{endpoint_id}\0{name}".encode()).digest())
    return 1 if own in ranked[:limit] else 0
