"""Tests of naming requests that outlast a drain."""

import unittest

from lycheepin.daemon.active_requests import ActiveRequest, ActiveRequests
from lycheepin.names import Resource

HERE, THERE = Resource("slot|here"), Resource("slot|there")


class OverdueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.active = ActiveRequests()
        self.upload = ActiveRequest("studio/photo", "127.0.0.1", 0.0, 30.0, HERE)
        self.active.add(self.upload)

    def test_named_once_when_its_endpoint_leaves_for_longer_than_the_target(self) -> None:
        named = [list(self.active.overdue(lambda p: p == HERE, t)) for t in (0.0, 30.0, 31.0, 32.0)]
        self.assertEqual(named, [[], [], [self.upload], []])

    def test_named_when_the_daemon_itself_leaves(self) -> None:
        list(self.active.overdue(lambda place: place is None, 0.0))
        found = list(self.active.overdue(lambda place: place is None, 31.0))
        self.assertEqual(found, [self.upload])

    def test_not_named_when_the_drain_was_ended_in_between(self) -> None:
        list(self.active.overdue(lambda place: place == HERE, 0.0))
        list(self.active.overdue(lambda place: False, 20.0))
        self.assertEqual(list(self.active.overdue(lambda place: place == HERE, 31.0)), [])

    def test_other_endpoints_do_not_matter(self) -> None:
        list(self.active.overdue(lambda place: place == THERE, 0.0))
        self.assertEqual(list(self.active.overdue(lambda place: place == THERE, 99.0)), [])
