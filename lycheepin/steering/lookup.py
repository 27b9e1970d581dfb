"""Answers to look-ups: which entry VMs a caller should use, in which order."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepin.names import Address, Incarnation, RegionName

__all__ = ["Candidate", "order_candidates"]

ANSWER_ENTRIES = 4
SECOND_CHOICES = 2


@dataclass(frozen=True)
class Candidate:
    """A daemon that could be named in an answer; `tokens` it holds for the service."""

    address: Address
    port: int
    incarnation: Incarnation
    region: RegionName
    tokens: int


def order_candidates(
    candidates: Sequence[Candidate], regions: Sequence[RegionName], seed: int
) -> list[Candidate]:
    """Returns the entry VMs to name, best first.

    Regions go in the given order. Within one, daemons with tokens of the service go first; the
    order is a weighted rendezvous by `seed`, so each daemon is first for a part of the seeds
    that is proportional to its tokens.
    """
    ordered: list[Candidate] = []
    for position, region in enumerate(regions):
        local = [c for c in candidates if c.region == region]
        local.sort(key=lambda c: _rank(c, seed))
        ordered += local if position == 0 else local[:SECOND_CHOICES]
        if len(ordered) >= ANSWER_ENTRIES:
            break
    return ordered[:ANSWER_ENTRIES]


def _rank(candidate: Candidate, seed: int) -> tuple[bool, float]:
    """Returns the sort key of weighted rendezvous hashing."""
    word = f"{seed}:{candidate.address}".encode()
    number = int.from_bytes(hashlib.blake2s(word, digest_size=8).digest(), "big")
    uniform = (number + 1) / (2**64 + 2)
    return (candidate.tokens == 0, -math.log(uniform) / max(1, candidate.tokens))
