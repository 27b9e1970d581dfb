"""Endpoints that name limits under load, simulated with lycheepin's decision code."""

import unittest

from experiments.load import LAYOUTS, TRAFFIC_CLASSES, simulate_load
from experiments.model import EndpointModel, Simulation
from experiments.policies import POLICIES
from experiments.runs import BUDGET_LIMITS, LIMITED_FROM_S, SEEDS, schedule_limits

DURATION_S = 20.0
# The users' rule: time until limits are kept, the window, and what is allowed in it.
SETTLE_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR, ALLOWED_SLACK = 1.5, 5.0
# Time after which a daemon that has learned of a limit is bound by it.
KNOWN_FOR_S = 0.5
# Least part of the limits of all endpoints to be used while they bind.
MIN_USED = 0.75


class Limits(unittest.TestCase):
    def _run(self, deployment: str, load: float, seed: int) -> Simulation:
        simulation = Simulation(LAYOUTS[deployment], BUDGET_LIMITS, seed)
        for daemon in simulation.daemons:
            daemon.choose_endpoint = POLICIES["lycheepin"](simulation, daemon)
        schedule_limits(simulation)
        classes = TRAFFIC_CLASSES[deployment]
        simulate_load(simulation, DURATION_S, lambda time_s: load, classes)
        return simulation

    def _find_bound_arrivals(self, simulation: Simulation, endpoint: EndpointModel) -> list[float]:
        """Returns the times of the requests that the users' rule counts."""
        known_s = {
            daemon.name: daemon.limits_known_s.get(endpoint.record.id, DURATION_S)
            for daemon in simulation.daemons
        }
        return [
            time_s
            for time_s, name in endpoint.arrivals
            if time_s >= max(LIMITED_FROM_S + SETTLE_S, known_s[name] + KNOWN_FOR_S)
        ]

    def test_endpoints_get_more_than_their_limits_from_all_daemons(self) -> None:
        for deployment in LAYOUTS:
            for seed in SEEDS:
                simulation = self._run(deployment, 1.0, seed)
                for endpoint in simulation.endpoints.values():
                    if endpoint.limit_per_s is None:
                        continue
                    times_s = self._find_bound_arrivals(simulation, endpoint)
                    most = max(
                        (sum(s <= t < s + WINDOW_S for t in times_s) for s in times_s), default=0
                    )
                    allowed = ALLOWED_FACTOR * WINDOW_S * endpoint.limit_per_s + ALLOWED_SLACK
                    self.assertLessEqual(most, allowed, (deployment, seed, endpoint.record.id))

    def test_limits_are_used_while_endpoints_without_one_are_full(self) -> None:
        for deployment in LAYOUTS:
            simulation = self._run(deployment, 2.0, SEEDS[0])
            limited = [e for e in simulation.endpoints.values() if e.limit_per_s is not None]
            from_s, until_s = LIMITED_FROM_S + SETTLE_S, DURATION_S
            used = sum(from_s <= t < until_s for e in limited for t, _ in e.arrivals)
            allowed = sum(e.limit_per_s or 0.0 for e in limited) * (until_s - from_s)
            self.assertGreater(used, MIN_USED * allowed, deployment)
