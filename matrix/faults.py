"""Faults, their injection at the steps of a flow, and a fake store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["FakeStore", "Fault", "FaultInjector", "InvariantViolation", "StepInterrupted"]

FAULTY_EXECUTION = 2  # counted from 1


class Fault(Enum):
    """Faults that are injected into the flows of the decision code."""

    MESSAGE_LOST = "message lost"
    MESSAGE_REPEATED = "message repeated, late"
    PROCESS_KILLED = "process killed, replaced"
    PROCESS_FROZEN = "process frozen, resumed"
    STORE_DOWN = "store down"
    ANSWER_LOST = "answer lost after the write"
    ROLE_HOLDER_PAUSED = "holder of the role paused, resumed"
    RIVAL_ACTS = "rival acts in between"
    PROCESS_KILLED_TWICE = "the same twice (kill)"
    KILLED_AND_STORE_DOWN = "two at once (kill, store down)"


class InvariantViolation(Exception):
    """A flow violated one of its invariants."""


class StepInterrupted(Exception):
    """A step ended without a result; a write may have taken effect."""


@dataclass
class FakeStore:
    """A store of one value, written by compare-and-swap.

    It refuses writes while `down_rounds` is positive. With `lose_next_answer` the next write takes
    effect but raises StepInterrupted.
    """

    content: bytes | None = None
    revision: int = 0
    down_rounds: int = 0
    lose_next_answer: bool = False

    def compare_and_swap(self, expected_revision: int, content: bytes) -> None:
        """Writes `content` if the store is at `expected_revision`.

        Raises StepInterrupted when nothing was written or the answer to the write was lost.
        """
        if self.down_rounds or expected_revision != self.revision:
            raise StepInterrupted
        self.content, self.revision = content, self.revision + 1
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise StepInterrupted


class FaultInjector:
    """Injects one fault at the second execution of one step.

    PROCESS_KILLED_TWICE is injected again at the third execution.
    """

    def __init__(self, step: str, fault: Fault) -> None:
        self._step = step
        self._fault = fault
        self._executions = 0

    @property
    def injected(self) -> bool:
        """Whether the fault has been injected."""
        return self._executions >= FAULTY_EXECUTION

    def start_step(self, step: str) -> Fault | None:
        """Counts an execution of a step and returns the fault to inject, or None."""
        if step != self._step:
            return None
        self._executions += 1
        repeated = (
            self._fault is Fault.PROCESS_KILLED_TWICE and self._executions == FAULTY_EXECUTION + 1
        )
        return self._fault if self._executions == FAULTY_EXECUTION or repeated else None
