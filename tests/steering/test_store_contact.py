import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.steering.store_contact import (
    EXPIRY_INTERVALS,
    REREGISTRATION_S,
    StoreContact,
)

HEARTBEAT_S = 1.5
# Time in seconds between two answers of a store that is followed.
WATCH_S = 1.0


class StoreContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.contact = StoreContact(HEARTBEAT_S)

    def test_removals_are_believed_at_once_after_an_outage_shorter_than_a_heartbeat(self) -> None:
        self.contact.observe_failure(10.0)
        self.assertFalse(self.contact.believes_removals(10.1))
        self.assertAlmostEqual(self.contact.observe_answer(10.4) or 0.0, 0.4)
        self.assertTrue(self.contact.believes_removals(10.4))

    def test_removals_are_doubted_after_a_long_outage_until_endpoints_could_register(self) -> None:
        self.contact.observe_failure(10.0)
        self.contact.observe_answer(10.0 + HEARTBEAT_S)
        back_s = 10.0 + HEARTBEAT_S
        self.assertFalse(self.contact.believes_removals(back_s + REREGISTRATION_S - 0.1))
        self.assertTrue(self.contact.believes_removals(back_s + REREGISTRATION_S + 0.1))

    def test_short_outages_count_together_while_an_entry_could_expire_in_them(self) -> None:
        for start_s in (10.0, 11.0, 12.0):
            self.contact.observe_failure(start_s)
            self.contact.observe_answer(start_s + 0.6)
        self.assertFalse(self.contact.believes_removals(12.6))
        later_s = 12.6 + EXPIRY_INTERVALS * HEARTBEAT_S + 1.0
        self.contact.observe_failure(later_s)
        self.contact.observe_answer(later_s + 0.6)
        self.assertTrue(self.contact.believes_removals(later_s + 0.6))

    def test_answer_from_before_a_failure_does_not_end_the_outage(self) -> None:
        self.contact.observe_failure(10.0)
        self.assertIsNone(self.contact.observe_answer(10.5, 0.9))
        self.assertTrue(self.contact.is_away)
        self.assertAlmostEqual(self.contact.observe_answer(10.8, 0.5) or 0.0, 0.3)
        self.assertFalse(self.contact.is_away)

    # Guards against an endpoint that left being used for as long as watches are cut (review/4).
    @given(st.lists(st.floats(0.05, 3.0), min_size=1, max_size=60))
    @settings(derandomize=True, max_examples=200)
    def test_cut_watches_never_delay_a_removal(self, pauses_s: list[float]) -> None:
        contact, now_s = StoreContact(HEARTBEAT_S), 100.0
        for pause_s in pauses_s:
            now_s += pause_s
            contact.observe_failure(now_s)
            now_s += 0.005
            contact.observe_answer(now_s)
            self.assertTrue(contact.believes_removals(now_s))

    # Guards against a daemon that the store turns away using endpoints to their very end.
    def test_store_that_answers_other_daemons_was_not_away(self) -> None:
        now_s = 100.0
        for _ in range(40):
            now_s += 0.25
            self.contact.observe_failure(now_s - 0.3)
            now_s += 0.25
            self.contact.observe_answer(now_s, 0.05, relayed=True)
            self.assertTrue(self.contact.believes_removals(now_s))

    def test_relayed_answer_after_a_long_silence_ends_an_outage(self) -> None:
        self.contact.observe_failure(100.0)
        self.contact.observe_answer(100.0 + HEARTBEAT_S + 0.1, 0.05, relayed=True)
        self.assertFalse(self.contact.believes_removals(100.2 + HEARTBEAT_S))

    # Guards against endpoints that run being removed when their entries expired in an outage.
    @given(st.floats(0.0, 1.0), st.floats(0.5, 30.0), st.floats(0.0, WATCH_S))
    @settings(derandomize=True, max_examples=300)
    def test_entries_that_expired_in_an_outage_are_never_taken_for_removed(
        self, phase: float, outage_s: float, silent_s: float
    ) -> None:
        lost_s, back_s = 50.0, 50.0 + outage_s
        beats_s = [(number + phase) * HEARTBEAT_S for number in range(100)]
        written_s = [at_s for at_s in beats_s if not lost_s <= at_s < back_s]
        contact = StoreContact(HEARTBEAT_S)
        contact.observe_failure(lost_s - silent_s)
        contact.observe_answer(back_s + 0.1)
        for last_s, next_s in zip(written_s, written_s[1:], strict=False):
            expired_s = last_s + EXPIRY_INTERVALS * HEARTBEAT_S
            if expired_s < next_s - 1e-6:
                seen_s = max(expired_s, back_s + 0.1)
                self.assertFalse(contact.believes_removals(seen_s), (last_s, next_s))
