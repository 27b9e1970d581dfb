"""Flow of protected requests that are repeated."""

from __future__ import annotations

import random
from collections import Counter

from lycheepin.names import Address, Incarnation
from lycheepin.steering.request_ids import (
    ForwardToOwner,
    Replay,
    RequestId,
    RequestIdTable,
    RequestRefusal,
    Run,
    Running,
    StoredAnswer,
)
from matrix.faults import Fault, FaultInjector, InvariantViolation, StepInterrupted

__all__ = ["RequestFlow"]


class RequestFlow:
    """Protected requests, one id at a time, repeated at two entry VMs and run at an endpoint."""

    steps = ("arrive", "begin", "send", "run", "half answered", "settle", "repeat")

    def __init__(self, injector: FaultInjector, seed: int) -> None:
        self._injector = injector
        self._random = random.Random(seed)
        self._incarnation = 1
        self._now_ms = 0
        self._table = self._create_table()
        self.run_counts: Counter[str] = Counter()

    def _create_table(self) -> RequestIdTable:
        """Returns the empty request table of the owner's current incarnation."""
        return RequestIdTable(Address("127.0.0.1"), Incarnation(self._incarnation), 1000)

    def run(self) -> None:
        """Sends up to four copies of each request; raises InvariantViolation."""
        for number in range(8):
            request_id = RequestId(
                Address("127.0.0.1"),
                Incarnation(self._incarnation),
                self._now_ms + 1000,
                f"n{number}",
            )
            for _ in range(4):
                try:
                    self._deliver_copy(request_id)
                except (StepInterrupted, ConnectionError):
                    continue
                finally:
                    self._now_ms += self._random.randrange(200)
                    self._table.expire(self._now_ms)
                if self.run_counts[str(request_id)] > 1:
                    raise InvariantViolation(
                        f"{request_id} ran {self.run_counts[str(request_id)]} times"
                    )

    def _inject_fault(self, step: str, request_id: RequestId) -> None:
        """Injects the fault if it is due at a step.

        Raises ConnectionError when a message is lost and StepInterrupted when the owner is killed.
        """
        fault = self._injector.start_step(step)
        match fault:
            case Fault.MESSAGE_LOST | Fault.ANSWER_LOST:
                raise ConnectionError
            case Fault.PROCESS_KILLED | Fault.PROCESS_KILLED_TWICE | Fault.KILLED_AND_STORE_DOWN:
                self._incarnation += 1
                self._table = self._create_table()
                raise StepInterrupted
            case Fault.PROCESS_FROZEN | Fault.ROLE_HOLDER_PAUSED:
                self._now_ms += 1500
                self._table.expire(self._now_ms)
            case Fault.MESSAGE_REPEATED | Fault.RIVAL_ACTS:
                self._deliver_copy(request_id)

    def _deliver_copy(self, request_id: RequestId) -> None:
        """Delivers a copy of a request to its owner, directly or through another entry VM."""
        self._inject_fault("arrive", request_id)
        table = self._table
        match table.begin(request_id, self._now_ms):
            case Run():
                self._run_attempt(table, request_id)
            case Running() | Replay() | ForwardToOwner():
                self._inject_fault("repeat", request_id)
            case RequestRefusal(error):
                reported_not_run = error.answer.outcome.value == "NOT_RUN"
                if reported_not_run and self.run_counts[str(request_id)]:
                    raise InvariantViolation(f"{request_id} ran but was answered NOT_RUN")

    def _run_attempt(self, table: RequestIdTable, request_id: RequestId) -> None:
        """Makes the only attempt and records its outcome as the daemon's request handler does."""
        sent = False
        try:
            self._inject_fault("begin", request_id)
            self._inject_fault("send", request_id)
            sent = True
            self.run_counts[str(request_id)] += 1
            self._inject_fault("run", request_id)
            self._inject_fault("half answered", request_id)
            table.answered(request_id.key, StoredAnswer(200, (), b"x"))
            self._inject_fault("settle", request_id)
        except ConnectionError:
            if sent:
                table.unknown(request_id.key)
            else:
                table.not_run(request_id.key)
