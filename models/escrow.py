"""Escrow of tokens: plan changes, loans, lost and repeated messages, planners and death.

One resource with a cap of 1, one loan from the first daemon to the second; the first may end.
Bounds PAIR: two daemons, plans up to revision 4, a planner that may be paused between computing
and writing and one that writes at once. Bounds TRIO: three daemons, plans up to revision 3, the
tokens go to the first or the third. Messages stay available for ever: any of them may be lost,
late, repeated or reordered.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from minicheck import Protocol

from lycheepin.names import Incarnation, Resource, Revision
from lycheepin.steering import plan as plans
from lycheepin.steering.ledger import Ledger, LoanRecord
from lycheepin.steering.plan import QUARANTINE_MS, Caps, Evidence, Grant, Plan, revise_plan

__all__ = ["PAIR", "TRIO", "Bounds", "Mutant", "build_model"]

SLOT = Resource("slot")
CAP = 1
CAPS = Caps({SLOT: CAP})
FIRST, SECOND, THIRD = Incarnation(1), Incarnation(2), Incarnation(3)


class Mutant(Enum):
    """Faults put into the protocol on purpose; each has to be caught."""

    NONE = "none"
    RAISE_BEFORE_LOWERED = "raise before the lowering is acknowledged"
    ANY_REVISION = "take a report about another revision for an acknowledgement"
    LOAN_TWICE = "take a repeated loan for a new one"
    LOAN_FROM_ENDED = "accept a loan from a holder that the plan retired"
    LOWER_LATER = "lower the lender's account only when the loan is confirmed"
    SILENCE_IS_DEATH = "take a silent daemon for an ended one"
    NO_CLEARANCE = "grant an ended holder's tokens before the others are clear"
    TRUST_THE_LEASE = "write the plan without comparing revisions"


@dataclass(frozen=True)
class Bounds:
    """How far the model goes; `grantees` are the daemons that planners give the tokens to."""

    daemons: tuple[Incarnation, ...]
    grantees: tuple[Incarnation, ...]
    max_revision: int
    planner_pauses: bool


PAIR = Bounds((FIRST, SECOND), (FIRST, SECOND), 4, True)
TRIO = Bounds((FIRST, SECOND, THIRD), (FIRST, THIRD), 3, False)


@dataclass(frozen=True)
class Report:
    """What the planners have last heard from a daemon."""

    revision: int = -1
    settled: bool = False
    clear: bool = False


class FrozenLedger:
    """A ledger as a part of a state: never changed, only copied."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self.key = (
            ledger.plan_revision,
            tuple(sorted(ledger._limits.items())),
            ledger._holders,
            ledger.in_use(SLOT),
            frozenset(ledger._lent.values()),
            frozenset(ledger._borrowed.values()),
            frozenset(ledger._accepted_keys),
            ledger._next_loan,
        )

    def __hash__(self) -> int:
        """Returns the hash of the content."""
        return hash(self.key)

    def __eq__(self, other: object) -> bool:
        """Returns whether the contents are equal."""
        return isinstance(other, FrozenLedger) and self.key == other.key

    def __repr__(self) -> str:
        """Returns the content."""
        return f"ledger{self.key}"

    @property
    def in_use(self) -> int:
        """The tokens in use."""
        return self._ledger.in_use(SLOT)

    def thaw(self) -> Ledger:
        """Returns a copy that may be changed."""
        old = self._ledger
        new = Ledger(old.incarnation)
        new.plan_revision = old.plan_revision
        new._limits = dict(old._limits)
        new._holders = old._holders
        new._in_use.update(old._in_use)
        new._lent = dict(old._lent)
        new._borrowed = dict(old._borrowed)
        new._accepted_keys = set(old._accepted_keys)
        new._next_loan = old._next_loan
        return new


