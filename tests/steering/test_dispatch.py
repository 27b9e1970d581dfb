import unittest

from lycheepin.names import EndpointId, RegionName, WorkspaceName, ZoneName
from lycheepin.steering.choices import Refusal, SelectedEndpoint
from lycheepin.steering.dispatch import PREFERRED_ENDPOINTS, WAITING_PER_SLOT
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.return_times import MAX_RETRY_AFTER_S
from lycheepin.steering.workspaces import Workspace
from tests.steering.builders import (
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
    record,
)


class EndpointChoice(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = build_registry(*(record(f"e{number}") for number in range(6)))
        self.dispatcher = build_dispatcher(self.registry)

    def _choose(self, **changes: object) -> SelectedEndpoint:
        choice = self.dispatcher.choose_endpoint(build_requirements(**changes), SPEC, 0.0)
        assert isinstance(choice, SelectedEndpoint), choice
        return choice

    def _set_processing_time(self, processing_s: float) -> None:
        """Makes all endpoints answer until the mean processing time is as given."""
        for _ in range(200):
            for endpoint in self.registry.all():
                self.registry.observe_answer(endpoint, 0.0, processing_s)

    def test_object_stays_at_its_first_preferred_endpoint(self) -> None:
        first = self._choose().endpoint
        for _ in range(3):
            self.assertIs(self._choose().endpoint, first)

    def test_overflow_goes_to_the_second_preferred_endpoint_only_and_is_then_refused(self) -> None:
        self._set_processing_time(0.1)
        for endpoint in self.registry.all():
            endpoint.in_flight = 2
        seen = []
        for _ in range(100):
            choice = self.dispatcher.choose_endpoint(build_requirements(), SPEC, 0.0)
            if isinstance(choice, Refusal):
                break
            choice.endpoint.in_flight += 1
            seen.append(choice.endpoint.record.id)
        self.assertEqual(len(set(seen)), PREFERRED_ENDPOINTS)
        assert isinstance(choice, Refusal)
        self.assertGreater(choice.retry_after_s, 0.0)
        self.assertLessEqual(choice.retry_after_s, MAX_RETRY_AFTER_S)

    def test_refusal_names_the_preferred_endpoints_and_what_decided(self) -> None:
        self._set_processing_time(0.5)
        for endpoint in self.registry.all():
            endpoint.in_flight = 20
        next(iter(self.registry.all())).observe_load(-2.0, 9, 0)
        choice = self.dispatcher.choose_endpoint(build_requirements(), SPEC, 0.0)
        assert isinstance(choice, Refusal)
        self.assertEqual(len(choice.weighed), PREFERRED_ENDPOINTS)
        for weighed in choice.weighed:
            self.assertEqual((weighed.slots, weighed.in_flight), (4, 20))
            self.assertIn(weighed.report_age_s, (None, 2.0))
            self.assertGreater(weighed.answer_s, 0.8)

    def test_endpoint_that_rejects_requests_is_replaced_by_the_second_preferred_one(self) -> None:
        self._set_processing_time(0.2)
        first = self._choose().endpoint
        for _ in range(10):
            first.observe_outcome(0.0, served=False)
        self.assertIsNot(self._choose().endpoint, first)

    def test_first_preferred_endpoint_is_kept_while_all_endpoints_reject_requests(self) -> None:
        self._set_processing_time(0.2)
        first = self._choose().endpoint
        for endpoint in self.registry.all():
            for _ in range(10):
                endpoint.observe_outcome(0.0, served=False)
        self.assertIs(self._choose().endpoint, first)

    def test_retry_times_are_spread_around_the_time_until_capacity_is_free(self) -> None:
        self._set_processing_time(0.4)
        for endpoint in self.registry.all():
            endpoint.in_flight = 8
        times = []
        for jitter in (0.0, 0.5, 1.0):
            choice = self.dispatcher.choose_endpoint(build_requirements(jitter=jitter), SPEC, 0.0)
            assert isinstance(choice, Refusal)
            times.append(choice.retry_after_s)
        self.assertEqual(times, sorted(set(times)))
        self.assertAlmostEqual(times[1], 0.4 * (1 + 5 / 4), delta=0.01)

    def test_reported_load_decays_without_new_reports(self) -> None:
        for endpoint in self.registry.all():
            for _ in range(20):
                endpoint.observe_load(0.0, 4, 12)
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(), SPEC, 0.0), Refusal
        )
        later = build_requirements(target_at_s=20.8, deadline_s=22.0)
        self.assertIsInstance(self.dispatcher.choose_endpoint(later, SPEC, 20.0), SelectedEndpoint)

    def test_slow_endpoint_is_avoided_until_its_processing_time_decays(self) -> None:
        self._set_processing_time(0.2)
        first = self._choose().endpoint
        for _ in range(20):
            first.observe_processing(0.0, 1.5, 0.2)
        self.assertIsNot(self._choose().endpoint, first)
        later = self.dispatcher.choose_endpoint(
            build_requirements(target_at_s=60.0, deadline_s=60.0), SPEC, 40.0
        )
        assert isinstance(later, SelectedEndpoint)
        self.assertIs(later.endpoint, first)

    def test_high_priority_is_sent_where_low_priority_is_refused(self) -> None:
        self._set_processing_time(0.1)
        for endpoint in self.registry.all():
            endpoint.in_flight = int(endpoint.record.slots * (1 + WAITING_PER_SLOT[2]))
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(priority=2), SPEC, 0.0), Refusal
        )
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(priority=0), SPEC, 0.0),
            SelectedEndpoint,
        )

    def test_late_caller_retries_leave_slots_free_for_other_requests(self) -> None:
        self._set_processing_time(0.5)
        for endpoint in self.registry.all():
            endpoint.in_flight = 3
        late = build_requirements(target_at_s=0.4, is_caller_retry=True)
        self.assertIsInstance(self.dispatcher.choose_endpoint(late, SPEC, 0.0), Refusal)
        in_time = build_requirements(target_at_s=0.8, is_caller_retry=True)
        self.assertIsInstance(self.dispatcher.choose_endpoint(in_time, SPEC, 0.0), SelectedEndpoint)
        first = build_requirements(target_at_s=0.4)
        self.assertIsInstance(self.dispatcher.choose_endpoint(first, SPEC, 0.0), SelectedEndpoint)
        for endpoint in self.registry.all():
            endpoint.in_flight = 1
        self.assertIsInstance(self.dispatcher.choose_endpoint(late, SPEC, 0.0), SelectedEndpoint)

    def test_request_that_would_miss_its_target_is_refused_at_once(self) -> None:
        self._set_processing_time(0.9)
        for endpoint in self.registry.all():
            endpoint.in_flight = 4
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(priority=0), SPEC, 0.0), Refusal
        )

    def test_draining_evacuated_and_disallowed_endpoints_get_no_requests(self) -> None:
        first = self._choose().endpoint.record.id
        self.registry.register(record(first, draining=True), 1.0)
        self.assertNotEqual(self._choose().endpoint.record.id, first)
        self.registry.evacuate(ZoneName("north-1"), True, 1.0, 0.0)
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(), SPEC, 0.0), Refusal
        )
        self.registry.evacuate(ZoneName("north-1"), False, 1.0, 0.0)
        south = frozenset([RegionName("south")])
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(build_requirements(allowed_regions=south), SPEC, 9.0),
            Refusal,
        )

    def test_excluded_endpoint_is_used_only_when_all_are_excluded(self) -> None:
        first = self._choose().endpoint
        first.excluded_until_s = 5.0
        self.assertIsNot(self._choose().endpoint, first)
        for endpoint in self.registry.all():
            endpoint.excluded_until_s = 5.0
        self.assertIs(self._choose().endpoint, first)

    def test_endpoint_missing_after_an_outage_is_skipped_while_most_are_listed(self) -> None:
        first = self._choose().endpoint
        self.registry.contact.observe_failure(0.0)
        self.registry.remove(first.record.id, 1.0)
        self.assertIsNot(self._choose().endpoint, first)
        for endpoint in list(self.registry.all()):
            self.registry.remove(endpoint.record.id, 1.0)
        self.assertIs(self._choose().endpoint, first)

    def test_cold_endpoints_get_requests_only_when_no_warm_one_is_left(self) -> None:
        self.registry.register(record("fresh", cold_s=3.0), 0.0)
        keys = [str(number) for number in range(50)]
        used = {self._choose(key=key).endpoint.record.id for key in keys}
        self.assertNotIn("fresh", used)
        for endpoint in self.registry.all():
            endpoint.cold_until_s = 3.0
        sent = sum(
            isinstance(
                self.dispatcher.choose_endpoint(build_requirements(), SPEC, 0.0), SelectedEndpoint
            )
            for _ in range(100)
        )
        bound = 6 + 1  # endpoints, each limited to its own rate
        self.assertLessEqual(sent, bound * int(0.8 * 1.5 * SPEC.cold_per_s))
        self.assertGreater(sent, 0)

    def test_tried_endpoint_is_not_chosen_again(self) -> None:
        first = self._choose().endpoint.record.id
        second = self._choose(tried=frozenset([EndpointId(first)])).endpoint.record.id
        self.assertNotEqual(first, second)


