import unittest

from lycheepin.names import EndpointId, ZoneName
from lycheepin.steering.endpoint import MAX_EXCLUSION_S, MAX_GROWTH, SLOWNESS_DECAY_S
from lycheepin.steering.store_contact import REREGISTRATION_S
from tests.steering.builders import SERVICE, build_registry, record


class LoadEstimates(unittest.TestCase):
    def test_other_requests_are_scaled_by_the_growth_of_own_requests(self) -> None:
        endpoint = build_registry(record("a", slots=9)).get(EndpointId("a"))
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


class UnevenMachines(unittest.TestCase):
    """Load: endpoints whose machines slow them 2.5 times, for parts of a second."""

    def test_slow_endpoint_is_expected_to_answer_later_until_its_report_has_aged(self) -> None:
        registry = build_registry(record("a"), record("b"))
        slow, usual = registry.all()
        slow.observe_slowness(10.0, 2.5)
        usual_s = registry.predict_answer_s(usual, 10.0)
        self.assertAlmostEqual(registry.predict_answer_s(slow, 10.0), 2.5 * usual_s)
        aged_s = registry.predict_answer_s(slow, 10.0 + SLOWNESS_DECAY_S)
        self.assertTrue(usual_s < aged_s < 2 * usual_s, aged_s)
        self.assertAlmostEqual(registry.predict_answer_s(slow, 20.0), usual_s, places=6)

    def test_mean_stays_that_of_a_usual_machine(self) -> None:
        registry = build_registry(record("a"))
        endpoint = next(registry.all())
        for step in range(40):
            slowness = 2.5 if step % 2 else 1.0
            registry.observe_answer(endpoint, float(step), 0.2 * slowness, slowness)
        self.assertAlmostEqual(registry.mean_processing_s(SERVICE), 0.2)


class Registration(unittest.TestCase):
    def test_missing_entry_removes_the_endpoint_while_the_store_answers(self) -> None:
        registry = build_registry(record("a"), record("b"))
        self.assertTrue(registry.remove(EndpointId("a"), 5.0))
        self.assertEqual([e.record.id for e in registry.endpoints(SERVICE)], ["b"])

    def test_entry_that_expired_in_an_outage_is_kept_for_the_reregistration_time(self) -> None:
        registry = build_registry(record("a"))
        registry.contact.observe_failure(0.0)
        registry.contact.observe_answer(10.0)
        self.assertFalse(registry.remove(EndpointId("a"), 10.1))
        self.assertEqual(registry.expire_missing(10.0 + REREGISTRATION_S - 0.1), [])
        self.assertEqual(registry.expire_missing(10.0 + REREGISTRATION_S + 0.1), ["a"])
        self.assertIsNone(registry.get(EndpointId("a")))

    def test_endpoint_replaced_by_a_new_process_is_marked_removed(self) -> None:
        registry = build_registry(record("a"))
        replaced = registry.get(EndpointId("a"))
        registry.register(record("a", started_ms=7), 1.0)
        assert replaced is not None
        self.assertTrue(replaced.removed)
        self.assertIsNot(registry.get(EndpointId("a")), replaced)

    def test_entry_that_is_registered_again_in_time_is_kept(self) -> None:
        registry = build_registry(record("a"))
        registry.contact.observe_failure(0.0)
        registry.contact.observe_answer(10.0)
        registry.remove(EndpointId("a"), 10.1)
        registry.register(record("a"), 11.0)
        self.assertEqual(registry.expire_missing(20.0), [])

    def test_what_a_restored_store_lacks_is_kept_until_it_can_be_written_again(self) -> None:
        registry = build_registry(record("a"), record("b", region="south"))
        for zone in ("north-1", "south-1"):
            registry.evacuate(ZoneName(zone), True, 0.0, 3.0)
        registry.observe_restored_store(10.0)
        for endpoint_id in ("a", "b"):
            self.assertFalse(registry.remove(EndpointId(endpoint_id), 10.1))
        for zone in ("north-1", "south-1"):
            registry.unlist_evacuation(ZoneName(zone), 10.1, 3.0)
        self.assertEqual(registry.expire_evacuations(10.2), [])
        self.assertEqual(registry.evacuated_zones, {"north-1", "south-1"})
        registry.register(record("a"), 11.0)
        registry.evacuate(ZoneName("north-1"), True, 11.0, 3.0)
        late_s = 10.1 + REREGISTRATION_S
        self.assertEqual(registry.expire_missing(late_s), ["b"])
        self.assertEqual(registry.expire_evacuations(late_s), ["south-1"])
        self.assertEqual(registry.evacuated_zones, {"north-1"})
        registry.unlist_evacuation(ZoneName("north-1"), late_s, 3.0)
        self.assertEqual(registry.evacuated_zones, set())

    def test_process_that_left_before_a_copy_is_used_again_only_once_it_has_written(self) -> None:
        registry = build_registry(record("a", sequence=4), record("b", started_ms=1, sequence=4))
        registry.remove(EndpointId("a"), 1.0)
        registry.register(record("a", sequence=4), 1.5)
        self.assertIsNotNone(registry.get(EndpointId("a")), "without a copy, entries are believed")
        registry.remove(EndpointId("a"), 2.0)
        registry.register(record("b", started_ms=2, sequence=1), 2.0)
        registry.observe_restored_store(3.0)
        self.assertFalse(registry.register(record("a", sequence=2), 3.1))
        self.assertFalse(registry.register(record("b", started_ms=1, sequence=4), 3.1))
        self.assertIsNone(registry.get(EndpointId("a")))
        present = registry.get(EndpointId("b"))
        assert present is not None
        self.assertEqual(present.record.started_ms, 2)
        self.assertTrue(registry.register(record("a", sequence=5), 3.2))
        self.assertIsNotNone(registry.get(EndpointId("a")))

    def test_process_that_had_come_back_before_a_copy_is_not_taken_for_removed(self) -> None:
        registry = build_registry(record("a", sequence=4))
        registry.remove(EndpointId("a"), 1.0)
        registry.register(record("a", sequence=4), 2.0)
        registry.contact.observe_failure(0.0)
        registry.remove(EndpointId("a"), 3.0)
        registry.observe_restored_store(4.0)
        self.assertTrue(registry.register(record("a", sequence=4), 4.1))
        self.assertEqual(registry.missing_count, 0)

    def test_older_entry_from_a_copy_does_not_end_the_draining_of_its_process(self) -> None:
        registry = build_registry(record("a", draining=True, sequence=9))
        registry.observe_restored_store(0.5)
        self.assertFalse(registry.register(record("a", sequence=3), 1.0))
        endpoint = registry.get(EndpointId("a"))
        assert endpoint is not None
        self.assertTrue(endpoint.record.draining)
        self.assertTrue(registry.register(record("a", sequence=10), 2.0))
        self.assertFalse(endpoint.record.draining)

    # Guards against an odd entry that outlives the true ones of its endpoint: a draining that is
    # never seen, a cold time that never ends.
    def test_entry_of_another_writer_is_undone_by_the_next_true_one(self) -> None:
        true = record("a", sequence=4)
        registry = build_registry(true)
        endpoint = next(registry.all())
        for odd in (record("a", sequence=2**62), record("a", sequence=5, cold_s=86_400.0)):
            registry.register(odd, 1.0)
            self.assertTrue(registry.register(record("a", sequence=5, draining=True), 2.0))
            self.assertTrue(endpoint.record.draining)
            registry.register(record("a", sequence=6, cold_s=0.1), 3.0)
            self.assertFalse(endpoint.record.draining)
            self.assertTrue(endpoint.is_cold(3.05))
            self.assertFalse(endpoint.is_cold(3.2))

    def test_entry_that_is_listed_again_does_not_prolong_the_cold_time(self) -> None:
        registry = build_registry(record("a", cold_s=3.0))
        registry.register(record("a", cold_s=3.0), 2.0)
        self.assertFalse(next(registry.all()).is_cold(3.1))

    def test_missing_endpoints_are_kept_during_an_outage(self) -> None:
        registry = build_registry(record("a"))
        registry.contact.observe_failure(0.0)
        registry.remove(EndpointId("a"), 1.0)
        self.assertEqual(registry.expire_missing(100.0), [])

    def test_new_process_under_the_same_id_starts_without_requests_and_cold(self) -> None:
        registry = build_registry(record("a"))
        old = registry.get(EndpointId("a"))
        assert old is not None
        old.in_flight = 3
        self.assertTrue(registry.register(record("a", started_ms=2, cold_s=3.0), 5.0))
        new = registry.get(EndpointId("a"))
        assert new is not None
        self.assertEqual(new.in_flight, 0)
        self.assertTrue(new.is_cold(7.9))
        self.assertFalse(new.is_cold(8.1))

    def test_endpoints_are_cold_after_an_evacuation(self) -> None:
        registry = build_registry(record("a"))
        registry.evacuate(ZoneName("north-1"), True, 1.0, 3.0)
        registry.evacuate(ZoneName("north-1"), False, 5.0, 3.0)
        endpoint = registry.get(EndpointId("a"))
        assert endpoint is not None
        self.assertTrue(endpoint.is_cold(7.9))


