"""Choice of an endpoint from what this daemon has seen itself.

Reports of endpoints lag or mislead, and all slots of an endpoint are held by one daemon, so own
observations come first: slots in use, recent answer times relative to the class, sheds and
failed connections.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepin.names import Resource

__all__ = ["EndpointSelector", "Observation", "ExchangeResult"]

LATENCY_WEIGHT = 0.2
CLASS_WEIGHT = 0.02
FORGET_S = 5.0
SLOW_START_S = 4.0
SLOW_START_SLOTS = 1
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
NEUTRAL = 1.0


class ExchangeResult(Enum):
    """How one attempt at an endpoint ended, as far as choice is concerned."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass
class Observation:
    """What has been seen of one endpoint.

    `relative` is the moving average of answer time divided by the average of the class.
    """

    first_seen_s: float
    relative: float = NEUTRAL
    sampled_s: float = 0.0
    backoff_s: float = 0.0
    closed_until_s: float = 0.0
    warm: bool = False


class EndpointSelector:
    """Observations of the endpoints whose tokens this daemon holds."""

    def __init__(self) -> None:
        self._seen: dict[Resource, Observation] = {}
        self._class_means: dict[str, float] = {}
        self._started = False

    def update(self, present: Iterable[Resource], now_s: float) -> None:
        """Forgets endpoints that are gone; later new ones start slowly."""
        present = set(present)
        for resource in self._seen.keys() - present:
            del self._seen[resource]
        for resource in present - self._seen.keys():
            self._seen[resource] = Observation(now_s, warm=not self._started)
        self._started = self._started or bool(present)

    def choose_endpoint(
        self, free: dict[Resource, int], used: dict[Resource, int], now_s: float
    ) -> Resource | None:
        """Returns the best endpoint with a free token, or None.

        `free` and `used` count tokens by endpoint. Lower expected answer time goes first, then
        the endpoint with the larger part of its tokens free.
        """
        best: Resource | None = None
        best_score = float("inf")
        for resource, count in free.items():
            if count < 1 or not self._is_open(resource, used.get(resource, 0), now_s):
                continue
            score = self._score(resource, count, used.get(resource, 0), now_s)
            if score < best_score:
                best, best_score = resource, score
        return best

    def _is_open(self, resource: Resource, used: int, now_s: float) -> bool:
        """Returns whether the endpoint may get one more request now."""
        seen = self._seen.get(resource)
        if seen is None:
            return False
        if now_s < seen.closed_until_s:
            return False
        if seen.warm:
            return True
        age_s = now_s - seen.first_seen_s
        if age_s >= SLOW_START_S:
            seen.warm = True
            return True
        return used < SLOW_START_SLOTS + int(age_s)

    def _score(self, resource: Resource, free: int, used: int, now_s: float) -> float:
        """Returns the expected relative answer time, with a small part for occupancy."""
        return self._relative(resource, now_s) * (1.0 + used / (used + free))

    def _relative(self, resource: Resource, now_s: float) -> float:
        """Returns the relative answer time; what was seen long ago counts less."""
        seen = self._seen[resource]
        trust = max(0.0, 1.0 - (now_s - seen.sampled_s) / FORGET_S)
        return NEUTRAL + (seen.relative - NEUTRAL) * trust

    def expected_at(self, resource: Resource, work: str, now_s: float) -> float:
        """Returns the expected answer time of a class at an endpoint in seconds."""
        if resource not in self._seen:
            return self.expected_s(work)
        return self._relative(resource, now_s) * self.expected_s(work)

    def observe(
        self, resource: Resource, work: str, result: ExchangeResult, elapsed_s: float, now_s: float
    ) -> None:
        """Takes one ended attempt into account."""
        seen = self._seen.get(resource)
        if seen is None or result is ExchangeResult.CANCELLED:
            return
        if result is ExchangeResult.ANSWERED:
            mean = self._update_mean(work, elapsed_s)
            sample = elapsed_s / mean
            seen.relative += LATENCY_WEIGHT * (sample - seen.relative)
            seen.sampled_s = now_s
            seen.backoff_s = 0.0
            return
        seen.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, seen.backoff_s * 2))
        seen.closed_until_s = now_s + seen.backoff_s

    def _update_mean(self, work: str, elapsed_s: float) -> float:
        """Returns the average answer time of a class after one more sample."""
        mean = self._class_means.get(work, elapsed_s)
        mean += CLASS_WEIGHT * (elapsed_s - mean)
        self._class_means[work] = max(mean, 1e-6)
        return self._class_means[work]

    def expected_s(self, work: str) -> float:
        """Returns the average answer time of a class in seconds; 0.0 before the first answer."""
        return self._class_means.get(work, 0.0)
