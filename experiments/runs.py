"""Runs of one policy under one load: several seeds, their mean and spread."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass

from experiments.load import KINDS, LAYOUTS, Outcome, Shape, play
from experiments.model import World
from experiments.policies import POLICIES
from lycheepin.steering.budgets import BudgetLimits

__all__ = ["SCENARIOS", "TERMS", "Figure", "Scenario", "measure", "run_once"]

# Bounds of the users' deployments.
TERMS = BudgetLimits(
    retry_ratio=0.2, retry_slack=62.0, window_s=10.0, cold_over=1.5, cold_slack=5.0
)
# Length in seconds of a run, and the part of it in which it is measured: not the start, in which
# no endpoint knows an object, nor the end.
SECONDS = 16.0
FIRST_S, LAST_S = 4.0, 14.0
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Scenario:
    """A load over time, relative to the users' usual one, and what is wrong with endpoints."""

    name: str
    shape: Shape
    disturb: Callable[[World], None] = lambda world: None


@dataclass(frozen=True)
class Figure:
    """Mean and spread over the seeds of the worth earned, as a part of what was owed."""

    mean: float
    spread: float
    goodput: float
    served: float
    tries: float


def _slow_third(world: World) -> None:
    """Makes every third endpoint four times as slow from second 6 to 10."""
    chosen = list(world.endpoints.values())[::3]
    world.timeline.after(6.0, lambda: [setattr(e, "slow", 4.0) for e in chosen] and None)
    world.timeline.after(10.0, lambda: [setattr(e, "slow", 1.0) for e in chosen] and None)


def _silence_some(world: World) -> None:
    """Lets every seventh endpoint swallow what it gets from second 6 to 9."""
    chosen = list(world.endpoints.values())[::7]
    world.timeline.after(6.0, lambda: [setattr(e, "silent", True) for e in chosen] and None)
    world.timeline.after(9.0, lambda: [setattr(e, "silent", False) for e in chosen] and None)


SCENARIOS = (
    *(
        Scenario(f"load {load:g}", lambda s, load=load: load)
        for load in (0.5, 1, 2, 2.5, 3, 4.5, 6)
    ),
    Scenario("burst of 3 from 6 to 10 s", lambda s: 3.0 if 6 <= s < 10 else 1.0),
    Scenario("a third slow", lambda s: 1.0, _slow_third),
    Scenario("a seventh silent", lambda s: 1.0, _silence_some),
)


def run_once(site: str, scenario: Scenario, policy: str, seed: int) -> Outcome:
    """Returns the outcome of one run."""
    world = World(LAYOUTS[site], TERMS, seed)
    for daemon in world.daemons:
        daemon.choose_endpoint = POLICIES[policy](world, daemon)
    scenario.disturb(world)
    return play(world, SECONDS, scenario.shape, KINDS[site])


def measure(site: str, scenario: Scenario, policy: str) -> Figure:
    """Returns the figures of a policy under a load, over the seeds."""
    outcomes = [run_once(site, scenario, policy, seed) for seed in SEEDS]
    parts = [outcome.part(FIRST_S, LAST_S) for outcome in outcomes]
    return Figure(
        statistics.mean(parts),
        max(parts) - min(parts),
        statistics.mean(outcome.goodput(FIRST_S, LAST_S) for outcome in outcomes),
        statistics.mean(outcome.served / outcome.asked for outcome in outcomes),
        statistics.mean(outcome.tries / outcome.asked for outcome in outcomes),
    )
