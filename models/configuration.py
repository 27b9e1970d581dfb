"""Dissemination of the configuration: races, lost answers, restarts, a rolled-back store.

Bounds: two operators with one change each, two daemons, one restart, one rollback of the store.
Contents are the names of the operators; copies once sent may arrive at any time, in any order.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from lycheepin.cluster.documents import CONFIGURATION, Document, DocumentReplicas
from lycheepin.names import Revision

__all__ = ["Mutant", "build_model"]

OPERATORS = ("ann", "bob")
DAEMONS = 2


class Mutant(Enum):
    """Faults put into the protocol on purpose; each has to be caught."""

    NONE = "none"
    ACCEPT_EQUAL = "accept a copy with an equal revision"
    ACCEPT_LOWER = "accept any copy that arrives"
    BLIND_WRITE = "write without comparing the store's revision"
    STORE_DECIDES = "order copies by the store's latest value alone"


@dataclass(frozen=True)
class Value:
    """One configuration: its number, who wrote it, and the writers before."""

    number: int
    writers: tuple[str, ...]


@dataclass(frozen=True)
class State:
    """A state; `read` is what each operator's daemon has read before its write."""

    store: Value = Value(1, ("base",))
    store_revision: int = 1
    read: tuple[tuple[Value, int] | None, ...] = (None, None)
    told: frozenset[str] = frozenset()
    done: frozenset[str] = frozenset()
    held: tuple[Value | None, ...] = (None,) * DAEMONS
    sent: frozenset[Value] = frozenset()
    restarts: int = 1
    rollbacks: int = 1
    reverted: bool = False


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with a fault if one is named."""
    return Protocol(
        name=f"configuration ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda s: [(label, (after,)) for label, after in _steps(s[0], mutant)],
        invariants={
            "never_reverts": lambda d: not d["state"].reverted,
            "accepted_stays": lambda d: _accepted_stays(d["state"]),
        },
    )


def _accepted_stays(state: State) -> bool:
    """Returns whether the store has every change that was reported as accepted.

    A store that was rolled back has lost changes by itself; then nothing is claimed.
    """
    return state.rollbacks == 0 or state.told <= set(state.store.writers)


def _steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields all next states."""
    for index, operator in enumerate(OPERATORS):
        yield from _operator_steps(state, index, operator, mutant)
    yield "watcher reads the store", replace(state, sent=state.sent | {state.store})
    for daemon in range(DAEMONS):
        for value in state.sent:
            yield f"daemon {daemon} gets {value.number}", _receive(state, daemon, value, mutant)
        if state.restarts and state.held[daemon] is not None:
            held = list(state.held)
            held[daemon] = None
            yield f"daemon {daemon} restarts", replace(state, held=tuple(held), restarts=0)
    if state.rollbacks and state.store.number > 1:
        after = replace(state, store=Value(1, ("base",)), rollbacks=0)
        yield "store rolled back", replace(after, store_revision=state.store_revision + 1)


def _operator_steps(
    state: State, index: int, operator: str, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps of one operator's change at daemon `index`."""
    if operator in state.done:
        return
    read = state.read[index]
    if read is None:
        latest = state.store
        known = state.held[index]
        if mutant is not Mutant.STORE_DECIDES and known is not None:
            latest = max(latest, known, key=lambda value: value.number)
        reads = list(state.read)
        reads[index] = (latest, state.store_revision)
        yield f"{operator} reads", replace(state, read=tuple(reads))
        return
    before, expected = read
    cleared = list(state.read)
    cleared[index] = None
    if expected != state.store_revision and mutant is not Mutant.BLIND_WRITE:
        yield f"{operator} loses the race", replace(state, read=tuple(cleared))
        return
    value = Value(before.number + 1, (*before.writers, operator))
    written = replace(
        state,
        store=value,
        store_revision=state.store_revision + 1,
        read=tuple(cleared),
        done=state.done | {operator},
    )
    yield f"{operator} writes", replace(written, told=state.told | {operator})
    yield f"{operator} writes, answer lost", written


def _receive(state: State, daemon: int, value: Value, mutant: Mutant) -> State:
    """Returns the state after a daemon got a copy, by the product's rule or a mutant of it."""
    before = state.held[daemon]
    accepted = _accepts(before, value)
    if before is not None and mutant is Mutant.ACCEPT_EQUAL:
        accepted = value.number >= before.number
    if mutant in (Mutant.ACCEPT_LOWER, Mutant.STORE_DECIDES):
        accepted = True
    if not accepted or value == before:
        return state
    held = list(state.held)
    held[daemon] = value
    reverted = before is not None and value.number <= before.number
    return replace(state, held=tuple(held), reverted=state.reverted or reverted)


def _accepts(before: Value | None, value: Value) -> bool:
    """Returns whether the product's replicas take a copy over."""
    replicas = DocumentReplicas([CONFIGURATION])
    if before is not None:
        replicas.accept(Document(CONFIGURATION, Revision(before.number), repr(before).encode()))
    return replicas.accept(Document(CONFIGURATION, Revision(value.number), repr(value).encode()))
