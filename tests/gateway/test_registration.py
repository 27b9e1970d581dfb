"""Registration of a daemon whose store answers late, loses answers or carries out writes late."""

import asyncio
import unittest
from collections.abc import Awaitable, Mapping

from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.registration import (
    LEASE_TTL_S,
    Registration,
    RegistrationState,
    find_renewal_pause_s,
)
from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Lease,
    LeaseEnded,
    Listing,
    Stored,
    StoreFailure,
)
from lycheepin.names import DaemonName
from lycheepin.platform.metadata import CALL_TIMEOUT_S

NAME = DaemonName("daemon-1")
KEY = "daemons/daemon-1"
LOST = StoreFailure("answer lost")


class FakeStore:
    """A store whose writes wait for `writes_released`, and whose answers can be lost."""

    def __init__(self) -> None:
        self.items: dict[str, Lease] = {}
        self.leases: set[Lease] = set()
        self.ended: list[Lease] = []
        self.puts = 0
        self.grants_released = asyncio.Event()
        self.writes_released = asyncio.Event()
        self.write_started = asyncio.Event()
        self.grants = 0
        self.lost_put_answers = 0
        self.failing_ends = 0
        self.grants_released.set()
        self.writes_released.set()

    async def list_items(self, prefix: str) -> Listing:
        raise AssertionError("registration lists nothing")

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes | HistoryLost:
        raise AssertionError("registration watches nothing")

    async def grant_lease(self, ttl_s: float) -> Lease | StoreFailure:
        self.grants += 1
        lease = Lease(self.grants, ttl_s)
        self.leases.add(lease)
        await self.grants_released.wait()
        return lease

    async def renew_lease(self, lease: Lease) -> Lease | LeaseEnded:
        return lease if lease in self.leases else LeaseEnded()

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        if self.failing_ends:
            self.failing_ends -= 1
            return StoreFailure("down")
        self.ended.append(lease)
        self.leases.discard(lease)
        self.items = {key: held for key, held in self.items.items() if held != lease}
        return None

    async def put(
        self, values: Mapping[str, bytes], lease: Lease
    ) -> Stored | LeaseEnded | StoreFailure:
        self.puts += 1
        self.write_started.set()
        await self.writes_released.wait()
        if lease not in self.leases:
            return LeaseEnded()
        self.items |= dict.fromkeys(values, lease)
        if self.lost_put_answers:
            self.lost_put_answers -= 1
            return LOST
        return Stored(self.puts)


class Withdrawal(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        replica = StoreReplica()
        replica.replace_items(Listing((), 1))
        self.registration = Registration(self.store, replica, KEY, lambda lease: b"entry", NAME)

    async def _run(self, steps: Awaitable[None]) -> None:
        """Runs `steps` beside the task that maintains the entry, which has to end after them."""
        task = asyncio.create_task(self.registration.maintain_entry())
        try:
            async with asyncio.timeout(20):
                await steps
                await task
        finally:
            task.cancel()
        self.assertEqual(self.store.items, {})
        self.assertEqual(self.store.leases, set())
        self.assertIs(self.registration.state, RegistrationState.WITHDRAWN)

    async def test_stop_during_the_write_ends_the_lease_of_the_write(self) -> None:
        async def stop_while_writing() -> None:
            self.store.writes_released.clear()
            await self.store.write_started.wait()
            await self.registration.withdraw()
            self.assertEqual(len(self.store.ended), 1)
            self.store.writes_released.set()

        await self._run(stop_while_writing())

    async def test_stop_after_a_lost_answer_removes_the_entry_that_was_written(self) -> None:
        async def stop_after_loss() -> None:
            self.store.lost_put_answers = 1
            await self.store.write_started.wait()
            while not self.store.items:
                await asyncio.sleep(0)
            await self.registration.withdraw()

        await self._run(stop_after_loss())

    async def test_stop_during_the_grant_writes_nothing(self) -> None:
        async def stop_while_granting() -> None:
            self.store.grants_released.clear()
            while not self.store.grants:
                await asyncio.sleep(0)
            await self.registration.withdraw()
            self.store.grants_released.set()

        await self._run(stop_while_granting())
        self.assertEqual(self.store.puts, 0)

    async def test_removal_of_the_entry_while_draining_does_not_write_it_again(self) -> None:
        async def remove_while_withdrawing() -> None:
            while self.registration.state is not RegistrationState.REGISTERED:
                await asyncio.sleep(0)
            self.store.failing_ends = 1
            withdrawal = asyncio.create_task(self.registration.withdraw())
            await asyncio.sleep(0)
            self.registration.observe_removal(NAME)
            await withdrawal

        await self._run(remove_while_withdrawing())
        self.assertEqual(self.store.puts, 1)

    async def test_stop_does_not_end_a_lease_whose_id_belongs_to_another_daemon_by_now(
        self,
    ) -> None:
        async def stop_after_the_lease_was_lost() -> None:
            while self.registration.state is not RegistrationState.REGISTERED:
                await asyncio.sleep(0)
            self.store.leases.clear()
            self.store.items.clear()
            await self.registration.withdraw()

        await self._run(stop_after_the_lease_was_lost())
        self.assertEqual(self.store.ended, [])

    async def test_lost_answer_is_followed_by_a_write_under_the_same_lease(self) -> None:
        async def lose_first_answer() -> None:
            self.store.lost_put_answers = 1
            while self.registration.state is not RegistrationState.REGISTERED:
                await asyncio.sleep(0.01)
            self.assertEqual((self.store.puts, self.store.grants), (2, 1))
            await self.registration.withdraw()

        await self._run(lose_first_answer())


class Renewal(unittest.TestCase):
    # Guards against an entry that lapses again and again where the store grants less than asked.
    def test_lease_is_renewed_within_the_time_that_was_granted(self) -> None:
        for ttl_s in (0.5, 1.0, 4.0, 60.0):
            self.assertLessEqual(find_renewal_pause_s(ttl_s, failed=False), ttl_s / 2)

    # Guards against a daemon that directories no longer name after one lost answer.
    def test_lease_outlives_a_renewal_whose_answer_is_lost(self) -> None:
        first_s = find_renewal_pause_s(LEASE_TTL_S, failed=False) + CALL_TIMEOUT_S
        second_s = first_s + find_renewal_pause_s(LEASE_TTL_S, failed=True)
        self.assertLess(second_s + CALL_TIMEOUT_S / 2, LEASE_TTL_S)
