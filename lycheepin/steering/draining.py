"""Which requests a daemon that drains still passes on.

Load addressed: callers that reach a daemon late in a planned stop, since they have cached its
address or are still sending their request. A request that could not be answered before the process
ends is refused unsent, so that its caller goes to another daemon.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DrainSchedule"]

# Part of the grace period, in seconds, that is reserved for the process to exit, and the part
# before it in which endpoints no longer work on requests that were passed on while draining.
EXIT_MARGIN_S = 0.5
ANSWER_MARGIN_S = 0.2
# Multiple of a service's mean processing time that has to be left for a request.
PROCESSING_FACTOR = 3.0


@dataclass(frozen=True)
class DrainSchedule:
    """The times of a drain in monotonic seconds: end of new connections, and of the process."""

    listens_until_s: float
    ends_s: float

    @classmethod
    def from_grace(cls, started_s: float, grace_s: float, cached_s: float) -> DrainSchedule:
        """Returns the schedule of a drain.

        `grace_s` is the time after which the process is killed, `cached_s` the longest time for
        which callers use the address of a daemon that look-ups no longer return.
        """
        ends_s = started_s + max(0.0, grace_s - EXIT_MARGIN_S)
        return cls(started_s + min(cached_s, grace_s / 2), ends_s)

    @property
    def answers_until_s(self) -> float:
        """The latest deadline of requests that are passed on while draining."""
        return self.ends_s - ANSWER_MARGIN_S

    def allows_attempt(self, now_s: float, deadline_s: float, processing_s: float) -> bool:
        """Returns whether a request may be passed on now.

        While the daemon listens, the expected processing time has to be left; later, when few
        requests arrive, the request's whole time.
        """
        if now_s < self.listens_until_s:
            return now_s + PROCESSING_FACTOR * processing_s <= self.answers_until_s
        return deadline_s <= self.answers_until_s
