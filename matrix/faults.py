"""Faults, where they strike, and a store that has them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["Broken", "FakeStore", "Fault", "Interrupted", "Striker"]

STRIKE_AT = 2


class Fault(Enum):
    """Faults of the brief as the core can meet them."""

    LOST = "message lost"
    REPEATED = "message repeated, late"
    KILLED = "process killed, replaced"
    FROZEN = "process frozen, resumed"
    STORE_DOWN = "store down"
    ANSWER_LOST = "answer lost after the write"
    PAUSED = "holder of the role paused, resumed"
    RIVAL = "rival acts in between"
    SAME_TWICE = "the same twice (kill)"
    TWO_AT_ONCE = "two at once (kill, store down)"


class Broken(Exception):
    """A promise was broken."""


class Interrupted(Exception):
    """The step did not happen."""


@dataclass
class FakeStore:
    """One value under compare-and-swap."""

    content: bytes | None = None
    revision: int = 0
    down_rounds: int = 0
    lose_answer: bool = False

    def swap(self, expected: int, content: bytes) -> None:
        """Writes, or raises Interrupted with or without effect."""
        if self.down_rounds or expected != self.revision:
            raise Interrupted
        self.content, self.revision = content, self.revision + 1
        if self.lose_answer:
            self.lose_answer = False
            raise Interrupted


class Striker:
    """Makes the cell's fault strike when its step is passed for the second time."""

    def __init__(self, step: str, fault: Fault) -> None:
        self._step = step
        self._fault = fault
        self._passed = 0

    @property
    def struck(self) -> bool:
        """Whether the fault has struck."""
        return self._passed >= STRIKE_AT

    def at(self, step: str) -> Fault | None:
        """Returns the fault to strike at this passing of a step, if any."""
        if step != self._step:
            return None
        self._passed += 1
        twice = self._fault is Fault.SAME_TWICE and self._passed == STRIKE_AT + 1
        return self._fault if self._passed == STRIKE_AT or twice else None