class Failures(unittest.TestCase):
    def test_exclusion_doubles_up_to_the_maximum_and_success_resets_it(self) -> None:
        registry = build_registry(record("a"))
        endpoint = next(registry.all())
        for _ in range(12):
            endpoint.observe_failure(0.0, exclude_now=True)
        self.assertEqual(endpoint.exclusion_s, MAX_EXCLUSION_S)
        endpoint.observe_success()
        self.assertEqual((endpoint.failures, endpoint.exclusion_s), (0, 0.0))

    def test_failures_that_are_not_consecutive_do_not_exclude(self) -> None:
        endpoint = next(build_registry(record("a")).all())
        self.assertFalse(endpoint.observe_failure(0.0))
        endpoint.observe_success()
        self.assertFalse(endpoint.observe_failure(0.0))

    def test_unresponsive_time_counts_only_with_requests_in_flight_and_ends_with_an_answer(
        self,
    ) -> None:
        endpoint = next(build_registry(record("a")).all())
        self.assertEqual(endpoint.unresponsive_s(50.0), 0.0)
        endpoint.start_request(50.0)
        endpoint.start_request(50.5)
        self.assertEqual(endpoint.unresponsive_s(52.0), 2.0)
        endpoint.end_request(52.0, responded=True)
        self.assertEqual(endpoint.unresponsive_s(52.5), 0.5)
        endpoint.end_request(53.0, responded=False)
        self.assertEqual(endpoint.unresponsive_s(60.0), 0.0)

    def test_unresponsive_time_is_added_to_the_predicted_answer_time(self) -> None:
        registry = build_registry(record("a"))
        endpoint = next(registry.all())
        for _ in range(100):
            registry.observe_answer(endpoint, 0.0, 0.2)
        endpoint.start_request(0.0)
        self.assertLess(registry.predict_answer_s(endpoint, 0.5), 0.5)
        self.assertGreater(registry.predict_answer_s(endpoint, 2.0), 2.0)
