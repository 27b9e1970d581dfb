"""Model of configuration changes and their distribution to the daemons.

It covers concurrent writes, lost answers of the store, restarts of daemons and a rollback of the
store. Bounds: two operators with one change each, two daemons, one restart, one rollback. A
configuration consists of the names of the operators whose changes it has. A copy that was sent
can arrive at any later time, in any order and any number of times.
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
    """Faults injected into the protocol; each one must violate a property."""

    NONE = "none"
    ACCEPT_EQUAL = "accept a copy with an equal revision"
    ACCEPT_LOWER = "accept any copy that arrives"
    BLIND_WRITE = "write without comparing the store's revision"
    STORE_DECIDES = "order copies by the store's latest value alone"


@dataclass(frozen=True)
class Configuration:
    """A configuration: its revision and the operators whose changes it has, oldest first."""

    revision: int
    writers: tuple[str, ...]


@dataclass(frozen=True)
class State:
    """A state of the model.

    `read` holds, for each operator, the configuration and store revision that the change is based
    on, or None. `acknowledged` are the operators whose change was reported as accepted,
    `finished` those whose change was written, with or without an answer. `configurations` holds
    the configuration in force at each daemon, or None; `sent_copies` all copies ever sent.
    `reverted` is set once a daemon replaced its configuration by one without a higher revision.
    """

    store: Configuration = Configuration(1, ("base",))
    store_revision: int = 1
    read: tuple[tuple[Configuration, int] | None, ...] = (None, None)
    acknowledged: frozenset[str] = frozenset()
    finished: frozenset[str] = frozenset()
    configurations: tuple[Configuration | None, ...] = (None,) * DAEMONS
    sent_copies: frozenset[Configuration] = frozenset()
    restarts_left: int = 1
    rollbacks_left: int = 1
    reverted: bool = False


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with the fault of `mutant` injected."""
    return Protocol(
        name=f"configuration ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda values: [
            (label, (after,)) for label, after in _generate_steps(values[0], mutant)
        ],
        invariants={
            "never_reverts": lambda fields: not fields["state"].reverted,
            "accepted_stays": lambda fields: _keeps_acknowledged_changes(fields["state"]),
        },
    )


def _keeps_acknowledged_changes(state: State) -> bool:
    """Returns whether the store has every change that was reported as accepted.

    The property doesn't apply after a rollback, which loses changes itself.
    """
    return state.rollbacks_left == 0 or state.acknowledged <= set(state.store.writers)


def _generate_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the label and the next state of each step that is possible."""
    for index, operator in enumerate(OPERATORS):
        yield from _generate_operator_steps(state, index, operator, mutant)
    yield "watcher reads the store", replace(state, sent_copies=state.sent_copies | {state.store})
    for daemon in range(DAEMONS):
        for configuration in state.sent_copies:
            yield f"daemon {daemon} gets {configuration.revision}", _receive_copy(
                state, daemon, configuration, mutant
            )
        if state.restarts_left and state.configurations[daemon] is not None:
            configurations = list(state.configurations)
            configurations[daemon] = None
            yield f"daemon {daemon} restarts", replace(
                state, configurations=tuple(configurations), restarts_left=0
            )
    if state.rollbacks_left and state.store.revision > 1:
        after = replace(state, store=Configuration(1, ("base",)), rollbacks_left=0)
        yield "store rolled back", replace(after, store_revision=state.store_revision + 1)


def _generate_operator_steps(
    state: State, index: int, operator: str, mutant: Mutant
) -> Iterator[tuple[str, State]]:
    """Yields the steps of an operator's change, which is made through daemon `index`."""
    if operator in state.finished:
        return
    read = state.read[index]
    if read is None:
        latest = state.store
        daemon_copy = state.configurations[index]
        if mutant is not Mutant.STORE_DECIDES and daemon_copy is not None:
            latest = max(latest, daemon_copy, key=lambda configuration: configuration.revision)
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
    configuration = Configuration(before.revision + 1, (*before.writers, operator))
    written = replace(
        state,
        store=configuration,
        store_revision=state.store_revision + 1,
        read=tuple(cleared),
        finished=state.finished | {operator},
    )
    yield f"{operator} writes", replace(written, acknowledged=state.acknowledged | {operator})
    yield f"{operator} writes, answer lost", written


def _receive_copy(state: State, daemon: int, configuration: Configuration, mutant: Mutant) -> State:
    """Returns the state after a daemon received a copy, by the rule of the package or a mutant."""
    before = state.configurations[daemon]
    accepted = _is_accepted(before, configuration)
    if before is not None and mutant is Mutant.ACCEPT_EQUAL:
        accepted = configuration.revision >= before.revision
    if mutant in (Mutant.ACCEPT_LOWER, Mutant.STORE_DECIDES):
        accepted = True
    if not accepted or configuration == before:
        return state
    configurations = list(state.configurations)
    configurations[daemon] = configuration
    reverted = before is not None and configuration.revision <= before.revision
    return replace(state, configurations=tuple(configurations), reverted=state.reverted or reverted)


def _is_accepted(before: Configuration | None, configuration: Configuration) -> bool:
    """Returns whether the package replaces `before`, if any, by `configuration`."""
    replicas = DocumentReplicas([CONFIGURATION])
    if before is not None:
        replicas.accept(Document(CONFIGURATION, Revision(before.revision), repr(before).encode()))
    return replicas.accept(
        Document(CONFIGURATION, Revision(configuration.revision), repr(configuration).encode())
    )
