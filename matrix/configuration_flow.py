"""Flow of configuration changes through three daemons."""

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
from matrix.faults import FakeStore, Fault, FaultInjector, InvariantViolation, StepInterrupted
from standins.layouts import LAYOUTS, configuration

__all__ = ["ConfigurationFlow"]


class ConfigurationFlow:
    """Changes by two operators, made at daemons that spread them to each other."""

    steps = ("read", "write", "spread", "apply", "heartbeat")

    def __init__(self, injector: FaultInjector, seed: int) -> None:
        self._injector = injector
        self._random = random.Random(seed)
        self._store = FakeStore()
        self._replicas = [DocumentReplicas([CONFIGURATION]) for _ in range(3)]
        self._frozen_rounds = [0, 0, 0]
        self._messages: deque[tuple[int, Document]] = deque()
        self._acknowledged_ids: set[str] = set()
        self._content_by_number: dict[int, bytes] = {}
        self._configuration = check_configuration(configuration(LAYOUTS["prairie"])).unwrap()
        self._change_count = 0

    def run(self) -> None:
        """Runs all rounds; raises InvariantViolation."""
        for round_number in range(40):
            self._store.down_rounds = max(0, self._store.down_rounds - 1)
            self._frozen_rounds = [max(0, rounds - 1) for rounds in self._frozen_rounds]
            if round_number % 5 == 0 and round_number < 25:
                self._make_change(round_number % 3)
            self._run_watcher()
            self._exchange_heartbeat()
            self._deliver_messages()
        numbers = {replicas.revision(CONFIGURATION) for replicas in self._replicas}
        if len(numbers) != 1:
            raise InvariantViolation(
                f"different configuration numbers {numbers} in force at the end"
            )
        self._check_acknowledged_changes()

    def _check_acknowledged_changes(self) -> None:
        """Raises InvariantViolation when an acknowledged change is missing at the end."""
        document = self._replicas[0].get(CONFIGURATION)
        change = decode_change(document.content).unwrap() if document else None
        present = {entry["change_id"] for entry in change.history} if change else set()
        present.add(change.change_id if change else "")
        if not self._acknowledged_ids <= present:
            raise InvariantViolation(
                f"acknowledged changes lost: {self._acknowledged_ids - present}"
            )

    def _inject_fault(self, step: str, index: int) -> bool:
        """Injects the fault if it is due at a step; returns whether to skip the step."""
        fault = self._injector.start_step(step)
        match fault:
            case None:
                return False
            case Fault.MESSAGE_LOST:
                return True
            case Fault.PROCESS_KILLED | Fault.PROCESS_KILLED_TWICE | Fault.KILLED_AND_STORE_DOWN:
                self._replicas[index] = DocumentReplicas([CONFIGURATION])
                if fault is Fault.KILLED_AND_STORE_DOWN:
                    self._store.down_rounds = 8
                return True
            case Fault.PROCESS_FROZEN | Fault.ROLE_HOLDER_PAUSED:
                self._frozen_rounds[index] = 8
            case Fault.STORE_DOWN:
                self._store.down_rounds = 8
            case Fault.ANSWER_LOST:
                self._store.lose_next_answer = True
            case Fault.RIVAL_ACTS:
                self._make_change((index + 1) % 3)
            case Fault.MESSAGE_REPEATED:
                self._messages.extend(list(self._messages))
        return False

    def _make_change(self, index: int) -> None:
        """Makes a change at a daemon as `config apply` does, with up to three attempts."""
        self._change_count += 1
        change_id = f"c{self._change_count}"
        for _ in range(3):
            if (
                self._frozen_rounds[index]
                or self._store.down_rounds
                or self._inject_fault("read", index)
            ):
                return
            previous, expected_revision = self._find_latest_change(index), self._store.revision
            if previous is not None and change_id in _list_change_ids(previous):
                self._acknowledged_ids.add(change_id)
                return
            change = create_change(previous, change_id, "ann", "s", self._configuration)
            if self._inject_fault("write", index):
                return
            try:
                self._store.compare_and_swap(expected_revision, encode_change(change))
            except StepInterrupted:
                continue
            self._acknowledged_ids.add(change_id)
            return

    def _find_latest_change(self, index: int) -> Change | None:
        """Returns the latest change in the store or at the daemon, or None."""
        contents = [self._store.content]
        document = self._replicas[index].get(CONFIGURATION)
        contents.append(document.content if document else None)
        changes = [decode_change(content).unwrap() for content in contents if content]
        return max(changes, key=lambda change: change.number, default=None)

    def _run_watcher(self) -> None:
        """Reads the store as a watcher and sends its configuration to a daemon."""
        if self._store.content is None or self._store.down_rounds:
            return
        number = decode_change(self._store.content).unwrap().number
        document = Document(CONFIGURATION, number, self._store.content)
        if not self._inject_fault("spread", 0):
            self._messages.append((self._random.randrange(3), document))

    def _exchange_heartbeat(self) -> None:
        """Compares the revisions of two daemons; the second fetches newer documents."""
        first, second = self._random.sample(range(3), 2)
        if self._inject_fault("heartbeat", first):
            return
        versions = self._replicas[first].versions()
        for name in self._replicas[second].find_outdated(versions):
            document = self._replicas[first].get(name)
            if document is not None:
                self._messages.append((second, document))

    def _deliver_messages(self) -> None:
        """Delivers the queued messages in a random order.

        Raises InvariantViolation when a daemon reverts or a number has two configurations.
        """
        messages = list(self._messages)
        self._messages.clear()
        self._random.shuffle(messages)
        for index, document in messages:
            if self._frozen_rounds[index] or self._random.random() < 0.2:
                self._messages.append((index, document))
                continue
            if self._inject_fault("apply", index):
                continue
            previous_revision = self._replicas[index].revision(CONFIGURATION)
            self._replicas[index].accept(document)
            if self._replicas[index].revision(CONFIGURATION) < previous_revision:
                raise InvariantViolation(f"daemon {index} reverted from {previous_revision}")
            if (
                self._content_by_number.setdefault(document.revision, document.content)
                != document.content
            ):
                raise InvariantViolation(f"two configurations with number {document.revision}")


def _list_change_ids(change: Change) -> set[str]:
    """Returns the ids of a change and of the changes in its history."""
    return {change.change_id, *(entry["change_id"] for entry in change.history)}
