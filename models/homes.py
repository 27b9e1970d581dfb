"""At most one run of each id: homes, repeats anywhere, crashes, restarts and expiry.

Bounds: one id, three copies of the request, two entry VMs, one restart of the home, three ticks
of the home's clock of which the id is valid for two.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from lycheepin.names import Address, Incarnation
from lycheepin.steering.request_ids import ForwardToOwner, RequestId, RequestIdTable, Run, RunState

__all__ = ["Mutant", "build_model"]

HOME = Address("127.0.0.1")
OLD, NEW = Incarnation(1), Incarnation(2)
EXPIRES = 2
LAST_TICK = 3
LIFETIME = 10
COPIES = 3


class Mutant(Enum):
    """Faults put into the protocol on purpose; each has to be caught."""

    NONE = "none"
    RETRY_AFTER_SEND = "run again after a break that followed the first byte"
    REUSED_INCARNATION = "start again with the same incarnation"
    FORGET_EARLY = "forget an id before it expires"
    RUN_EXPIRED = "run an id that has expired"
    RUN_ANYWHERE = "run an id at an entry VM that is not its home"


class Phase(Enum):
    """What the home's attempt is doing."""

    IDLE = "idle"
    BEFORE_SEND = "before send"
    SENT = "sent"


@dataclass(frozen=True)
class State:
    """A state of the system; `entry` is what the home remembers of the id."""

    copies: int = COPIES
    tick: int = 0
    incarnation: Incarnation = OLD
    entry: RunState | None = None
    phase: Phase = Phase.IDLE
    runs: int = 0


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with a fault if one is named."""
    return Protocol(
        name=f"homes ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda s: [(label, (after,)) for label, after in _steps(s[0], mutant)],
        invariants={"at_most_one_run": lambda d: d["state"].runs <= 1},
    )


def _table(state: State) -> RequestIdTable:
    """Returns the product's table in the state of the model."""
    table = RequestIdTable(HOME, state.incarnation, LIFETIME)
    if state.entry is not None:
        table.begin(_request(), 0)
        if state.entry is RunState.ANSWERED:
            table.answered(_request().key, None)
        elif state.entry is RunState.UNKNOWN:
            table.unknown(_request().key)
    return table


def _request() -> RequestId:
    """Returns the one id, bound to the first incarnation."""
    return RequestId(HOME, OLD, EXPIRES, "n")


def _remembered(table: RequestIdTable) -> RunState | None:
    """Returns what a table remembers of the id."""
    entry = table._entries.get(_request().key)
    return entry.state if entry is not None else None


def _steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields all next states."""
    if state.copies:
        yield from _deliver(state, mutant)
    yield from _attempt(state, mutant)
    if state.incarnation == OLD:
        incarnation = OLD if mutant is Mutant.REUSED_INCARNATION else NEW
        after = replace(state, incarnation=incarnation, entry=None, phase=Phase.IDLE)
        yield "home restarts", after
    if state.tick < LAST_TICK:
        tick = state.tick + 1
        table = _table(state)
        table.expire(tick + 1 if mutant is Mutant.FORGET_EARLY else tick)
        yield "clock ticks", replace(state, tick=tick, entry=_remembered(table))


def _deliver(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the arrival of a copy at the home, or at another VM that passes it on."""
    used = replace(state, copies=state.copies - 1)
    table = _table(state)
    now = 0 if mutant is Mutant.RUN_EXPIRED else state.tick
    match table.begin(_request(), now):
        case Run():
            begun = replace(used, entry=_remembered(table), phase=Phase.BEFORE_SEND)
            yield "copy begins at home", begun
        case ForwardToOwner():
            yield "copy finds another incarnation", used
        case _:
            yield "copy waits or is refused", used
    if mutant is Mutant.RUN_ANYWHERE:
        yield "copy runs elsewhere", replace(used, runs=state.runs + 1)


def _attempt(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the steps of the home's attempt at an endpoint."""
    if state.phase is Phase.BEFORE_SEND:
        yield "refused before send", _settle(state, "not_run")
        yield "sent, endpoint runs", replace(state, phase=Phase.SENT, runs=state.runs + 1)
        yield "sent, endpoint lost it", replace(state, phase=Phase.SENT)
    if state.phase is Phase.SENT:
        yield "answered", _settle(state, "answered")
        broken = "not_run" if mutant is Mutant.RETRY_AFTER_SEND else "unknown"
        yield "connection broke", _settle(state, broken)


def _settle(state: State, outcome: str) -> State:
    """Returns the state after the home has recorded how its attempt ended."""
    table = _table(state)
    key = _request().key
    if outcome == "answered":
        table.answered(key, None)
    elif outcome == "unknown":
        table.unknown(key)
    else:
        table.not_run(key)
    return replace(state, entry=_remembered(table), phase=Phase.IDLE)
