"""Synchronization of a gateway with the platform's store, directly or through other daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.relay import PeerUpdates, poll_peer
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.gateway.storage import (
    START,
    Changes,
    HistoryLost,
    Item,
    Listing,
    Position,
    Store,
    StoreFailure,
)
from lycheepin.transport.calls import HttpClient

__all__ = [
    "EntryReader",
    "StoreSynchronizer",
    "SyncTiming",
    "choose_watchers",
]

# Pause in seconds after a failed call.
RETRY_PAUSE_S = 0.25
# Wait of a watch call, in seconds, after the store has failed or another source was used. A call
# that is lost in an outage would otherwise delay noticing that the store is back, and followers
# would take an unconfirmed replica for one that is out of date.
PROBE_WAIT_S = 0.1
# Number of daemons of a region that followers poll: one reads the store, the other is its standby.
WATCHER_COUNT = 2
# Wait of a follower's call, in seconds; a frozen watcher is noticed after it.
PEER_WAIT_S = 0.5
# Wait of the standby's call, in seconds: shorter, so that it reads the store itself by the time
# that the other followers turn to it.
STANDBY_WAIT_S = 0.25
# Wait in seconds of a call to a seed at the start; a seed that starts too answers once it has a
# listing.
SEED_WAIT_S = 0.5
# Number of seeds that a daemon asks for a listing at its start, before it asks the store.
SEED_ATTEMPTS = 2
# Time in seconds for which a failed watcher is not polled.
PEER_BACKOFF_S = 2.0
# Interval in seconds of the checks for entries that did not reappear after an outage.
EXPIRY_CHECK_S = 0.1
# Parts of the time within which changes must be in force: the pause after changes, and what is kept
# for transfers and processing.
BATCH_FRACTION = 0.06
RESERVED_FRACTION = 0.18
# Time in seconds by which the age up to which a replica is fresh exceeds the wait of a watch call,
# which confirms the replica when nothing has changed.
CONFIRMATION_MARGIN_S = 0.4


@dataclass(frozen=True)
class SyncTiming:
    """Times of the synchronization, in seconds.

    `batch_pause_s` is the pause after changes, so that one call gets the rest of a burst.
    `max_fresh_age_s` is the age up to which a watcher's replica is fresh, and `watch_wait_s` the
    longest wait of a watch call; a dead connection to the store is noticed only after it.
    """

    batch_pause_s: float
    max_fresh_age_s: float
    watch_wait_s: float

    @classmethod
    def from_limit(cls, apply_limit_s: float) -> SyncTiming:
        """Returns the times with which changes are in force within `apply_limit_s` seconds."""
        batch_pause_s = BATCH_FRACTION * apply_limit_s
        reserved_s = RESERVED_FRACTION * apply_limit_s + batch_pause_s + PEER_WAIT_S
        max_fresh_age_s = max(2 * CONFIRMATION_MARGIN_S, apply_limit_s - reserved_s)
        return cls(batch_pause_s, max_fresh_age_s, max_fresh_age_s - CONFIRMATION_MARGIN_S)


class EntryReader(Protocol):
    """Decodes entries of the store and applies them to the state of a gateway."""

    def apply_entry(self, item: Item) -> None:
        """Applies a new or changed entry."""

    def remove_entry(self, key: str) -> None:
        """Applies the removal of an entry."""

    def remove_missing_entries(self, items: tuple[Item, ...]) -> None:
        """Removes everything known that is missing from a complete listing."""


class SynchronizedGateway(Protocol):
    """The parts of a gateway that its synchronizer needs."""

    state: DeploymentState
    record: DaemonRecord
    settings: GatewaySettings


def choose_watchers(daemons: Iterable[DaemonRecord]) -> list[DaemonRecord]:
    """Returns the daemon of a region that reads the store, and its standby.

    Every daemon chooses the same ones. Daemons with the widest links are preferred, since a
    watcher sends each change to all other daemons of its region.
    """
    ranked = sorted(
        daemons,
        key=lambda record: (
            -record.link_mbps,
            blake2b(record.name.encode(), digest_size=8).digest(),
        ),
    )
    return ranked[:WATCHER_COUNT]


class StoreSynchronizer:
    """Keeps a gateway's replica and state up to date with the store.

    It gets a complete listing first, from a seed or the store, then the changes; if the store no
    longer has the changes, it reads a listing again. One watcher of each region reads the store,
    its standby polls it, and the others poll these two. A source that fails is replaced by the next
    one: the standby, the store, any other daemon.

    Load addressed: hundreds of daemons that start, restart or lose a watcher at the same time, at a
    store whose calls are limited.
    """

    def __init__(
        self,
        store: Store,
        reader: EntryReader,
        http_client: HttpClient,
        replica: StoreReplica,
        gateway: SynchronizedGateway,
    ) -> None:
        self._store = store
        self._reader = reader
        self._http_client = http_client
        self._replica = replica
        self._gateway = gateway
        self._state = gateway.state
        self._timing = SyncTiming.from_limit(gateway.settings.apply_limit_s)
        self._store_confirmed = False
        self._watchers: list[DaemonRecord] = []
        self._watchers_as_of = -1
        self._backoff_until_s: dict[SocketAddress, float] = {}
        self._next_peer = 0

    async def follow_store(self) -> None:
        """Follows the store, directly or through other daemons; runs indefinitely."""
        await self._read_seeds()
        while True:
            peer = self._choose_peer()
            if peer is not None:
                is_standby = self._gateway.record.control in [w.control for w in self._watchers]
                if await self._poll_peer(peer, STANDBY_WAIT_S if is_standby else PEER_WAIT_S):
                    continue
            if not await self._read_store():
                await self._poll_next_peer()

    async def _read_seeds(self) -> None:
        """Gets the first listing from a seed whose replica is fresh, when all daemons start.

        Seeds read the store themselves, or none of them would ever have a listing. A daemon that
        starts later, or again, reads the store at once: callers wait for it, and seeds may be down.
        """
        settings = self._gateway.settings
        if not settings.bootstrap or self._gateway.record.control in settings.seeds:
            return
        first = int.from_bytes(blake2b(self._gateway.record.name.encode(), digest_size=4).digest())
        for number in range(min(SEED_ATTEMPTS, len(settings.seeds))):
            seed = settings.seeds[(first + number) % len(settings.seeds)]
            answer = await poll_peer(self._http_client, seed, settings.store, START, SEED_WAIT_S)
            if isinstance(answer, str):
                self._state.log_refused_peer(str(seed), answer)
            elif answer.age_s <= self._timing.max_fresh_age_s:
                self._apply_peer_updates(seed, answer, START)
                return

    async def run_entry_expiry(self) -> None:
        """Drops entries that did not reappear after an outage; runs indefinitely."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            self._state.expire_missing_entries()

    def _choose_peer(self) -> SocketAddress | None:
        """Returns the daemon to poll, or None if this daemon must read the store itself.

        It is a watcher of this region, or at the first start of all daemons a seed while the region
        has no watcher.
        """
        own = self._gateway.record
        if self._replica.position is None:
            return None
        watchers = self._find_watchers()
        candidates = [record.control for record in watchers]
        if not candidates and self._gateway.settings.bootstrap:
            candidates = list(self._gateway.settings.seeds)
        now_s = asyncio.get_running_loop().time()
        for candidate in candidates:
            if candidate == own.control:
                return None
            if self._backoff_until_s.get(candidate, 0.0) <= now_s:
                return candidate
        return None

    def _find_watchers(self) -> list[DaemonRecord]:
        """Returns the watchers of this region; computed again after each change of the daemons.

        At the first start of all daemons, one that is not registered yet is no watcher: each would
        read the store until it knows of the others.
        """
        directory, own = self._state.directory, self._gateway.record
        if self._watchers_as_of != directory.change_count:
            self._watchers_as_of = directory.change_count
            in_region = directory.list_region(own.region)
            if not self._gateway.settings.bootstrap and own not in in_region:
                in_region.append(own)
            self._watchers = choose_watchers(in_region)
        return self._watchers

    async def _poll_peer(self, peer: SocketAddress, wait_s: float) -> bool:
        """Polls a peer and applies its updates; returns whether they are fresh."""
        after = self._replica.position or START
        answer = await poll_peer(
            self._http_client, peer, self._gateway.settings.store, after, wait_s
        )
        is_fresh = (
            not isinstance(answer, str)
            and answer.updates.as_of >= after
            and answer.age_s <= self._timing.max_fresh_age_s
        )
        if not is_fresh:
            now_s = asyncio.get_running_loop().time()
            self._backoff_until_s[peer] = now_s + PEER_BACKOFF_S
        if isinstance(answer, str):
            self._state.log_refused_peer(str(peer), answer)
            return False
        self._apply_peer_updates(peer, answer, after)
        return is_fresh

    def _apply_peer_updates(
        self, peer: SocketAddress, answer: PeerUpdates, after: Position
    ) -> None:
        """Applies the updates of a peer after a position, unless they are older than that."""
        self._store_confirmed = False
        as_of = answer.updates.as_of
        if as_of < after:
            self._state.log_outdated_updates(str(peer), as_of, after)
            return
        self._replica.confirm_current(asyncio.get_running_loop().time(), answer.age_s)
        if answer.age_s <= self._timing.max_fresh_age_s:
            self._state.mark_store_available(as_of, answer.age_s)
        match answer.updates:
            case Listing() as listing:
                self._apply_listing(listing)
            case Changes() as changes:
                self._apply_changes(changes)

    async def _read_store(self) -> bool:
        """Reads a listing or changes from the store; returns whether it should be read again.

        It should if it answered, or cut a watch after it had answered the call before: then it may
        well be there, and what it changed meanwhile is read by the next call.
        """
        position = self._replica.position
        if position is None:
            answer: Listing | Changes | HistoryLost | StoreFailure
            answer = await self._store.list_items("")
        else:
            wait_s = self._timing.watch_wait_s if self._store_confirmed else PROBE_WAIT_S
            answer = await self._store.watch("", position, wait_s)
            if isinstance(answer, HistoryLost):
                answer = await self._store.list_items("")
                if isinstance(answer, Listing):
                    self._state.log_lost_history(position, answer.as_of)
        if isinstance(answer, StoreFailure):
            was_cut = self._store_confirmed and answer.closed
            self._observe_failure(answer)
            return was_cut
        self._store_confirmed = True
        self._replica.confirm_current(asyncio.get_running_loop().time())
        match answer:
            case Listing(as_of=as_of) as listing:
                self._state.mark_store_available(as_of)
                self._apply_listing(listing)
            case Changes(events=events, as_of=as_of) as changes:
                self._state.mark_store_available(as_of)
                self._apply_changes(changes)
                await asyncio.sleep(self._timing.batch_pause_s if events else 0)
        return True

    def _observe_failure(self, failure: StoreFailure) -> None:
        """Records that the store gave no usable answer, and since when it may have been away.

        Unless its last answer went to this daemon, the replica's age tells when it was last there.
        """
        silent_s = failure.silent_s
        if not self._store_confirmed:
            silent_s = max(silent_s, self._replica.age_s(asyncio.get_running_loop().time()))
        self._store_confirmed = False
        self._state.mark_store_lost(failure.reason, silent_s)

    async def _poll_next_peer(self) -> None:
        """Polls another daemon, in rotation, then pauses; used while the store does not answer."""
        started_s = asyncio.get_running_loop().time()
        peers = [
            record.control for record in self._state.directory.list_peers(self._gateway.record.name)
        ]
        peers = peers or [
            seed for seed in self._gateway.settings.seeds if seed != self._gateway.record.control
        ]
        if peers:
            self._next_peer += 1
            await self._poll_peer(peers[self._next_peer % len(peers)], 0.0)
        left_s = started_s + RETRY_PAUSE_S - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))

    def _apply_listing(self, listing: Listing) -> None:
        """Applies a complete listing to the replica and the gateway's state."""
        position = self._replica.position
        if position is not None and position.era < listing.as_of.era:
            self._state.observe_restored_store(listing.as_of)
        self._replica.replace_items(listing)
        self._reader.remove_missing_entries(listing.items)
        for item in listing.items:
            self._reader.apply_entry(item)

    def _apply_changes(self, changes: Changes) -> None:
        """Applies changes to the replica and, for each key, the last one to the gateway's state."""
        news = self._replica.apply_changes(changes)
        for event in {event.key: event for event in news}.values():
            if isinstance(event, Item):
                self._reader.apply_entry(event)
            else:
                self._reader.remove_entry(event.key)
