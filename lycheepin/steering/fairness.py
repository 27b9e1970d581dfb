"""A queue that shares slots among fleets by max-min fairness, protected work first in each."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import Generic, TypeVar

from lycheepin.names import FleetName

__all__ = ["FairQueue"]

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Waiting items of one service by fleet, with the slots that each fleet has in use."""

    def __init__(self) -> None:
        self._waiting: defaultdict[FleetName, tuple[deque[T], deque[T]]] = defaultdict(
            lambda: (deque(), deque())
        )
        self._in_use: defaultdict[FleetName, int] = defaultdict(int)

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return sum(len(first) + len(rest) for first, rest in self._waiting.values())

    def waiting(self, fleet: FleetName) -> int:
        """Returns the number of items of one fleet."""
        return sum(map(len, self._waiting[fleet])) if fleet in self._waiting else 0

    def active_fleets(self) -> int:
        """Returns the number of fleets that wait or use slots."""
        return len({f for f, n in self._in_use.items() if n} | set(self._waiting))

    def push(self, fleet: FleetName, item: T, protected: bool) -> None:
        """Adds an item behind those of the same fleet and kind."""
        self._waiting[fleet][0 if protected else 1].append(item)

    def pop(self) -> T | None:
        """Returns the next item of the fleet that uses the fewest slots, or None."""
        if not self._waiting:
            return None
        fleet = min(self._waiting, key=lambda name: (self._in_use[name], name))
        protected, other = self._waiting[fleet]
        item = protected.popleft() if protected else other.popleft()
        self._drop_empty(fleet)
        return item

    def remove(self, fleet: FleetName, item: T) -> bool:
        """Removes a waiting item and returns whether it was there."""
        for items in self._waiting.get(fleet, ()):
            if item in items:
                items.remove(item)
                self._drop_empty(fleet)
                return True
        return False

    def items(self) -> list[tuple[FleetName, T]]:
        """Returns all waiting items with their fleets."""
        return [(f, i) for f, queues in self._waiting.items() for q in queues for i in q]

    def start(self, fleet: FleetName) -> None:
        """Counts one more slot in use by a fleet."""
        self._in_use[fleet] += 1

    def finish(self, fleet: FleetName) -> None:
        """Counts one slot less in use by a fleet."""
        self._in_use[fleet] -= 1

    def _drop_empty(self, fleet: FleetName) -> None:
        """Forgets a fleet without waiting items."""
        if not any(self._waiting[fleet]):
            del self._waiting[fleet]
