"""Model of protected requests: each request id runs at most once.

It covers repeated requests at any entry VM, broken connections, a restart of the id's owner and
expiry. Bounds: one id, three copies of the request, two entry VMs, one restart of the owner, three
ticks of the owner's clock; the id is valid for two of them. Labels and mutants call the owner the
home of the id.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from lycheepin.names import Address, Incarnation
from lycheepin.steering.request_ids import ForwardToOwner, RequestId, RequestIdTable, Run, RunState

__all__ = ["Mutant", "build_model"]

OWNER = Address("127.0.0.1")
OLD_INCARNATION, NEW_INCARNATION = Incarnation(1), Incarnation(2)
EXPIRY_TICK = 2
LAST_TICK = 3
LIFETIME_TICKS = 10
COPIES = 3


class Mutant(Enum):
    """Faults injected into the protocol; each one must violate a property."""

    NONE = "none"
    RETRY_AFTER_SEND = "run again after a break that followed the first byte"
    REUSED_INCARNATION = "start again with the same incarnation"
    FORGET_EARLY = "forget an id before it expires"
    RUN_EXPIRED = "run an id that has expired"
    RUN_ANYWHERE = "run an id at an entry VM that is not its home"


class Phase(Enum):
    """Progress of the owner's attempt at an endpoint."""

    IDLE = "idle"
    BEFORE_SEND = "before send"
    SENT = "sent"


@dataclass(frozen=True)
class State:
    """A state of the model.

    `run_state` is the state of the id in the owner's table, or None. `runs` counts how often an
    endpoint ran the request.
    """

    copies_left: int = COPIES
    tick: int = 0
    incarnation: Incarnation = OLD_INCARNATION
    run_state: RunState | None = None
    phase: Phase = Phase.IDLE
    runs: int = 0


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with the fault of `mutant` injected."""
    return Protocol(
        name=f"homes ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda values: [
            (label, (after,)) for label, after in _generate_steps(values[0], mutant)
        ],
        invariants={"at_most_one_run": lambda fields: fields["state"].runs <= 1},
    )


def _build_table(state: State) -> RequestIdTable:
    """Returns a table of request ids in the state of the model."""
    table = RequestIdTable(OWNER, state.incarnation, LIFETIME_TICKS)
    if state.run_state is not None:
        table.begin(_build_request_id(), 0)
        if state.run_state is RunState.ANSWERED:
            table.answered(_build_request_id().key, None)
        elif state.run_state is RunState.UNKNOWN:
            table.unknown(_build_request_id().key)
    return table


def _build_request_id() -> RequestId:
    """Returns the only id of the model, owned by the first incarnation."""
    return RequestId(OWNER, OLD_INCARNATION, EXPIRY_TICK, "n")


def _read_run_state(table: RequestIdTable) -> RunState | None:
    """Returns the state of the id in a table, or None."""
    entry = table._entries.get(_build_request_id().key)
    return entry.state if entry is not None else None


def _generate_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the label and the next state of each step that is possible."""
    if state.copies_left:
        yield from _generate_delivery_steps(state, mutant)
    yield from _generate_attempt_steps(state, mutant)
    if state.incarnation == OLD_INCARNATION:
        incarnation = OLD_INCARNATION if mutant is Mutant.REUSED_INCARNATION else NEW_INCARNATION
        after = replace(state, incarnation=incarnation, run_state=None, phase=Phase.IDLE)
        yield "home restarts", after
    if state.tick < LAST_TICK:
        tick = state.tick + 1
        table = _build_table(state)
        table.expire(tick + 1 if mutant is Mutant.FORGET_EARLY else tick)
        yield "clock ticks", replace(state, tick=tick, run_state=_read_run_state(table))


def _generate_delivery_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the steps of a copy that arrives at the owner, directly or forwarded by another VM."""
    used = replace(state, copies_left=state.copies_left - 1)
    table = _build_table(state)
    now_tick = 0 if mutant is Mutant.RUN_EXPIRED else state.tick
    match table.begin(_build_request_id(), now_tick):
        case Run():
            begun = replace(used, run_state=_read_run_state(table), phase=Phase.BEFORE_SEND)
            yield "copy begins at home", begun
        case ForwardToOwner():
            yield "copy finds another incarnation", used
        case _:
            yield "copy waits or is refused", used
    if mutant is Mutant.RUN_ANYWHERE:
        yield "copy runs elsewhere", replace(used, runs=state.runs + 1)


def _generate_attempt_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the steps of the owner's attempt at an endpoint."""
    if state.phase is Phase.BEFORE_SEND:
        yield "refused before send", _record_outcome(state, "not_run")
        yield "sent, endpoint runs", replace(state, phase=Phase.SENT, runs=state.runs + 1)
        yield "sent, endpoint lost it", replace(state, phase=Phase.SENT)
    if state.phase is Phase.SENT:
        yield "answered", _record_outcome(state, "answered")
        broken_outcome = "not_run" if mutant is Mutant.RETRY_AFTER_SEND else "unknown"
        yield "connection broke", _record_outcome(state, broken_outcome)


def _record_outcome(state: State, outcome: str) -> State:
    """Returns the state after the owner has recorded the outcome of its attempt."""
    table = _build_table(state)
    key = _build_request_id().key
    if outcome == "answered":
        table.answered(key, None)
    elif outcome == "unknown":
        table.unknown(key)
    else:
        table.not_run(key)
    return replace(state, run_state=_read_run_state(table), phase=Phase.IDLE)
