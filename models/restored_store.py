"""Model of followers of a store that comes back from a copy.

The store, a reader that lists or watches it, and a follower that polls the reader, which may be
behind, or reads the store itself. Bounds: three writes before or after the return, one copy, one
return. After the return, revisions are given out again, with other content. Time is the number of
changes of the store, its return included. The replicas are those of the package.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.storage import (
    START,
    Changes,
    HistoryLost,
    Item,
    Listing,
    Position,
)

__all__ = ["Mutant", "build_model"]

MAX_WRITES = 3
KEYS = ("a", "b")


# What the store holds: its keys with their values.
Content = tuple[tuple[str, int], ...]


class Mutant(Enum):
    """Faults injected into the protocol; each one must violate a property."""

    NONE = "none"
    REVISION_ONLY = "name a state by its revision alone"
    WATCH_ACROSS_ERAS = "go on with a watch whose answer is of another era"
    ACCEPT_OUTDATED = "apply updates that are older than what is known"
    CHANGES_ACROSS_ERAS = "send the changes of two eras instead of a listing"


@dataclass(frozen=True)
class StoreState:
    """The items of the store, its era and revision, and the changes of its era."""

    era: int = 1
    revision: int = 1
    items: tuple[tuple[str, int, int], ...] = ()
    history: tuple[tuple[str, int, int], ...] = ()

    def write(self, key: str, value: int) -> StoreState:
        """Returns the store after a write."""
        entry = (key, value, self.revision + 1)
        kept = tuple(item for item in self.items if item[0] != key)
        return replace(
            self,
            revision=self.revision + 1,
            items=tuple(sorted((*kept, entry))),
            history=(*self.history, entry),
        )


@dataclass(frozen=True)
class ReplicaState:
    """What a replica holds, and the time at which it last matched the store; -1 for never."""

    position: Position | None = None
    items: tuple[Item, ...] = ()
    changes: tuple[tuple[Position, str], ...] = ()
    complete_after: Position = START
    matched_at: int = -1

    @classmethod
    def from_replica(cls, replica: StoreReplica, matched_at: int) -> ReplicaState:
        """Returns the state of a replica."""
        items = tuple(sorted(replica._items.values(), key=lambda item: item.key))
        return cls(
            replica.position, items, tuple(replica._changes), replica._complete_after, matched_at
        )

    def build_replica(self) -> StoreReplica:
        """Returns a replica in this state."""
        replica = StoreReplica()
        replica.position = self.position
        replica._items = {item.key: item for item in self.items}
        replica._changes.extend(self.changes)
        replica._complete_after = self.complete_after
        return replica


@dataclass(frozen=True)
class State:
    """A state of the model.

    `contents` are those of the store at each time so far, and `copy` is what it can come back from,
    None without a copy.
    """

    store: StoreState = StoreState()
    contents: tuple[Content, ...] = ((),)
    copy: StoreState | None = None
    writes: int = 0
    restored: bool = False
    reader: ReplicaState = ReplicaState()
    follower: ReplicaState = ReplicaState()


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with the fault of `mutant` injected."""
    return Protocol(
        name=f"restored store ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=lambda values: [
            (label, (after,)) for label, after in _generate_steps(values[0], mutant)
        ],
        invariants={
            "reader_is_as_new_as_it_says": lambda fields: _is_as_new(
                fields["state"].reader, fields["state"].contents
            ),
            "follower_is_as_new_as_it_says": lambda fields: _is_as_new(
                fields["state"].follower, fields["state"].contents
            ),
        },
    )


def _is_as_new(replica: ReplicaState, contents: tuple[Content, ...]) -> bool:
    """Returns whether a replica holds what the store held when they last matched, or later."""
    held = tuple((item.key, int(item.value)) for item in replica.items)
    return replica.matched_at < 0 or held in contents[replica.matched_at :]


def _generate_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the label and the next state of each step that is possible."""
    if state.writes < MAX_WRITES:
        for key in KEYS:
            written = state.store.write(key, state.writes + 1)
            yield f"write {key}", _change_store(replace(state, writes=state.writes + 1), written)
    if state.copy is None:
        yield "copy", replace(state, copy=state.store)
    elif not state.restored:
        restored = replace(state.copy, era=state.store.era + 1, history=())
        yield "return", _change_store(replace(state, restored=True), restored)
    yield "reader reads", replace(state, reader=_read_store(state.reader, state, mutant))
    yield "follower reads", replace(state, follower=_read_store(state.follower, state, mutant))
    if state.reader.position is not None:
        yield "follower polls", replace(
            state, follower=_poll_reader(state.follower, state.reader, mutant)
        )


def _change_store(state: State, store: StoreState) -> State:
    """Returns the state with another content of the store."""
    content = tuple((key, value) for key, value, _ in store.items)
    return replace(state, store=store, contents=(*state.contents, content))


def _read_store(before: ReplicaState, state: State, mutant: Mutant) -> ReplicaState:
    """Returns a replica after a watch of the store, or a listing where it has no such history."""
    store = state.store
    era = 0 if mutant is Mutant.REVISION_ONLY else store.era
    replica = before.build_replica()
    answer: Changes | HistoryLost = HistoryLost()
    if replica.position is not None:
        watched_era = replica.position.era if mutant is Mutant.WATCH_ACROSS_ERAS else era
        answer = _watch(store, replica.position, watched_era)
    if isinstance(answer, Changes):
        replica.apply_changes(answer)
    else:
        items = tuple(
            Item(key, str(value).encode(), Position(era, revision))
            for key, value, revision in store.items
        )
        kept = list(replica._changes) if mutant is Mutant.CHANGES_ACROSS_ERAS else []
        complete_after = replica._complete_after
        replica.replace_items(Listing(items, Position(era, store.revision)))
        if kept:
            changed = [(Position(era, store.revision), item.key) for item in items]
            replica._changes.extend((*kept, *changed))
            replica._complete_after = complete_after
    return ReplicaState.from_replica(replica, len(state.contents) - 1)


def _watch(store: StoreState, after: Position, era: int) -> Changes | HistoryLost:
    """Returns the changes after a position, or that the store does not have them."""
    first_kept = store.revision - len(store.history)
    if after.era != era or not first_kept <= after.revision <= store.revision:
        return HistoryLost()
    events = tuple(
        Item(key, str(value).encode(), Position(era, revision))
        for key, value, revision in store.history
        if revision > after.revision
    )
    return Changes(events, Position(era, store.revision))


def _poll_reader(before: ReplicaState, reader: ReplicaState, mutant: Mutant) -> ReplicaState:
    """Returns a follower after a poll of a reader."""
    replica = before.build_replica()
    after = replica.position or START
    updates = reader.build_replica().read_updates(after)
    assert updates is not None
    if updates.as_of < after and mutant is Mutant.ACCEPT_OUTDATED:
        updates = reader.build_replica().read_updates(START)
    elif updates.as_of < after:
        return before
    match updates:
        case Listing():
            replica.replace_items(updates)
        case Changes():
            replica.apply_changes(updates)
    return ReplicaState.from_replica(replica, max(before.matched_at, reader.matched_at))
