import unittest

from lycheepin.names import EndpointId
from lycheepin.steering import suspects
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import (
    CRASHES_TO_QUARANTINE,
    FIRST_PROBE_S,
    MAX_SUSPECTS,
    REPEAT_AFTER_S,
    SERVED_PROOF_S,
    SUSPICION_LIFE_S,
    Fingerprint,
    Quarantined,
    SuspectRegistry,
    Suspicion,
)

DEADLY = Fingerprint("deadly")


def crash(number: int, fingerprint: Fingerprint = DEADLY) -> Suspicion:
    """Returns the suspicion of a request after the crash of an endpoint."""
    return Suspicion(fingerprint, EndpointProcess(EndpointId(f"e{number}"), 1))


class Quarantine(unittest.TestCase):
    def setUp(self) -> None:
        self.is_prober = True
        self.registry = SuspectRegistry(lambda fingerprint, now_s: self.is_prober)

    def _observe_crashes(self, count: int, now_s: float = 0.0) -> None:
        for number in range(count):
            self.registry.observe_crash(crash(number), now_s)

    def _is_sent(self, now_s: float) -> bool:
        return self.registry.find_quarantine(DEADLY, now_s) is None

    def test_request_is_sent_until_it_was_in_three_crashes(self) -> None:
        for number in range(CRASHES_TO_QUARANTINE):
            self.assertTrue(self._is_sent(1.0))
            self.registry.observe_crash(crash(number), 1.0)
        self.assertFalse(self._is_sent(1.0))
        self.assertIsNone(self.registry.find_quarantine(Fingerprint("other"), 1.0))

    def test_same_crash_reported_by_several_daemons_counts_once(self) -> None:
        self.assertTrue(self.registry.observe_crash(crash(1), 0.0))
        for _ in range(5):
            self.assertFalse(self.registry.observe_crash(crash(1), 0.1))
        self.assertEqual(self.registry.count_crashes(DEADLY), 1)

    def test_two_processes_with_the_same_id_are_two_crashes(self) -> None:
        for started_ms in range(CRASHES_TO_QUARANTINE):
            process = EndpointProcess(EndpointId("e"), started_ms)
            self.registry.observe_crash(Suspicion(DEADLY, process), 0.0)
        self.assertFalse(self._is_sent(1.0))

    def test_request_that_was_in_two_crashes_is_not_sent_twice_in_one_attempt(self) -> None:
        self._observe_crashes(1)
        self.assertTrue(self.registry.may_resend(DEADLY))
        self._observe_crashes(2)
        self.assertFalse(self.registry.may_resend(DEADLY))

    def test_answer_frees_a_request_and_refutes_its_crashes_for_good(self) -> None:
        self._observe_crashes(CRASHES_TO_QUARANTINE)
        refuted = self.registry.observe_served(DEADLY, 1.0)
        self.assertEqual(len(refuted), CRASHES_TO_QUARANTINE)
        self.assertTrue(all(suspicion.refuted for suspicion in refuted))
        self.assertTrue(self._is_sent(1.0))
        self._observe_crashes(CRASHES_TO_QUARANTINE, 2.0)
        self.assertTrue(self._is_sent(2.0))

    def test_answer_proves_for_a_while_that_a_request_is_harmless(self) -> None:
        self.registry.observe_served(DEADLY, 0.0)
        self.assertTrue(self.registry.was_served(DEADLY, 0.9 * SERVED_PROOF_S))
        self.assertFalse(self.registry.was_served(DEADLY, 1.1 * SERVED_PROOF_S))

    def test_one_daemon_probes_later_each_time_and_then_no_more(self) -> None:
        self._observe_crashes(CRASHES_TO_QUARANTINE)
        self.is_prober = False
        self.assertFalse(self._is_sent(FIRST_PROBE_S + 1))
        self.is_prober = True
        self.assertFalse(self._is_sent(FIRST_PROBE_S - 1))
        self.assertTrue(self._is_sent(FIRST_PROBE_S))
        self.assertFalse(self._is_sent(FIRST_PROBE_S + 1))
        self.registry.observe_crash(crash(10), 20.0)
        self.assertFalse(self._is_sent(20 + 2 * FIRST_PROBE_S - 1))
        self.assertTrue(self._is_sent(20 + 2 * FIRST_PROBE_S))
        self.registry.observe_crash(crash(11), 60.0)
        self.assertTrue(all(not self._is_sent(60.0 + 10 * n) for n in range(40)))

    def test_at_most_two_probes_reach_endpoints_that_they_crash(self) -> None:
        self._observe_crashes(CRASHES_TO_QUARANTINE)
        sent = 0
        for tenth_s in range(20_000):
            if self._is_sent(tenth_s / 10):
                sent += 1
                self.registry.observe_crash(crash(100 + sent), tenth_s / 10 + 0.05)
        self.assertEqual(sent, suspects.MAX_PROBED_CRASHES)

    def test_quarantine_lasts_while_the_request_comes_and_ends_when_it_stops(self) -> None:
        self._observe_crashes(CRASHES_TO_QUARANTINE)
        self.is_prober = False
        now_s = 0.0
        repeated = 0
        while now_s < 3 * SUSPICION_LIFE_S:
            quarantined = self.registry.find_quarantine(DEADLY, now_s)
            assert isinstance(quarantined, Quarantined)
            self.assertGreater(quarantined.retry_after_s, 0.0)
            repeated += bool(quarantined.to_repeat)
            now_s += REPEAT_AFTER_S / 4
        self.assertGreaterEqual(repeated, 3 * SUSPICION_LIFE_S // (2 * REPEAT_AFTER_S))
        self.assertTrue(self._is_sent(now_s + SUSPICION_LIFE_S))
        self.assertEqual(self.registry.count, 0)

    def test_quarantine_outlasts_thousands_of_requests_that_were_in_one_crash(self) -> None:
        self._observe_crashes(CRASHES_TO_QUARANTINE)
        for number in range(2 * MAX_SUSPECTS):
            self.registry.observe_crash(crash(number, Fingerprint(f"f{number}")), 1.0)
        self.assertEqual(self.registry.count, MAX_SUSPECTS)
        self.assertFalse(self._is_sent(2.0))
