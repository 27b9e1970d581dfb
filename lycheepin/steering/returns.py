"""Detection of caller retries by the time that a caller still grants.

A caller that retries after a refusal has less time left than with its first request, and its
answer target may have passed already. Requests don't say whether they are retries, so the time
that the caller has waited is estimated.
"""

from __future__ import annotations

from collections import OrderedDict

from lycheepin.names import WorkspaceName
from lycheepin.steering.routes import Route

__all__ = ["CallerRetries"]

# Time in seconds for which the longest time left of a route's requests is remembered.
MEMORY_S = 10.0
# Number of pairs of a route and a workspace that are remembered.
MAX_REMEMBERED = 4096
# Time left of first requests as a fraction of the longest one: typical value and lower bound.
# Callers of the users' platform grant 0.85 to 1 of it.
TYPICAL_FRACTION = 0.92
MIN_FRACTION = 0.8


class CallerRetries:
    """The longest time that the callers of each route have granted recently, by workspace."""

    def __init__(self) -> None:
        self._longest: OrderedDict[tuple[str, WorkspaceName | None], tuple[float, float]] = (
            OrderedDict()
        )

    def estimate_waited_s(
        self, route: Route, left_s: float, now_s: float, workspace: WorkspaceName | None = None
    ) -> float:
        """Returns how long a caller has waited before this request, in seconds; 0 if it is first.

        Callers of one route and workspace grant similar times, so much less time left means a
        caller retry.
        """
        key = (route.name, workspace)
        longest_s, seen_s = self._longest.get(key, (0.0, now_s))
        if now_s - seen_s > MEMORY_S:
            longest_s = 0.0
        if left_s >= MIN_FRACTION * longest_s:
            self._longest[key] = (max(left_s, longest_s), now_s)
            self._longest.move_to_end(key)
            if len(self._longest) > MAX_REMEMBERED:
                self._longest.popitem(last=False)
            return 0.0
        return TYPICAL_FRACTION * longest_s - left_s
