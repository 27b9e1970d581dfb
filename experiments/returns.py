"""Endpoints that return: all daemons send requests to them again in the same moment.

`python -m experiments.returns` prints what is earned around the return, with and without a pace.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from unittest import mock

from experiments.load import RunResult, simulate_load
from experiments.model import EndpointModel, Simulation
from experiments.uneven import UNEVEN_LAYOUT, UNEVEN_LIMITS, UNEVEN_TRAFFIC
from lycheepin.names import ZoneName
from lycheepin.steering.pace import Paces

__all__ = ["RETURN_S", "Return", "run_return"]

# Times in seconds at which the endpoints of the zones end, start again, and are warm again.
END_S, START_S, RETURN_S = 8.0, 11.0, 14.0
DURATION_S = 26.0
# The part of a run, in seconds, in which returned endpoints learn objects, and the one behind it.
LEARNING_S = (RETURN_S, RETURN_S + 4.0)
SETTLED_S = (RETURN_S + 4.0, RETURN_S + 10.0)
LOADS = (1.0, 1.5, 2.0)
SEEDS = (1, 2, 3, 4, 5, 6)


@dataclass(frozen=True)
class Return:
    """A run in which the endpoints of some zones have started again."""

    result: RunResult
    returned: list[EndpointModel]
    others: list[EndpointModel]

    def rate_ratio(self, start_s: float, end_s: float) -> float:
        """Returns the requests at a returned endpoint, as a part of those at another one."""
        returned, others = (
            statistics.mean(
                sum(start_s <= time_s < end_s for time_s, _ in endpoint.arrivals)
                for endpoint in endpoints
            )
            for endpoints in (self.returned, self.others)
        )
        return returned / others


@contextmanager
def _paced(paced: bool) -> Iterator[None]:
    """Lets requests return at a pace, or all at once."""
    if paced:
        yield
        return
    with mock.patch.object(Paces, "may_start", lambda self, endpoint, now_s: True):
        yield


def run_return(
    load: float, seed: int, paced: bool, zones: tuple[str, ...] = ("a1",), evacuated: bool = False
) -> Return:
    """Returns a run in which the endpoints of some zones start again with empty caches.

    If they are `evacuated`, their requests end and return, but they keep what they know.
    """
    simulation = Simulation(UNEVEN_LAYOUT, UNEVEN_LIMITS, seed)
    returned = [e for e in simulation.endpoints.values() if e.record.zone in zones]
    others = [e for e in simulation.endpoints.values() if e.record.zone not in zones]

    def end() -> None:
        for daemon in simulation.daemons:
            for endpoint in returned:
                daemon.registry.remove(endpoint.record.id, END_S)

    def start() -> None:
        for endpoint in returned:
            endpoint.restart()
            endpoint.cold_until_s = RETURN_S
            record = replace(endpoint.record, cold_s=RETURN_S - START_S, started_ms=2)
            for daemon in simulation.daemons:
                daemon.registry.register(record, START_S)

    def evacuate(active: bool, now_s: float) -> None:
        for daemon in simulation.daemons:
            for zone in zones:
                daemon.registry.evacuate(ZoneName(zone), active, now_s, RETURN_S - START_S)

    simulation.scheduler.call_later(END_S, (lambda: evacuate(True, END_S)) if evacuated else end)
    simulation.scheduler.call_later(
        START_S, (lambda: evacuate(False, START_S)) if evacuated else start
    )
    with _paced(paced):
        result = simulate_load(simulation, DURATION_S, lambda time_s: load, UNEVEN_TRAFFIC)
    return Return(result, returned, others)


def main(loads: tuple[float, ...]) -> int:
    """Prints what is earned around a return; returns the exit status."""
    for zones in (("a1",), ("a1", "a2")):
        for load in loads:
            for paced in (False, True):
                _print_row(zones, load, paced)
    return 0


def _print_row(zones: tuple[str, ...], load: float, paced: bool) -> None:
    """Prints what is earned in the runs of one kind, and how fast requests return."""
    runs = [run_return(load, seed, paced, zones) for seed in SEEDS]
    learning = [run.result.earned_ratio(*LEARNING_S) for run in runs]
    settled = [run.result.earned_ratio(*SETTLED_S) for run in runs]
    rates = [
        statistics.mean(run.rate_ratio(start_s, start_s + 1) for run in runs)
        for start_s in (RETURN_S, RETURN_S + 1, RETURN_S + 3, RETURN_S + 6)
    ]
    print(
        f"zones {len(zones)} load {load:g} {'paced' if paced else 'at once':8}"
        f" earned in 4 s {statistics.mean(learning):.3f} ± {statistics.stdev(learning):.3f}"
        f" later {statistics.mean(settled):.3f} ± {statistics.stdev(settled):.3f}"
        f" served {statistics.mean(r.result.served / r.result.requests for r in runs):.4f}"
        f" seconds 1, 2, 4, 7: {' '.join(f'{rate:.2f}' for rate in rates)}",
        flush=True,
    )


if __name__ == "__main__":
    raise SystemExit(main(tuple(map(float, sys.argv[1:])) or LOADS))
