"""Tests of the detection of requests that exceed their drain target."""

import unittest

from lycheepin.daemon.active_requests import ActiveRequest, ActiveRequests
from lycheepin.names import Resource

HERE, THERE = Resource("slot|here"), Resource("slot|there")


class OverdueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.active = ActiveRequests()
        self.upload = ActiveRequest("studio/photo", "127.0.0.1", 0.0, 30.0, HERE)
        self.active.add(self.upload)

    def test_request_is_yielded_once_when_its_endpoint_leaves_past_the_drain_target(self) -> None:
        named = [list(self.active.overdue(lambda p: p == HERE, t)) for t in (0.0, 30.0, 31.0, 32.0)]
        self.assertEqual(named, [[], [], [self.upload], []])

    def test_request_is_overdue_when_the_daemon_is_leaving(self) -> None:
        list(self.active.overdue(lambda place: place is None, 0.0))
        found = list(self.active.overdue(lambda place: place is None, 31.0))
        self.assertEqual(found, [self.upload])

    def test_cancelled_drain_resets_the_time_of_a_request(self) -> None:
        list(self.active.overdue(lambda place: place == HERE, 0.0))
        list(self.active.overdue(lambda place: False, 20.0))
        self.assertEqual(list(self.active.overdue(lambda place: place == HERE, 31.0)), [])

    def test_drain_of_another_endpoint_makes_no_request_overdue(self) -> None:
        list(self.active.overdue(lambda place: place == THERE, 0.0))
        self.assertEqual(list(self.active.overdue(lambda place: place == THERE, 99.0)), [])
