"""Longest rest after which a connection to a service's endpoints is used again.

Load addressed: endpoints, or equipment before them, that forget connections which have rested for a
while, without closing them. A request that is sent on such a connection breaks, and a protected one
can't be repeated, although it has probably not run. With hundreds of endpoints nearly every
connection has rested, so the first break has to count for all endpoints of a service.
"""

from __future__ import annotations

import math

from lycheepin.names import ServiceName

__all__ = ["IdleConnectionLimits"]

# Time in seconds for which a break is remembered.
MEMORY_S = 6.0
# Fraction of the rest before a break that is still allowed.
ALLOWED_FRACTION = 0.5
# Longest time in seconds from sending a request to a break that is attributed to the rest: the
# round trip to an endpoint in another region, several times over.
MAX_BREAK_DELAY_S = 0.3
# Shortest rest in seconds that a break is attributed to.
MIN_REST_S = 0.02


class IdleConnectionLimits:
    """The breaks of connections after a rest, by service; times are monotonic seconds.

    Breaks of new connections show that resting is not the cause: while they are remembered, the
    rest is not limited.
    """

    def __init__(self) -> None:
        self._limits: dict[ServiceName, tuple[float, float]] = {}
        self._unlimited_until_s: dict[ServiceName, float] = {}

    def observe_break(
        self, service: ServiceName, rested_s: float, elapsed_s: float, now_s: float
    ) -> None:
        """Records that a connection broke `elapsed_s` after it was used, without any answer.

        Ignored if the break came too late or the rest was too short to be its cause.
        """
        if elapsed_s > MAX_BREAK_DELAY_S:
            return
        if rested_s < MIN_REST_S:
            self._unlimited_until_s[service] = now_s + MEMORY_S
            return
        limit_s = min(self.max_rest_s(service, now_s), ALLOWED_FRACTION * rested_s)
        self._limits[service] = (limit_s, now_s + MEMORY_S)

    def max_rest_s(self, service: ServiceName, now_s: float) -> float:
        """Returns the longest rest after which a connection may be used; infinite by default."""
        if now_s < self._unlimited_until_s.get(service, 0.0):
            return math.inf
        limit_s, until_s = self._limits.get(service, (math.inf, 0.0))
        return limit_s if now_s < until_s else math.inf
