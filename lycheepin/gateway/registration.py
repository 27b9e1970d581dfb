"""Registration of this daemon in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.storage import Lease, LeaseEnded, Store, Stored, StoreFailure
from lycheepin.names import DaemonName

__all__ = ["Registration", "RegistrationState", "find_renewal_pause_s"]

# Time to live of a daemon's entry, in seconds, if the store grants that, and the interval of its
# renewals as a part of what was granted. Together they stay below the 6 s after which the directory
# must not return a dead daemon.
LEASE_TTL_S = 4.0
RENEWAL_FRACTION = 3 / 8
# Part of the interval after which a renewal that failed is repeated.
RETRY_FRACTION = 1 / 3
# Pause in seconds after a failed call; doubled with each further one up to the maximum.
RETRY_PAUSE_S = 0.25
# Longest pause in seconds between attempts to write this daemon's entry; each one is a priced call
# for a store that turns hundreds of daemons away.
MAX_WRITE_PAUSE_S = 1.0


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
    is still on its way fail. `encode_entry` returns the entry that is written under a lease.
    """

    def __init__(
        self,
        store: Store,
        replica: StoreReplica,
        key: str,
        encode_entry: Callable[[Lease], bytes],
        name: DaemonName,
    ) -> None:
        self._store = store
        self._replica = replica
        self._key = key
        self._encode_entry = encode_entry
        self._name = name
        self._lease: Lease | None = None
        self._renewal_failed = False
        self._entry_removed = asyncio.Event()
        self.state = RegistrationState.REGISTERING

    async def maintain_entry(self) -> None:
        """Writes the entry, renews its lease, rewrites it if it was removed; ends on withdrawal.

        Waits for the first listing, so that callers are not sent to a daemon without configuration.
        """
        await self._replica.filled.wait()
        pause_s = RETRY_PAUSE_S
        while True:
            match self.state:
                case RegistrationState.REGISTERING:
                    await self._write_entry()
                    if self.state is RegistrationState.REGISTERING:
                        await asyncio.sleep(pause_s)
                        pause_s = min(MAX_WRITE_PAUSE_S, 2 * pause_s)
                case RegistrationState.REGISTERED:
                    pause_s = RETRY_PAUSE_S
                    await self._keep_entry()
                case RegistrationState.WITHDRAWING | RegistrationState.WITHDRAWN:
                    return

    def observe_removal(self, name: DaemonName) -> None:
        """Schedules a rewrite of the entry if it is this daemon's entry that was removed."""
        if name == self._name and self.state is RegistrationState.REGISTERED:
            self._entry_removed.set()

    async def withdraw(self) -> None:
        """Removes the entry by ending its lease; repeats the call until the store confirms it.

        The lease is renewed before, which tells whether its id may belong to another daemon.
        """
        self.state = RegistrationState.WITHDRAWING
        while self._lease is not None:
            if await self._end_lease(self._lease):
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
        answer = await self._store.put({self._key: self._encode_entry(self._lease)}, self._lease)
        if self.state is not RegistrationState.REGISTERING:
            return
        match answer:
            case LeaseEnded():
                self._lease = None
            case Stored():
                self.state = RegistrationState.REGISTERED

    async def _keep_entry(self) -> None:
        """Renews the lease after a while, unless the entry is removed before."""
        assert self._lease is not None
        try:
            pause_s = find_renewal_pause_s(self._lease.ttl_s, self._renewal_failed)
            async with asyncio.timeout(pause_s):
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

    async def _end_lease(self, lease: Lease) -> bool:
        """Ends a lease that is still this daemon's; returns whether it has ended."""
        match await self._store.renew_lease(lease):
            case LeaseEnded():
                return True
            case StoreFailure():
                return False
        return await self._store.end_lease(lease) is None

    async def _renew_lease(self) -> bool:
        """Renews the lease; returns whether it has ended."""
        if self._lease is None:
            return True
        answer = await self._store.renew_lease(self._lease)
        self._renewal_failed = isinstance(answer, StoreFailure)
        return isinstance(answer, LeaseEnded)


def find_renewal_pause_s(ttl_s: float, failed: bool) -> float:
    """Returns the seconds to the renewal of a lease with a time to live that the store granted.

    After a renewal that failed the pause is shorter, so that the lease outlives a lost answer.
    """
    pause_s = RENEWAL_FRACTION * min(ttl_s, LEASE_TTL_S)
    return pause_s * RETRY_FRACTION if failed else pause_s
