import math
import unittest

from lycheepin.names import ServiceName
from lycheepin.steering.idle_connections import (
    ALLOWED_FRACTION,
    MAX_BREAK_DELAY_S,
    MEMORY_S,
    IdleConnectionLimits,
)

DESK, STUDIO = ServiceName("desk"), ServiceName("studio")


class RestLimit(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = IdleConnectionLimits()

    def test_break_after_a_rest_limits_the_rest_for_the_whole_service(self) -> None:
        self.limits.observe_break(DESK, 0.6, 0.05, 10.0)
        self.limits.observe_break(DESK, 2.0, 0.05, 10.1)
        self.assertEqual(self.limits.max_rest_s(DESK, 11.0), ALLOWED_FRACTION * 0.6)
        self.assertEqual(self.limits.max_rest_s(STUDIO, 11.0), math.inf)
        self.assertEqual(self.limits.max_rest_s(DESK, 10.1 + MEMORY_S), math.inf)

    def test_break_that_the_rest_cannot_have_caused_is_ignored(self) -> None:
        self.limits.observe_break(DESK, 3.0, MAX_BREAK_DELAY_S + 0.1, 10.0)
        self.assertEqual(self.limits.max_rest_s(DESK, 10.0), math.inf)

    def test_break_of_a_new_connection_shows_that_resting_is_not_the_cause(self) -> None:
        self.limits.observe_break(DESK, 3.0, 0.05, 10.0)
        self.limits.observe_break(DESK, 0.0, 0.05, 10.1)
        self.limits.observe_break(DESK, 3.0, 0.05, 10.2)
        self.assertEqual(self.limits.max_rest_s(DESK, 10.3), math.inf)
        self.limits.observe_break(DESK, 3.0, 0.05, 10.1 + MEMORY_S)
        self.assertEqual(self.limits.max_rest_s(DESK, 10.2 + MEMORY_S), ALLOWED_FRACTION * 3.0)


class ForgottenConnections(unittest.TestCase):
    """Requests at hundreds of endpoints that forget connections which rested 0.2 s."""

    FORGET_S = 0.2
    GAP_S = 1.7

    def test_breaks_end_after_the_first_ones_although_each_endpoint_is_seen_once(self) -> None:
        limits, broken, now_s = IdleConnectionLimits(), 0, 0.0
        for _ in range(400):
            now_s += 0.03
            reuses = limits.max_rest_s(DESK, now_s) > self.GAP_S
            if reuses and self.GAP_S > self.FORGET_S:
                broken += 1
                limits.observe_break(DESK, self.GAP_S, 0.08, now_s)
        self.assertLessEqual(broken, 2)
