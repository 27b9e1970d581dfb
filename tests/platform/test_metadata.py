import unittest

from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Lease,
    LeaseEnded,
    Listing,
    Removed,
    Stored,
    StoreFailure,
)
from lycheepin.platform.metadata import MetadataStore
from lycheepin.transport.calls import HttpClient
from standins.metadata import MetadataStandIn
from tests.gateway.deployment import HOST, find_free_address


class MetadataStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        address = find_free_address()
        self.stand_in = MetadataStandIn()
        await self.stand_in.listen(HOST, address.port)
        self.http_client = HttpClient(HOST)
        self.store = MetadataStore(self.http_client, address)

    async def asyncTearDown(self) -> None:
        self.http_client.close()
        self.stand_in.close()

    async def test_list_items_reads_all_pages(self) -> None:
        for number in range(12):
            self.stand_in.put(f"k/{number:02}", number)
        listing = await self.store.list_items("k/")
        assert isinstance(listing, Listing)
        self.assertEqual(len(listing.items), 12)
        self.assertEqual(listing.as_of, self.stand_in.revision)

    async def test_watch_returns_changes_removals_and_lost_history(self) -> None:
        self.stand_in.put("k/a", 1)
        self.stand_in.delete("k/a")
        changes = await self.store.watch("k/", 1, 1.0)
        assert isinstance(changes, Changes)
        self.assertIsInstance(changes.events[1], Removed)
        self.assertEqual(changes.as_of, 3)
        self.assertEqual(await self.store.watch("k/", 3, 0.05), Changes((), 3))
        self.stand_in.drop_history()
        self.assertIsInstance(await self.store.watch("k/", 1, 1.0), HistoryLost)

    async def test_lease_can_be_renewed_until_it_ends(self) -> None:
        lease = await self.store.grant_lease(4.0)
        assert isinstance(lease, Lease)
        self.assertIsInstance(await self.store.put("k/own", b"\x00\xff", lease), Stored)
        self.assertEqual(await self.store.renew_lease(lease), lease)
        self.stand_in.end_lease(lease.id)
        self.assertNotIn("k/own", self.stand_in.items)
        self.assertIsInstance(await self.store.renew_lease(lease), LeaseEnded)
        self.assertIsInstance(await self.store.put("k/own", b"", lease), LeaseEnded)
        self.assertIsNone(await self.store.end_lease(lease))

    async def test_error_statuses_and_lost_answers_are_failures(self) -> None:
        for status in (503, 429, 500):
            self.stand_in.override_status = lambda target, status=status: status
            failure = await self.store.list_items("")
            self.assertEqual(failure, StoreFailure(f"status {status}"))
        self.stand_in.override_status = lambda target: None
        self.stand_in.lose_answers = True
        self.assertIsInstance(await self.store.list_items(""), StoreFailure)