class HashablePlan:
    """A plan as a part of a state."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        grants = tuple((h, tuple(sorted(held.items(), key=str))) for h, held in plan.grants.items())
        self.key = (plan.revision, grants, tuple(sorted(plan.retired)))

    def __hash__(self) -> int:
        """Returns the hash of the content."""
        return hash(self.key)

    def __eq__(self, other: object) -> bool:
        """Returns whether the contents are equal."""
        return isinstance(other, HashablePlan) and self.key == other.key

    def __repr__(self) -> str:
        """Returns the content."""
        return f"plan{self.key}"


@dataclass(frozen=True)
class State:
    """A state of the system; `history` has all plans ever written, the last one in the store."""

    history: tuple[Any, ...]
    pending: HashablePlan | None
    ledgers: tuple[FrozenLedger, ...]
    alive: tuple[bool, ...]
    known_ended: frozenset[Incarnation]
    reports: tuple[Report, ...]
    loans: frozenset[LoanRecord]
    repayments: frozenset[LoanRecord]


def build_model(mutant: Mutant = Mutant.NONE, bounds: Bounds = PAIR) -> Protocol:
    """Returns the model, with a fault if one is named."""
    grants: dict[Incarnation, dict[Resource, Grant]] = {name: {} for name in bounds.daemons}
    grants[FIRST][SLOT] = Grant(CAP, CAP)
    first_plan = Plan(Revision(1), grants)
    ledgers = []
    for name in bounds.daemons:
        ledger = Ledger(name)
        ledger.apply_plan(first_plan)
        ledgers.append(FrozenLedger(ledger))
    initial = State(
        (HashablePlan(first_plan),),
        None,
        tuple(ledgers),
        (True,) * len(bounds.daemons),
        frozenset(),
        (Report(),) * len(bounds.daemons),
        frozenset(),
        frozenset(),
    )
    return Protocol(
        name=f"escrow ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(initial,),
        transitions=lambda s: [(label, (after,)) for label, after in _steps(s[0], mutant, bounds)],
        invariants={"in_use_within_cap": lambda d: _in_use(d["state"]) <= CAP},
    )


def _in_use(state: State) -> int:
    """Returns the tokens in use at daemons that are alive."""
    pairs = zip(state.ledgers, state.alive, strict=True)
    return sum(ledger.in_use for ledger, alive in pairs if alive)


def _steps(state: State, mutant: Mutant, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Yields all next states."""
    for index, name in enumerate(bounds.daemons):
        if state.alive[index]:
            yield from _daemon_steps(state, index, name, mutant)
    yield from _planner_steps(state, mutant, bounds)
    if all(state.alive):
        yield "daemon 1 ends", replace(state, alive=(False, *state.alive[1:]))
    for index, name in enumerate(bounds.daemons):
        silent = mutant is Mutant.SILENCE_IS_DEATH and index == 0
        if (not state.alive[index] or silent) and name not in state.known_ended:
            yield f"end of {name} known", replace(state, known_ended=state.known_ended | {name})


def _with_ledger(state: State, index: int, ledger: Ledger) -> State:
    """Returns the state with another ledger of a daemon."""
    ledgers = list(state.ledgers)
    ledgers[index] = FrozenLedger(ledger)
    return replace(state, ledgers=tuple(ledgers))


