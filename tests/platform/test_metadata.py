import unittest

from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Position,
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
        self.assertEqual(listing.as_of, Position(0, self.stand_in.revision))

    async def test_watch_returns_changes_removals_and_lost_history(self) -> None:
        self.stand_in.put("k/a", 1)
        self.stand_in.delete("k/a")
        changes = await self.store.watch("k/", Position(0, 1), 1.0)
        assert isinstance(changes, Changes)
        self.assertIsInstance(changes.events[1], Removed)
        self.assertEqual(changes.as_of, Position(0, 3))
        at_end = Position(0, 3)
        self.assertEqual(await self.store.watch("k/", at_end, 0.05), Changes((), at_end))
        self.stand_in.drop_history()
        self.assertIsInstance(await self.store.watch("k/", Position(0, 1), 1.0), HistoryLost)

    async def test_lease_can_be_renewed_until_it_ends(self) -> None:
        lease = await self.store.grant_lease(4.0)
        assert isinstance(lease, Lease)
        self.assertIsInstance(await self.store.put({"k/own": b"\x00\xff"}, lease), Stored)
        self.assertEqual(await self.store.renew_lease(lease), lease)
        self.stand_in.end_lease(lease.id)
        self.assertNotIn("k/own", self.stand_in.items)
        self.assertIsInstance(await self.store.renew_lease(lease), LeaseEnded)
        self.assertIsInstance(await self.store.put({"k/own": b""}, lease), LeaseEnded)
        self.assertIsNone(await self.store.end_lease(lease))

    # Guards against a daemon that never registers where leases have to live longer than its own.
    async def test_lease_lives_as_long_as_the_store_requires(self) -> None:
        self.stand_in.min_ttl_ms = 10_000
        self.assertIsInstance(await self.store.grant_lease(4.0), StoreFailure)
        store = MetadataStore(self.http_client, self.store.address, min_lease_s=10.0)
        lease = await store.grant_lease(4.0)
        assert isinstance(lease, Lease)
        self.assertEqual(lease.ttl_s, 10.0)

    async def test_error_statuses_and_lost_answers_are_failures(self) -> None:
        for status in (503, 429, 500):
            self.stand_in.override_status = lambda target, status=status: status
            failure = await self.store.list_items("")
            self.assertEqual(failure, StoreFailure(f"status {status}"))
        self.stand_in.override_status = lambda target: None
        self.stand_in.lose_answers = True
        self.assertIsInstance(await self.store.list_items(""), StoreFailure)

    async def test_position_of_an_earlier_era_is_lost_history_at_any_revision(self) -> None:
        for _ in range(8):
            self.stand_in.put("k/a", 1)
        stored = self.stand_in.make_copy()
        for _ in range(8):
            self.stand_in.put("k/a", 2)
        before = await self.store.watch("k/", Position(0, 12), 0.05)
        assert isinstance(before, Changes)
        self.stand_in.restore(stored)
        self.http_client.close()  # the store has closed the connections
        for _ in range(20):
            self.stand_in.put("k/b", 3)
        for revision in (1, 9, 12, before.as_of.revision, 90):
            with self.subTest(revision):
                lost = await self.store.watch("k/", Position(0, revision), 0.05)
                self.assertEqual(lost, HistoryLost())
        watches = [call for call in self.stand_in.calls if "kv-watch" in call]
        self.assertEqual(len(watches), 2, "an earlier era than the store's is known to be lost")
        changes = await self.store.watch("k/", Position(1, self.stand_in.revision - 1), 0.05)
        assert isinstance(changes, Changes)
        self.assertGreater(changes.as_of, before.as_of)
        assert isinstance(changes.events[0], Item)
        self.assertEqual(changes.events[0].position, changes.as_of)

    async def test_listing_that_crosses_an_era_and_answers_of_an_earlier_one_are_failures(
        self,
    ) -> None:
        for number in range(12):
            self.stand_in.put(f"k/{number:02}", number)

        def start_era_after_first_page(target: str) -> int | None:
            if "after=" in target:
                self.stand_in.era = 3
            return None

        self.stand_in.override_status = start_era_after_first_page
        self.assertIsInstance(await self.store.list_items("k/"), StoreFailure)
        listing = await self.store.list_items("k/")
        assert isinstance(listing, Listing)
        self.assertEqual(listing.as_of, Position(3, self.stand_in.revision))
        self.stand_in.override_status = lambda target: None
        self.stand_in.era = 2
        self.assertIsInstance(await self.store.list_items("k/"), StoreFailure)
        self.assertIsInstance(await self.store.watch("k/", listing.as_of, 0.05), StoreFailure)

    async def test_lease_of_an_earlier_era_ends_though_its_number_is_given_out_again(self) -> None:
        other = MetadataStore(self.http_client, self.store.address)
        for name in ("renew", "put", "end"):
            with self.subTest(name):
                stored = self.stand_in.make_copy()
                lease = await self.store.grant_lease(4.0)
                assert isinstance(lease, Lease)
                self.stand_in.restore(stored)
                self.http_client.close()  # the store has closed the connections
                reissued = await other.grant_lease(4.0)
                assert isinstance(reissued, Lease)
                self.assertEqual(reissued.id, lease.id)
                await other.put({"k/other": b""}, reissued)
                if name == "renew":
                    self.assertEqual(await self.store.renew_lease(lease), LeaseEnded())
                if name == "put":
                    self.assertEqual(await self.store.put({"k/own": b""}, lease), LeaseEnded())
                if name == "end":
                    self.assertIsInstance(await self.store.list_items(""), Listing)
                self.assertIsNone(await self.store.end_lease(lease))
                self.assertIn("k/other", self.stand_in.items)
