"""Synchronization with the platform's store, and registration of this daemon in it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b
from typing import Protocol

from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.relay import poll_peer
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Store,
    Stored,
    StoreFailure,
)
from lycheepin.names import DaemonName
from lycheepin.transport.calls import HttpClient

__all__ = [
    "EntryReader",
    "Registration",
    "RegistrationState",
    "StoreSynchronizer",
    "choose_watchers",
]

# Longest wait of a watch call, in seconds. The platform allows 30 s, but a dead connection is
# noticed only after the wait, and changes must be in force within 2.5 s.
WATCH_WAIT_S = 1.0
# Pause in seconds after changes, so that one call gets the rest of a burst; far below the 2.5 s
# within which configurations and drains must be in force.
BATCH_PAUSE_S = 0.15
# Pause in seconds after a failed call.
RETRY_PAUSE_S = 0.25
# Wait of a watch call, in seconds, after the store has failed. A call that is lost in an outage
# would otherwise delay noticing that the store is back.
PROBE_WAIT_S = 0.1
# Number of daemons of a region that read the store; two, so that updates continue if one fails.
WATCHER_COUNT = 2
# Wait of a follower's call, in seconds; a frozen watcher is noticed after it, well within the
# 2.5 s in which changes must be in force.
PEER_WAIT_S = 0.5
# Age in seconds up to which a watcher's replica is fresh. It exceeds WATCH_WAIT_S, since a watch
# call without changes confirms the replica; together with PEER_WAIT_S it stays below the 2.5 s
# within which changes must be in force.
MAX_FRESH_AGE_S = 1.4
# Time in seconds for which a failed watcher is not polled.
PEER_BACKOFF_S = 2.0
# Interval in seconds of the checks for endpoints that did not reappear after an outage.
EXPIRY_CHECK_S = 0.1
# Time to live of a daemon's entry and interval of its renewals, in seconds. Together they stay
# below the 6 s after which the directory must not return a dead daemon.
LEASE_TTL_S = 4.0
RENEWAL_S = 1.5


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
    """Returns the daemons of a region that read the store; every daemon chooses the same ones.

    Daemons with the widest links are preferred, since a watcher sends each change to all other
    daemons of its region.
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

    It reads a complete listing first, then the changes; if the store no longer has the changes, it
    reads a listing again. Watchers read the store, followers poll the watchers of their region. A
    source that fails is replaced by the next one: another watcher, the store, any other daemon.
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
        self._store_failed = False
        self._backoff_until_s: dict[SocketAddress, float] = {}
        self._next_peer = 0

    async def follow_store(self) -> None:
        """Follows the store, directly or through other daemons; runs indefinitely."""
        while True:
            peer = self._choose_peer()
            if peer is not None and await self._poll_peer(peer, PEER_WAIT_S):
                continue
            if not await self._read_store():
                await self._poll_next_peer()

    async def run_endpoint_expiry(self) -> None:
        """Removes endpoints that did not reappear after an outage; runs indefinitely."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            self._state.expire_missing_endpoints()

    def _choose_peer(self) -> SocketAddress | None:
        """Returns the watcher to poll, or None if this daemon must read the store itself."""
        own = self._gateway.record
        if self._replica.revision is None:
            return None
        in_region = [
            record
            for record in self._state.directory.list_peers(own.name)
            if record.region == own.region
        ]
        watchers = choose_watchers([*in_region, own])
        now_s = asyncio.get_running_loop().time()
        if own in watchers:
            return None
        for record in watchers:
            if self._backoff_until_s.get(record.control, 0.0) <= now_s:
                return record.control
        return None

    async def _poll_peer(self, peer: SocketAddress, wait_s: float) -> bool:
        """Polls a peer and applies its updates; returns whether they are fresh."""
        after = self._replica.revision or 0
        answer = await poll_peer(
            self._http_client, peer, self._gateway.settings.store, after, wait_s
        )
        now_s = asyncio.get_running_loop().time()
        if isinstance(answer, str) or answer.age_s > MAX_FRESH_AGE_S:
            self._backoff_until_s[peer] = now_s + PEER_BACKOFF_S
        if isinstance(answer, str):
            self._state.log_refused_peer(str(peer), answer)
            return False
        self._replica.confirm_current(now_s, answer.age_s)
        if answer.age_s <= MAX_FRESH_AGE_S:
            self._state.mark_store_available(answer.updates.as_of)
        match answer.updates:
            case Listing(as_of=as_of) as listing if as_of >= after:
                self._apply_listing(listing)
            case Changes(as_of=as_of) as changes if as_of >= after:
                self._apply_changes(changes)
        return answer.age_s <= MAX_FRESH_AGE_S

    async def _read_store(self) -> bool:
        """Reads a listing or changes from the store; returns whether it answered."""
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
            self._state.mark_store_lost(answer.reason)
            return False
        self._store_failed = False
        self._replica.confirm_current(asyncio.get_running_loop().time())
        match answer:
            case Listing(as_of=as_of) as listing:
                self._state.mark_store_available(as_of)
                self._apply_listing(listing)
            case Changes(events=events, as_of=as_of) as changes:
                self._state.mark_store_available(as_of)
                self._apply_changes(changes)
                await asyncio.sleep(BATCH_PAUSE_S if events else 0)
        return True

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
        self._replica.replace_items(listing)
        self._reader.remove_missing_entries(listing.items)
        for item in listing.items:
            self._reader.apply_entry(item)

    def _apply_changes(self, changes: Changes) -> None:
        """Applies changes to the replica and, for each key, the last one to the gateway's state."""
        self._replica.apply_changes(changes)
        for event in {event.key: event for event in changes.events}.values():
            if isinstance(event, Item):
                self._reader.apply_entry(event)
            else:
                self._reader.remove_entry(event.key)


