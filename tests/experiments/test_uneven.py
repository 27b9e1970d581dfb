"""Uneven endpoints, simulated with lycheepin's decision code; bounds come from the users' rules."""

import unittest

from experiments.model import Simulation, Tail
from experiments.uneven import UNEVEN_LIMITS, VARIANTS, run_uneven

SEED = 1
LOAD, HIGH_LOAD = 1.0, 3.0
# Part of the requests that get a second attempt in vain, at most.
MAX_IN_VAIN = 0.02
_, _, WITHOUT, WITH = VARIANTS


def count_second_attempts(simulation: Simulation) -> int:
    """Returns the number of second attempts of all daemons."""
    return sum(daemon.hedges_sent for daemon in simulation.daemons)


class UnevenEndpoints(unittest.TestCase):
    """Load: 3 in 100 requests take seven times as long; machines are slow 15 in 100 of the time."""

    def test_second_attempts_answer_requests_that_would_have_failed(self) -> None:
        without, _ = run_uneven(WITHOUT, LOAD, SEED)
        result, simulation = run_uneven(WITH, LOAD, SEED)
        self.assertGreater(count_second_attempts(simulation), 0)
        self.assertGreater(result.served / result.requests, without.served / without.requests)

    def test_arrivals_beyond_the_first_stay_within_the_budget(self) -> None:
        for load in (LOAD, HIGH_LOAD):
            result, simulation = run_uneven(WITH, load, SEED)
            allowed = UNEVEN_LIMITS.retry_ratio * result.tries + UNEVEN_LIMITS.retry_slack
            self.assertLessEqual(result.attempts_sent - result.tries, allowed)
            for daemon in simulation.daemons:
                self.assertEqual(sum(e.in_flight for e in daemon.registry.all()), 0)

    def test_full_service_gets_almost_no_second_attempts(self) -> None:
        result, simulation = run_uneven(WITH, HIGH_LOAD, SEED)
        self.assertLess(count_second_attempts(simulation), MAX_IN_VAIN * result.requests)

    def test_requests_that_take_long_everywhere_get_few_second_attempts(self) -> None:
        result, simulation = run_uneven(WITH, LOAD, SEED, Tail.OF_REQUESTS)
        self.assertLess(count_second_attempts(simulation), MAX_IN_VAIN * result.requests)
