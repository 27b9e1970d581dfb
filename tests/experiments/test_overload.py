"""Recorded loads, replayed on the product's decisions; bounds come from the stated targets."""

import statistics
import unittest

from experiments.load import KINDS, LAYOUTS, play
from experiments.model import World
from experiments.policies import POLICIES
from experiments.runs import SEEDS, TERMS, Scenario, run_once

SEED = 1
# Load at which the endpoints of both layouts are just filled by work on known objects.
CAPACITY = 2.0
# Parts of the best goodput that have to be kept at three times the capacity, and reached again
# two seconds after the end of a burst.
KEPT_PART = 0.95
STEADY_S = (4.0, 14.0)


def mean_goodput(site: str, load: float) -> float:
    """Returns the worth earned in a second under an even load, over the seeds."""
    return statistics.mean(
        run_once(site, Scenario("even", lambda second: load), "lycheepin", seed).goodput(*STEADY_S)
        for seed in SEEDS
    )


class Overload(unittest.TestCase):
    """Load answered: offered work far beyond what the endpoints can do, callers that return."""

    def test_goodput_holds_up_to_three_times_the_capacity(self) -> None:
        for site in LAYOUTS:
            loads = (CAPACITY, 1.5 * CAPACITY, 2 * CAPACITY, 3 * CAPACITY)
            goodputs = [mean_goodput(site, load) for load in loads]
            self.assertGreater(goodputs[-1], KEPT_PART * max(goodputs), site)

    def test_usual_goodput_is_back_two_seconds_after_a_burst(self) -> None:
        burst = Scenario("burst", lambda second: 3 * CAPACITY if 4 <= second < 8 else 1.0)
        usual = Scenario("even", lambda second: 1.0)
        even = run_once("cire", usual, "lycheepin", SEED).part(10.0, 16.0)
        after = run_once("cire", burst, "lycheepin", SEED).part(10.0, 16.0)
        self.assertGreater(after, KEPT_PART * even)

    def test_simple_policies_collapse_under_the_same_load(self) -> None:
        load = Scenario("even", lambda second: CAPACITY)
        for policy in ("random", "nearest, least loaded"):
            part = run_once("cire", load, policy, SEED).part(*STEADY_S)
            self.assertLess(part, 0.2, policy)

    def test_every_request_ends_once(self) -> None:
        world = World(LAYOUTS["cire"], TERMS, SEED)
        for daemon in world.daemons:
            daemon.choose_endpoint = POLICIES["lycheepin"](world, daemon)
        result = play(world, 4.0, lambda second: 3.0, KINDS["cire"])
        self.assertLessEqual(result.served, result.asked)
        in_flight = sum(e.in_flight for d in world.daemons for e in d.fleet.all())
        self.assertEqual(in_flight, 0)
