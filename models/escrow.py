"""Model of the escrow of tokens: plan changes, loans, concurrent planners and a daemon that ends.

There is one resource with a cap of 1, and one loan from the first daemon to the second; the first
daemon can end. Bounds PAIR: two daemons, plans up to revision 4, a planner that can be paused
between computing a plan and writing it, and one that writes at once. Bounds TRIO: three daemons,
plans up to revision 3, tokens granted to the first or the third daemon. Messages stay available
indefinitely, so each of them can be lost, delayed, repeated or reordered.
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
    """Faults injected into the protocol; each one must violate a property."""

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
    """Bounds of the model; `grantees` are the daemons to which planners grant the tokens."""

    daemons: tuple[Incarnation, ...]
    grantees: tuple[Incarnation, ...]
    max_revision: int
    planner_pauses: bool


PAIR = Bounds((FIRST, SECOND), (FIRST, SECOND), 4, True)
TRIO = Bounds((FIRST, SECOND, THIRD), (FIRST, THIRD), 3, False)


@dataclass(frozen=True)
class Report:
    """The last report of a daemon that the planners received; revision -1 stands for none.

    `settled` and `clear` are the properties of the daemon's `Ledger`.
    """

    revision: int = -1
    settled: bool = False
    clear: bool = False


class LedgerSnapshot:
    """A hashable, immutable snapshot of a ledger, used as part of a state."""

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
        return isinstance(other, LedgerSnapshot) and self.key == other.key

    def __repr__(self) -> str:
        """Returns the content."""
        return f"ledger{self.key}"

    @property
    def in_use(self) -> int:
        """The tokens in use."""
        return self._ledger.in_use(SLOT)

    def copy_ledger(self) -> Ledger:
        """Returns a mutable copy of the ledger."""
        original = self._ledger
        copy = Ledger(original.incarnation)
        copy.plan_revision = original.plan_revision
        copy._limits = dict(original._limits)
        copy._holders = original._holders
        copy._in_use.update(original._in_use)
        copy._lent = dict(original._lent)
        copy._borrowed = dict(original._borrowed)
        copy._accepted_keys = set(original._accepted_keys)
        copy._next_loan = original._next_loan
        return copy


class HashablePlan:
    """A hashable plan, used as part of a state."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        grants = tuple(
            (holder, tuple(sorted(holder_grants.items(), key=str)))
            for holder, holder_grants in plan.grants.items()
        )
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
    """A state of the model.

    `history` holds all plans ever written; the last one is in the store. `paused_plan` is the
    plan that a paused planner has computed but not yet written, or None. `known_ended` are the
    daemons that planners know to have ended. `loans` and `repayments` hold all messages of their
    kind ever sent.
    """

    history: tuple[Any, ...]
    paused_plan: HashablePlan | None
    ledgers: tuple[LedgerSnapshot, ...]
    alive: tuple[bool, ...]
    known_ended: frozenset[Incarnation]
    reports: tuple[Report, ...]
    loans: frozenset[LoanRecord]
    repayments: frozenset[LoanRecord]


def build_model(mutant: Mutant = Mutant.NONE, bounds: Bounds = PAIR) -> Protocol:
    """Returns the model within `bounds`, with the fault of `mutant` injected."""
    grants: dict[Incarnation, dict[Resource, Grant]] = {
        incarnation: {} for incarnation in bounds.daemons
    }
    grants[FIRST][SLOT] = Grant(CAP, CAP)
    first_plan = Plan(Revision(1), grants)
    ledgers = []
    for incarnation in bounds.daemons:
        ledger = Ledger(incarnation)
        ledger.apply_plan(first_plan)
        ledgers.append(LedgerSnapshot(ledger))
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
        transitions=lambda values: [
            (label, (after,)) for label, after in _generate_steps(values[0], mutant, bounds)
        ],
        invariants={"in_use_within_cap": lambda fields: _count_in_use(fields["state"]) <= CAP},
    )


