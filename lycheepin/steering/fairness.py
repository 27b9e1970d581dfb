"""Queue that shares slots among fleets by max-min fairness.

Within each fleet, protected requests come first.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from lycheepin.names import FleetName

__all__ = ["FairQueue"]

T = TypeVar("T")


@dataclass
class _FleetQueue(Generic[T]):
    """Waiting items of one fleet: protected ones, and idempotent ones by whether they are late.

    An item is late when it can no longer meet its target. Items in `timely` are stored with their
    latest start time.
    """

    protected: deque[T] = field(default_factory=deque)
    timely: deque[tuple[float, T]] = field(default_factory=deque)
    late: deque[T] = field(default_factory=deque)

    def __len__(self) -> int:
        """Returns the number of items."""
        return len(self.protected) + len(self.timely) + len(self.late)

    def move_late_items(self, now_s: float) -> None:
        """Moves items that can no longer meet their target from `timely` to `late`."""
        while self.timely and self.timely[0][0] < now_s:
            self.late.append(self.timely.popleft()[1])

    def first(self) -> T:
        """Returns the next item: protected, timely, late, each in order of arrival."""
        if self.protected:
            return self.protected[0]
        return self.timely[0][1] if self.timely else self.late[0]

    def items(self) -> list[T]:
        """Returns all items."""
        return [*self.protected, *(item for _, item in self.timely), *self.late]

    def remove(self, item: T) -> bool:
        """Removes an item and returns whether it was there."""
        size = len(self)
        self.protected = deque(i for i in self.protected if i is not item)
        self.timely = deque(pair for pair in self.timely if pair[1] is not item)
        self.late = deque(i for i in self.late if i is not item)
        return len(self) < size

    def pop_first(self) -> T:
        """Removes and returns the next item."""
        if self.protected:
            return self.protected.popleft()
        return self.timely.popleft()[1] if self.timely else self.late.popleft()


class FairQueue(Generic[T]):
    """Waiting items of one service by fleet, with the slots that each fleet has in use.

    Within a fleet, protected items come first, then idempotent ones that can still meet their
    target, then late ones: under overload, some are answered in time instead of none.
    """

    def __init__(self) -> None:
        self._waiting: dict[FleetName, _FleetQueue[T]] = {}
        self._in_use: defaultdict[FleetName, int] = defaultdict(int)

    def __len__(self) -> int:
        """Returns the number of waiting items."""
        return sum(map(len, self._waiting.values()))

    def waiting(self, fleet: FleetName) -> int:
        """Returns the number of items of one fleet."""
        return len(self._waiting[fleet]) if fleet in self._waiting else 0

    def active_fleets(self) -> int:
        """Returns the number of fleets that have waiting items or use slots."""
        return len({f for f, n in self._in_use.items() if n} | set(self._waiting))

    def push(self, fleet: FleetName, item: T, protected: bool, due_s: float) -> None:
        """Adds an item; `due_s` is the latest start time that meets its target."""
        queue = self._waiting.setdefault(fleet, _FleetQueue())
        if protected:
            queue.protected.append(item)
        else:
            queue.timely.append((due_s, item))

    def first(self, now_s: float) -> T | None:
        """Returns the next item of the waiting fleet that uses the fewest slots, or None."""
        if not self._waiting:
            return None
        queue = self._waiting[self._next_fleet()]
        queue.move_late_items(now_s)
        return queue.first()

    def pop_late(self) -> T | None:
        """Removes and returns a late item of the fleet that uses the fewest slots, or None."""
        fleets = [name for name, queue in self._waiting.items() if queue.late]
        if not fleets:
            return None
        fleet = min(fleets, key=lambda name: (self._in_use[name], name))
        item = self._waiting[fleet].late.popleft()
        self._remove_empty(fleet)
        return item

    def pop(self, fleet: FleetName) -> T:
        """Removes and returns the next item of a fleet; raises KeyError when it has none."""
        item = self._waiting[fleet].pop_first()
        self._remove_empty(fleet)
        return item

    def _next_fleet(self) -> FleetName:
        """Returns the waiting fleet that uses the fewest slots."""
        return min(self._waiting, key=lambda name: (self._in_use[name], name))

    def remove(self, fleet: FleetName, item: T) -> bool:
        """Removes a waiting item and returns whether it was there."""
        queue = self._waiting.get(fleet)
        found = queue is not None and queue.remove(item)
        self._remove_empty(fleet)
        return found

    def items(self) -> list[tuple[FleetName, T]]:
        """Returns all waiting items with their fleets."""
        return [(fleet, item) for fleet, queue in self._waiting.items() for item in queue.items()]

    def record_start(self, fleet: FleetName) -> None:
        """Counts one more slot in use by a fleet."""
        self._in_use[fleet] += 1

    def record_finish(self, fleet: FleetName) -> None:
        """Counts one slot fewer in use by a fleet."""
        self._in_use[fleet] -= 1

    def _remove_empty(self, fleet: FleetName) -> None:
        """Removes the queue of a fleet that has no waiting items."""
        if fleet in self._waiting and not len(self._waiting[fleet]):
            del self._waiting[fleet]
