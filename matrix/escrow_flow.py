"""Flow of plans and loans among three daemons and two planners."""

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
from matrix.faults import FakeStore, Fault, FaultInjector, InvariantViolation, StepInterrupted

__all__ = ["EscrowFlow"]

SLOT = Resource("slot")
SLOT_CAP = 6
CAPS = Caps({SLOT: SLOT_CAP})
ROUND_MS = 500


@dataclass
class Holder:
    """A daemon that holds tokens.

    `used` is the number of tokens in use as the endpoint records it, independently of the ledger.
    """

    ledger: Ledger
    used: int = 0
    frozen_rounds: int = 0


class EscrowFlow:
    """Plan changes and lending among three daemons, with two planners."""

    steps = (
        "compute", "write", "spread", "apply", "report", "lend", "receive loan", "repay",
        "take back",
    )  # fmt: skip

    def __init__(self, injector: FaultInjector, seed: int) -> None:
        self._injector = injector
        self._random = random.Random(seed)
        self._store = FakeStore()
        self._last_incarnation = 1
        self._holders = [self._create_holder() for _ in range(3)]
        self._ended_incarnations: set[Incarnation] = set()
        self._messages: deque[tuple[int, Callable[[Holder], None]]] = deque()
        # Plan revision, `settled` and `clear` of each ledger, by incarnation.
        self._reports: dict[Incarnation, tuple[int, bool, bool]] = {}
        self._round = 0
        self._delayed_write: tuple[int, bytes] | None = None

    def _create_holder(self) -> Holder:
        """Returns a daemon with a new incarnation."""
        self._last_incarnation += 1
        return Holder(Ledger(Incarnation(self._last_incarnation)))

    def run(self) -> None:
        """Runs all rounds; raises InvariantViolation."""
        for self._round in range(90):
            self._store.down_rounds = max(0, self._store.down_rounds - 1)
            for index, holder in enumerate(self._holders):
                holder.frozen_rounds = max(0, holder.frozen_rounds - 1)
                if not holder.frozen_rounds:
                    self._start_and_end_requests(holder)
                    self._lend_or_repay(index, holder)
                    self._report_to_planners(index, holder)
            self._run_planners()
            self._deliver_messages()
            self._check_cap()
        granted = sum(holder.ledger.limit(SLOT) for holder in self._holders)
        if granted != SLOT_CAP:
            raise InvariantViolation(f"{granted} of {SLOT_CAP} tokens granted at the end")

    def _check_cap(self) -> None:
        """Raises InvariantViolation when more tokens are in use than the cap allows."""
        used = sum(holder.used for holder in self._holders)
        if used > SLOT_CAP:
            raise InvariantViolation(f"round {self._round}: {used} tokens in use, cap {SLOT_CAP}")

    def _start_and_end_requests(self, holder: Holder) -> None:
        """Starts and ends up to three requests, each with one token in use."""
        for _ in range(self._random.randrange(4)):
            if self._random.random() < 0.6 and holder.ledger.acquire(SLOT):
                holder.used += 1
            elif holder.used:
                holder.ledger.release(SLOT)
                holder.used -= 1
        self._check_cap()

    def _inject_fault(self, step: str, index: int) -> bool:
        """Injects the fault if it is due at a step; returns whether to skip the step."""
        fault = self._injector.start_step(step)
        holder = self._holders[index]
        match fault:
            case None:
                return False
            case Fault.MESSAGE_LOST:
                return True
            case Fault.PROCESS_KILLED | Fault.PROCESS_KILLED_TWICE | Fault.KILLED_AND_STORE_DOWN:
                self._ended_incarnations.add(holder.ledger.incarnation)
                self._holders[index] = self._create_holder()
                if fault is Fault.KILLED_AND_STORE_DOWN:
                    self._store.down_rounds = 10
                return True
            case Fault.PROCESS_FROZEN | Fault.ROLE_HOLDER_PAUSED:
                holder.frozen_rounds = 10
            case Fault.STORE_DOWN:
                self._store.down_rounds = 10
            case Fault.ANSWER_LOST:
                self._store.lose_next_answer = True
            case Fault.RIVAL_ACTS:
                self._run_planner()
            case Fault.MESSAGE_REPEATED:
                copies = list(self._messages)
                self._messages.extend(copies)
        return False

    def _send(self, index: int, handle: Callable[[Holder], None]) -> None:
        """Queues a message to a daemon; `handle` is called on delivery."""
        self._messages.append((index, handle))

    def _deliver_messages(self) -> None:
        """Delivers the queued messages in a random order; some later, some more than once."""
        messages = list(self._messages)
        self._messages.clear()
        self._random.shuffle(messages)
        for index, handle in messages:
            holder = self._holders[index]
            if holder.frozen_rounds or self._random.random() < 0.2:
                self._messages.append((index, handle))
                continue
            handle(holder)
            if self._random.random() < 0.1:
                self._messages.append((index, handle))

    def _report_to_planners(self, index: int, holder: Holder) -> None:
        """Records the state of a holder's ledger for the planners."""
        if self._inject_fault("report", index):
            return
        ledger = holder.ledger
        self._reports[ledger.incarnation] = (ledger.plan_revision, ledger.settled, ledger.clear)

    def _run_planners(self) -> None:
        """Runs a planner, and every 15 rounds completes the delayed write of an older plan.

        A planner runs in every second round, and in every round from round 70 on.
        """
        if self._round % 2 == 0 and self._round < 70 or self._round >= 70:
            self._run_planner()
        if self._delayed_write is not None and self._round % 15 == 14:
            expected_revision, content = self._delayed_write
            self._delayed_write = None
            self._write_plan(expected_revision, content)

    def _run_planner(self) -> None:
        """Computes and writes a plan, and sends the plan in the store to all daemons."""
        base = decode_plan(self._store.content) if self._store.content else Plan()
        expected_revision = self._store.revision
        if self._inject_fault("compute", 0):
            return
        plan = revise_plan(base, CAPS, self._choose_desired_limits(), self._build_evidence(base))
        if plan is not None:
            content = encode_plan(plan)
            if self._inject_fault("write", 1):
                self._delayed_write = (expected_revision, content)
            else:
                self._write_plan(expected_revision, content)
        if self._store.content is not None and not self._inject_fault("spread", 2):
            current = decode_plan(self._store.content)
            for index in range(3):
                self._send(index, self._build_plan_message(index, current))

    def _write_plan(self, expected_revision: int, content: bytes) -> None:
        """Writes a plan; the store shows whether an interrupted write took effect."""
        try:
            self._store.compare_and_swap(expected_revision, content)
        except StepInterrupted:
            return

    def _build_plan_message(self, index: int, plan: Plan) -> Callable[[Holder], None]:
        """Returns the message that applies a plan at a daemon."""

        def apply_plan(holder: Holder) -> None:
            if not self._inject_fault("apply", index):
                holder.ledger.apply_plan(plan)

        return apply_plan

    def _choose_desired_limits(self) -> dict[Incarnation, dict[Resource, int]]:
        """Returns the desired limits, which change every ten rounds."""
        variant = self._round // 10 % 3
        limits = [(4, 2, 0), (0, 3, 3), (2, 2, 2)][variant]
        pairs = zip(self._holders, limits, strict=True)
        return {holder.ledger.incarnation: {SLOT: limit} for holder, limit in pairs}

    def _build_evidence(self, base: Plan) -> Evidence:
        """Returns the planners' evidence from the reports at the revision of `base`."""
        current = {
            incarnation: report
            for incarnation, report in self._reports.items()
            if report[0] == base.revision
        }
        settled = frozenset(incarnation for incarnation, report in current.items() if report[1])
        clear = frozenset(incarnation for incarnation, report in current.items() if report[2])
        return Evidence(settled, clear, frozenset(self._ended_incarnations), self._round * ROUND_MS)

    def _lend_or_repay(self, index: int, holder: Holder) -> None:
        """Lends a token to the next daemon, resends open loans and repays loans, at random."""
        borrower_index = (index + 1) % 3
        borrower = self._holders[borrower_index].ledger.incarnation
        if self._random.random() < 0.3:
            loan = holder.ledger.lend(borrower, SLOT, 1)
            if loan is not None and not self._inject_fault("lend", index):
                self._send(borrower_index, self._build_loan_message(borrower_index, loan))
        for loan in holder.ledger.loans_out():
            if self._random.random() < 0.2:
                self._send(borrower_index, self._build_loan_message(borrower_index, loan))
        for loan in holder.ledger.loans_in():
            repaid = self._random.random() < 0.3 and holder.ledger.repay(loan.key)
            if repaid and not self._inject_fault("repay", index):
                self._send_repayment(loan)

    def _build_loan_message(self, index: int, loan: LoanRecord) -> Callable[[Holder], None]:
        """Returns the message that delivers a loan; a loan repaid before is repaid again."""

        def accept_loan(holder: Holder) -> None:
            if self._inject_fault("receive loan", index):
                return
            holder.ledger.accept(loan)
            held = any(item.key == loan.key for item in holder.ledger.loans_in())
            if not held and holder.ledger.repay(loan.key):
                self._send_repayment(loan)

        return accept_loan

    def _send_repayment(self, loan: LoanRecord) -> None:
        """Sends the repayment of a loan to its lender."""
        for index, holder in enumerate(self._holders):
            if holder.ledger.incarnation == loan.key.lender:

                def apply_repayment(lender: Holder, index: int = index) -> None:
                    if not self._inject_fault("take back", index):
                        lender.ledger.reclaim_loan(loan.key)

                self._send(index, apply_repayment)