def _count_in_use(state: State) -> int:
    """Returns the tokens in use at daemons that are alive."""
    pairs = zip(state.ledgers, state.alive, strict=True)
    return sum(ledger.in_use for ledger, alive in pairs if alive)


def _generate_steps(state: State, mutant: Mutant, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Yields the label and the next state of each step that is possible."""
    for index, incarnation in enumerate(bounds.daemons):
        if state.alive[index]:
            yield from _generate_daemon_steps(state, index, incarnation, mutant)
    yield from _generate_planner_steps(state, mutant, bounds)
    if all(state.alive):
        yield "daemon 1 ends", replace(state, alive=(False, *state.alive[1:]))
    for index, incarnation in enumerate(bounds.daemons):
        presumed_ended = mutant is Mutant.SILENCE_IS_DEATH and index == 0
        if (not state.alive[index] or presumed_ended) and incarnation not in state.known_ended:
            yield f"end of {incarnation} known", replace(
                state, known_ended=state.known_ended | {incarnation}
            )


def _replace_ledger(state: State, index: int, ledger: Ledger) -> State:
    """Returns the state with the ledger of the daemon at `index` replaced."""
    ledgers = list(state.ledgers)
    ledgers[index] = LedgerSnapshot(ledger)
    return replace(state, ledgers=tuple(ledgers))


def _generate_daemon_steps(
    state: State, index: int, incarnation: Incarnation, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps of one daemon."""
    snapshot = state.ledgers[index]
    ledger = snapshot.copy_ledger()
    if ledger.acquire(SLOT):
        yield f"{incarnation} starts a request", _replace_ledger(state, index, ledger)
    if snapshot.in_use:
        ledger = snapshot.copy_ledger()
        ledger.release(SLOT)
        yield f"{incarnation} ends a request", _replace_ledger(state, index, ledger)
    for stored_plan in state.history:
        ledger = snapshot.copy_ledger()
        if ledger.apply_plan(stored_plan.plan):
            yield f"{incarnation} applies {stored_plan.plan.revision}", _replace_ledger(
                state, index, ledger
            )
    ledger = snapshot.copy_ledger()
    report = Report(ledger.plan_revision, ledger.settled, ledger.clear)
    if report != state.reports[index]:
        reports = list(state.reports)
        reports[index] = report
        yield f"{incarnation} reports", replace(state, reports=tuple(reports))
    yield from _generate_loan_steps(state, index, incarnation, mutant)


def _generate_loan_steps(
    state: State, index: int, incarnation: Incarnation, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps in which one daemon lends, borrows, repays or reclaims a token."""
    snapshot = state.ledgers[index]
    if incarnation == FIRST and not state.loans:
        ledger = snapshot.copy_ledger()
        loan = ledger.lend(SECOND, SLOT, 1)
        if loan is not None:
            if mutant is Mutant.LOWER_LATER:
                ledger._lent.clear()
            after = _replace_ledger(state, index, ledger)
            yield f"{incarnation} lends", replace(after, loans=state.loans | {loan})
    for loan in state.loans:
        ledger = snapshot.copy_ledger()
        if loan.borrower == incarnation and _accept_loan(ledger, loan, mutant):
            yield f"{incarnation} gets loan {loan.key}", _replace_ledger(state, index, ledger)
        ledger = snapshot.copy_ledger()
        if loan.key in ledger._borrowed and ledger.repay(loan.key):
            after = _replace_ledger(state, index, ledger)
            yield f"{incarnation} repays", replace(after, repayments=state.repayments | {loan})
    for loan in state.repayments:
        ledger = snapshot.copy_ledger()
        if loan.key.lender == incarnation and loan.key in ledger._lent:
            ledger.reclaim_loan(loan.key)
            yield f"{incarnation} takes back", _replace_ledger(state, index, ledger)


def _accept_loan(ledger: Ledger, loan: LoanRecord, mutant: Mutant) -> bool:
    """Applies a loan by the rule of the package or a mutant; returns whether it had an effect."""
    before = len(ledger._borrowed), len(ledger._accepted_keys), ledger.allowance(SLOT)
    if mutant is Mutant.LOAN_TWICE:
        ledger._accepted_keys.discard(loan.key)
        if loan.key in ledger._borrowed:
            return False
    if mutant is Mutant.LOAN_FROM_ENDED:
        ledger._holders |= {loan.key.lender}
    ledger.accept(loan)
    return before != (len(ledger._borrowed), len(ledger._accepted_keys), ledger.allowance(SLOT))


def _generate_planner_steps(
    state: State, mutant: Mutant, bounds: Bounds
) -> Iterator[tuple[str, State]]:
    """Yields the steps of a planner that can be paused, and of one that writes at once."""
    current_revision = state.history[-1].plan.revision
    if state.paused_plan is not None:
        without_paused_plan = replace(state, paused_plan=None)
        if (
            state.paused_plan.plan.revision == current_revision + 1
            or mutant is Mutant.TRUST_THE_LEASE
        ):
            yield "paused planner writes", _write_plan(without_paused_plan, state.paused_plan.plan)
        else:
            yield "paused planner loses the race", without_paused_plan
    base = state.history[-1].plan
    if base.revision >= bounds.max_revision:
        return
    for grantee in bounds.grantees:
        desired = {
            incarnation: {SLOT: CAP if incarnation == grantee else 0}
            for incarnation in bounds.daemons
        }
        plan = _revise_plan(base, desired, _gather_evidence(state, base, mutant, bounds), mutant)
        if plan is None:
            continue
        yield f"planner grants to {grantee}", _write_plan(state, plan)
        if state.paused_plan is None and bounds.planner_pauses:
            label = f"planner pauses before granting to {grantee}"
            yield label, replace(state, paused_plan=HashablePlan(plan))


def _write_plan(state: State, plan: Plan) -> State:
    """Returns the state after `plan` was written to the store, with the next revision."""
    revision = Revision(state.history[-1].plan.revision + 1)
    written = HashablePlan(replace(plan, revision=revision))
    return replace(state, history=(*state.history, written))


def _gather_evidence(state: State, base: Plan, mutant: Mutant, bounds: Bounds) -> Evidence:
    """Returns the evidence that a planner has, by the rule of the package or a mutant.

    Its time advances by one quarantine per revision.
    """
    pairs = list(zip(bounds.daemons, state.reports, strict=True))
    if mutant is not Mutant.ANY_REVISION:
        pairs = [
            (incarnation, report)
            for incarnation, report in pairs
            if report.revision == base.revision
        ]
    settled = frozenset(incarnation for incarnation, report in pairs if report.settled)
    clear = frozenset(incarnation for incarnation, report in pairs if report.clear)
    if mutant is Mutant.RAISE_BEFORE_LOWERED:
        settled = frozenset(bounds.daemons)
    if mutant is Mutant.NO_CLEARANCE:
        clear = frozenset(bounds.daemons)
    return Evidence(settled, clear, state.known_ended, base.revision * QUARANTINE_MS)


def _revise_plan(base: Plan, desired: Any, evidence: Evidence, mutant: Mutant) -> Plan | None:
    """Returns the next plan, or None when nothing changes.

    RAISE_BEFORE_LOWERED sets each ceiling to the new limit without waiting for a report.
    """
    plan = revise_plan(base, CAPS, desired, evidence)
    if plan is None or mutant is not Mutant.RAISE_BEFORE_LOWERED:
        return plan
    lowered = {
        holder: {slot: Grant(grant.limit, grant.limit) for slot, grant in holder_grants.items()}
        for holder, holder_grants in plan.grants.items()
    }
    raised_plan = plans.revise_plan(replace(base, grants=lowered), CAPS, desired, evidence)
    return raised_plan or plan
