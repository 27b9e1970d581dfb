"""Uneven endpoints: a slow tail and machines that slow down, with and without what answers it.

`python -m experiments.uneven` prints a table; a few runs take about a minute.
"""

from __future__ import annotations

import statistics
import sys
from dataclasses import dataclass, replace

from experiments.load import RunResult, TrafficClass, simulate_load
from experiments.model import Layout, Simulation, Tail
from lycheepin.steering.budgets import BudgetLimits

__all__ = ["UNEVEN_LAYOUT", "UNEVEN_TRAFFIC", "Variant", "run_uneven"]

UNEVEN_TRAFFIC = (
    TrafficClass("read", 140.0, 0.58, 0.5, 3.0, 1.5, 1.0, 2, 70, True),
    TrafficClass("order", 53.0, 0.75, 0.6, 4.0, 2.0, 2.0, 1, 26, False),
)
# A quarter of a deployment of the users.
UNEVEN_LAYOUT = Layout(endpoints=19, slots=6, daemons=9, tail=Tail.OF_RUNS)
UNEVEN_LIMITS = BudgetLimits(0.2, 55.0, 10.0, 1.5, 8.0)
DURATION_S = 24.0
# Part of a run that is measured: objects are learned before.
MEASURED_FROM_S, MEASURED_UNTIL_S = 10.0, 22.0
SEEDS = (1, 2, 3)
LOADS = (0.5, 1.0, 2.0, 3.0)


@dataclass(frozen=True)
class Variant:
    """What a run's daemons do about uneven endpoints."""

    name: str
    reads_load: bool
    reads_slowness: bool
    hedges: bool


VARIANTS = (
    Variant("blind", False, False, False),
    Variant("load", True, False, False),
    Variant("load, slowness", True, True, False),
    Variant("load, slowness, seconds", True, True, True),
)


def run_uneven(
    variant: Variant, load: float, seed: int, tail: Tail = Tail.OF_RUNS
) -> tuple[RunResult, Simulation]:
    """Returns the counts of a run under a steady load, and its simulation."""
    simulation = Simulation(replace(UNEVEN_LAYOUT, tail=tail), UNEVEN_LIMITS, seed)
    for daemon in simulation.daemons:
        daemon.reads_load = variant.reads_load
        daemon.reads_slowness = variant.reads_slowness
        daemon.hedges = variant.hedges
    result = simulate_load(simulation, DURATION_S, lambda time_s: load, UNEVEN_TRAFFIC)
    return result, simulation


def main(loads: tuple[float, ...]) -> int:
    """Prints what each variant earns under each load; returns the exit status."""
    for tail in (Tail.OF_RUNS, Tail.OF_REQUESTS):
        for load in loads:
            for variant in VARIANTS:
                runs = [run_uneven(variant, load, seed, tail) for seed in SEEDS]
                ratios = [r.earned_ratio(MEASURED_FROM_S, MEASURED_UNTIL_S) for r, _ in runs]
                requests = sum(result.requests for result, _ in runs)
                failed = 1 - sum(result.served for result, _ in runs) / requests
                refused = sum(result.refusals for result, _ in runs) / requests
                sent = sum(daemon.hedges_sent for _, s in runs for daemon in s.daemons)
                won = sum(daemon.hedges_won for _, s in runs for daemon in s.daemons)
                print(
                    f"tail {tail.value:12} load {load:g} {variant.name:26}"
                    f" earned {statistics.mean(ratios):.3f} ± {max(ratios) - min(ratios):.3f}"
                    f" not served {failed:.4f} refused {refused:.4f}"
                    f" second attempts {sent / requests:.4f} won {won / max(1, sent):.2f}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    raise SystemExit(main(tuple(map(float, sys.argv[1:])) or LOADS))
