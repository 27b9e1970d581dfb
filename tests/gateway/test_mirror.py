import asyncio
import json
import unittest
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from lycheepin.gateway import following
from lycheepin.gateway import mirror as replica_module
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.following import SyncTiming
from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.relay import (
    ANSWER_GRACE_S,
    PeerUpdates,
    decode_updates,
    encode_updates,
    poll_peer,
)
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Listing, Position, Removed
from lycheepin.generated.messages import RelayAnswer
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.transport.calls import HttpClient
from standins.messages import configuration

# Time in seconds within which a change must be in force, in the strictest known deployment.
MAX_CONFIGURATION_DELAY_S = 2.5


def make_daemon(name: str, **values: Any) -> DaemonRecord:
    address = SocketAddress(Address("10.0.0.1"), 80)
    zone, region = ZoneName("z"), RegionName("r")
    return DaemonRecord(DaemonName(name), 1, zone, region, address, address, **values)


def at(revision: int, era: int = 0) -> Position:
    return Position(era, revision)


def make_item(key: str, revision: int, era: int = 0) -> Item:
    return Item(key, b"\x00\xffvalue", at(revision, era))


class StoreReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def test_follower_gets_only_changes_after_its_revision(self) -> None:
        replica = StoreReplica()
        self.assertIsNone(replica.read_updates(at(0)))
        replica.replace_items(Listing((make_item("a", 3),), at(5)))
        replica.apply_changes(Changes((make_item("b", 6), Removed("a", at(7))), at(7)))
        self.assertEqual(replica.read_updates(at(6)), Changes((Removed("a", at(7)),), at(7)))
        self.assertEqual(replica.read_updates(at(7)), Changes((), at(7)))

    async def test_follower_behind_the_kept_changes_gets_a_listing(self) -> None:
        replica = StoreReplica()
        replica.replace_items(Listing((make_item("a", 3),), at(5)))
        replica.apply_changes(Changes((make_item("b", 6),), at(6)))
        self.assertEqual(
            replica.read_updates(at(2)), Listing((make_item("a", 3), make_item("b", 6)), at(6))
        )

    async def test_number_of_kept_changes_is_limited(self) -> None:
        replica = StoreReplica()
        replica.replace_items(Listing((), at(1)))
        for revision in range(2, replica_module.MAX_KEPT_CHANGES + 10):
            replica.apply_changes(Changes((make_item("a", revision),), at(revision)))
        self.assertIsInstance(replica.read_updates(at(1)), Listing)
        self.assertIsInstance(replica.read_updates(at(replica_module.MAX_KEPT_CHANGES)), Changes)

    async def test_key_that_changed_often_is_sent_once(self) -> None:
        replica = StoreReplica()
        replica.replace_items(Listing((), at(1)))
        for revision in range(2, 40):
            replica.apply_changes(Changes((make_item("configuration", revision),), at(revision)))
        replica.apply_changes(Changes((make_item("b", 41),), at(41)))
        updates = Changes((make_item("configuration", 39), make_item("b", 41)), at(41))
        self.assertEqual(replica.read_updates(at(1)), updates)

    async def test_second_listing_sends_followers_only_differing_items(self) -> None:
        replica = StoreReplica()
        replica.replace_items(
            Listing((make_item("a", 3), make_item("b", 4), make_item("c", 5)), at(5))
        )
        replica.replace_items(
            Listing((make_item("a", 3), make_item("b", 7), make_item("d", 8)), at(9))
        )
        updates = Changes((make_item("b", 7), Removed("c", at(9)), make_item("d", 8)), at(9))
        self.assertEqual(replica.read_updates(at(5)), updates)
        self.assertIsInstance(replica.read_updates(at(4)), Listing)

    async def test_change_already_in_a_listing_is_sent_again_after_it(self) -> None:
        replica = StoreReplica()
        replica.replace_items(Listing((make_item("a", 3),), at(5)))
        replica.replace_items(Listing((make_item("a", 12),), at(10)))
        replica.apply_changes(Changes((make_item("a", 12), make_item("b", 9)), at(12)))
        self.assertEqual(
            replica.read_updates(at(10)), Changes((make_item("a", 12), make_item("b", 9)), at(12))
        )

    async def test_follower_of_an_earlier_era_gets_a_listing_and_one_of_a_later_era_nothing(
        self,
    ) -> None:
        replica = StoreReplica()
        replica.replace_items(Listing((make_item("a", 3),), at(5, era=1)))
        replica.apply_changes(Changes((make_item("b", 90, era=1),), at(90, era=1)))
        restored = Listing((make_item("a", 3, era=2),), at(6, era=2))
        replica.replace_items(restored)
        for revision in (0, 4, 7, 90, 91):
            self.assertEqual(replica.read_updates(at(revision, era=1)), restored)
        self.assertEqual(replica.read_updates(at(6, era=2)), Changes((), at(6, era=2)))
        ahead = at(1, era=3)
        self.assertEqual(replica.read_updates(ahead), Changes((), at(6, era=2)))
        await replica.wait_for_updates(ahead, 1e9)

    async def test_age_counts_from_the_latest_confirmation(self) -> None:
        replica = StoreReplica()
        self.assertEqual(replica.age_s(5.0), float("inf"))
        replica.confirm_current(5.0)
        replica.confirm_current(6.0, 4.0)
        self.assertEqual(replica.age_s(7.0), 2.0)


