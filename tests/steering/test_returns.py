import unittest

from lycheepin.steering.returns import MEMORY_S, CallerRetries
from tests.steering.test_routes import route


class WaitedTime(unittest.TestCase):
    def setUp(self) -> None:
        self.retries = CallerRetries()
        self.route = route("a", "/a/", 1.0)

    def test_request_with_much_less_time_left_has_waited(self) -> None:
        self.assertEqual(self.retries.estimate_waited_s(self.route, 4.0, 0.0), 0.0)
        waited_s = self.retries.estimate_waited_s(self.route, 2.5, 1.0)
        self.assertAlmostEqual(waited_s, 1.5, delta=0.4)
        self.assertEqual(self.retries.estimate_waited_s(self.route, 4.0, 2.0), 0.0)

    def test_request_with_slightly_less_time_left_has_not_waited(self) -> None:
        for left_s in (3.5, 4.0, 3.4, 3.95):
            self.assertEqual(self.retries.estimate_waited_s(self.route, left_s, 0.0), 0.0)

    def test_routes_are_independent(self) -> None:
        self.retries.estimate_waited_s(self.route, 4.0, 0.0)
        self.assertEqual(self.retries.estimate_waited_s(route("b", "/b/", 1.0), 1.0, 0.0), 0.0)

    def test_longest_time_left_is_forgotten_after_the_memory_time(self) -> None:
        self.retries.estimate_waited_s(self.route, 4.0, 0.0)
        self.assertEqual(self.retries.estimate_waited_s(self.route, 2.0, MEMORY_S + 1), 0.0)
        self.assertGreater(self.retries.estimate_waited_s(self.route, 1.0, MEMORY_S + 2), 0.5)
