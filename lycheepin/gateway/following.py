"""Follows the platform's store, or daemons that follow it; keeps this daemon's own entry."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from hashlib import blake2b
from typing import Protocol

from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.relay import ask_peer
from lycheepin.gateway.replica import StoreReplica
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Store,
    StoreFailure,
)
from lycheepin.names import DaemonName
from lycheepin.transport.calls import HttpClient

__all__ = ["EntryReader", "StoreSynchronizer", "Registration", "choose_watchers"]

# Longest time in seconds that a watch waits: the platform allows 30, but a silent connection is
# noticed only after it, and changes have to be in force after 2.5 s.
WATCH_WAIT_S = 1.0
# Pause in seconds after changes, so that a burst of them costs one call; far below the bounds of
# 2.5 s for configurations and drains.
GATHER_S = 0.15
# Pause in seconds after a call that failed.
RETRY_S = 0.25
# Time in seconds that a watch waits after the store has failed: a call that got lost in an outage
# would otherwise hide the store's return.
PROBE_WAIT_S = 0.1
# Daemons of a region that read the store; two, so that one may fail without a gap.
WATCHERS = 2
# Time in seconds that a follower's call waits; a watcher that froze is noticed after it, well
# inside the bounds of 2.5 s.
PEER_WAIT_S = 0.5
# Age in seconds beyond which a watcher's news are no longer enough. A watch of the store waits 1 s,
# and an answer without changes confirms the copy. Together with a follower's wait it has to stay
# below the 2.5 s within which changes are in force.
FRESH_S = 1.4
# Time in seconds for which a watcher that failed is not asked.
BARRED_S = 2.0
# Time in seconds between two looks for entries that did not come back after an outage.
SETTLE_S = 0.1
# Time in seconds for which an entry outlives its daemon, and between two renewals: together below
# the 6 s after which a dead daemon may no longer be named to callers.
LEASE_S = 4.0
RENEW_S = 1.5


class EntryReader(Protocol):
    """Tells the beliefs of a gateway what the entries of a store say."""

    def apply_entry(self, item: Item) -> None:
        """Takes in one entry."""

    def remove_entry(self, key: str) -> None:
        """Takes in that a key has no usable value."""

    def remove_missing_entries(self, items: tuple[Item, ...]) -> None:
        """Drops what is known and missing from a complete listing."""


class SynchronizedGateway(Protocol):
    """The gateway that a follower belongs to."""

    state: DeploymentState
    record: DaemonRecord
    settings: GatewaySettings


def choose_watchers(daemons: Iterable[DaemonRecord]) -> list[DaemonRecord]:
    """Returns the daemons of a region that read the store; the same answer at all of them.

    The widest links come first: a watcher passes each change on to the others of its region.
    """
    ranked = sorted(
        daemons,
        key=lambda record: (
            -record.link_mbps,
            blake2b(record.name.encode(), digest_size=8).digest(),
        ),
    )
    return ranked[:WATCHERS]


class StoreSynchronizer:
    """Reads everything once, then follows the changes; lists anew when history is lost.

    A few daemons of a region follow the store, the others follow them. Whoever gets nothing from
    its source takes the next one: other daemons, and the store itself.
    """

    def __init__(
        self,
        store: Store,
        reader: EntryReader,
        http_client: HttpClient,
        replica: StoreReplica,
        owner: SynchronizedGateway,
    ) -> None:
        self._store = store
        self._reader = reader
        self._http_client = http_client
        self._replica = replica
        self._owner = owner
        self._state = owner.state
        self._store_failed = False
        self._barred_until_s: dict[SocketAddress, float] = {}
        self._turn = 0

    async def follow_store(self) -> None:
        """Follows the store for ever."""
        while True:
            peer = self._pick_watcher()
            if peer is not None and await self._follow_peer(peer, PEER_WAIT_S):
                continue
            if not await self._follow_store():
                await self._ask_around()

    async def expire_missing(self) -> None:
        """Drops endpoints that did not come back after an outage, for ever."""
        while True:
            await asyncio.sleep(SETTLE_S)
            self._state.expire_missing()

    def _pick_watcher(self) -> SocketAddress | None:
        """Returns the daemon to follow, or None when this one reads the store itself."""
        own = self._owner.record
        if self._replica.revision is None:
            return None
        region = [
            record
            for record in self._state.directory.others(own.name)
            if record.region == own.region
        ]
        watchers = choose_watchers([*region, own])
        now_s = asyncio.get_running_loop().time()
        if own in watchers:
            return None
        for record in watchers:
            if self._barred_until_s.get(record.control, 0.0) <= now_s:
                return record.control
        return None

    async def _follow_peer(self, peer: SocketAddress, wait_s: float) -> bool:
        """Takes in what a peer knows; returns whether its news are fresh."""
        after = self._replica.revision or 0
        answer = await ask_peer(self._http_client, peer, self._owner.settings.store, after, wait_s)
        now_s = asyncio.get_running_loop().time()
        if isinstance(answer, str) or answer.age_s > FRESH_S:
            self._barred_until_s[peer] = now_s + BARRED_S
        if isinstance(answer, str):
            self._state.doubt_peer(str(peer), answer)
            return False
        self._replica.confirm(now_s, answer.age_s)
        if answer.age_s <= FRESH_S:
            self._state.regain_store(answer.news.as_of)
        match answer.news:
            case Listing(as_of=as_of) as listing if as_of >= after:
                self._replace(listing)
            case Changes(as_of=as_of) as changes if as_of >= after:
                self._apply(changes)
        return answer.age_s <= FRESH_S

    async def _follow_store(self) -> bool:
        """Takes in what the store says; returns whether it answered."""
        revision = self._replica.revision
        if revision is None:
            answer: Listing | Changes | HistoryLost | StoreFailure
            answer = await self._store.list_items("")
        else:
            wait_s = PROBE_WAIT_S if self._store_failed else WATCH_WAIT_S
            answer = await self._store.watch("", revision, wait_s)
            if isinstance(answer, HistoryLost):
                answer = await self._store.list_items("")
        if isinstance(answer, StoreFailure):
            self._store_failed = True
            self._state.lose_store(answer.reason)
            return False
        self._store_failed = False
        self._replica.confirm(asyncio.get_running_loop().time())
        match answer:
            case Listing(as_of=as_of) as listing:
                self._state.regain_store(as_of)
                self._replace(listing)
            case Changes(events=events, as_of=as_of) as changes:
                self._state.regain_store(as_of)
                self._apply(changes)
                await asyncio.sleep(GATHER_S if events else 0)
        return True

    async def _ask_around(self) -> None:
        """Asks one other daemon, by turns, while the store does not answer this one."""
        started_s = asyncio.get_running_loop().time()
        peers = [record.control for record in self._state.directory.others(self._owner.record.name)]
        peers = peers or [
            seed for seed in self._owner.settings.seeds if seed != self._owner.record.control
        ]
        if peers:
            self._turn += 1
            await self._follow_peer(peers[self._turn % len(peers)], 0.0)
        left_s = started_s + RETRY_S - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))

    def _replace(self, listing: Listing) -> None:
        """Takes in a complete listing."""
        self._replica.replace(listing)
        self._reader.remove_missing_entries(listing.items)
        for item in listing.items:
            self._reader.apply_entry(item)

    def _apply(self, changes: Changes) -> None:
        """Takes in changes; of a key that changed several times, the last one."""
        self._replica.apply(changes)
        for event in {event.key: event for event in changes.events}.values():
            if isinstance(event, Item):
                self._reader.apply_entry(event)
            else:
                self._reader.remove_entry(event.key)


class Registration:
    """Keeps this daemon's own entry in the store under a lease."""

    def __init__(
        self, store: Store, replica: StoreReplica, key: str, value: bytes, name: DaemonName
    ) -> None:
        self._store = store
        self._replica = replica
        self._key = key
        self._value = value
        self._name = name
        self._lease: Lease | None = None
        self._lost = asyncio.Event()

    async def maintain_entry(self) -> None:
        """Registers and renews for ever; registers anew when the entry was taken away.

        Waits for the first listing: callers should not be sent to a daemon that knows nothing yet.
        """
        await self._replica.filled.wait()
        while True:
            if self._lease is None:
                await self._register()
            try:
                async with asyncio.timeout(RENEW_S if self._lease else RETRY_S):
                    await self._lost.wait()
                self._lost.clear()
                self._lease = None
            except TimeoutError:
                await self._renew()

    def observe_removal(self, name: DaemonName) -> None:
        """Notes that an entry is gone; this daemon's own is written again."""
        if name == self._name and self._lease is not None:
            self._lost.set()

    async def delete_entry(self) -> None:
        """Removes the entry."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _register(self) -> None:
        """Writes the entry under a new lease."""
        lease = await self._store.grant_lease(LEASE_S)
        if isinstance(lease, StoreFailure):
            return
        stored = await self._store.put(self._key, self._value, lease)
        if not isinstance(stored, StoreFailure | LeaseEnded):
            self._lease = lease

    async def _renew(self) -> None:
        """Renews the lease; a lease that has ended is replaced."""
        if self._lease is not None:
            answer = await self._store.renew_lease(self._lease)
            if isinstance(answer, LeaseEnded):
                self._lease = None
