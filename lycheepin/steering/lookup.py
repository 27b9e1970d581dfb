"""Answers to look-ups: the entry VMs that a caller should use, in order of preference."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import accumulate

from lycheepin.names import Address, Incarnation, RegionName

__all__ = ["Candidate", "LookupTable"]

# Entry VMs in an answer, and how many of them are taken from the first and from each other region.
ANSWER_ENTRIES = 4
FIRST_REGION_ENTRIES = 2
OTHER_REGION_ENTRIES = 1


@dataclass(frozen=True)
class Candidate:
    """A daemon that may be named in an answer; `tokens` is how many it holds for the service."""

    address: Address
    port: int
    incarnation: Incarnation
    region: RegionName
    tokens: int


class _RegionChoices:
    """The candidates of one region, for draws in proportion to their tokens."""

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        holders = [c for c in candidates if c.tokens]
        self._holders = holders
        self._others = [c for c in candidates if not c.tokens]
        self._sums = list(accumulate(c.tokens for c in holders))

    def draw(self, count: int, rng: random.Random) -> list[Candidate]:
        """Returns up to `count` distinct candidates, holders of tokens first.

        The first one is drawn with a probability proportional to its tokens, the others are
        successive ones from a random index.
        """
        drawn: list[Candidate] = []
        if self._holders:
            first = self._holders[self._draw_index(rng)]
            drawn.append(first)
            start = rng.randrange(len(self._holders))
            drawn += [
                c for c in self._take_successive(self._holders, start, count) if c is not first
            ]
        if len(drawn) < count and self._others:
            start = rng.randrange(len(self._others))
            drawn += self._take_successive(self._others, start, count - len(drawn))
        return drawn[:count]

    def _draw_index(self, rng: random.Random) -> int:
        """Returns the index of a holder with a probability proportional to its tokens."""
        return bisect_right(self._sums, rng.randrange(self._sums[-1]))

    @staticmethod
    def _take_successive(items: list[Candidate], start: int, count: int) -> list[Candidate]:
        """Returns `count` successive items from index `start`, at most all, wrapping around."""
        size = min(count, len(items))
        return [items[(start + offset) % len(items)] for offset in range(size)]


class LookupTable:
    """The candidates for one service by region; rebuilt when members or tokens change.

    Draws use binary search, so their cost hardly depends on the number of daemons.
    """

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        by_region: dict[RegionName, list[Candidate]] = {}
        for candidate in candidates:
            by_region.setdefault(candidate.region, []).append(candidate)
        self._regions = {name: _RegionChoices(members) for name, members in by_region.items()}

    def draw(self, regions: Sequence[RegionName], rng: random.Random) -> list[Candidate]:
        """Returns the entry VMs for an answer, best first, from the regions in the given order."""
        ordered: list[Candidate] = []
        count = FIRST_REGION_ENTRIES
        for region in regions:
            choices = self._regions.get(region)
            if choices is not None:
                ordered += choices.draw(count, rng)
            count = OTHER_REGION_ENTRIES
            if len(ordered) >= ANSWER_ENTRIES:
                break
        return ordered[:ANSWER_ENTRIES]
