import unittest

from lycheepin.names import EndpointId, ZoneName
from lycheepin.steering.fleet import LAST_EXCLUSION_S, MAX_GROWTH, REAPPEAR_S
from tests.steering.builders import SERVICE, build_fleet, record


class Loads(unittest.TestCase):
    def test_others_are_taken_to_grow_with_this_daemons_own_requests(self) -> None:
        endpoint = build_fleet(record("a", slots=9)).get(EndpointId("a"))
        assert endpoint is not None
        for _ in range(30):
            endpoint.in_flight = 1
            endpoint.observe_load(0.0, 4, 0)
        self.assertAlmostEqual(endpoint.other_requests(0.0), 3.0, places=1)
        endpoint.in_flight = 2
        self.assertAlmostEqual(endpoint.other_requests(0.0), 6.0, places=1)
        endpoint.in_flight = 50
        self.assertAlmostEqual(endpoint.other_requests(0.0), 3.0 * MAX_GROWTH, places=1)
        endpoint.in_flight = 0
        self.assertAlmostEqual(endpoint.other_requests(0.0), 3.0, places=1)


class Knowledge(unittest.TestCase):
    def test_removed_entry_is_gone_at_once_while_the_store_answers(self) -> None:
        fleet = build_fleet(record("a"), record("b"))
        self.assertTrue(fleet.remove(EndpointId("a"), 5.0))
        self.assertEqual([e.record.id for e in fleet.endpoints(SERVICE)], ["b"])

    def test_entry_that_lapsed_in_an_outage_stays_until_it_had_time_to_return(self) -> None:
        fleet = build_fleet(record("a"))
        fleet.observe_store_outage()
        fleet.observe_store_recovery(10.0)
        self.assertFalse(fleet.remove(EndpointId("a"), 10.1))
        self.assertEqual(fleet.expire_missing(10.0 + REAPPEAR_S - 0.1), [])
        self.assertEqual(fleet.expire_missing(10.0 + REAPPEAR_S + 0.1), ["a"])
        self.assertIsNone(fleet.get(EndpointId("a")))

    def test_entry_that_comes_back_in_time_is_kept(self) -> None:
        fleet = build_fleet(record("a"))
        fleet.observe_store_outage()
        fleet.observe_store_recovery(10.0)
        fleet.remove(EndpointId("a"), 10.1)
        fleet.register(record("a"), 11.0)
        self.assertEqual(fleet.expire_missing(20.0), [])

    def test_nothing_is_settled_while_the_store_is_away(self) -> None:
        fleet = build_fleet(record("a"))
        fleet.observe_store_outage()
        fleet.remove(EndpointId("a"), 1.0)
        self.assertEqual(fleet.expire_missing(100.0), [])

    def test_new_incarnation_under_the_same_id_starts_with_a_clean_account(self) -> None:
        fleet = build_fleet(record("a"))
        old = fleet.get(EndpointId("a"))
        assert old is not None
        old.in_flight = 3
        self.assertTrue(fleet.register(record("a", started_ms=2, cold_s=3.0), 5.0))
        new = fleet.get(EndpointId("a"))
        assert new is not None
        self.assertEqual(new.in_flight, 0)
        self.assertTrue(new.is_cold(7.9))
        self.assertFalse(new.is_cold(8.1))

    def test_zone_that_is_taken_back_counts_as_cold(self) -> None:
        fleet = build_fleet(record("a"))
        fleet.evacuate(ZoneName("north-1"), True, 1.0, 3.0)
        fleet.evacuate(ZoneName("north-1"), False, 5.0, 3.0)
        endpoint = fleet.get(EndpointId("a"))
        assert endpoint is not None
        self.assertTrue(endpoint.is_cold(7.9))


class Suspicion(unittest.TestCase):
    def test_exclusion_grows_with_failures_to_a_bound_and_ends_with_success(self) -> None:
        fleet = build_fleet(record("a"))
        endpoint = next(fleet.all())
        for _ in range(12):
            endpoint.observe_failure(0.0, at_once=True)
        self.assertEqual(endpoint.exclusion_s, LAST_EXCLUSION_S)
        endpoint.observe_success()
        self.assertEqual((endpoint.failures, endpoint.exclusion_s), (0, 0.0))

    def test_single_failures_do_not_exclude(self) -> None:
        endpoint = next(build_fleet(record("a")).all())
        self.assertFalse(endpoint.observe_failure(0.0))
        endpoint.observe_success()
        self.assertFalse(endpoint.observe_failure(0.0))

    def test_silence_counts_only_while_requests_wait_and_ends_with_an_answer(self) -> None:
        endpoint = next(build_fleet(record("a")).all())
        self.assertEqual(endpoint.unresponsive_s(50.0), 0.0)
        endpoint.start_request(50.0)
        endpoint.start_request(50.5)
        self.assertEqual(endpoint.unresponsive_s(52.0), 2.0)
        endpoint.end_request(52.0, heard=True)
        self.assertEqual(endpoint.unresponsive_s(52.5), 0.5)
        endpoint.end_request(53.0, heard=False)
        self.assertEqual(endpoint.unresponsive_s(60.0), 0.0)

    def test_silent_endpoint_is_expected_to_stay_silent(self) -> None:
        fleet = build_fleet(record("a"))
        endpoint = next(fleet.all())
        for _ in range(100):
            fleet.observe_answer(endpoint, 0.0, 0.2)
        endpoint.start_request(0.0)
        self.assertLess(fleet.predict_s(endpoint, 0.5), 0.5)
        self.assertGreater(fleet.predict_s(endpoint, 2.0), 2.0)
