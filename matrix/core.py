"""Cells in the synchronous core: decisions of the product, a seeded scheduler, own records.

A flow runs in rounds. Each of its steps is a named point; at its second passing the cell's fault
strikes there. The last rounds are free of faults, so that recovery is judged too.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lycheepin.cluster.documents import CONFIGURATION, Copy, Replicas
from lycheepin.configuration import (
    Change,
    check_configuration,
    decode_change,
    encode_change,
    follow_change,
)
from lycheepin.names import Address, Incarnation, Resource
from lycheepin.steering.homes import (
    Elsewhere,
    Rejected,
    Replay,
    RequestId,
    RequestTable,
    Run,
    Running,
    StoredAnswer,
)
from lycheepin.steering.ledger import Ledger, LoanRecord
from lycheepin.steering.plan import (
    QUARANTINE_MS,
    Caps,
    Evidence,
    Plan,
    decode_plan,
    encode_plan,
    revise_plan,
)
from matrix.cells import Cell, CellState
from standins.layouts import LAYOUTS, configuration

__all__ = ["run_core_cells"]

SEEDS = (1, 2, 3)
STRIKE_AT = 2
SLOT = Resource("slot")
CAP = 6
CAPS = Caps({SLOT: CAP})
ROUND_MS = 500


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
                        target.ledger.take_back(loan.key)

                self._send(index, take_back)


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

    def _new_table(self) -> RequestTable:
        """Returns the table of a new process."""
        return RequestTable(Address("127.0.0.1"), Incarnation(self._incarnation), 1000)

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
            case Running() | Replay() | Elsewhere():
                self._strike("repeat", request)
            case Rejected(fault):
                certain = fault.answer.outcome.value == "NOT_RUN"
                if certain and self.runs[str(request)]:
                    raise Broken(f"{request} ran but was answered NOT_RUN")

    def _attempt(self, table: RequestTable, request: RequestId) -> None:
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


class ConfigurationFlow:
    """Changes by two operators through daemons that spread them to each other."""

    steps = ("read", "write", "spread", "apply", "heartbeat")

    def __init__(self, striker: Striker, seed: int) -> None:
        self._striker = striker
        self._random = random.Random(seed)
        self._store = FakeStore()
        self._replicas = [Replicas([CONFIGURATION]) for _ in range(3)]
        self._frozen = [0, 0, 0]
        self._messages: deque[tuple[int, Copy]] = deque()
        self._told: set[str] = set()
        self._by_number: dict[int, bytes] = {}
        self._document = check_configuration(configuration(LAYOUTS["prairie"])).unwrap()
        self._changes = 0

    def run(self) -> None:
        """Runs all rounds; raises Broken."""
        for round_number in range(40):
            self._store.down_rounds = max(0, self._store.down_rounds - 1)
            self._frozen = [max(0, rounds - 1) for rounds in self._frozen]
            if round_number % 5 == 0 and round_number < 25:
                self._change(round_number % 3)
            self._watch()
            self._heartbeat()
            self._deliver()
        numbers = {replicas.revision(CONFIGURATION) for replicas in self._replicas}
        if len(numbers) != 1:
            raise Broken(f"numbers {numbers} in force in the end")
        self._check_told()

    def _check_told(self) -> None:
        """Raises Broken when an accepted change is missing in the end."""
        copy = self._replicas[0].get(CONFIGURATION)
        change = decode_change(copy.content).unwrap() if copy else None
        present = {entry["change_id"] for entry in change.history} if change else set()
        present.add(change.change_id if change else "")
        if not self._told <= present:
            raise Broken(f"accepted changes lost: {self._told - present}")

    def _strike(self, step: str, index: int) -> bool:
        """Strikes if the fault is due; returns whether the step is to be left out."""
        fault = self._striker.at(step)
        match fault:
            case None:
                return False
            case Fault.LOST:
                return True
            case Fault.KILLED | Fault.SAME_TWICE | Fault.TWO_AT_ONCE:
                self._replicas[index] = Replicas([CONFIGURATION])
                if fault is Fault.TWO_AT_ONCE:
                    self._store.down_rounds = 8
                return True
            case Fault.FROZEN | Fault.PAUSED:
                self._frozen[index] = 8
            case Fault.STORE_DOWN:
                self._store.down_rounds = 8
            case Fault.ANSWER_LOST:
                self._store.lose_answer = True
            case Fault.RIVAL:
                self._change((index + 1) % 3)
            case Fault.REPEATED:
                self._messages.extend(list(self._messages))
        return False

    def _change(self, index: int) -> None:
        """Makes one change at a daemon, by the rules of `config apply`."""
        self._changes += 1
        change_id = f"c{self._changes}"
        for _ in range(3):
            if self._frozen[index] or self._store.down_rounds or self._strike("read", index):
                return
            before, expected = self._latest(index), self._store.revision
            if before is not None and change_id in _change_ids(before):
                self._told.add(change_id)
                return
            change = follow_change(before, change_id, "ann", "s", self._document)
            if self._strike("write", index):
                return
            try:
                self._store.swap(expected, encode_change(change))
            except Interrupted:
                continue
            self._told.add(change_id)
            return

    def _latest(self, index: int) -> Change | None:
        """Returns the latest change known to the store or the daemon."""
        contents = [self._store.content]
        copy = self._replicas[index].get(CONFIGURATION)
        contents.append(copy.content if copy else None)
        known = [decode_change(content).unwrap() for content in contents if content]
        return max(known, key=lambda change: change.number, default=None)

    def _watch(self) -> None:
        """Lets a watcher read the store and spread what it has."""
        if self._store.content is None or self._store.down_rounds:
            return
        number = decode_change(self._store.content).unwrap().number
        copy = Copy(CONFIGURATION, number, self._store.content)
        if not self._strike("spread", 0):
            self._messages.append((self._random.randrange(3), copy))

    def _heartbeat(self) -> None:
        """Lets two daemons compare revisions; the one behind fetches."""
        first, second = self._random.sample(range(3), 2)
        if self._strike("heartbeat", first):
            return
        versions = self._replicas[first].versions()
        for name in self._replicas[second].missing(versions):
            copy = self._replicas[first].get(name)
            if copy is not None:
                self._messages.append((second, copy))

    def _deliver(self) -> None:
        """Delivers messages in a random order; raises Broken when a daemon reverts."""
        waiting = list(self._messages)
        self._messages.clear()
        self._random.shuffle(waiting)
        for index, copy in waiting:
            if self._frozen[index] or self._random.random() < 0.2:
                self._messages.append((index, copy))
                continue
            if self._strike("apply", index):
                continue
            before = self._replicas[index].revision(CONFIGURATION)
            self._replicas[index].accept(copy)
            if self._replicas[index].revision(CONFIGURATION) < before:
                raise Broken(f"daemon {index} went back from {before}")
            if self._by_number.setdefault(copy.revision, copy.content) != copy.content:
                raise Broken(f"two configurations with number {copy.revision}")


def _change_ids(change: Change) -> set[str]:
    """Returns the ids of a change and of those before it."""
    return {change.change_id, *(entry["change_id"] for entry in change.history)}


@dataclass(frozen=True)
class _FlowKind:
    """A flow, and the faults that mean something in it."""

    name: str
    build: Callable[[Striker, int], Any]
    steps: tuple[str, ...]
    faults: tuple[Fault, ...] = field(default=tuple(Fault))


NO_STORE = tuple(fault for fault in Fault if fault is not Fault.STORE_DOWN)
FLOWS = (
    _FlowKind("plan and lending", EscrowFlow, EscrowFlow.steps),
    _FlowKind("protected request", RequestFlow, RequestFlow.steps, NO_STORE),
    _FlowKind("configuration", ConfigurationFlow, ConfigurationFlow.steps),
)


def run_core_cells() -> list[Cell]:
    """Returns the cells of all flows; each runs with several seeds."""
    assert QUARANTINE_MS >= ROUND_MS
    cells = []
    for flow in FLOWS:
        for step in flow.steps:
            for fault in flow.faults:
                cells.append(_run_cell(flow, step, fault))
    return cells


def _run_cell(flow: _FlowKind, step: str, fault: Fault) -> Cell:
    """Returns a cell; it counts as not run when the fault did not strike with every seed."""
    state, note = CellState.PASS, ""
    for seed in SEEDS:
        striker = Striker(step, fault)
        try:
            flow.build(striker, seed).run()
        except Broken as error:
            state, note = CellState.FAIL, f"seed {seed}: {error}"
        if not striker.struck and state is CellState.PASS:
            state, note = CellState.NOT_RUN, f"seed {seed}: the step was not passed twice"
    return Cell("core", flow.name, step, fault.value, state, note)
