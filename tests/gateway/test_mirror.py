import asyncio
import json
import unittest
from typing import Any

from lycheepin.gateway.replica import StoreReplica
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from lycheepin.gateway import following
from lycheepin.gateway import replica as module
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.relay import Relayed, ask_peer, decode_news, encode_news
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Listing, Removed
from lycheepin.generated.messages import RelayAnswer
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.transport.calls import HttpClient
from standins.messages import configuration

# Shortest bound of the known deployments for a change to be in force, in seconds.
CONFIGURATION_BOUND_S = 2.5


def daemon(name: str, **values: Any) -> DaemonRecord:
    address = SocketAddress(Address("10.0.0.1"), 80)
    zone, region = ZoneName("z"), RegionName("r")
    return DaemonRecord(DaemonName(name), 1, zone, region, address, address, **values)


def item(key: str, revision: int) -> Item:
    return Item(key, b"\x00\xffvalue", revision)


class Copies(unittest.IsolatedAsyncioTestCase):
    async def test_follower_gets_only_what_it_lacks(self) -> None:
        replica = StoreReplica()
        self.assertIsNone(replica.read(0))
        replica.replace(Listing((item("a", 3),), 5))
        replica.apply(Changes((item("b", 6), Removed("a", 7)), 7))
        self.assertEqual(replica.read(6), Changes((Removed("a", 7),), 7))
        self.assertEqual(replica.read(7), Changes((), 7))

    async def test_follower_that_is_too_far_behind_gets_everything(self) -> None:
        replica = StoreReplica()
        replica.replace(Listing((item("a", 3),), 5))
        replica.apply(Changes((item("b", 6),), 6))
        self.assertEqual(replica.read(2), Listing((item("a", 3), item("b", 6)), 6))

    async def test_kept_changes_are_bounded(self) -> None:
        replica = StoreReplica()
        replica.replace(Listing((), 1))
        for revision in range(2, module.KEPT_CHANGES + 10):
            replica.apply(Changes((item("a", revision),), revision))
        self.assertIsInstance(replica.read(1), Listing)
        self.assertIsInstance(replica.read(module.KEPT_CHANGES), Changes)

    async def test_key_that_changed_often_is_told_once(self) -> None:
        replica = StoreReplica()
        replica.replace(Listing((), 1))
        for revision in range(2, 40):
            replica.apply(Changes((item("configuration", revision),), revision))
        replica.apply(Changes((item("b", 41),), 41))
        news = Changes((item("configuration", 39), item("b", 41)), 41)
        self.assertEqual(replica.read(1), news)

    async def test_new_listing_costs_followers_only_what_differs(self) -> None:
        replica = StoreReplica()
        replica.replace(Listing((item("a", 3), item("b", 4), item("c", 5)), 5))
        replica.replace(Listing((item("a", 3), item("b", 7), item("d", 8)), 9))
        news = Changes((item("b", 7), Removed("c", 9), item("d", 8)), 9)
        self.assertEqual(replica.read(5), news)
        self.assertIsInstance(replica.read(4), Listing)

    async def test_change_that_a_listing_already_held_is_told_after_it(self) -> None:
        replica = StoreReplica()
        replica.replace(Listing((item("a", 3),), 5))
        replica.replace(Listing((item("a", 12),), 10))
        replica.apply(Changes((item("a", 12), item("b", 9)), 12))
        self.assertEqual(replica.read(10), Changes((item("a", 12), item("b", 9)), 12))

    async def test_age_counts_from_the_last_word_of_the_store(self) -> None:
        replica = StoreReplica()
        self.assertEqual(replica.age_s(5.0), float("inf"))
        replica.confirm(5.0)
        replica.confirm(6.0, 4.0)
        self.assertEqual(replica.age_s(7.0), 2.0)


class Watchers(unittest.TestCase):
    def test_daemons_with_the_widest_links_read_the_store(self) -> None:
        links = {"a": 10.0, "b": 200.0, "c": 10.0, "d": 200.0, "e": 0.0}
        records = [daemon(name, link_mbps=link) for name, link in links.items()]
        chosen = [record.name for record in following.choose_watchers(records)]
        self.assertEqual(sorted(chosen), ["b", "d"])
        self.assertEqual(chosen, [r.name for r in following.choose_watchers(records[::-1])])


class Lateness(unittest.TestCase):
    def test_follower_of_a_reader_that_lost_the_store_is_not_late(self) -> None:
        late_s = following.FRESH_S + following.PEER_WAIT_S + following.GATHER_S
        self.assertLess(late_s, CONFIGURATION_BOUND_S)
        self.assertLess(following.WATCH_WAIT_S, following.FRESH_S)


def answer(news: Listing | Changes, store: str) -> RelayAnswer:
    complete = isinstance(news, Listing)
    return RelayAnswer(store, news.as_of, 1500, complete, 0, encode_news(news))


class Wire(unittest.TestCase):
    def test_news_survive_the_way_between_daemons(self) -> None:
        for news in (
            Changes((item("a", 3), Removed("b", 4)), 9),
            Listing((item("a", 3),), 9),
            Changes((), 9),
        ):
            self.assertEqual(decode_news(answer(news, "s:1"), "s:1"), news)

    def test_another_deployment_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            decode_news(answer(Changes((), 1), "s:1"), "s:2")

    def test_large_configuration_takes_a_fifth_of_its_size(self) -> None:
        table = configuration(7, routes=1300)
        value = json.dumps(table).encode()
        self.assertLess(len(encode_news(Changes((Item("c", value, 2),), 2))), len(value) / 5)


class Ages(unittest.IsolatedAsyncioTestCase):
    async def test_time_on_the_way_counts_as_age_and_the_senders_wait_does_not(self) -> None:
        way_s, waited_s = 0.2, 0.3

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(way_s + waited_s)
            message = answer(Changes((), 9), "127.0.0.1:1")
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
        relayed = await ask_peer(http_client, peer, store, 9, 5.0)
        assert isinstance(relayed, Relayed), relayed
        self.assertGreaterEqual(relayed.age_s, 1.5 + way_s - 0.01)
        self.assertLess(relayed.age_s, 1.5 + 5.0)
