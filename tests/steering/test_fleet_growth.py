"""Choices in fleets that change all the time, compared with a computation over the whole fleet."""

import random
import unittest
from collections.abc import Sequence

from lycheepin.errors import ErrorKind
from lycheepin.names import EndpointId, RegionName, ZoneName
from lycheepin.steering.budgets import Carriers
from lycheepin.steering.choices import AttemptRequirements, Choice, Refusal, SelectedEndpoint
from lycheepin.steering.dispatch import (
    MIN_LISTED_FRACTION,
    PREFERRED_ENDPOINTS,
    Dispatcher,
)
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.placement import OWN_REGION_WEIGHT, Placement, rendezvous_score
from lycheepin.steering.return_times import MAX_RETRY_AFTER_S
from lycheepin.steering.routes import ServiceSpec
from tests.steering.builders import (
    OWN,
    SERVICE,
    SPEC,
    build_dispatcher,
    build_requirements,
    record,
)

CARRIERS = Carriers(OWN, lambda: (OWN,))
REGIONS = ("north", "south", "west")
FLEETS = 120
STEPS = 40
LARGEST_FLEET = 70


class ReferenceDispatcher(Dispatcher):
    """Selects endpoints as the first version did: filters and sorts all of them each time."""

    def choose_endpoint(
        self, requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        usable = [
            endpoint
            for endpoint in sorted(
                self._registry.endpoints(requirements.service),
                key=lambda endpoint: -self._score(endpoint, requirements.object_key),
            )
            if self._is_usable(endpoint, requirements)
        ]
        if not usable:
            return Refusal(ErrorKind.NO_CAPACITY, MAX_RETRY_AFTER_S)
        healthy = [endpoint for endpoint in usable if now_s >= endpoint.excluded_until_s]
        listed = [endpoint for endpoint in healthy if endpoint.missing_since_s is None]
        healthy = listed if len(listed) >= MIN_LISTED_FRACTION * len(healthy) else healthy
        warm = [endpoint for endpoint in healthy if not endpoint.is_cold(now_s)]
        if warm:
            return self._choose_warm(warm[:PREFERRED_ENDPOINTS], requirements, now_s)
        return self._choose_cold(healthy or usable, usable, requirements, spec, now_s)

    def _choose_cold(
        self,
        candidates: Sequence[Endpoint],
        usable: Sequence[Endpoint],
        requirements: AttemptRequirements,
        spec: ServiceSpec,
        now_s: float,
    ) -> Choice:
        cold = [endpoint for endpoint in candidates if endpoint.is_cold(now_s)]
        for rank, endpoint in enumerate(cold):
            if endpoint.load(now_s) < endpoint.record.slots and self._cold_starts.try_start(
                endpoint.record.id, spec.cold_per_s, now_s
            ):
                return SelectedEndpoint(endpoint, rank)
        if not cold:
            return self._choose_warm(usable, requirements, now_s)
        return Refusal(ErrorKind.NO_CAPACITY, MAX_RETRY_AFTER_S)

    @staticmethod
    def _score(endpoint: Endpoint, object_key: str) -> float:
        weight = float(max(1, endpoint.record.slots))
        if endpoint.record.region == "north":
            weight *= OWN_REGION_WEIGHT
        return rendezvous_score(endpoint.record.id, object_key, weight)


class ChangingFleet:
    """A registry whose endpoints come, go, fail and turn cold at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.registry = EndpointRegistry()
        self.now_s = 0.0
        self._started_ms = 1
        for number in range(self.random.randrange(1, LARGEST_FLEET)):
            self._register(f"e{number}")

    def change(self) -> None:
        """Lets a second pass, with a few changes of endpoints and sometimes of the deployment."""
        self.now_s += 1.0
        for _ in range(self.random.choice((0, 1, 2, 30))):
            self._change_endpoint(f"e{self.random.randrange(LARGEST_FLEET)}")
        if self.random.random() < 0.1:
            zone = ZoneName(f"{self.random.choice(REGIONS)}-1")
            self.registry.evacuate(zone, self.random.random() < 0.5, self.now_s, 3.0)
        if self.random.random() < 0.1:
            self.registry.contact.observe_failure(self.now_s)
        elif self.random.random() < 0.3:
            self.registry.contact.observe_answer(self.now_s)
        self.registry.expire_missing(self.now_s)

    def _change_endpoint(self, name: str) -> None:
        endpoint = self.registry.get(EndpointId(name))
        if endpoint is None or self.random.random() < 0.4:
            self._register(name)
            return
        match self.random.randrange(4):
            case 0:
                self.registry.remove(EndpointId(name), self.now_s)
            case 1:
                endpoint.excluded_until_s = self.now_s + self.random.uniform(0.0, 3.0)
            case 2:
                endpoint.in_flight = self.random.randrange(8)
            case 3:
                endpoint.cold_until_s = self.now_s + self.random.uniform(0.0, 3.0)

    def _register(self, name: str) -> None:
        if self.random.random() < 0.2:
            self._started_ms += 1
        self.registry.register(
            record(
                name,
                region=self.random.choice(REGIONS),
                slots=self.random.choice((2, 4, 4, 9)),
                draining=self.random.random() < 0.15,
                cold_s=self.random.choice((0.0, 0.0, 0.0, 2.5)),
                started_ms=self._started_ms,
            ),
            self.now_s,
        )

    def build_requirements(self) -> AttemptRequirements:
        """Returns the requirements of a request for one of a few objects."""
        allowed = frozenset(map(RegionName, self.random.sample(REGIONS, 2)))
        known = [endpoint.record.id for endpoint in self.registry.all()]
        return build_requirements(
            key=str(self.random.randrange(5)),
            allowed_regions=allowed if self.random.random() < 0.2 else frozenset(),
            tried=frozenset(self.random.sample(known, min(len(known), self.random.randrange(3)))),
            target_at_s=self.now_s + 0.8,
            deadline_s=self.now_s + 2.0,
        )


class ChoiceInLargeFleets(unittest.TestCase):
    def test_choice_equals_that_of_a_computation_over_all_endpoints(self) -> None:
        kinds = set()
        for seed in range(FLEETS):
            fleet = ChangingFleet(seed)
            dispatcher = build_dispatcher(fleet.registry)
            placement = Placement(fleet.registry, RegionName("north"))
            reference = ReferenceDispatcher(
                fleet.registry,
                placement,
                dispatcher._cold_starts.limits,
                CARRIERS,
                dispatcher._rate_limits,
            )
            for step in range(STEPS):
                fleet.change()
                requirements = fleet.build_requirements()
                choice = dispatcher.choose_endpoint(requirements, SPEC, fleet.now_s)
                expected = reference.choose_endpoint(requirements, SPEC, fleet.now_s)
                self.assertEqual(choice, expected, (seed, step))
                kinds.add(type(choice))
        self.assertEqual(kinds, {SelectedEndpoint, Refusal})

    def test_change_of_an_endpoint_leaves_the_orders_of_other_objects(self) -> None:
        fleet = ChangingFleet(1)
        placement = Placement(fleet.registry, RegionName("north"))
        keys = [str(number) for number in range(50)]
        before = {key: placement._find_order(SERVICE, key) for key in keys}
        fleet.registry.register(record("e0", started_ms=99), 1.0)
        for key in keys:
            self.assertIs(placement._find_order(SERVICE, key), before[key])