class RegistrationState(Enum):
    """Whether this daemon's entry is to be written, kept, removed, or has been removed."""

    REGISTERING = "registering"
    REGISTERED = "registered"
    WITHDRAWING = "withdrawing"
    WITHDRAWN = "withdrawn"


class Registration:
    """Maintains this daemon's entry in the store under a lease until it is withdrawn.

    A write may take effect after its answer is lost or late. It is attached to a lease that is
    recorded before the write is sent, so ending that lease removes the entry, or makes a write that
    is still on its way fail.
    """

    def __init__(
        self, store: Store, replica: StoreReplica, key: str, value: bytes, name: DaemonName
    ) -> None:
        self._store = store
        self._replica = replica
        self._key = key
        self._value = value
        self._name = name
        self._lease: Lease | None = None
        self._entry_removed = asyncio.Event()
        self.state = RegistrationState.REGISTERING

    async def maintain_entry(self) -> None:
        """Writes the entry, renews its lease, rewrites it if it was removed; ends on withdrawal.

        Waits for the first listing, so that callers are not sent to a daemon without configuration.
        """
        await self._replica.filled.wait()
        while True:
            match self.state:
                case RegistrationState.REGISTERING:
                    await self._write_entry()
                    if self.state is RegistrationState.REGISTERING:
                        await asyncio.sleep(RETRY_PAUSE_S)
                case RegistrationState.REGISTERED:
                    await self._keep_entry()
                case RegistrationState.WITHDRAWING | RegistrationState.WITHDRAWN:
                    return

    def observe_removal(self, name: DaemonName) -> None:
        """Schedules a rewrite of the entry if it is this daemon's entry that was removed."""
        if name == self._name and self.state is RegistrationState.REGISTERED:
            self._entry_removed.set()

    async def withdraw(self) -> None:
        """Removes the entry by ending its lease; repeats the call until the store confirms it."""
        self.state = RegistrationState.WITHDRAWING
        while self._lease is not None:
            if await self._store.end_lease(self._lease) is None:
                self._lease = None
            else:
                await asyncio.sleep(RETRY_PAUSE_S)
        self.state = RegistrationState.WITHDRAWN

    async def _write_entry(self) -> None:
        """Writes the entry under the present lease, or under a new one."""
        if self._lease is None:
            lease = await self._store.grant_lease(LEASE_TTL_S)
            if isinstance(lease, StoreFailure):
                return
            if self.state is not RegistrationState.REGISTERING:
                await self._store.end_lease(lease)
                return
            self._lease = lease
        answer = await self._store.put(self._key, self._value, self._lease)
        if self.state is not RegistrationState.REGISTERING:
            return
        match answer:
            case LeaseEnded():
                self._lease = None
            case Stored():
                self.state = RegistrationState.REGISTERED

    async def _keep_entry(self) -> None:
        """Renews the lease after RENEWAL_S seconds, unless the entry is removed before."""
        try:
            async with asyncio.timeout(RENEWAL_S):
                await self._entry_removed.wait()
            self._entry_removed.clear()
            ended = True
        except TimeoutError:
            if self.state is not RegistrationState.REGISTERED:
                return
            ended = await self._renew_lease()
        if ended and self.state is RegistrationState.REGISTERED:
            self._lease = None
            self.state = RegistrationState.REGISTERING

    async def _renew_lease(self) -> bool:
        """Renews the lease; returns whether it has ended."""
        if self._lease is None:
            return True
        return isinstance(await self._store.renew_lease(self._lease), LeaseEnded)
