"""Workspaces and priorities that compete for room, simulated with lycheepin's decision code.

The bounds come from the stated targets.
"""

import statistics
import unittest
from functools import cache

from experiments.contention import (
    PATTERNS,
    measure_fairness,
    measure_goodput,
    measure_priorities,
    measure_workspaces,
    run_pattern,
)
from experiments.load import RunResult

SEEDS = (1, 2, 3)
# Least part of what is served of all requests that is served of each workspace.
MIN_SERVED_RATIO = 0.25
# A lower priority is served no more often than a higher one, but for this part of its requests.
MAX_INVERSION = 0.05
# Part of the best goodput that is kept beyond the capacity.
MIN_GOODPUT_RATIO = 0.95
# Workspaces at their usual are served by so much more often than one at ten times its usual.
MIN_PREFERENCE = 1.25
# Part of the requests of a higher priority that is served, where these alone would fit easily.
MIN_KEPT = 0.8


@cache
def run(name: str) -> list[RunResult]:
    """Returns the runs of a pattern, one for each seed."""
    return [run_pattern(PATTERNS[name], seed) for seed in SEEDS]


def find_mean_served(results: list[RunResult]) -> dict[int, float]:
    """Returns the served part by priority, as a mean over the runs."""
    served = [measure_priorities(result) for result in results]
    return {p: statistics.mean(each[p] for each in served) for p in served[0]}


class Contention(unittest.TestCase):
    def test_no_workspace_is_served_under_a_quarter_of_all(self) -> None:
        for name in PATTERNS:
            for result in run(name):
                self.assertGreater(measure_fairness(result)[0], MIN_SERVED_RATIO, name)

    def test_workspaces_at_their_usual_are_served_before_one_beyond(self) -> None:
        name = "one of all at 1.5 sends ten times"
        ratios = []
        for result in run(name):
            served = measure_workspaces(result)
            hot = served.pop(PATTERNS[name].hot)
            ratios.append(statistics.mean(served.values()) / hot)
        self.assertGreater(statistics.mean(ratios), MIN_PREFERENCE)

    def test_goodput_holds_at_three_and_six_times_the_load(self) -> None:
        names = ("calm", "all at 1.5", "all send twice", "all send three times")
        goodputs = [statistics.mean(map(measure_goodput, run(name))) for name in names]
        at_six = statistics.mean(map(measure_goodput, run("all send six times")))
        self.assertGreater(goodputs[-1], MIN_GOODPUT_RATIO * max(goodputs))
        self.assertGreater(at_six, MIN_GOODPUT_RATIO * max(goodputs))

    def test_lower_priority_is_not_served_more_often_than_a_higher_one(self) -> None:
        for name in PATTERNS:
            served = find_mean_served(run(name))
            for priority, fraction in served.items():
                higher = min((f for p, f in served.items() if p < priority), default=1.0)
                self.assertLess(fraction - higher, MAX_INVERSION, name)

    def test_room_is_kept_for_a_higher_priority_in_a_flood(self) -> None:
        served = find_mean_served(run("a lower priority that can wait floods"))
        self.assertGreater(served[min(served)], MIN_KEPT)

    def test_nothing_is_held_back_in_calm(self) -> None:
        """Guards against shares that refuse while there is room."""
        served = find_mean_served(run("calm"))
        self.assertGreater(min(served.values()), 0.98)
