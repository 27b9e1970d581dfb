"""The policy against baselines in virtual time: same seeds, several scenarios."""

from __future__ import annotations

import random
import statistics
from dataclasses import dataclass
from typing import Any

from lycheepin.generated.settings import WorkClass
from measure.fakes import POLICIES, Arrival, Bench, Endpoint, Outcome

__all__ = ["SCENARIOS", "Scenario", "measure_policy"]

SEEDS = (1, 2, 3)
SECONDS = 12.0
FLEETS = ("first", "second", "third")
BROWSE = WorkClass("browse", answer_target_ms=100, deadline_ms=2000)
CONFIRM = WorkClass("confirm", protected=True, answer_target_ms=200, deadline_ms=5000)
WORK_S = {"browse": 0.030, "confirm": 0.060}
SHARE_CONFIRM = 0.2
MEAN_WORK_S = (1 - SHARE_CONFIRM) * WORK_S["browse"] + SHARE_CONFIRM * WORK_S["confirm"]


@dataclass(frozen=True)
class Scenario:
    """Load as a part of all slots, and what is wrong. `surge` multiplies the first fleet's load."""

    name: str
    load: float
    slow_part: float = 0.0
    slow_factor: float = 1.0
    frozen_reports: bool = False
    surge: float = 1.0
    peak: float = 1.0
    tries: int = 1


SCENARIOS = (
    Scenario("steady", 0.6),
    Scenario("third slow, healthy reports", 0.5, slow_part=1 / 3, slow_factor=5.0),
    Scenario("reports frozen", 0.6, frozen_reports=True),
    Scenario("one maker surges", 0.5, surge=6.0),
    Scenario("season peak over capacity", 0.7, peak=2.0),
    Scenario("retry storm", 0.7, peak=1.6, tries=4),
)
LAYOUTS = {"prairie": (10, 9), "cire": (10, 5)}


def arrivals_of(scenario: Scenario, slots: int, seed: int) -> list[Arrival]:
    """Returns Poisson arrivals; surge and peak fill the middle third."""
    source = random.Random(seed)
    rate = scenario.load * slots / MEAN_WORK_S / len(FLEETS)
    found = []
    for fleet in FLEETS:
        time_s = 0.0
        while True:
            middle = SECONDS / 3 < time_s < 2 * SECONDS / 3
            factor = scenario.peak if middle else 1.0
            if fleet == FLEETS[0] and middle:
                factor *= scenario.surge
            time_s += source.expovariate(rate * factor)
            if time_s >= SECONDS:
                break
            work = CONFIRM if source.random() < SHARE_CONFIRM else BROWSE
            work_s = WORK_S[work.name] * source.lognormvariate(-0.125, 0.5)
            found.append(Arrival(time_s, fleet, work, work_s, scenario.tries))
    return sorted(found, key=lambda arrival: arrival.time_s)


def run_once(scenario: Scenario, layout: str, policy: str, seed: int) -> dict[str, float]:
    """Returns the figures of one run."""
    count, slots = LAYOUTS[layout]
    slow = round(count * scenario.slow_part)
    endpoints = [
        Endpoint(f"e{n}", slots, scenario.slow_factor if n < slow else 1.0) for n in range(count)
    ]
    bench = Bench(endpoints, scenario.frozen_reports)
    arrivals = arrivals_of(scenario, count * slots, seed)
    outcome = bench.run(arrivals, POLICIES[policy](bench, seed))
    return _figures(outcome, count * slots)


def _figures(outcome: Outcome, slots: int) -> dict[str, float]:
    """Returns the figures of an outcome."""
    latencies = sorted(x for values in outcome.latencies_s.values() for x in values)
    requests = sum(outcome.requests.values())
    shares = [
        outcome.fleet_in_target[fleet] / max(1, outcome.fleet_requests[fleet]) for fleet in FLEETS
    ]
    return {
        "in_target": sum(outcome.in_target.values()) / requests,
        "confirm_in_target": outcome.in_target["confirm"] / outcome.requests["confirm"],
        "p50_ms": _quantile(latencies, 0.5) * 1000,
        "p99_ms": _quantile(latencies, 0.99) * 1000,
        "p999_ms": _quantile(latencies, 0.999) * 1000,
        "refused": sum(outcome.refused.values()) / requests,
        "least_headroom": 1 - outcome.peak_in_flight / slots,
        "jain": sum(shares) ** 2 / (len(shares) * sum(s * s for s in shares) or 1.0),
        "worst_modest_maker": min(shares[1:]),
    }


def _quantile(values: list[float], part: float) -> float:
    """Returns a quantile of sorted values."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


def measure_policy() -> list[dict[str, Any]]:
    """Returns mean and spread over the seeds for each layout, scenario and policy."""
    rows = []
    for layout in LAYOUTS:
        for scenario in SCENARIOS:
            for policy in POLICIES:
                runs = [run_once(scenario, layout, policy, seed) for seed in SEEDS]
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