def _daemon_steps(
    state: State, index: int, name: Incarnation, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps of one daemon."""
    frozen = state.ledgers[index]
    ledger = frozen.thaw()
    if ledger.acquire(SLOT):
        yield f"{name} starts a request", _with_ledger(state, index, ledger)
    if frozen.in_use:
        ledger = frozen.thaw()
        ledger.release(SLOT)
        yield f"{name} ends a request", _with_ledger(state, index, ledger)
    for item in state.history:
        ledger = frozen.thaw()
        if ledger.apply_plan(item.plan):
            yield f"{name} applies {item.plan.revision}", _with_ledger(state, index, ledger)
    ledger = frozen.thaw()
    report = Report(ledger.plan_revision, ledger.settled, ledger.clear)
    if report != state.reports[index]:
        reports = list(state.reports)
        reports[index] = report
        yield f"{name} reports", replace(state, reports=tuple(reports))
    yield from _loan_steps(state, index, name, mutant)


def _loan_steps(
    state: State, index: int, name: Incarnation, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps of one daemon that concern loans."""
    frozen = state.ledgers[index]
    if name == FIRST and not state.loans:
        ledger = frozen.thaw()
        loan = ledger.lend(SECOND, SLOT, 1)
        if loan is not None:
            if mutant is Mutant.LOWER_LATER:
                ledger._lent.clear()
            after = _with_ledger(state, index, ledger)
            yield f"{name} lends", replace(after, loans=state.loans | {loan})
    for loan in state.loans:
        ledger = frozen.thaw()
        if loan.borrower == name and _accept(ledger, loan, mutant):
            yield f"{name} gets loan {loan.key}", _with_ledger(state, index, ledger)
        ledger = frozen.thaw()
        if loan.key in ledger._borrowed and ledger.repay(loan.key):
            after = _with_ledger(state, index, ledger)
            yield f"{name} repays", replace(after, repayments=state.repayments | {loan})
    for loan in state.repayments:
        ledger = frozen.thaw()
        if loan.key.lender == name and loan.key in ledger._lent:
            ledger.reclaim_loan(loan.key)
            yield f"{name} takes back", _with_ledger(state, index, ledger)


def _accept(ledger: Ledger, loan: LoanRecord, mutant: Mutant) -> bool:
    """Accepts a loan, by the rule or by a mutant of it; returns whether anything changed."""
    before = len(ledger._borrowed), len(ledger._accepted_keys), ledger.allowance(SLOT)
    if mutant is Mutant.LOAN_TWICE:
        ledger._accepted_keys.discard(loan.key)
        if loan.key in ledger._borrowed:
            return False
    if mutant is Mutant.LOAN_FROM_ENDED:
        ledger._holders |= {loan.key.lender}
    ledger.accept(loan)
    return before != (len(ledger._borrowed), len(ledger._accepted_keys), ledger.allowance(SLOT))


def _planner_steps(state: State, mutant: Mutant, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Yields the steps of a planner that may be paused, and of one that writes at once."""
    current = state.history[-1].plan.revision
    if state.pending is not None:
        emptied = replace(state, pending=None)
        if state.pending.plan.revision == current + 1 or mutant is Mutant.TRUST_THE_LEASE:
            yield "paused planner writes", _write(emptied, state.pending.plan)
        else:
            yield "paused planner loses the race", emptied
    base = state.history[-1].plan
    if base.revision >= bounds.max_revision:
        return
    for grantee in bounds.grantees:
        shares = {name: {SLOT: CAP if name == grantee else 0} for name in bounds.daemons}
        plan = _revise(base, shares, _evidence(state, base, mutant, bounds), mutant)
        if plan is None:
            continue
        yield f"planner grants to {grantee}", _write(state, plan)
        if state.pending is None and bounds.planner_pauses:
            label = f"planner pauses before granting to {grantee}"
            yield label, replace(state, pending=HashablePlan(plan))


def _write(state: State, plan: Plan) -> State:
    """Returns the state with a plan as the store's latest."""
    revision = Revision(state.history[-1].plan.revision + 1)
    written = HashablePlan(replace(plan, revision=revision))
    return replace(state, history=(*state.history, written))


def _evidence(state: State, base: Plan, mutant: Mutant, bounds: Bounds) -> Evidence:
    """Returns what a planner knows, by the rule or by a mutant of it."""
    pairs = list(zip(bounds.daemons, state.reports, strict=True))
    if mutant is not Mutant.ANY_REVISION:
        pairs = [(name, report) for name, report in pairs if report.revision == base.revision]
    settled = frozenset(name for name, report in pairs if report.settled)
    clear = frozenset(name for name, report in pairs if report.clear)
    if mutant is Mutant.RAISE_BEFORE_LOWERED:
        settled = frozenset(bounds.daemons)
    if mutant is Mutant.NO_CLEARANCE:
        clear = frozenset(bounds.daemons)
    return Evidence(settled, clear, state.known_ended, base.revision * QUARANTINE_MS)


def _revise(base: Plan, desired: Any, evidence: Evidence, mutant: Mutant) -> Plan | None:
    """Returns the next plan; under RAISE_BEFORE_LOWERED the new limits are ceilings at once."""
    plan = revise_plan(base, CAPS, desired, evidence)
    if plan is None or mutant is not Mutant.RAISE_BEFORE_LOWERED:
        return plan
    lowered = {
        holder: {slot: Grant(grant.limit, grant.limit) for slot, grant in held.items()}
        for holder, held in plan.grants.items()
    }
    again = plans.revise_plan(replace(base, grants=lowered), CAPS, desired, evidence)
    return again or plan
