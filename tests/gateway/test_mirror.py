import unittest

from lycheepin.gateway import following
from lycheepin.gateway import mirror as module
from lycheepin.gateway.mirror import Mirror
from lycheepin.gateway.relay import _decode, _encode
from lycheepin.gateway.storage import Changes, Item, Listing, Removed

# Shortest bound of the known deployments for a change to be in force, in seconds.
CONFIGURATION_BOUND_S = 2.5


def item(key: str, revision: int) -> Item:
    return Item(key, b"\x00\xffvalue", revision)


class Copies(unittest.IsolatedAsyncioTestCase):
    async def test_follower_gets_only_what_it_lacks(self) -> None:
        mirror = Mirror()
        self.assertIsNone(mirror.read(0))
        mirror.replace(Listing((item("a", 3),), 5))
        mirror.apply(Changes((item("b", 6), Removed("a", 7)), 7))
        self.assertEqual(mirror.read(6), Changes((Removed("a", 7),), 7))
        self.assertEqual(mirror.read(7), Changes((), 7))

    async def test_follower_that_is_too_far_behind_gets_everything(self) -> None:
        mirror = Mirror()
        mirror.replace(Listing((item("a", 3),), 5))
        mirror.apply(Changes((item("b", 6),), 6))
        self.assertEqual(mirror.read(2), Listing((item("a", 3), item("b", 6)), 6))

    async def test_kept_changes_are_bounded(self) -> None:
        mirror = Mirror()
        mirror.replace(Listing((), 1))
        for revision in range(2, module.KEPT_CHANGES + 10):
            mirror.apply(Changes((item("a", revision),), revision))
        self.assertIsInstance(mirror.read(1), Listing)
        self.assertIsInstance(mirror.read(module.KEPT_CHANGES), Changes)

    async def test_age_counts_from_the_last_word_of_the_store(self) -> None:
        mirror = Mirror()
        self.assertEqual(mirror.age_s(5.0), float("inf"))
        mirror.confirm(5.0)
        mirror.confirm(6.0, 4.0)
        self.assertEqual(mirror.age_s(7.0), 2.0)


class Lateness(unittest.TestCase):
    def test_follower_of_a_reader_that_lost_the_store_is_not_late(self) -> None:
        late_s = following.FRESH_S + following.PEER_WAIT_S + following.GATHER_S
        self.assertLess(late_s, CONFIGURATION_BOUND_S)
        self.assertLess(following.WATCH_WAIT_S, following.FRESH_S)


class Wire(unittest.TestCase):
    def test_news_survive_the_way_between_daemons(self) -> None:
        for news in (Changes((item("a", 3), Removed("b", 4)), 9), Listing((item("a", 3),), 9)):
            relayed = _decode(_encode(news, "s:1", 1500), "s:1")
            self.assertEqual((relayed.news, relayed.age_s), (news, 1.5))

    def test_another_deployment_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            _decode(_encode(Changes((), 1), "s:1", 0), "s:2")
