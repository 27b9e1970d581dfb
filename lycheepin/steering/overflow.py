"""Decides when an attempt may overflow from its object's preferred endpoints to another one.

Load addressed: uneven endpoints, of which single ones fill up for parts of a second while most of
their service is idle. An endpoint that doesn't know the object takes several times as long and may
drop another object from its cache, so only a part of the requests overflows, to endpoints with
many free slots, and nothing while a service is short of room: an overflow would then take more
room than it saves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from lycheepin.names import ServiceName
from lycheepin.steering.endpoint import Endpoint

__all__ = ["Overflow", "choose_spare", "may_wait"]

# Length in seconds of the window in which attempts are counted, and of the bins it consists of.
WINDOW_S = 2.0
BIN_S = 0.25
# Largest part of the attempts in a window that overflows.
MAX_PART = 0.25
# Part of the attempts in a window that is refused, above which nothing overflows.
MAX_REFUSED_PART = 0.1
# Part of an endpoint's slots up to which it takes an overflow.
SPARE_FRACTION = 0.5
# Requests at an endpoint for each slot, up to which late attempts may wait there, and how often the
# expected time to their answer has to be left to the deadline.
MAX_QUEUE = 2.0
LATE_MARGIN = 1.5


def choose_spare(endpoints: Iterable[Endpoint], now_s: float) -> tuple[Endpoint, int] | None:
    """Returns the first endpoint with many free slots and its index, or None.

    Only endpoints that report how slow their machines are take an overflow.
    """
    for rank, endpoint in enumerate(endpoints):
        spare = SPARE_FRACTION * endpoint.record.slots
        if endpoint.reports_slowness and endpoint.load(now_s) + 1 <= spare:
            return endpoint, rank
    return None


def may_wait(
    preferred: Sequence[Endpoint],
    deadline_s: float,
    predict_answer_s: Callable[[Endpoint, float], float],
    now_s: float,
) -> bool:
    """Returns whether a late answer is expected well before the deadline."""
    return any(
        endpoint.reports_slowness
        and endpoint.load(now_s) + 1 <= MAX_QUEUE * endpoint.record.slots
        and now_s + LATE_MARGIN * predict_answer_s(endpoint, now_s) <= deadline_s
        for endpoint in preferred[:2]
    )


@dataclass
class _Bin:
    """The attempts of a fraction of a second."""

    number: int
    attempts: int = 0
    overflowed: int = 0
    refused: int = 0


class Overflow:
    """The attempts of this daemon by service; times are monotonic seconds."""

    def __init__(self) -> None:
        self._bins: dict[ServiceName, deque[_Bin]] = {}

    def allows(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether one more attempt may overflow."""
        bins = self._advance(service, now_s)
        attempts = 1 + sum(each.attempts for each in bins)
        overflowed = 1 + sum(each.overflowed for each in bins)
        refused = sum(each.refused for each in bins)
        return overflowed <= 1 + MAX_PART * attempts and refused <= MAX_REFUSED_PART * attempts

    def count_attempt(
        self, service: ServiceName, has_overflowed: bool, is_refused: bool, now_s: float
    ) -> None:
        """Counts an attempt that is sent or refused."""
        present = self._advance(service, now_s)[-1]
        present.attempts += 1
        present.overflowed += has_overflowed
        present.refused += is_refused

    def _advance(self, service: ServiceName, now_s: float) -> deque[_Bin]:
        """Returns the bins of the window, with one for the present."""
        bins = self._bins.setdefault(service, deque())
        number = int(now_s / BIN_S)
        if not bins or bins[-1].number != number:
            bins.append(_Bin(number))
        while bins[0].number <= number - int(WINDOW_S / BIN_S):
            bins.popleft()
        return bins
