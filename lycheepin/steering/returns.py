"""Detection of caller retries by the time that a caller still grants.

A caller that retries after a refusal has less time left than with its first request, and its
answer target may have passed already. Requests don't say whether they are retries, so the time
that the caller has waited is estimated.
"""

from __future__ import annotations

from lycheepin.steering.routes import Route

__all__ = ["CallerRetries"]

# Time in seconds for which the longest time left of a route's requests is remembered.
MEMORY_S = 10.0
# Time left of first requests as a fraction of the longest one: typical value and lower bound.
# Callers of the users' platform grant 0.85 to 1 of it.
TYPICAL_FRACTION = 0.92
MIN_FRACTION = 0.8


class CallerRetries:
    """The longest time that the callers of each route have granted recently."""

    def __init__(self) -> None:
        self._longest: dict[str, tuple[float, float]] = {}

    def estimate_waited_s(self, route: Route, left_s: float, now_s: float) -> float:
        """Returns how long a caller has waited before this request, in seconds; 0 if it is first.

        Callers of one route grant similar times, so much less time left means a caller retry.
        """
        longest_s, seen_s = self._longest.get(route.name, (0.0, now_s))
        if now_s - seen_s > MEMORY_S:
            longest_s = 0.0
        if left_s >= MIN_FRACTION * longest_s:
            self._longest[route.name] = (max(left_s, longest_s), now_s)
            return 0.0
        return TYPICAL_FRACTION * longest_s - left_s
