"""Contact with the store: whether an endpoint that is missing from it has left.

An endpoint writes to its entry once in a heartbeat interval, and the entry expires after three
intervals of silence. So entries of endpoints that run expire only where the store was away for at
least one whole interval; a call that failed in between proves nothing.
"""

from __future__ import annotations

from collections import deque
from math import inf

__all__ = ["DEFAULT_HEARTBEAT_S", "StoreContact"]

# Heartbeat interval of endpoints in seconds, where the settings name none.
DEFAULT_HEARTBEAT_S = 1.5
# Heartbeat intervals of silence after which an entry expires.
EXPIRY_INTERVALS = 3
# Time in seconds after an outage of the store within which expired entries are listed again: 2 s
# for endpoints to register, 0.3 s for the update to reach this daemon.
REREGISTRATION_S = 2.3


class StoreContact:
    """The recent outages of the store, as far as this daemon knows, and which removals it believes.

    An outage lasts from the last sign of the store to the next one, direct or through another
    daemon. Times are monotonic seconds.
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self.heartbeat_s = heartbeat_s
        self._away_since_s: float | None = None
        self._outages: deque[tuple[float, float]] = deque()
        self._doubtful_until_s = -inf
        self._restored_until_s = -inf

    @property
    def is_away(self) -> bool:
        """Whether the store has not answered since a call failed."""
        return self._away_since_s is not None

    def observe_failure(self, since_s: float) -> None:
        """Records that the store has shown no sign of life since a time, when a call failed."""
        if self._away_since_s is None:
            self._away_since_s = since_s

    def observe_answer(
        self, now_s: float, age_s: float = 0.0, relayed: bool = False
    ) -> float | None:
        """Records that the store answered `age_s` seconds ago, to another daemon if `relayed`.

        Returns the length in seconds of the outage that this ends, None if it ends none: an answer
        from before a failure is no sign that the store is back. Where it answers others all the
        time it was not away, though it turns this daemon's calls away.
        """
        answered_at_s = now_s - age_s
        if self._away_since_s is None or answered_at_s < self._away_since_s:
            return None
        outage_s = answered_at_s - self._away_since_s
        self._away_since_s = None
        if relayed and outage_s < self.heartbeat_s:
            return outage_s
        self._outages.append((answered_at_s, outage_s))
        while self._outages[0][0] < answered_at_s - EXPIRY_INTERVALS * self.heartbeat_s:
            self._outages.popleft()
        if sum(length_s for _, length_s in self._outages) >= self.heartbeat_s:
            self._doubtful_until_s = now_s + REREGISTRATION_S
        return outage_s

    def observe_restored_store(self, now_s: float) -> None:
        """Records that the store has come back from a copy, which may lack what it had before."""
        self._doubtful_until_s = self._restored_until_s = now_s + REREGISTRATION_S

    def may_lack_entries(self, now_s: float) -> bool:
        """Returns whether the store may lack entries that were lost with a copy."""
        return now_s < self._restored_until_s

    def believes_removals(self, now_s: float) -> bool:
        """Returns whether an endpoint that is missing from the store has left."""
        return not self.is_away and now_s >= self._doubtful_until_s
