"""Runs of one policy in one scenario: several seeds, their mean and spread."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass

from experiments.load import LAYOUTS, TRAFFIC_CLASSES, LoadProfile, RunResult, simulate_load
from experiments.model import Simulation
from experiments.policies import POLICIES
from lycheepin.steering.budgets import BudgetLimits

__all__ = [
    "BUDGET_LIMITS",
    "LIMITED_FROM_S",
    "SCENARIOS",
    "Figure",
    "Scenario",
    "measure",
    "run_scenario",
    "schedule_limits",
]

# Budgets that the users' deployments set.
BUDGET_LIMITS = BudgetLimits(
    retry_ratio=0.2, retry_slack=62.0, window_s=10.0, cold_over=1.5, cold_slack=5.0
)
# Length in seconds of a run.
DURATION_S = 16.0
# Part of a run that is measured, in seconds from its start. At the start every object is cold, and
# at the end no new requests arrive.
MEASURED_FROM_S, MEASURED_UNTIL_S = 4.0, 14.0
SEEDS = (1, 2, 3)
# Time from which endpoints name limits, and time over which their requests are counted before.
LIMITED_FROM_S = 6.0
LIMIT_SAMPLE_S = 4.0


@dataclass(frozen=True)
class Scenario:
    """A load over time, as a factor on the usual load, and the faults of endpoints."""

    name: str
    load_profile: LoadProfile
    schedule_faults: Callable[[Simulation], None] = lambda simulation: None


@dataclass(frozen=True)
class Figure:
    """Results of a policy over the seeds.

    `mean` and `spread` (greatest minus least) are of the earned part of the offered value;
    `goodput` is the value earned per second, `served` the answered part of the requests and
    `tries` the callers' tries per request, each as a mean.
    """

    mean: float
    spread: float
    goodput: float
    served: float
    tries: float


def _schedule_slow_third(simulation: Simulation) -> None:
    """Makes every third endpoint four times as slow from second 6 to 10."""
    affected = list(simulation.endpoints.values())[::3]
    simulation.scheduler.call_later(
        6.0, lambda: [setattr(e, "slow", 4.0) for e in affected] and None
    )
    simulation.scheduler.call_later(
        10.0, lambda: [setattr(e, "slow", 1.0) for e in affected] and None
    )


def _schedule_unresponsive_seventh(simulation: Simulation) -> None:
    """Makes every seventh endpoint accept requests without answering from second 6 to 9."""
    affected = list(simulation.endpoints.values())[::7]
    simulation.scheduler.call_later(
        6.0, lambda: [setattr(e, "silent", True) for e in affected] and None
    )
    simulation.scheduler.call_later(
        9.0, lambda: [setattr(e, "silent", False) for e in affected] and None
    )


def schedule_limits(simulation: Simulation) -> None:
    """Lets two of three endpoints name half of what they got as their limit, from second 6 on."""

    def name_limits() -> None:
        now_s = simulation.scheduler.now_s
        for number, endpoint in enumerate(simulation.endpoints.values()):
            recent = sum(time_s >= now_s - LIMIT_SAMPLE_S for time_s, _ in endpoint.arrivals)
            if number % 3:
                endpoint.limit_per_s = 0.5 * recent / LIMIT_SAMPLE_S

    simulation.scheduler.call_later(LIMITED_FROM_S, name_limits)


SCENARIOS = (
    *(
        Scenario(f"load {load:g}", lambda time_s, load=load: load)
        for load in (0.5, 1, 2, 2.5, 3, 4.5, 6)
    ),
    Scenario("burst of 3 from 6 to 10 s", lambda time_s: 3.0 if 6 <= time_s < 10 else 1.0),
    Scenario("a third slow", lambda time_s: 1.0, _schedule_slow_third),
    Scenario("a seventh silent", lambda time_s: 1.0, _schedule_unresponsive_seventh),
    Scenario("two thirds limited", lambda time_s: 1.0, schedule_limits),
)


def run_scenario(deployment: str, scenario: Scenario, policy: str, seed: int) -> RunResult:
    """Returns the counts of one run of a policy."""
    simulation = Simulation(LAYOUTS[deployment], BUDGET_LIMITS, seed)
    for daemon in simulation.daemons:
        daemon.choose_endpoint = POLICIES[policy](simulation, daemon)
    scenario.schedule_faults(simulation)
    return simulate_load(simulation, DURATION_S, scenario.load_profile, TRAFFIC_CLASSES[deployment])


def measure(deployment: str, scenario: Scenario, policy: str) -> Figure:
    """Returns the figures of a policy in a scenario, over the seeds."""
    results = [run_scenario(deployment, scenario, policy, seed) for seed in SEEDS]
    ratios = [result.earned_ratio(MEASURED_FROM_S, MEASURED_UNTIL_S) for result in results]
    return Figure(
        statistics.mean(ratios),
        max(ratios) - min(ratios),
        statistics.mean(result.goodput(MEASURED_FROM_S, MEASURED_UNTIL_S) for result in results),
        statistics.mean(result.served / result.requests for result in results),
        statistics.mean(result.tries / result.requests for result in results),
    )
