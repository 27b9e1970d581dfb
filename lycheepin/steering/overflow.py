"""Decides about attempts that an object's preferred endpoints would refuse in calm.

Load addressed: uneven endpoints, of which single ones fill up for parts of a second while most of
their service is idle. Such an attempt overflows to another endpoint with many free slots, or waits
at a preferred one although its answer will be late. An endpoint that doesn't know the object takes
several times as long and may drop another object from its cache, so only a part of the attempts
overflows, and nothing while a service is short of room: it would take more room than it saves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from lycheepin.names import ServiceName
from lycheepin.steering.endpoint import Endpoint

__all__ = ["Overflow", "find_queue", "find_spare"]

# Length in seconds of the window in which attempts are counted, and of the bins it consists of.
WINDOW_S = 2.0
BIN_S = 0.25
# Largest part of the attempts in a window that overflows.
MAX_PART = 0.5
# Part of the attempts in a window that is refused, above which nothing overflows.
MAX_REFUSED_PART = 0.3
# Part of an endpoint's slots up to which it takes an overflow.
SPARE_FRACTION = 0.5
# Requests at an endpoint for each slot, up to which late attempts may wait there, and how often the
# expected time to their answer has to be left to the deadline.
MAX_QUEUE = 3.0
LATE_MARGIN = 1.5


def find_spare(endpoints: Iterable[Endpoint], now_s: float) -> tuple[Endpoint, int] | None:
    """Returns the first endpoint with many free slots and its index, or None.

    Only endpoints that report how slow their machines are take an overflow.
    """
    for index, endpoint in enumerate(endpoints):
        spare = SPARE_FRACTION * endpoint.record.slots
        if endpoint.reports_slowness and endpoint.load(now_s) + 1 <= spare:
            return endpoint, index
    return None


def find_queue(
    preferred: Iterable[tuple[Endpoint, float]], deadline_s: float, now_s: float
) -> Endpoint | None:
    """Returns the preferred endpoint that answers first, if well before a deadline; else None.

    Takes the endpoints with the expected times to their answers, in seconds.
    """
    waiting = [
        (answer_s, endpoint.record.id, endpoint)
        for endpoint, answer_s in preferred
        if endpoint.reports_slowness
        and endpoint.load(now_s) + 1 <= MAX_QUEUE * endpoint.record.slots
        and now_s + LATE_MARGIN * answer_s <= deadline_s
    ]
    return min(waiting)[2] if waiting else None


@dataclass
class _Bin:
    """The attempts of a fraction of a second."""

    number: int
    attempts: int = 0
    overflowed: int = 0
    refused: int = 0


class Overflow:
    """The attempts of this daemon by service; times are monotonic seconds.

    An attempt that waits although it will be late counts as overflowed.
    """

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