class Homes(unittest.TestCase):
    """Requests that only one region may serve, while endpoints of the own region are free."""

    def setUp(self) -> None:
        self.registry = build_registry(
            *(record(f"n{number}") for number in range(20)),
            *(record(f"s{number}", "south") for number in range(3)),
        )
        self.dispatcher = build_dispatcher(self.registry)

    def _choose(self, **changes: object) -> SelectedEndpoint | Refusal:
        requirements = build_requirements(
            allowed_regions=frozenset([RegionName("south")]),
            workspace=Workspace(WorkspaceName("w")),
            **changes,
        )
        return self.dispatcher.choose_endpoint(requirements, SPEC, 0.0)

    def _assert_refused(self, **changes: object) -> None:
        """Asserts that requests are refused at once, with times that differ."""
        times_s = set()
        for jitter in (0.0, 0.5, 1.0):
            choice = self._choose(jitter=jitter, **changes)
            assert isinstance(choice, Refusal), choice
            times_s.add(choice.retry_after_s)
        self.assertGreater(len(times_s), 1)
        self.assertLessEqual(max(times_s), MAX_RETRY_AFTER_S)

    def _south(self) -> list[Endpoint]:
        return [e for e in self.registry.all() if e.record.region == "south"]

    def test_preferred_endpoints_are_the_first_two_of_the_home(self) -> None:
        used = set()
        for _ in range(2):
            choice = self._choose()
            assert isinstance(choice, SelectedEndpoint)
            used.add(choice.endpoint.record.id)
            choice.endpoint.in_flight = 50
        self.assertEqual({name[0] for name in used}, {"s"})
        self.assertEqual(len(used), PREFERRED_ENDPOINTS)
        self._assert_refused()

    def test_full_home_refuses(self) -> None:
        for endpoint in self._south():
            endpoint.in_flight = 50
        self._assert_refused()

    def test_evacuated_home_refuses(self) -> None:
        self.registry.evacuate(ZoneName("south-1"), True, 0.0, 0.0)
        self._assert_refused()

    def test_lost_home_refuses(self) -> None:
        for endpoint in self._south():
            self.registry.remove(endpoint.record.id, 0.0)
        self._assert_refused()

    def test_home_with_one_endpoint_is_tried_once(self) -> None:
        last, *others = self._south()
        for endpoint in others:
            self.registry.remove(endpoint.record.id, 0.0)
        choice = self._choose()
        assert isinstance(choice, SelectedEndpoint)
        self.assertIs(choice.endpoint, last)
        self._assert_refused(tried=frozenset([last.record.id]))
