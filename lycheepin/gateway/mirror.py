"""A daemon's replica of the platform's store, which other daemons can follow.

A few daemons of each region, the watchers, read the store; the others follow the watchers. Thus
the number of calls to the store grows with the number of regions, not of daemons. A daemon whose
calls the store rejects can follow any other daemon.
"""

from __future__ import annotations

import asyncio
from collections import deque

from lycheepin.gateway.storage import START, Changes, Item, Listing, Position, Removed

__all__ = ["StoreReplica"]

# Changes kept for followers; a follower that is further behind gets a complete listing.
MAX_KEPT_CHANGES = 4000


class StoreReplica:
    """The items of the store at a position, and the most recent changes.

    A follower gets the current value of each key that has changed. A key that changes often is
    therefore sent once, regardless of how far behind the follower is.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._changes: deque[tuple[Position, str]] = deque()
        self._complete_after = START
        self._changed = asyncio.Event()
        self.filled = asyncio.Event()
        self.position: Position | None = None
        self._confirmed_at_s: float | None = None

    @property
    def items(self) -> tuple[Item, ...]:
        """All items."""
        return tuple(self._items.values())

    def confirm_current(self, now_s: float, age_s: float = 0.0) -> None:
        """Records that the replica matched the store `age_s` seconds ago."""
        confirmed_at_s = now_s - age_s
        self._confirmed_at_s = max(confirmed_at_s, self._confirmed_at_s or confirmed_at_s)

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the replica last matched the store; infinite if never."""
        return now_s - self._confirmed_at_s if self._confirmed_at_s is not None else float("inf")

    def replace_items(self, listing: Listing) -> None:
        """Replaces all items by a complete listing; items that differ count as changed.

        The changes of an earlier era are dropped: some of them may never have happened.
        """
        items = {item.key: item for item in listing.items}
        if self.position is None or self.position.era != listing.as_of.era:
            self._changes.clear()
            self._complete_after = listing.as_of
        else:
            differing = {key for key in items if items[key] != self._items.get(key)}
            for key in sorted(differing | (self._items.keys() - items.keys())):
                self._append_change(listing.as_of, key)
        self._items = items
        self.position = listing.as_of
        self.filled.set()
        self._notify_followers()

    def apply_changes(self, changes: Changes) -> tuple[Item | Removed, ...]:
        """Applies the changes after the replica's position; returns those that are news.

        The pages of a listing are no snapshot: an item may be newer than the listing's position,
        and what led to it comes again afterwards.
        """
        news = tuple(event for event in changes.events if not self._is_outdated(event))
        for event in news:
            if isinstance(event, Item):
                self._items[event.key] = event
            else:
                self._items.pop(event.key, None)
            self._append_change(event.position, event.key)
        self.position = changes.as_of
        if news:
            self._notify_followers()
        return news

    def _is_outdated(self, event: Item | Removed) -> bool:
        """Returns whether a newer state of a changed item is known."""
        known = self._items.get(event.key)
        return known is not None and event.position < known.position

    def read_updates(self, after: Position) -> Listing | Changes | None:
        """Returns the updates for a follower at position `after`; None before the first listing.

        For a follower in a later era they are empty, as of this replica's own position.
        """
        if self.position is None:
            return None
        if after < self._complete_after:
            return Listing(self.items, self.position)
        if after.era > self.position.era:
            return Changes((), self.position)
        changed: dict[str, Position] = {}
        for position, key in reversed(self._changes):
            if position <= after:
                break
            changed.setdefault(key, position)
        events = tuple(
            self._items.get(key) or Removed(key, position)
            for key, position in reversed(changed.items())
        )
        return Changes(events, max(after, self.position))

    async def wait_for_updates(self, after: Position, wait_s: float) -> None:
        """Waits until there are updates after a position, but at most `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while self.position is None or not self._has_updates_after(after):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return  # the follower gets an empty update

    def _has_updates_after(self, after: Position) -> bool:
        """Returns whether there are updates after a position, or it is of a later era."""
        return (
            after < self._complete_after
            or bool(self._changes and self._changes[-1][0] > after)
            or after.era > (self.position or START).era
        )

    def _append_change(self, position: Position, key: str) -> None:
        """Appends a change, and drops the oldest one beyond the limit.

        A listing may already hold later changes, so positions are raised to stay in order.
        """
        if self._changes:
            position = max(position, self._changes[-1][0])
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._complete_after, _ = self._changes.popleft()
        self._changes.append((position, key))

    def _notify_followers(self) -> None:
        """Wakes all waiting followers."""
        self._changed.set()
        self._changed = asyncio.Event()
