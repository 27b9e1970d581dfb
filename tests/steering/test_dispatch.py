import unittest

from lycheepin.names import EndpointId, RegionName, ZoneName
from lycheepin.steering.dispatch import HOMES_PER_OBJECT, MAX_RETRY_AFTER_S, Refuse, Send
from tests.steering.builders import SPEC, build_dispatcher, build_fleet, demand, record


class Choices(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = build_fleet(*(record(f"e{number}") for number in range(6)))
        self.dispatcher = build_dispatcher(self.fleet)

    def _choose(self, **changes: object) -> Send:
        choice = self.dispatcher.choose(demand(**changes), SPEC, 0.0)
        assert isinstance(choice, Send), choice
        return choice

    def test_object_stays_at_its_first_home(self) -> None:
        first = self._choose().endpoint
        for _ in range(3):
            self.assertIs(self._choose().endpoint, first)

    def test_full_home_spills_to_the_second_and_never_further(self) -> None:
        seen = []
        for _ in range(100):
            choice = self.dispatcher.choose(demand(), SPEC, 0.0)
            if isinstance(choice, Refuse):
                break
            choice.endpoint.in_flight += 1
            seen.append(choice.endpoint.record.id)
        self.assertEqual(len(set(seen)), HOMES_PER_OBJECT)
        assert isinstance(choice, Refuse)
        self.assertGreater(choice.retry_after_s, 0.0)
        self.assertLessEqual(choice.retry_after_s, MAX_RETRY_AFTER_S)

    def test_urgent_work_still_finds_room_where_less_urgent_is_refused(self) -> None:
        for endpoint in self.fleet.all():
            endpoint.in_flight = 6
            endpoint.work_s = 0.1
        self.assertIsInstance(self.dispatcher.choose(demand(priority=2), SPEC, 0.0), Refuse)
        self.assertIsInstance(self.dispatcher.choose(demand(priority=0), SPEC, 0.0), Send)

    def test_work_that_would_come_late_is_refused_at_once(self) -> None:
        for endpoint in self.fleet.all():
            endpoint.in_flight = 4
            endpoint.work_s = 0.9
        self.assertIsInstance(self.dispatcher.choose(demand(priority=0), SPEC, 0.0), Refuse)

    def test_draining_evacuated_and_foreign_endpoints_get_nothing(self) -> None:
        first = self._choose().endpoint.record.id
        self.fleet.register(record(first, draining=True), 1.0)
        self.assertNotEqual(self._choose().endpoint.record.id, first)
        self.fleet.evacuate(ZoneName("north-1"), True, 1.0, 0.0)
        self.assertIsInstance(self.dispatcher.choose(demand(), SPEC, 0.0), Refuse)
        self.fleet.evacuate(ZoneName("north-1"), False, 1.0, 0.0)
        homes = frozenset([RegionName("south")])
        self.assertIsInstance(self.dispatcher.choose(demand(homes=homes), SPEC, 9.0), Refuse)

    def test_excluded_endpoint_is_used_only_when_all_are(self) -> None:
        first = self._choose().endpoint
        first.excluded_until_s = 5.0
        self.assertIsNot(self._choose().endpoint, first)
        for endpoint in self.fleet.all():
            endpoint.excluded_until_s = 5.0
        self.assertIs(self._choose().endpoint, first)

    def test_entry_missing_after_an_outage_is_passed_over_while_most_are_listed(self) -> None:
        first = self._choose().endpoint
        self.fleet.observe_outage()
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
            isinstance(self.dispatcher.choose(demand(), SPEC, 0.0), Send) for _ in range(100)
        )
        bound = 6 + 1  # endpoints, of which each takes at most its own part
        self.assertLessEqual(sent, bound * int(0.8 * 1.5 * SPEC.cold_per_s))
        self.assertGreater(sent, 0)

    def test_tried_endpoint_is_not_tried_again(self) -> None:
        first = self._choose().endpoint.record.id
        second = self._choose(tried=frozenset([EndpointId(first)])).endpoint.record.id
        self.assertNotEqual(first, second)
