"""The flow of protected requests with repeats."""

from __future__ import annotations

import random
from collections import Counter

from lycheepin.names import Address, Incarnation
from lycheepin.steering.request_ids import (
    ForwardToOwner,
    Rejected,
    Replay,
    RequestId,
    RequestIdTable,
    Run,
    Running,
    StoredAnswer,
)
from matrix.faults import Broken, Fault, Interrupted, Striker

__all__ = ["RequestFlow"]


class RequestFlow:
    """One protected id after the other, with repeats at two entry VMs and an endpoint."""

    steps = ("arrive", "begin", "send", "run", "half answered", "settle", "repeat")

    def __init__(self, striker: Striker, seed: int) -> None:
        self._striker = striker
        self._random = random.Random(seed)
        self._incarnation = 1
        self._now_ms = 0
        self._table = self._new_table()
        self.runs: Counter[str] = Counter()

    def _new_table(self) -> RequestIdTable:
        """Returns the table of a new process."""
        return RequestIdTable(Address("127.0.0.1"), Incarnation(self._incarnation), 1000)

    def run(self) -> None:
        """Runs some requests with up to four copies each; raises Broken."""
        for number in range(8):
            request = RequestId(
                Address("127.0.0.1"),
                Incarnation(self._incarnation),
                self._now_ms + 1000,
                f"n{number}",
            )
            for _ in range(4):
                try:
                    self._copy(request)
                except (Interrupted, ConnectionError):
                    continue
                finally:
                    self._now_ms += self._random.randrange(200)
                    self._table.expire(self._now_ms)
                if self.runs[str(request)] > 1:
                    raise Broken(f"{request} ran {self.runs[str(request)]} times")

    def _strike(self, step: str, request: RequestId) -> None:
        """Strikes if the fault is due; raises Interrupted when the attempt ends there."""
        fault = self._striker.at(step)
        match fault:
            case Fault.LOST | Fault.ANSWER_LOST:
                raise ConnectionError
            case Fault.KILLED | Fault.SAME_TWICE | Fault.TWO_AT_ONCE:
                self._incarnation += 1
                self._table = self._new_table()
                raise Interrupted
            case Fault.FROZEN | Fault.PAUSED:
                self._now_ms += 1500
                self._table.expire(self._now_ms)
            case Fault.REPEATED | Fault.RIVAL:
                self._copy(request)

    def _copy(self, request: RequestId) -> None:
        """Lets a copy of a request arrive at its home, directly or through another VM."""
        self._strike("arrive", request)
        table = self._table
        match table.begin(request, self._now_ms):
            case Run():
                self._attempt(table, request)
            case Running() | Replay() | ForwardToOwner():
                self._strike("repeat", request)
            case Rejected(fault):
                certain = fault.answer.outcome.value == "NOT_RUN"
                if certain and self.runs[str(request)]:
                    raise Broken(f"{request} ran but was answered NOT_RUN")

    def _attempt(self, table: RequestIdTable, request: RequestId) -> None:
        """Makes the one attempt, by the rules of the request path."""
        sent = False
        try:
            self._strike("begin", request)
            self._strike("send", request)
            sent = True
            self.runs[str(request)] += 1
            self._strike("run", request)
            self._strike("half answered", request)
            table.answered(request.key, StoredAnswer(200, (), b"x"))
            self._strike("settle", request)
        except ConnectionError:
            if sent:
                table.unknown(request.key)
            else:
                table.not_run(request.key)
