"""Writes what this daemon suspects to the store, from which all daemons get it.

The entries have a lease that outlives the daemon.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice

from lycheepin.gateway.storage import Lease, LeaseEnded, Store, StoreFailure
from lycheepin.names import DaemonName
from lycheepin.steering.spreading import spread_fraction
from lycheepin.steering.suspects import Suspicion

__all__ = ["SuspicionWriter"]

# Time to live of the lease of suspicions, in seconds, and age from which a new one is used.
LEASE_TTL_S = 600.0
LEASE_RENEWAL_S = 300.0
# Pause in seconds after a write, so that one call carries what is observed at the same time, and
# bounds of the pause after a failed one, doubled with each further one.
WRITE_PAUSE_S = 0.2
MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 1.0
# Age in seconds up to which an entry that is missing was lost: its lease could not have ended. The
# daemons that write it again spread over RESTORATION_SPREAD_S seconds.
MAX_RESTORED_AGE_S = 240.0
RESTORATION_SPREAD_S = 2.0
# Most suspicions in one write, and most that wait to be written or are kept for a restored store.
MAX_WRITTEN = 32
MAX_WAITING = 512


@dataclass(frozen=True)
class _Entry:
    """An encoded suspicion, and the time from which it is written, in seconds."""

    value: bytes
    refuted: bool
    due_s: float


class SuspicionWriter:
    """Writes suspicions to the store, and writes those again that the store has lost.

    `encode_entry` returns the key and the value of a suspicion. Any daemon may write a lost one,
    since its first writer may have ended; each waits for a time of its own, so that few do.
    """

    def __init__(
        self,
        store: Store,
        encode_entry: Callable[[Suspicion], tuple[str, bytes]],
        own: DaemonName,
    ) -> None:
        self._store = store
        self._encode_entry = encode_entry
        self._own = own
        self._lease: Lease | None = None
        self._lease_granted_s = 0.0
        self._waiting: dict[str, _Entry] = {}
        self._stored: dict[str, _Entry] = {}
        self._added = asyncio.Event()

    def publish(self, suspicion: Suspicion, delay_s: float = 0.0) -> None:
        """Writes a suspicion after a delay; it is dropped if too many are waiting."""
        key, value = self._encode_entry(suspicion)
        if len(self._waiting) < MAX_WAITING or key in self._waiting:
            self._waiting[key] = _Entry(value, suspicion.refuted, self._now_s() + delay_s)
            self._added.set()

    def observe(self, suspicion: Suspicion) -> None:
        """Notes that the store has a suspicion, so that it need not be written."""
        key, value = self._encode_entry(suspicion)
        waiting = self._waiting.get(key)
        if waiting is not None and (suspicion.refuted or waiting.value == value):
            del self._waiting[key]
        if suspicion.refuted:
            self._stored.pop(key, None)
        elif key not in self._stored:
            self._keep(key, _Entry(value, False, self._now_s()))

    def restore(self, key: str) -> None:
        """Writes an entry again that the store has lost before its lease could end."""
        entry = self._stored.pop(key, None)
        now_s = self._now_s()
        if entry is None or entry.refuted or now_s - entry.due_s >= MAX_RESTORED_AGE_S:
            return
        delay_s = RESTORATION_SPREAD_S * spread_fraction(self._own, key)
        self._waiting.setdefault(key, replace(entry, due_s=now_s + delay_s))
        self._added.set()

    def restore_missing(self, listed: frozenset[str]) -> None:
        """Writes the entries again that a complete listing lacks."""
        for key in [key for key in self._stored if key not in listed]:
            self.restore(key)

    async def run(self) -> None:
        """Writes what is due; runs indefinitely."""
        loop = asyncio.get_running_loop()
        retry_pause_s = MIN_RETRY_PAUSE_S
        while True:
            due = self._find_due(loop.time())
            if not due:
                await self._wait_until_due(loop.time())
            elif await self._write(due):
                retry_pause_s = MIN_RETRY_PAUSE_S
                await asyncio.sleep(WRITE_PAUSE_S)
            else:
                await asyncio.sleep(retry_pause_s)
                retry_pause_s = min(MAX_RETRY_PAUSE_S, 2 * retry_pause_s)

    def _find_due(self, now_s: float) -> dict[str, _Entry]:
        """Returns entries whose delay has passed, at most MAX_WRITTEN."""
        due = ((key, entry) for key, entry in self._waiting.items() if entry.due_s <= now_s)
        return dict(islice(due, MAX_WRITTEN))

    async def _wait_until_due(self, now_s: float) -> None:
        """Waits until a suspicion is due or another one is added."""
        self._added.clear()
        first_s = min((entry.due_s for entry in self._waiting.values()), default=None)
        try:
            async with asyncio.timeout(None if first_s is None else first_s - now_s):
                await self._added.wait()
        except TimeoutError:
            return  # a suspicion is due

    async def _write(self, entries: dict[str, _Entry]) -> bool:
        """Writes entries; returns whether the store has them."""
        lease = await self._find_lease()
        if lease is None:
            return False
        values = {key: entry.value for key, entry in entries.items()}
        match await self._store.put(values, lease):
            case LeaseEnded():
                self._lease = None
                return False
            case StoreFailure():
                return False
        for key, entry in entries.items():
            if self._waiting.get(key) is entry:
                del self._waiting[key]
            self._keep(key, entry)
        return True

    def _keep(self, key: str, entry: _Entry) -> None:
        """Keeps an entry that the store has, for the case that it loses it."""
        self._stored[key] = entry
        if len(self._stored) > MAX_WAITING:
            del self._stored[next(iter(self._stored))]

    async def _find_lease(self) -> Lease | None:
        """Returns the lease of new suspicions; None if the store grants none."""
        now_s = asyncio.get_running_loop().time()
        if self._lease is None or now_s - self._lease_granted_s > LEASE_RENEWAL_S:
            lease = await self._store.grant_lease(LEASE_TTL_S)
            if isinstance(lease, StoreFailure):
                return None
            self._lease, self._lease_granted_s = lease, now_s
        return self._lease

    @staticmethod
    def _now_s() -> float:
        """Returns the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()
