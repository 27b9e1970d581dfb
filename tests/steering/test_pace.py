import unittest
from dataclasses import replace

from lycheepin.names import EndpointId
from lycheepin.steering.choices import SelectedEndpoint
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.pace import LEAST_PER_SLOT, START_PER_SLOT, Pace
from tests.steering.builders import (
    OWN,
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
)
from tests.steering.builders import record as build_record

SLOTS, SHARE, PROCESSING_S, TARGET_S = 6, 0.05, 0.2, 0.5
START = START_PER_SLOT * SLOTS * SHARE


class Window(unittest.TestCase):
    """Load: twenty daemons return to an endpoint in the same moment."""

    def setUp(self) -> None:
        self.pace = Pace(10.0)
        self.assertTrue(self._may_start(10.0))

    def _may_start(self, now_s: float, in_flight: int = 0) -> bool:
        return self.pace.may_start(in_flight, SLOTS, SHARE, PROCESSING_S, now_s)

    def _answer(self, now_s: float, duration_s: float = 0.2, full: bool = False) -> None:
        self.pace.observe_answer(now_s - duration_s, TARGET_S, full, now_s)

    def test_requests_are_spaced_until_answers_in_time_lift_the_limit(self) -> None:
        self.pace.count_start(10.0)
        pause_s = PROCESSING_S / START
        self.assertEqual([self._may_start(10.0 + pause_s * f) for f in (0.9, 1.1)], [False, True])
        for number in range(20):
            self._answer(11.0 + number)
        self.assertTrue(self._may_start(40.0, in_flight=SLOTS - 1))
        self.assertTrue(self.pace.is_over(SLOTS))

    def test_late_answers_of_a_full_endpoint_and_failures_lower_the_limit(self) -> None:
        for number in range(4):
            self._answer(11.0 + number)
        before = self.pace.window or 0.0
        self._answer(16.0, 1.5 * TARGET_S, full=True)
        self.assertEqual(self.pace.window, before / 2)
        self._answer(18.0, 1.5 * TARGET_S)
        self.assertGreater(self.pace.window or 0.0, before / 2, "free slots: it learns objects")
        for number in range(20):
            self.pace.observe_failure(20.0 + number, 20.0 + number)
        self.assertEqual(self.pace.window, LEAST_PER_SLOT * SLOTS * SHARE)
        for number in range(20):
            self._answer(50.0 + number)
        self.assertTrue(self.pace.is_over(SLOTS), "it isn't left idle")

    def test_failures_of_one_flight_count_once_and_those_before_the_return_never(self) -> None:
        self.pace.observe_failure(9.0, 11.0)
        self.assertEqual(self.pace.window, START)
        for _ in range(5):
            self.pace.observe_failure(11.0, 12.0)
        self.assertEqual(self.pace.window, START / 2)


class ReturningEndpoints(unittest.TestCase):
    """Load: the object's first endpoint is back from a pause; the second one stood in for it."""

    def setUp(self) -> None:
        self.registry = build_registry(build_record("a"), build_record("b"))
        self.dispatcher = build_dispatcher(self.registry)
        self.first = self._choose(0.0)
        self.first.make_cold(1.0)

    def _choose(self, now_s: float) -> Endpoint:
        requirements = build_requirements(target_at_s=now_s + 9.0, deadline_s=now_s + 9.0)
        choice = self.dispatcher.choose_endpoint(requirements, SPEC, now_s)
        assert isinstance(choice, SelectedEndpoint)
        return choice.endpoint

    def _return(self, reports_slowness: bool, is_enabled: bool = True) -> list[bool]:
        """Returns which of the requests after the pause go to the endpoint that is back."""
        if reports_slowness:
            self.first.observe_slowness(0.0, 1.0)
            self.registry.observe_answer(self.first, 0.0, 1.0)
        counts = replace(
            self.dispatcher.copy_counts(1.0), paces={self.first.record.id: Pace(1.0, window=0.5)}
        )
        region = self.dispatcher.own_region
        self.dispatcher = Dispatcher.from_counts(OWN, self.registry, region, counts)
        self.dispatcher.paces.is_enabled = is_enabled
        return [self._choose(2.0 + number * 0.1) is self.first for number in range(3)]

    def test_other_endpoints_get_what_is_beyond_its_pace(self) -> None:
        self.assertEqual(self._return(True), [True, False, False])

    def test_endpoints_that_report_three_figures_return_at_once(self) -> None:
        self.assertEqual(self._return(False), [True, True, True])

    def test_where_it_is_off_endpoints_return_at_once(self) -> None:
        self.assertEqual(self._return(True, is_enabled=False), [True, True, True])

    def test_explaining_a_choice_counts_nothing(self) -> None:
        self._return(True)
        before = self.dispatcher.copy_counts(9.0)
        self.dispatcher.explain(build_requirements(), SPEC, 9.0)
        self.assertEqual(self.dispatcher.copy_counts(9.0), before)

    def test_its_pace_is_no_reason_to_refuse_a_request(self) -> None:
        self.registry.remove(EndpointId("b" if self.first.record.id == "a" else "a"), 1.0)
        self.assertEqual(self._return(True), [True, True, True])
