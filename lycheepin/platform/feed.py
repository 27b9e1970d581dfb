"""Follows the platform's store and tells the core what it says; keeps this daemon's own entry."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from lycheepin.gateway.beliefs import Beliefs
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.names import DaemonName, EndpointId, RegionName, ZoneName
from lycheepin.platform.entries import (
    DAEMON_PREFIX,
    Configured,
    DaemonListed,
    EndpointListed,
    Evacuated,
    Unreadable,
    decode_entry,
    encode_daemon,
    subject_of,
)
from lycheepin.platform.metadata import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    MetadataStore,
    StoreFailure,
)

__all__ = ["Registration", "StoreFeed"]

# Longest time in seconds that a watch waits: the platform allows 30, and a silent connection is
# noticed only after it.
WATCH_WAIT_S = 4.0
# Pause in seconds after changes, so that a burst of them costs one call; far below the bounds of
# 2.5 s for configurations and drains.
GATHER_S = 0.15
# Pause in seconds after a call that failed.
RETRY_S = 0.25
# Time in seconds for which an entry outlives its daemon, and between two renewals.
LEASE_S = 4.0
RENEW_S = 1.2


class StoreFeed:
    """Reads everything once, then follows the changes; lists anew when history is lost."""

    def __init__(
        self, store: MetadataStore, beliefs: Beliefs, zones: Mapping[ZoneName, RegionName]
    ) -> None:
        self.store = store
        self._beliefs = beliefs
        self._zones = zones

    async def follow(self) -> None:
        """Follows the store for ever."""
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._list()
            else:
                revision = await self._watch(revision)
            self._beliefs.settle()

    async def _list(self) -> int | None:
        """Takes in all entries; returns the revision to go on from, or None after a failure."""
        listing = await self.store.list_items("")
        match listing:
            case StoreFailure(reason=reason):
                self._beliefs.lose_store(reason)
                await asyncio.sleep(RETRY_S)
                return None
            case Listing(items=items, as_of=as_of):
                self._beliefs.regain_store(as_of)
                self._drop_unlisted(items)
                for item in items:
                    self._take(item)
                return as_of

    async def _watch(self, revision: int) -> int | None:
        """Takes in the next changes; returns the revision to go on from, or None to list anew."""
        answer = await self.store.watch("", revision, WATCH_WAIT_S)
        match answer:
            case StoreFailure(reason=reason):
                self._beliefs.lose_store(reason)
                await asyncio.sleep(RETRY_S)
                return revision
            case HistoryLost():
                return None
            case Changes(events=events, as_of=as_of):
                self._beliefs.regain_store(as_of)
                for event in events:
                    if isinstance(event, Item):
                        self._take(event)
                    else:
                        self._drop(event.key)
                await asyncio.sleep(GATHER_S if events else 0)
                return as_of

    def _take(self, item: Item) -> None:
        """Takes in one entry."""
        match decode_entry(item.key, item.value, self._zones):
            case Configured(table=table):
                self._beliefs.configure(table)
            case Evacuated(zone=zone):
                self._beliefs.evacuate(zone, True)
            case EndpointListed(record=record):
                self._beliefs.list_endpoint(record)
            case DaemonListed(record=daemon):
                self._beliefs.list_daemon(daemon)
            case Unreadable(reason=reason):
                self._beliefs.reject(reason)
                self._drop(item.key)

    def _drop(self, key: str) -> None:
        """Takes in that a key has no usable value."""
        subject = subject_of(key)
        if subject is None:
            return
        if subject.kind is Evacuated:
            self._beliefs.evacuate(ZoneName(subject.name), False)
        elif subject.kind is EndpointListed:
            self._beliefs.drop_endpoint(EndpointId(subject.name))
        elif subject.kind is DaemonListed:
            self._beliefs.drop_daemon(DaemonName(subject.name))

    def _drop_unlisted(self, items: tuple[Item, ...]) -> None:
        """Drops what is known here and missing from a complete listing."""
        names: dict[type, set[str]] = {Evacuated: set(), EndpointListed: set(), DaemonListed: set()}
        for item in items:
            subject = subject_of(item.key)
            if subject is not None and subject.kind in names:
                names[subject.kind].add(subject.name)
        beliefs = self._beliefs
        for zone in beliefs.fleet.evacuated - {ZoneName(name) for name in names[Evacuated]}:
            beliefs.evacuate(zone, False)
        listed = [EndpointId(name) for name in names[EndpointListed]]
        for endpoint_id in beliefs.fleet.missing_from(listed):
            beliefs.drop_endpoint(endpoint_id)
        daemons = {DaemonName(name) for name in names[DaemonListed]}
        for daemon in beliefs.directory.missing_from(daemons):
            beliefs.drop_daemon(daemon)


class Registration:
    """Keeps this daemon's own entry in the store under a lease."""

    def __init__(self, store: MetadataStore, record: DaemonRecord) -> None:
        self.store = store
        self._record = record
        self._lease: Lease | None = None
        self._lost = asyncio.Event()

    async def keep(self) -> None:
        """Registers and renews for ever; registers anew when the entry was taken away."""
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
        if name == self._record.name and self._lease is not None:
            self._lost.set()

    async def end(self) -> None:
        """Removes the entry."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self.store.end_lease(lease)

    async def _register(self) -> None:
        """Writes the entry under a new lease."""
        lease = await self.store.grant_lease(LEASE_S)
        if isinstance(lease, StoreFailure):
            return
        key = DAEMON_PREFIX + self._record.name
        stored = await self.store.put(key, encode_daemon(self._record), lease)
        if not isinstance(stored, StoreFailure | LeaseEnded):
            self._lease = lease

    async def _renew(self) -> None:
        """Renews the lease; a lease that has ended is replaced."""
        if self._lease is not None:
            answer = await self.store.renew_lease(self._lease)
            if isinstance(answer, LeaseEnded):
                self._lease = None
