"""Answers to look-ups: which entry VMs a caller should use, in which order."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import accumulate

from lycheepin.names import Address, Incarnation, RegionName

__all__ = ["Candidate", "LookupTable"]

ANSWER_ENTRIES = 4
LOCAL_CHOICES = 2
OTHER_CHOICES = 1


@dataclass(frozen=True)
class Candidate:
    """A daemon that could be named in an answer; `tokens` it holds for the service."""

    address: Address
    port: int
    incarnation: Incarnation
    region: RegionName
    tokens: int


class _RegionChoices:
    """The candidates of one region, to be drawn in proportion to their tokens."""

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        holders = [c for c in candidates if c.tokens]
        self._holders = holders
        self._rest = [c for c in candidates if not c.tokens]
        self._sums = list(accumulate(c.tokens for c in holders))

    def draw(self, count: int, source: random.Random) -> list[Candidate]:
        """Returns up to `count` candidates, holders of tokens first."""
        found: list[Candidate] = []
        if self._holders:
            first = self._holders[self._draw_index(source)]
            found.append(first)
            start = source.randrange(len(self._holders))
            found += [c for c in self._following(self._holders, start, count) if c is not first]
        if len(found) < count and self._rest:
            start = source.randrange(len(self._rest))
            found += self._following(self._rest, start, count - len(found))
        return found[:count]

    def _draw_index(self, source: random.Random) -> int:
        """Returns the index of a holder with a probability proportional to its tokens."""
        return bisect_right(self._sums, source.randrange(self._sums[-1]))

    @staticmethod
    def _following(items: list[Candidate], start: int, count: int) -> list[Candidate]:
        """Returns `count` items in turn from a start; all when there are fewer."""
        size = min(count, len(items))
        return [items[(start + offset) % len(items)] for offset in range(size)]


class LookupTable:
    """The candidates for one service by region; built anew when members or tokens change.

    A draw costs the same at any number of daemons.
    """

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        by_region: dict[RegionName, list[Candidate]] = {}
        for candidate in candidates:
            by_region.setdefault(candidate.region, []).append(candidate)
        self._regions = {name: _RegionChoices(found) for name, found in by_region.items()}

    def draw(self, regions: Sequence[RegionName], source: random.Random) -> list[Candidate]:
        """Returns the entry VMs to name, best first; regions go in the given order."""
        ordered: list[Candidate] = []
        count = LOCAL_CHOICES
        for region in regions:
            choices = self._regions.get(region)
            if choices is not None:
                ordered += choices.draw(count, source)
            count = OTHER_CHOICES
            if len(ordered) >= ANSWER_ENTRIES:
                break
        return ordered[:ANSWER_ENTRIES]
