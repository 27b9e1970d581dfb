"""Decoder of the load reports that endpoints add to their answers."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lycheepin.decoding import parse_count

__all__ = ["LoadReport", "decode_load_report"]

# Slowness of a machine that works as usual, in the unit of reports.
USUAL_SPEED = 100
# Bounds of a slowness, as a factor; a report beyond them says nothing about it.
MIN_SLOWNESS, MAX_SLOWNESS = 0.1, 100.0
# A slowness: digits, with a fraction or without.
_SLOWNESS = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


@dataclass(frozen=True)
class LoadReport:
    """The requests that run and wait at an endpoint, its slots and how slow its machine is.

    `slowness` is the factor by which work takes longer than usual there at the moment, None if it
    isn't reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def is_full(self) -> bool:
        """Whether all slots were in use."""
        return self.running + self.waiting >= self.slots


def decode_load_report(value: bytes) -> LoadReport | None:
    """Returns the report in a header; None if one of its first three figures can't be read.

    An unreadable fourth figure counts as missing; further ones are ignored.
    """
    parts = [part.strip() for part in value.split(b",", 4)]
    match [parse_count(part) for part in parts[:3]]:
        case [int(running), int(waiting), int(slots)]:
            slowness = _parse_slowness(parts[3]) if len(parts) > 3 else None
            return LoadReport(running, waiting, slots, slowness)
    return None


def _parse_slowness(value: bytes) -> float | None:
    """Returns a slowness as a factor; None if it is unreadable or out of its bounds."""
    if not _SLOWNESS.fullmatch(value):
        return None
    slowness = float(value) / USUAL_SPEED
    return slowness if MIN_SLOWNESS <= slowness <= MAX_SLOWNESS else None
