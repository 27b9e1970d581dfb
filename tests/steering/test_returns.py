import unittest

from lycheepin.steering.returns import MEMORY_S, CallerRetries
from tests.steering.test_routes import route


class Waits(unittest.TestCase):
    def setUp(self) -> None:
        self.returns = CallerRetries()
        self.route = route("a", "/a/", 1.0)

    def test_caller_that_grants_less_time_has_waited(self) -> None:
        self.assertEqual(self.returns.estimate_waited_s(self.route, 4.0, 0.0), 0.0)
        waited_s = self.returns.estimate_waited_s(self.route, 2.5, 1.0)
        self.assertAlmostEqual(waited_s, 1.5, delta=0.4)
        self.assertEqual(self.returns.estimate_waited_s(self.route, 4.0, 2.0), 0.0)

    def test_first_tries_that_grant_somewhat_less_have_not_waited(self) -> None:
        for left_s in (3.5, 4.0, 3.4, 3.95):
            self.assertEqual(self.returns.estimate_waited_s(self.route, left_s, 0.0), 0.0)

    def test_routes_are_told_apart(self) -> None:
        self.returns.estimate_waited_s(self.route, 4.0, 0.0)
        self.assertEqual(self.returns.estimate_waited_s(route("b", "/b/", 1.0), 1.0, 0.0), 0.0)

    def test_shorter_deadlines_are_the_new_measure_after_a_while(self) -> None:
        self.returns.estimate_waited_s(self.route, 4.0, 0.0)
        self.assertEqual(self.returns.estimate_waited_s(self.route, 2.0, MEMORY_S + 1), 0.0)
        self.assertGreater(self.returns.estimate_waited_s(self.route, 1.0, MEMORY_S + 2), 0.5)
