"""How long a request's caller has waited already, from the time that it still grants.

Answers the load of callers that return after a refusal: each of them has less time left than it
had at first, and its answer target may have passed before it is back.
"""

from __future__ import annotations

from lycheepin.steering.routes import Route

__all__ = ["CallerRetries"]

# Time in seconds after which the longest time left that a route's callers granted is forgotten.
MEMORY_S = 10.0
# Parts of the longest time that the first tries of a route grant: usually, and at the least.
# Callers of the users' platform grant 0.85 to 1 of it.
USUAL_PART = 0.92
LEAST_PART = 0.8


class CallerRetries:
    """The longest time that the callers of each route grant, as seen lately."""

    def __init__(self) -> None:
        self._longest: dict[str, tuple[float, float]] = {}

    def estimate_waited_s(self, route: Route, left_s: float, now_s: float) -> float:
        """Returns for how long a caller has waited before this try, in seconds; 0 for a first try.

        Callers of one route grant about the same time, so a try that has far less comes later.
        """
        longest_s, seen_s = self._longest.get(route.name, (0.0, now_s))
        if now_s - seen_s > MEMORY_S:
            longest_s = 0.0
        if left_s >= LEAST_PART * longest_s:
            self._longest[route.name] = (max(left_s, longest_s), now_s)
            return 0.0
        return USUAL_PART * longest_s - left_s
