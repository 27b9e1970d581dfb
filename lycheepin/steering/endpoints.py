"""Selection of an endpoint by this daemon's own observations.

All slots of an endpoint are held by one daemon, and load reports of endpoints may be late or
wrong, so endpoints are compared by own observations: slots in use, recent answer times relative
to the mean of their work class, shed requests and failed connections.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepin.names import Resource

__all__ = ["EndpointSelector", "EndpointStats", "ExchangeResult"]

# Weights of the newest sample in an endpoint's relative latency and in a work class's mean.
LATENCY_WEIGHT = 0.2
CLASS_WEIGHT = 0.02
# Time in seconds without samples in which an endpoint's relative latency decays to NEUTRAL.
LATENCY_MEMORY_S = 5.0
# A new endpoint starts with SLOW_START_SLOTS slots and gets one more each second; SLOW_START_S
# seconds after it was added, all its slots are used.
SLOW_START_S = 4.0
SLOW_START_SLOTS = 1
# Time in seconds without new requests after a failed or shed one; doubled with each further one up
# to the maximum.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# Relative latency of an endpoint without recent samples.
NEUTRAL = 1.0


class ExchangeResult(Enum):
    """How one attempt at an endpoint ended, for the statistics of the endpoint."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass
class EndpointStats:
    """Observations of one endpoint; times are monotonic seconds.

    `relative_latency` is the moving average of answer times, each divided by the mean of its
    work class. `closed_until_s` is when the backoff after a failed or shed request ends.
    `ramped_up` is true after the slow start.
    """

    first_seen_s: float
    relative_latency: float = NEUTRAL
    sampled_s: float = 0.0
    backoff_s: float = 0.0
    closed_until_s: float = 0.0
    ramped_up: bool = False


class EndpointSelector:
    """Statistics of the endpoints whose tokens this daemon holds."""

    def __init__(self) -> None:
        self._stats: dict[Resource, EndpointStats] = {}
        self._class_means: dict[str, float] = {}
        self._has_endpoints = False

    def update(self, present: Iterable[Resource], now_s: float) -> None:
        """Removes endpoints that are not in `present`, and adds new ones.

        Endpoints of the first non-empty call get all their slots at once; later ones start slowly.
        """
        present = set(present)
        for resource in self._stats.keys() - present:
            del self._stats[resource]
        for resource in present - self._stats.keys():
            self._stats[resource] = EndpointStats(now_s, ramped_up=not self._has_endpoints)
        self._has_endpoints = self._has_endpoints or bool(present)

    def choose_endpoint(
        self, free: dict[Resource, int], used: dict[Resource, int], now_s: float
    ) -> Resource | None:
        """Returns the best endpoint with a free token, or None.

        `free` and `used` are numbers of tokens by endpoint. The best one has the lowest
        relative latency, weighted by the fraction of its tokens in use.
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
        """Returns whether the endpoint may get one more request by its backoff and slow start."""
        stats = self._stats.get(resource)
        if stats is None:
            return False
        if now_s < stats.closed_until_s:
            return False
        if stats.ramped_up:
            return True
        age_s = now_s - stats.first_seen_s
        if age_s >= SLOW_START_S:
            stats.ramped_up = True
            return True
        return used < SLOW_START_SLOTS + int(age_s)

    def _score(self, resource: Resource, free: int, used: int, now_s: float) -> float:
        """Returns the relative latency, weighted by tokens in use; lower is better."""
        return self._relative_latency(resource, now_s) * (1.0 + used / (used + free))

    def _relative_latency(self, resource: Resource, now_s: float) -> float:
        """Returns the relative latency, which decays to NEUTRAL with the age of its last sample."""
        stats = self._stats[resource]
        freshness = max(0.0, 1.0 - (now_s - stats.sampled_s) / LATENCY_MEMORY_S)
        return NEUTRAL + (stats.relative_latency - NEUTRAL) * freshness

    def expected_answer_s(self, resource: Resource, work_class_key: str, now_s: float) -> float:
        """Returns the expected answer time of a work class at an endpoint, in seconds."""
        if resource not in self._stats:
            return self.mean_answer_s(work_class_key)
        return self._relative_latency(resource, now_s) * self.mean_answer_s(work_class_key)

    def record_result(
        self,
        resource: Resource,
        work_class_key: str,
        result: ExchangeResult,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Updates the statistics with the end of an attempt; cancelled ones are ignored."""
        stats = self._stats.get(resource)
        if stats is None or result is ExchangeResult.CANCELLED:
            return
        if result is ExchangeResult.ANSWERED:
            mean = self._update_mean(work_class_key, elapsed_s)
            sample = elapsed_s / mean
            stats.relative_latency += LATENCY_WEIGHT * (sample - stats.relative_latency)
            stats.sampled_s = now_s
            stats.backoff_s = 0.0
            return
        stats.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, stats.backoff_s * 2))
        stats.closed_until_s = now_s + stats.backoff_s

    def _update_mean(self, work_class_key: str, elapsed_s: float) -> float:
        """Adds a sample to the mean answer time of a work class; returns the new mean."""
        mean = self._class_means.get(work_class_key, elapsed_s)
        mean += CLASS_WEIGHT * (elapsed_s - mean)
        self._class_means[work_class_key] = max(mean, 1e-6)
        return self._class_means[work_class_key]

    def mean_answer_s(self, work_class_key: str) -> float:
        """Returns the mean answer time of a work class in seconds; 0.0 before the first answer."""
        return self._class_means.get(work_class_key, 0.0)
