"""The flow of plans and loans among three daemons and two planners."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lycheepin.names import Incarnation, Resource
from lycheepin.steering.ledger import Ledger, LoanRecord
from lycheepin.steering.plan import (
    Caps,
    Evidence,
    Plan,
    decode_plan,
    encode_plan,
    revise_plan,
)
from matrix.faults import Broken, FakeStore, Fault, Interrupted, Striker

__all__ = ["EscrowFlow"]

SLOT = Resource("slot")
CAP = 6
CAPS = Caps({SLOT: CAP})
ROUND_MS = 500


@dataclass
class Holder:
    """A daemon that holds tokens; `used` is the record of the endpoint, not of the ledger."""

    ledger: Ledger
    used: int = 0
    frozen_rounds: int = 0


class EscrowFlow:
    """Plan changes and lending among three daemons, with two planners."""

    steps = (
        "compute", "write", "spread", "apply", "report", "lend", "receive loan", "repay",
        "take back",
    )  # fmt: skip

    def __init__(self, striker: Striker, seed: int) -> None:
        self._striker = striker
        self._random = random.Random(seed)
        self._store = FakeStore()
        self._next = 1
        self._holders = [self._new_holder() for _ in range(3)]
        self._ended: set[Incarnation] = set()
        self._messages: deque[tuple[int, Callable[[Holder], None]]] = deque()
        self._reports: dict[Incarnation, tuple[int, bool, bool]] = {}
        self._round = 0
        self._paused: tuple[int, bytes] | None = None

    def _new_holder(self) -> Holder:
        """Returns a daemon with a new incarnation."""
        self._next += 1
        return Holder(Ledger(Incarnation(self._next)))

    def run(self) -> None:
        """Runs all rounds; raises Broken."""
        for self._round in range(90):
            self._store.down_rounds = max(0, self._store.down_rounds - 1)
            for index, holder in enumerate(self._holders):
                holder.frozen_rounds = max(0, holder.frozen_rounds - 1)
                if not holder.frozen_rounds:
                    self._use(holder)
                    self._lend_or_repay(index, holder)
                    self._report(index, holder)
            self._plan()
            self._deliver()
            self._check()
        granted = sum(h.ledger.limit(SLOT) for h in self._holders)
        if granted != CAP:
            raise Broken(f"{granted} of {CAP} tokens granted in the end")

    def _check(self) -> None:
        """Raises Broken when more is in use than the cap allows."""
        used = sum(holder.used for holder in self._holders)
        if used > CAP:
            raise Broken(f"round {self._round}: {used} in use, cap {CAP}")

    def _use(self, holder: Holder) -> None:
        """Starts and ends some requests."""
        for _ in range(self._random.randrange(4)):
            if self._random.random() < 0.6 and holder.ledger.acquire(SLOT):
                holder.used += 1
            elif holder.used:
                holder.ledger.release(SLOT)
                holder.used -= 1
        self._check()

    def _strike(self, step: str, index: int) -> bool:
        """Strikes if the fault is due; returns whether the step is to be left out."""
        fault = self._striker.at(step)
        holder = self._holders[index]
        match fault:
            case None:
                return False
            case Fault.LOST:
                return True
            case Fault.KILLED | Fault.SAME_TWICE | Fault.TWO_AT_ONCE:
                self._ended.add(holder.ledger.incarnation)
                self._holders[index] = self._new_holder()
                if fault is Fault.TWO_AT_ONCE:
                    self._store.down_rounds = 10
                return True
            case Fault.FROZEN | Fault.PAUSED:
                holder.frozen_rounds = 10
            case Fault.STORE_DOWN:
                self._store.down_rounds = 10
            case Fault.ANSWER_LOST:
                self._store.lose_answer = True
            case Fault.RIVAL:
                self._plan_once()
            case Fault.REPEATED:
                copies = list(self._messages)
                self._messages.extend(copies)
        return False

    def _send(self, index: int, act: Callable[[Holder], None]) -> None:
        """Queues a message to a daemon."""
        self._messages.append((index, act))

    def _deliver(self) -> None:
        """Delivers most messages in a random order; some twice, some later."""
        waiting = list(self._messages)
        self._messages.clear()
        self._random.shuffle(waiting)
        for index, act in waiting:
            holder = self._holders[index]
            if holder.frozen_rounds or self._random.random() < 0.2:
                self._messages.append((index, act))
                continue
            act(holder)
            if self._random.random() < 0.1:
                self._messages.append((index, act))

    def _report(self, index: int, holder: Holder) -> None:
        """Reports to the planners."""
        if self._strike("report", index):
            return
        ledger = holder.ledger
        self._reports[ledger.incarnation] = (ledger.plan_revision, ledger.settled, ledger.clear)

    def _plan(self) -> None:
        """Lets a planner act, and a paused one write what it computed long ago."""
        if self._round % 2 == 0 and self._round < 70 or self._round >= 70:
            self._plan_once()
        if self._paused is not None and self._round % 15 == 14:
            expected, content = self._paused
            self._paused = None
            self._write(expected, content)

    def _plan_once(self) -> None:
        """Computes and writes a plan, and spreads what the store has."""
        base = decode_plan(self._store.content) if self._store.content else Plan()
        expected = self._store.revision
        if self._strike("compute", 0):
            return
        plan = revise_plan(base, CAPS, self._desired(), self._evidence(base))
        if plan is not None:
            content = encode_plan(plan)
            if self._strike("write", 1):
                self._paused = (expected, content)
            else:
                self._write(expected, content)
        if self._store.content is not None and not self._strike("spread", 2):
            current = decode_plan(self._store.content)
            for index in range(3):
                self._send(index, self._applier(index, current))

    def _write(self, expected: int, content: bytes) -> None:
        """Writes a plan; the outcome shows in the store."""
        try:
            self._store.swap(expected, content)
        except Interrupted:
            return

    def _applier(self, index: int, plan: Plan) -> Callable[[Holder], None]:
        """Returns the message that brings a plan to a daemon."""

        def apply(holder: Holder) -> None:
            if not self._strike("apply", index):
                holder.ledger.apply_plan(plan)

        return apply

    def _desired(self) -> dict[Incarnation, dict[Resource, int]]:
        """Returns a spread that changes every ten rounds."""
        shift = self._round // 10 % 3
        shares = [(4, 2, 0), (0, 3, 3), (2, 2, 2)][shift]
        pairs = zip(self._holders, shares, strict=True)
        return {holder.ledger.incarnation: {SLOT: share} for holder, share in pairs}

    def _evidence(self, base: Plan) -> Evidence:
        """Returns what planners know."""
        current = {
            name: report for name, report in self._reports.items() if report[0] == base.revision
        }
        settled = frozenset(name for name, report in current.items() if report[1])
        clear = frozenset(name for name, report in current.items() if report[2])
        return Evidence(settled, clear, frozenset(self._ended), self._round * ROUND_MS)

    def _lend_or_repay(self, index: int, holder: Holder) -> None:
        """Lends a token to a neighbour now and then, and repays what is not needed."""
        target = (index + 1) % 3
        borrower = self._holders[target].ledger.incarnation
        if self._random.random() < 0.3:
            loan = holder.ledger.lend(borrower, SLOT, 1)
            if loan is not None and not self._strike("lend", index):
                self._send(target, self._loan(target, loan))
        for loan in holder.ledger.loans_out():
            if self._random.random() < 0.2:
                self._send(target, self._loan(target, loan))
        for loan in holder.ledger.loans_in():
            due = self._random.random() < 0.3 and holder.ledger.repay(loan.key)
            if due and not self._strike("repay", index):
                self._repay(loan)

    def _loan(self, index: int, loan: LoanRecord) -> Callable[[Holder], None]:
        """Returns the message that brings a loan; a repaid one is repaid again."""

        def accept(holder: Holder) -> None:
            if self._strike("receive loan", index):
                return
            holder.ledger.accept(loan)
            held = any(item.key == loan.key for item in holder.ledger.loans_in())
            if not held and holder.ledger.repay(loan.key):
                self._repay(loan)

        return accept

    def _repay(self, loan: LoanRecord) -> None:
        """Sends a repayment to the lender."""
        for index, holder in enumerate(self._holders):
            if holder.ledger.incarnation == loan.key.lender:

                def take_back(target: Holder, index: int = index) -> None:
                    if not self._strike("take back", index):
                        target.ledger.reclaim_loan(loan.key)

                self._send(index, take_back)
