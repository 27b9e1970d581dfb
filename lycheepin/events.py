"""A ring buffer of events per process, and the merge of several into one timeline."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from lycheepin.clocks import HybridClock, Stamp, format_stamp

__all__ = ["Event", "EventRing", "format_event", "merge_events"]

RING_EVENTS = 4096


@dataclass(frozen=True, order=True)
class Event:
    """A state change in one process."""

    stamp: Stamp
    process: str
    kind: str
    detail: str

    def to_json(self) -> dict[str, Any]:
        """Returns the event as a JSON object."""
        return asdict(self)


class EventRing:
    """The latest events of one process. When it is full, the oldest event is dropped."""

    def __init__(self, process: str, clock: HybridClock, size: int = RING_EVENTS) -> None:
        self._process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=size)

    def record(self, kind: str, detail: str = "") -> Event:
        """Adds an event with a new stamp and returns it."""
        event = Event(self._clock.stamp(), self._process, kind, detail)
        self._events.append(event)
        return event

    def since(self, stamp: Stamp) -> list[Event]:
        """Returns the events later than `stamp`, oldest first."""
        return [event for event in self._events if event.stamp > stamp]


def merge_events(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Returns the events of several rings in causal order, which is the order of their stamps."""
    return list(heapq.merge(*rings))


def format_event(event: Event) -> str:
    """Returns an event as one line of text."""
    return f"{format_stamp(event.stamp)}  {event.process:24} {event.kind:22} {event.detail}"
