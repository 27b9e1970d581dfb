import unittest

from lycheepin.names import ServiceName
from lycheepin.steering.choices import Choice, Refusal, SelectedEndpoint
from lycheepin.steering.dispatch import PREFERRED_ENDPOINTS
from lycheepin.steering.overflow import MAX_PART, Overflow
from tests.steering.builders import (
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
    record,
)

SERVICE = ServiceName("desk")


class OverflowChoice(unittest.TestCase):
    """Endpoints of which the preferred two are full for a moment and most others are idle."""

    def setUp(self) -> None:
        self.registry = build_registry(*(record(f"e{number}") for number in range(12)))
        self.dispatcher = build_dispatcher(self.registry)
        for _ in range(200):
            for endpoint in self.registry.all():
                self.registry.observe_answer(endpoint, 0.0, 0.1)
        for endpoint in self.registry.all():
            endpoint.observe_slowness(0.0, 1.0)
        order = self.dispatcher._placement.order_endpoints(SERVICE, "7")
        self.preferred, self.others = order[:PREFERRED_ENDPOINTS], order[PREFERRED_ENDPOINTS:]
        self._count_served(40)

    def _count_served(self, number: int) -> None:
        for index in range(number):
            requirements = build_requirements(key=f"other-{index}")
            self.dispatcher.choose_endpoint(requirements, SPEC, 0.0)

    def _choose(self, **changes: object) -> Choice:
        return self.dispatcher.choose_endpoint(build_requirements(**changes), SPEC, 0.0)

    def test_goes_to_an_idle_endpoint_while_the_preferred_ones_are_full(self) -> None:
        for endpoint in self.preferred:
            endpoint.in_flight = 20
        choice = self._choose()
        assert isinstance(choice, SelectedEndpoint)
        self.assertIs(choice.endpoint, self.others[0])

    def test_caller_that_comes_back_late_is_not_refused_beside_idle_endpoints(self) -> None:
        for endpoint in self.preferred:
            endpoint.in_flight = 3
        choice = self._choose(is_caller_retry=True, target_at_s=-1.0)
        assert isinstance(choice, SelectedEndpoint)
        self.assertIs(choice.endpoint, self.others[0])

    def test_waits_for_a_late_answer_where_no_endpoint_has_free_slots(self) -> None:
        for endpoint in self.registry.all():
            endpoint.in_flight = 6
        choice = self._choose(target_at_s=0.05)
        assert isinstance(choice, SelectedEndpoint)
        self.assertIn(choice.endpoint, self.preferred)

    def test_does_not_wait_for_an_answer_after_the_deadline(self) -> None:
        for endpoint in self.registry.all():
            endpoint.in_flight = 6
        self.assertIsInstance(self._choose(target_at_s=0.05, deadline_s=0.1), Refusal)

    def test_endpoints_without_reports_of_slowness_take_no_overflow(self) -> None:
        self.registry = build_registry(*(record(f"e{number}") for number in range(12)))
        self.dispatcher = build_dispatcher(self.registry)
        for _ in range(200):
            for endpoint in self.registry.all():
                self.registry.observe_answer(endpoint, 0.0, 0.1)
        for endpoint in self.dispatcher._placement.order_endpoints(SERVICE, "7")[:2]:
            endpoint.in_flight = 20
        self._count_served(40)
        self.assertIsInstance(self._choose(), Refusal)

    def test_nothing_overflows_while_the_service_refuses(self) -> None:
        for endpoint in self.registry.all():
            endpoint.in_flight = 20
        for _ in range(30):
            self.assertIsInstance(self._choose(), Refusal)
        self.others[0].in_flight = 0
        self.assertIsInstance(self._choose(), Refusal)

    def test_other_regions_than_the_allowed_ones_take_no_overflow(self) -> None:
        south = build_registry(record("n1"), record("n2"), record("s1", "south"))
        dispatcher = build_dispatcher(south)
        for endpoint in south.all():
            endpoint.observe_slowness(0.0, 1.0)
            endpoint.in_flight = 20 if endpoint.record.region == "north" else 0
        requirements = build_requirements(allowed_regions=frozenset({"north"}))
        self.assertIsInstance(dispatcher.choose_endpoint(requirements, SPEC, 0.0), Refusal)


class OverflowShare(unittest.TestCase):
    def test_part_of_the_attempts_overflows_at_most(self) -> None:
        overflow, overflowed = Overflow(), 0
        for number in range(400):
            now_s = number * 0.01
            allowed = overflow.allows(SERVICE, now_s)
            overflowed += allowed
            overflow.count_attempt(SERVICE, allowed, False, now_s)
        self.assertLessEqual(overflowed, MAX_PART * 400 + 2)
        self.assertGreater(overflowed, MAX_PART * 300)
