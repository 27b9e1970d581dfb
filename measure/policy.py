"""Compares the policy with baselines in virtual time, in several scenarios with the same seeds."""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import Any

from lycheepin.generated.settings import WorkClass
from measure.fakes import POLICIES, Arrival, Endpoint, Outcome, Simulation

__all__ = ["SCENARIOS", "Scenario", "measure_policy"]

SEEDS = (1, 2, 3)
DURATION_S = 12.0
FLEETS = ("first", "second", "third")
BROWSE = WorkClass("browse", answer_target_ms=100, deadline_ms=2000)
CONFIRM = WorkClass("confirm", protected=True, answer_target_ms=200, deadline_ms=5000)
PROCESSING_S = {"browse": 0.030, "confirm": 0.060}
CONFIRM_SHARE = 0.2
MEAN_PROCESSING_S = (1 - CONFIRM_SHARE) * PROCESSING_S["browse"] + CONFIRM_SHARE * PROCESSING_S[
    "confirm"
]


@dataclass(frozen=True)
class Scenario:
    """Conditions of a run.

    `load` is the mean load as a share of all slots. `slow_share` of the endpoints are slower by
    `slow_factor`. In the middle third, `peak` multiplies the load of all fleets and `surge` that
    of the first one. Callers send a request at most `tries` times.
    """

    name: str
    load: float
    slow_share: float = 0.0
    slow_factor: float = 1.0
    frozen_reports: bool = False
    surge: float = 1.0
    peak: float = 1.0
    tries: int = 1


SCENARIOS = (
    Scenario("steady", 0.6),
    Scenario("third slow, healthy reports", 0.5, slow_share=1 / 3, slow_factor=5.0),
    Scenario("reports frozen", 0.6, frozen_reports=True),
    Scenario("one maker surges", 0.5, surge=6.0),
    Scenario("season peak over capacity", 0.7, peak=2.0),
    Scenario("retry storm", 0.7, peak=1.6, tries=4),
)
LAYOUTS = {"prairie": (10, 9), "cire": (10, 5)}  # endpoints, and slots of each


def generate_arrivals(scenario: Scenario, slots: int, seed: int) -> list[Arrival]:
    """Returns the Poisson arrivals of all fleets, in order of time."""
    generator = random.Random(seed)
    arrivals_per_s = scenario.load * slots / MEAN_PROCESSING_S / len(FLEETS)
    arrivals = []
    for fleet in FLEETS:
        time_s = 0.0
        while True:
            in_middle_third = DURATION_S / 3 < time_s < 2 * DURATION_S / 3
            rate_factor = scenario.peak if in_middle_third else 1.0
            if fleet == FLEETS[0] and in_middle_third:
                rate_factor *= scenario.surge
            time_s += generator.expovariate(arrivals_per_s * rate_factor)
            if time_s >= DURATION_S:
                break
            work_class = CONFIRM if generator.random() < CONFIRM_SHARE else BROWSE
            # The log-normal factor has a mean of 1.
            processing_s = PROCESSING_S[work_class.name] * generator.lognormvariate(-0.125, 0.5)
            arrivals.append(Arrival(time_s, fleet, work_class, processing_s, scenario.tries))
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def run_scenario(scenario: Scenario, layout: str, policy: str, seed: int) -> dict[str, float]:
    """Returns the figures of one run of a scenario."""
    endpoint_count, slots = LAYOUTS[layout]
    slow_count = round(endpoint_count * scenario.slow_share)
    endpoints = [
        Endpoint(f"e{n}", slots, scenario.slow_factor if n < slow_count else 1.0)
        for n in range(endpoint_count)
    ]
    simulation = Simulation(endpoints, scenario.frozen_reports)
    arrivals = generate_arrivals(scenario, endpoint_count * slots, seed)
    outcome = simulation.run(arrivals, POLICIES[policy](simulation, seed))
    return _compute_figures(outcome, endpoint_count * slots)


def _compute_figures(outcome: Outcome, slots: int) -> dict[str, float]:
    """Returns the figures of an outcome."""
    latencies_s = sorted(
        latency_s for values in outcome.latencies_s.values() for latency_s in values
    )
    requests = sum(outcome.requests.values())
    shares = [
        outcome.fleet_in_target[fleet] / max(1, outcome.fleet_requests[fleet]) for fleet in FLEETS
    ]
    return {
        "in_target": sum(outcome.in_target.values()) / requests,
        "confirm_in_target": outcome.in_target["confirm"] / outcome.requests["confirm"],
        "p50_ms": _compute_quantile(latencies_s, 0.5) * 1000,
        "p99_ms": _compute_quantile(latencies_s, 0.99) * 1000,
        "p999_ms": _compute_quantile(latencies_s, 0.999) * 1000,
        "refused": sum(outcome.refused.values()) / requests,
        "least_headroom": 1 - outcome.peak_in_flight / slots,
        "jain": sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares) or 1.0),
        "worst_modest_maker": min(shares[1:]),
    }


def _compute_quantile(values: list[float], quantile: float) -> float:
    """Returns a quantile of sorted values, or NaN when there are none."""
    return values[min(len(values) - 1, int(quantile * len(values)))] if values else float("nan")


def measure_policy() -> list[dict[str, Any]]:
    """Returns the mean and spread over the seeds for each layout, scenario and policy."""
    rows = []
    for layout in LAYOUTS:
        for scenario in SCENARIOS:
            for policy in POLICIES:
                runs = [run_scenario(scenario, layout, policy, seed) for seed in SEEDS]
                row: dict[str, Any] = {
                    "layout": layout,
                    "scenario": scenario.name,
                    "policy": policy,
                }
                for key in runs[0]:
                    values = [run[key] for run in runs]
                    row[key] = statistics.mean(values)
                    row[key + "_spread"] = max(values) - min(values)
                rows.append(row)
    return rows
