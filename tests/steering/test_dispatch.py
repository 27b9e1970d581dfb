import unittest

from lycheepin.names import EndpointId, RegionName, ZoneName
from lycheepin.steering.dispatch import (
    HOMES_PER_OBJECT,
    MAX_RETRY_AFTER_S,
    WAITING_PER_SLOT,
    Refusal,
    SelectedEndpoint,
)
from tests.steering.builders import SPEC, build_dispatcher, build_fleet, demand, record


class Choices(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = build_fleet(*(record(f"e{number}") for number in range(6)))
        self.dispatcher = build_dispatcher(self.fleet)

    def _choose(self, **changes: object) -> SelectedEndpoint:
        choice = self.dispatcher.choose_endpoint(demand(**changes), SPEC, 0.0)
        assert isinstance(choice, SelectedEndpoint), choice
        return choice

    def _teach(self, work_s: float) -> None:
        """Lets the fleet learn a usual work time."""
        for _ in range(200):
            for endpoint in self.fleet.all():
                self.fleet.observe_answer(endpoint, 0.0, work_s)

    def test_object_stays_at_its_first_home(self) -> None:
        first = self._choose().endpoint
        for _ in range(3):
            self.assertIs(self._choose().endpoint, first)

    def test_full_home_spills_to_the_second_and_never_to_a_busy_one(self) -> None:
        self._teach(0.1)
        for endpoint in self.fleet.all():
            endpoint.in_flight = 2
        seen = []
        for _ in range(100):
            choice = self.dispatcher.choose_endpoint(demand(), SPEC, 0.0)
            if isinstance(choice, Refusal):
                break
            choice.endpoint.in_flight += 1
            seen.append(choice.endpoint.record.id)
        self.assertEqual(len(set(seen)), HOMES_PER_OBJECT)
        assert isinstance(choice, Refusal)
        self.assertGreater(choice.retry_after_s, 0.0)
        self.assertLessEqual(choice.retry_after_s, MAX_RETRY_AFTER_S)

    def test_home_that_turns_work_away_loses_it_to_the_second(self) -> None:
        self._teach(0.2)
        first = self._choose().endpoint
        for _ in range(10):
            first.observe_outcome(0.0, served=False)
        self.assertIsNot(self._choose().endpoint, first)

    def test_homes_are_kept_while_all_endpoints_turn_work_away(self) -> None:
        self._teach(0.2)
        first = self._choose().endpoint
        for endpoint in self.fleet.all():
            for _ in range(10):
                endpoint.observe_outcome(0.0, served=False)
        self.assertIs(self._choose().endpoint, first)

    def test_returns_of_refused_callers_are_spread_over_the_time_that_room_takes(self) -> None:
        self._teach(0.4)
        for endpoint in self.fleet.all():
            endpoint.in_flight = 8
        times = []
        for draw in (0.0, 0.5, 1.0):
            choice = self.dispatcher.choose_endpoint(demand(draw=draw), SPEC, 0.0)
            assert isinstance(choice, Refusal)
            times.append(choice.retry_after_s)
        self.assertEqual(times, sorted(set(times)))
        self.assertAlmostEqual(times[1], 0.4 * (1 + 5 / 4), delta=0.01)

    def test_load_that_was_reported_once_is_not_believed_for_ever(self) -> None:
        for endpoint in self.fleet.all():
            for _ in range(20):
                endpoint.observe_load(0.0, 4, 12)
        self.assertIsInstance(self.dispatcher.choose_endpoint(demand(), SPEC, 0.0), Refusal)
        later = demand(target_s=20.8, deadline_s=22.0)
        self.assertIsInstance(self.dispatcher.choose_endpoint(later, SPEC, 20.0), SelectedEndpoint)

    def test_slow_home_loses_its_work_to_the_second_and_gets_it_back(self) -> None:
        self._teach(0.2)
        first = self._choose().endpoint
        for _ in range(20):
            first.observe_work(0.0, 1.5, 0.2)
        self.assertIsNot(self._choose().endpoint, first)
        later = self.dispatcher.choose_endpoint(demand(target_s=60.0, deadline_s=60.0), SPEC, 40.0)
        assert isinstance(later, SelectedEndpoint)
        self.assertIs(later.endpoint, first)

    def test_urgent_work_still_finds_room_where_less_urgent_is_refused(self) -> None:
        self._teach(0.1)
        for endpoint in self.fleet.all():
            endpoint.in_flight = int(endpoint.record.slots * (1 + WAITING_PER_SLOT[2]))
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(demand(priority=2), SPEC, 0.0), Refusal
        )
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(demand(priority=0), SPEC, 0.0), SelectedEndpoint
        )

    def test_returned_work_that_is_late_anyway_leaves_room_for_other_work(self) -> None:
        self._teach(0.5)
        for endpoint in self.fleet.all():
            endpoint.in_flight = 3
        late = demand(target_s=0.4, returned=True)
        self.assertIsInstance(self.dispatcher.choose_endpoint(late, SPEC, 0.0), Refusal)
        in_time = demand(target_s=0.8, returned=True)
        self.assertIsInstance(self.dispatcher.choose_endpoint(in_time, SPEC, 0.0), SelectedEndpoint)
        first = demand(target_s=0.4)
        self.assertIsInstance(self.dispatcher.choose_endpoint(first, SPEC, 0.0), SelectedEndpoint)
        for endpoint in self.fleet.all():
            endpoint.in_flight = 1
        self.assertIsInstance(self.dispatcher.choose_endpoint(late, SPEC, 0.0), SelectedEndpoint)

    def test_work_that_would_come_late_is_refused_at_once(self) -> None:
        self._teach(0.9)
        for endpoint in self.fleet.all():
            endpoint.in_flight = 4
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(demand(priority=0), SPEC, 0.0), Refusal
        )

    def test_draining_evacuated_and_foreign_endpoints_get_nothing(self) -> None:
        first = self._choose().endpoint.record.id
        self.fleet.register(record(first, draining=True), 1.0)
        self.assertNotEqual(self._choose().endpoint.record.id, first)
        self.fleet.evacuate(ZoneName("north-1"), True, 1.0, 0.0)
        self.assertIsInstance(self.dispatcher.choose_endpoint(demand(), SPEC, 0.0), Refusal)
        self.fleet.evacuate(ZoneName("north-1"), False, 1.0, 0.0)
        homes = frozenset([RegionName("south")])
        self.assertIsInstance(
            self.dispatcher.choose_endpoint(demand(homes=homes), SPEC, 9.0), Refusal
        )

    def test_excluded_endpoint_is_used_only_when_all_are(self) -> None:
        first = self._choose().endpoint
        first.excluded_until_s = 5.0
        self.assertIsNot(self._choose().endpoint, first)
        for endpoint in self.fleet.all():
            endpoint.excluded_until_s = 5.0
        self.assertIs(self._choose().endpoint, first)

    def test_entry_missing_after_an_outage_is_passed_over_while_most_are_listed(self) -> None:
        first = self._choose().endpoint
        self.fleet.observe_store_outage()
        self.fleet.remove(first.record.id, 1.0)
        self.assertIsNot(self._choose().endpoint, first)
        for endpoint in list(self.fleet.all()):
            self.fleet.remove(endpoint.record.id, 1.0)
        self.assertIs(self._choose().endpoint, first)

    def test_cold_endpoints_get_requests_only_when_nothing_else_is_left(self) -> None:
        self.fleet.register(record("fresh", cold_s=3.0), 0.0)
        keys = [str(number) for number in range(50)]
        used = {self._choose(key=key).endpoint.record.id for key in keys}
        self.assertNotIn("fresh", used)
        for endpoint in self.fleet.all():
            endpoint.cold_until_s = 3.0
        sent = sum(
            isinstance(self.dispatcher.choose_endpoint(demand(), SPEC, 0.0), SelectedEndpoint)
            for _ in range(100)
        )
        bound = 6 + 1  # endpoints, of which each takes at most its own part
        self.assertLessEqual(sent, bound * int(0.8 * 1.5 * SPEC.cold_per_s))
        self.assertGreater(sent, 0)

    def test_tried_endpoint_is_not_tried_again(self) -> None:
        first = self._choose().endpoint.record.id
        second = self._choose(tried=frozenset([EndpointId(first)])).endpoint.record.id
        self.assertNotEqual(first, second)
