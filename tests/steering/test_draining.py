import unittest

from lycheepin.steering.draining import ANSWER_MARGIN_S, EXIT_MARGIN_S, DrainSchedule


class Schedule(unittest.TestCase):
    def test_process_ends_before_it_is_killed_whatever_the_grace_period(self) -> None:
        for grace_s in (0.0, 0.4, 1.0, 2.0, 6.0, 60.0):
            with self.subTest(grace_s):
                drain = DrainSchedule.from_grace(100.0, grace_s, 3.0)
                self.assertLessEqual(drain.listens_until_s, 100.0 + min(3.0, grace_s / 2))
                self.assertGreaterEqual(drain.ends_s, 100.0)
                self.assertLessEqual(drain.ends_s, max(100.0, 100.0 + grace_s - EXIT_MARGIN_S))

    def test_early_request_is_passed_on_if_its_expected_processing_fits(self) -> None:
        drain = DrainSchedule.from_grace(0.0, 6.0, 3.0)
        self.assertTrue(drain.allows_attempt(0.1, 60.0, 1.0))
        self.assertTrue(drain.allows_attempt(2.9, 60.0, 0.5))
        self.assertFalse(drain.allows_attempt(2.9, 60.0, 1.0))

    def test_late_request_is_passed_on_if_it_ends_by_then(self) -> None:
        drain = DrainSchedule.from_grace(0.0, 6.0, 3.0)
        latest_s = 6.0 - EXIT_MARGIN_S - ANSWER_MARGIN_S
        self.assertTrue(drain.allows_attempt(3.5, latest_s, 5.0))
        self.assertFalse(drain.allows_attempt(3.5, latest_s + 0.01, 0.01))