class ChooseWatchers(unittest.TestCase):
    def test_daemons_with_the_widest_links_are_chosen_in_any_order(self) -> None:
        links = {"a": 10.0, "b": 200.0, "c": 10.0, "d": 200.0, "e": 0.0}
        records = [make_daemon(name, link_mbps=link) for name, link in links.items()]
        chosen = [record.name for record in following.choose_watchers(records)]
        self.assertEqual(sorted(chosen), ["b", "d"])
        self.assertEqual(chosen, [r.name for r in following.choose_watchers(records[::-1])])


class FollowerDelay(unittest.TestCase):
    def test_follower_of_a_watcher_that_lost_the_store_meets_the_bound(self) -> None:
        for limit_s in (MAX_CONFIGURATION_DELAY_S, 4.0, 6.0):
            timing = SyncTiming.from_limit(limit_s)
            delay_s = timing.max_fresh_age_s + following.PEER_WAIT_S + timing.batch_pause_s
            self.assertLess(delay_s, limit_s)
            self.assertLess(timing.watch_wait_s, timing.max_fresh_age_s)

    def test_standby_notices_a_frozen_reader_before_the_other_followers_turn_to_it(self) -> None:
        unconfirmed_s = following.STANDBY_WAIT_S + ANSWER_GRACE_S + following.PROBE_WAIT_S
        self.assertLess(unconfirmed_s, following.PEER_WAIT_S + ANSWER_GRACE_S)
        timing = SyncTiming.from_limit(MAX_CONFIGURATION_DELAY_S)
        self.assertLess(following.STANDBY_WAIT_S + unconfirmed_s, timing.max_fresh_age_s)


def make_answer(updates: Listing | Changes, store: str) -> RelayAnswer:
    complete = isinstance(updates, Listing)
    return RelayAnswer(store, *updates.as_of, 1500, complete, 0, encode_updates(updates))


class UpdateEncoding(unittest.TestCase):
    def test_decoded_updates_equal_the_encoded_ones(self) -> None:
        for updates in (
            Changes((make_item("a", 3), Removed("b", at(4))), at(9)),
            Listing((make_item("a", 3),), at(9)),
            Changes((), at(9)),
        ):
            self.assertEqual(decode_updates(make_answer(updates, "s:1"), "s:1"), updates)

    # Guards against revisions that run into the era (review/5).
    def test_positions_of_any_size_are_kept(self) -> None:
        for era, revision in ((0, 2**40), (3, 1_796_000_000_000), (10**12, 2**63 - 1)):
            updates = Listing((make_item("a", revision, era=era),), at(revision, era=era))
            self.assertEqual(decode_updates(make_answer(updates, "s:1"), "s:1"), updates)
            self.assertLess(at(revision, era=era), at(1, era=era + 1))

    def test_answer_of_another_deployment_raises_value_error(self) -> None:
        with self.assertRaises(ValueError):
            decode_updates(make_answer(Changes((), at(1)), "s:1"), "s:2")

    # Guards against a part of the updates being used, and the rest never asked for.
    def test_updates_that_break_off_raise_value_error(self) -> None:
        answer = make_answer(Changes((make_item("a", 3),), at(9)), "s:1")
        whole = answer.news
        for size in range(1, len(whole)):
            answer.news = whole[:size]
            with self.subTest(size=size), self.assertRaises(ValueError):
                decode_updates(answer, "s:1")

    def test_large_configuration_is_compressed_to_less_than_a_fifth(self) -> None:
        table = configuration(7, routes=1300)
        value = json.dumps(table).encode()
        self.assertLess(
            len(encode_updates(Changes((Item("c", value, at(2)),), at(2)))), len(value) / 5
        )


class PollPeer(unittest.IsolatedAsyncioTestCase):
    async def test_age_includes_the_transfer_time_but_not_the_senders_wait(self) -> None:
        transfer_s, waited_s = 0.2, 0.3

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(transfer_s + waited_s)
            message = make_answer(Changes((), at(9)), "127.0.0.1:1")
            message.waited_ms = int(waited_s * 1000)
            body = serialize(message, TCyBinaryProtocolFactory())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        peer = SocketAddress(Address("127.0.0.1"), server.sockets[0].getsockname()[1])
        store = SocketAddress(Address("127.0.0.1"), 1)
        http_client = HttpClient(Address("127.0.0.1"))
        self.addCleanup(http_client.close)
        polled = await poll_peer(http_client, peer, store, at(9), 5.0)
        assert isinstance(polled, PeerUpdates), polled
        self.assertGreaterEqual(polled.age_s, 1.5 + transfer_s - 0.01)
        self.assertLess(polled.age_s, 1.5 + 5.0)
