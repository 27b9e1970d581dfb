"""Endpoints that return, simulated with lycheepin's decision code."""

import statistics
import unittest
from typing import ClassVar

from experiments.returns import LEARNING_S, RETURN_S, SETTLED_S, Return, run_return

SEEDS = (1, 2, 3)
LOAD = 1.5
# A third of the endpoints, all of one region.
ZONES = ("a1", "a2")
# Part of the other endpoints' requests that returned ones get at least once objects are learned.
MIN_SHARE = 0.8


class ReturningEndpoints(unittest.TestCase):
    """Load: all daemons return to a third of the endpoints at once; these know no object."""

    at_once: ClassVar[list[Return]]
    paced: ClassVar[list[Return]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.at_once = [run_return(LOAD, seed, False, ZONES) for seed in SEEDS]
        cls.paced = [run_return(LOAD, seed, True, ZONES) for seed in SEEDS]

    def test_flood_is_avoided_and_more_requests_are_answered_in_time(self) -> None:
        first_second = (RETURN_S, RETURN_S + 1.0)
        for at_once, paced in zip(self.at_once, self.paced, strict=True):
            self.assertGreater(at_once.rate_ratio(*first_second), 1.0)
            self.assertLess(paced.rate_ratio(*first_second), 1.0)
        earned = [
            statistics.mean(run.result.earned_ratio(LEARNING_S[0], SETTLED_S[1]) for run in runs)
            for runs in (self.at_once, self.paced)
        ]
        self.assertGreater(earned[1], earned[0])

    def test_returned_endpoints_are_not_left_idle(self) -> None:
        for paced in self.paced:
            self.assertGreater(paced.rate_ratio(RETURN_S + 4.0, RETURN_S + 8.0), MIN_SHARE)
