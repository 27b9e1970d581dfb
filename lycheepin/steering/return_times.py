"""Times at which refused callers are asked to come back, so that they don't come as a wave.

Load addressed: a burst, in which full endpoints refuse within a moment what they could process in
seconds. Each refusal takes the next place in the room that comes at its endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from lycheepin.names import EndpointId

__all__ = ["MAX_RETRY_AFTER_S", "MIN_RETRY_AFTER_S", "ReturnTimes", "spread_retry"]

# Bounds in seconds of the time after which a refused caller is asked to retry.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 1.3
# Largest deviation from the computed retry time, as a fraction, that spreads caller retries.
RETRY_JITTER = 0.3


def spread_retry(wait_s: float, jitter: float) -> float:
    """Returns the time to a caller's retry in seconds, spread and within its bounds."""
    spread_s = wait_s * (1 + RETRY_JITTER * (2 * jitter - 1))
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread_s))


class ReturnTimes:
    """The next places in the room that comes at the endpoints; times are monotonic seconds."""

    def __init__(
        self, places_s: Mapping[EndpointId, Mapping[int, float]] = MappingProxyType({})
    ) -> None:
        self._next_s = {name: dict(next_s) for name, next_s in places_s.items()}

    @property
    def places_s(self) -> dict[EndpointId, dict[int, float]]:
        """The time of the next place by endpoint and priority."""
        return {name: dict(next_s) for name, next_s in self._next_s.items()}

    def book(
        self,
        endpoint_id: EndpointId,
        priority: int,
        wait_s: float,
        interval_s: float,
        jitter: float,
        now_s: float,
    ) -> float:
        """Returns the seconds until a caller's retry, and takes that place.

        Room comes after `wait_s`, and for one caller of this daemon every `interval_s` seconds.
        When all places up to the longest time are taken, callers are spread over the whole time.
        """
        longest_first_s = (1 - RETRY_JITTER) * MAX_RETRY_AFTER_S
        first_s = max(MIN_RETRY_AFTER_S, min(longest_first_s, wait_s))
        next_s = self._next_s.setdefault(endpoint_id, {})
        place_s = max(now_s + first_s, next_s.get(priority, 0.0))
        if place_s > now_s + MAX_RETRY_AFTER_S:
            return first_s + jitter * (MAX_RETRY_AFTER_S - first_s)
        next_s[priority] = place_s + interval_s
        return place_s - now_s

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the places at an endpoint that no longer exists."""
        self._next_s.pop(endpoint_id, None)
