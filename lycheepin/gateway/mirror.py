"""A daemon's copy of the platform's store, from which other daemons can follow it.

Few daemons of a region read the store; the others follow them, so the calls to the store grow with
regions and not with daemons. When the store turns a daemon away, any other one can still tell it.
"""

from __future__ import annotations

import asyncio
from collections import deque

from lycheepin.gateway.storage import Changes, Item, Listing, Removed

__all__ = ["StoreReplica"]

# Changes that are kept for followers; one that is further behind gets everything anew.
KEPT_CHANGES = 4000


class StoreReplica:
    """Keys of the store up to a revision, and which of them changed last.

    Followers get the current state of the keys that have changed, so a key that changes often
    costs them one value however far behind they are.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._changes: deque[tuple[int, str]] = deque()
        self._changes_after = 0
        self._changed = asyncio.Event()
        self.filled = asyncio.Event()
        self.revision: int | None = None
        self._fresh_at_s: float | None = None

    def confirm(self, now_s: float, age_s: float = 0.0) -> None:
        """Notes that the copy was the store's state `age_s` ago."""
        fresh_at_s = now_s - age_s
        self._fresh_at_s = max(fresh_at_s, self._fresh_at_s or fresh_at_s)

    def age_s(self, now_s: float) -> float:
        """Returns for how long nothing has been heard from the store; endless before the first."""
        return now_s - self._fresh_at_s if self._fresh_at_s is not None else float("inf")

    def replace(self, listing: Listing) -> None:
        """Takes in a complete listing; what differs from the copy counts as changed."""
        items = {item.key: item for item in listing.items}
        if self.revision is None:
            self._changes_after = listing.as_of
        else:
            differing = {key for key in items if items[key] != self._items.get(key)}
            for key in sorted(differing | (self._items.keys() - items.keys())):
                self._note_change(listing.as_of, key)
        self._items = items
        self.revision = listing.as_of
        self.filled.set()
        self._wake()

    def apply(self, changes: Changes) -> None:
        """Takes in the changes after the copy's revision."""
        for event in changes.events:
            if isinstance(event, Item):
                self._items[event.key] = event
            else:
                self._items.pop(event.key, None)
            self._note_change(event.revision, event.key)
        self.revision = changes.as_of
        if changes.events:
            self._wake()

    def read(self, after: int) -> Listing | Changes | None:
        """Returns what a follower at a revision lacks; None before anything is known."""
        if self.revision is None:
            return None
        if after < self._changes_after:
            return Listing(tuple(self._items.values()), self.revision)
        changed: dict[str, int] = {}
        for revision, key in reversed(self._changes):
            if revision <= after:
                break
            changed.setdefault(key, revision)
        events = tuple(
            self._items.get(key) or Removed(key, revision)
            for key, revision in reversed(changed.items())
        )
        return Changes(events, max(after, self.revision))

    async def wait(self, after: int, wait_s: float) -> None:
        """Waits until something later than a revision is known, or for `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while self.revision is None or not self._has_after(after):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return  # the follower is told that nothing has changed

    def _has_after(self, after: int) -> bool:
        """Returns whether a change later than a revision is known."""
        return after < self._changes_after or bool(self._changes and self._changes[-1][0] > after)

    def _note_change(self, revision: int, key: str) -> None:
        """Adds a change; revisions stay in order although listings overlap with later changes."""
        if self._changes:
            revision = max(revision, self._changes[-1][0])
        if len(self._changes) == KEPT_CHANGES:
            self._changes_after, _ = self._changes.popleft()
        self._changes.append((revision, key))

    def _wake(self) -> None:
        """Wakes all followers that wait."""
        self._changed.set()
        self._changed = asyncio.Event()
