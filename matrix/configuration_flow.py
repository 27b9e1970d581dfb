"""The flow of configuration changes through three daemons."""

from __future__ import annotations

import random
from collections import deque

from lycheepin.cluster.documents import CONFIGURATION, Document, DocumentReplicas
from lycheepin.configuration import (
    Change,
    check_configuration,
    create_change,
    decode_change,
    encode_change,
)
from matrix.faults import Broken, FakeStore, Fault, Interrupted, Striker
from standins.layouts import LAYOUTS, configuration

__all__ = ["ConfigurationFlow"]


class ConfigurationFlow:
    """Changes by two operators through daemons that spread them to each other."""

    steps = ("read", "write", "spread", "apply", "heartbeat")

    def __init__(self, striker: Striker, seed: int) -> None:
        self._striker = striker
        self._random = random.Random(seed)
        self._store = FakeStore()
        self._replicas = [DocumentReplicas([CONFIGURATION]) for _ in range(3)]
        self._frozen = [0, 0, 0]
        self._messages: deque[tuple[int, Document]] = deque()
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
                self._replicas[index] = DocumentReplicas([CONFIGURATION])
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
            change = create_change(before, change_id, "ann", "s", self._document)
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
        copy = Document(CONFIGURATION, number, self._store.content)
        if not self._strike("spread", 0):
            self._messages.append((self._random.randrange(3), copy))

    def _heartbeat(self) -> None:
        """Lets two daemons compare revisions; the one behind fetches."""
        first, second = self._random.sample(range(3), 2)
        if self._strike("heartbeat", first):
            return
        versions = self._replicas[first].versions()
        for name in self._replicas[second].find_outdated(versions):
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
