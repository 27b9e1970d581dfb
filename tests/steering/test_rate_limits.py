import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.errors import ErrorKind
from lycheepin.names import DaemonName, EndpointId, RegionName
from lycheepin.steering.budgets import Carriers
from lycheepin.steering.choices import Refusal, SelectedEndpoint
from lycheepin.steering.rate_limits import RateLimits
from tests.steering.builders import (
    OWN,
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
    record,
)

ENDPOINT = EndpointId("e")
RECORD = record(ENDPOINT)


def build_names(count: int) -> tuple[DaemonName, ...]:
    return tuple(DaemonName(f"daemon-{number}") for number in range(count))


def find_region(name: DaemonName) -> RegionName | None:
    """Returns the endpoint's region for each third daemon."""
    return RECORD.region if int(name.rpartition("-")[2]) % 3 == 0 else None


class Observation(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = RateLimits(OWN, Carriers(OWN, lambda: (OWN,)))

    def test_limit_holds_until_an_answer_names_none(self) -> None:
        self.assertFalse(self.limits.observe_answer(ENDPOINT, None, 0.0, 1.0))
        self.assertTrue(self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0))
        self.assertFalse(self.limits.observe_answer(ENDPOINT, 2.5, 2.5, 3.0))
        self.assertEqual((self.limits.find_limit(ENDPOINT), self.limits.count), (2.5, 1))
        self.assertTrue(self.limits.observe_answer(ENDPOINT, None, 3.0, 4.0))
        self.assertEqual((self.limits.find_limit(ENDPOINT), self.limits.count), (None, 0))

    def test_answer_that_was_given_before_the_limit_does_not_end_or_raise_it(self) -> None:
        self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0)
        self.assertFalse(self.limits.observe_answer(ENDPOINT, None, 1.9, 2.1))
        self.assertFalse(self.limits.observe_answer(ENDPOINT, 9.0, 1.9, 2.1))
        self.assertEqual(self.limits.find_limit(ENDPOINT), 2.5)
        self.assertTrue(self.limits.observe_answer(ENDPOINT, 1.0, 1.9, 2.1))
        self.assertEqual(self.limits.find_limit(ENDPOINT), 1.0)

    def test_limit_of_a_replaced_endpoint_is_forgotten(self) -> None:
        self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0)
        self.limits.forget_endpoint(ENDPOINT)
        self.assertIsNone(self.limits.find_limit(ENDPOINT))


class Shares(unittest.TestCase):
    """Replays daemons that all want to send as much as possible to one limited endpoint."""

    def _replay(
        self, names: Sequence[DaemonName], per_s: float, seconds: float, step_s: float = 0.25
    ) -> list[float]:
        """Returns the times at which the endpoint gets a request from any daemon."""
        sent_s: list[float] = []
        all_limits = []
        for index, own in enumerate(names):
            carriers = Carriers(own, lambda: names, find_region)
            limits = RateLimits(own, carriers)
            # daemons learn of the limit at different moments
            limits.observe_answer(ENDPOINT, per_s, 0.0, index * 0.01)
            all_limits.append(limits)
        for step in range(int(seconds / step_s)):
            now_s = 1.0 + step * step_s
            for limits in all_limits:
                while not limits.wait_s(RECORD, now_s):
                    limits.count_request(ENDPOINT, now_s)
                    sent_s.append(now_s)
        return sent_s

    def test_sum_in_each_window_stays_within_one_and_a_half_times_the_limit_and_five(self) -> None:
        for count in (1, 3, 11, 27, 79, 195):
            for per_s in (0.0, 0.05, 0.3, 1.0, 2.4, 6.5, 40.0):
                with self.subTest(count=count, per_s=per_s):
                    sent_s = self._replay(build_names(count), per_s, 30.0)
                    most = max(
                        sum(start <= t < start + 4.0 for t in sent_s) for start in {*sent_s, 0.0}
                    )
                    self.assertLessEqual(most, 1.5 * 4.0 * per_s + 5)

    def test_limit_that_is_named_now_and_then_allows_a_new_share_each_time(self) -> None:
        limits = RateLimits(OWN, Carriers(OWN, lambda: (OWN,)))
        sent = 0
        for step in range(40):
            now_s = step * 0.1
            limits.observe_answer(ENDPOINT, None if step % 2 else 2.5, now_s, now_s)
            while not step % 2 and not limits.wait_s(RECORD, now_s):
                limits.count_request(ENDPOINT, now_s)
                sent += 1
        self.assertEqual(sent, 10)

    def test_daemons_together_use_at_least_three_quarters_of_the_limit(self) -> None:
        for count in (1, 11, 27, 79):
            for per_s in (0.5, 1.0, 2.4, 6.5, 40.0):
                with self.subTest(count=count, per_s=per_s):
                    sent_s = self._replay(build_names(count), per_s, 40.0)
                    self.assertGreaterEqual(len(sent_s), 0.75 * 40.0 * per_s)

    def test_daemon_without_a_share_learns_in_time_that_the_limit_has_ended(self) -> None:
        names = build_names(79)
        waits_s = []
        for own in names:
            limits = RateLimits(own, Carriers(own, lambda: names, find_region))
            limits.observe_answer(ENDPOINT, 5.0, 0.0, 0.0)
            waits_s.append(limits.wait_s(RECORD, 0.0))
        self.assertEqual(waits_s.count(0.0), 20)
        self.assertLess(max(waits_s), 90.0)

    def test_most_of_the_limit_belongs_to_the_endpoints_own_region(self) -> None:
        names = build_names(12)
        shares = [
            Carriers(own, lambda: names, find_region).find_share(ENDPOINT, 24, 0.0, RECORD.region)
            for own in names
        ]
        self.assertEqual(sum(share.requests for share in shares), 24)
        own_region = [
            share.requests for name, share in zip(names, shares, strict=True) if find_region(name)
        ]
        self.assertGreaterEqual(sum(own_region), 15)

    @given(
        limit=st.integers(0, 500),
        count=st.integers(1, 60),
        endpoint=st.integers(0, 10_000),
        weighted=st.booleans(),
    )
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_shares_of_all_daemons_add_up_to_the_limit(
        self, limit: int, count: int, endpoint: int, weighted: bool
    ) -> None:
        names = build_names(count)
        region = RECORD.region if weighted else None
        shares = [
            Carriers(own, lambda: names, find_region).find_share(
                EndpointId(f"e{endpoint}"), limit, 0.0, region
            )
            for own in names
        ]
        requests = [share.requests for share in shares]
        self.assertEqual(sum(requests), limit)
        self.assertEqual({share.carriers_without for share in shares}, {requests.count(0)})


class ChoiceWithLimits(unittest.TestCase):
    """Replays requests at a daemon some of whose endpoints take few requests a second."""

    def setUp(self) -> None:
        self.registry = build_registry(*(record(f"e{number}") for number in range(6)))
        carriers = Carriers(OWN, lambda: (OWN,))
        self.limits = RateLimits(OWN, carriers)
        self.dispatcher = build_dispatcher(self.registry, rate_limits=self.limits)
        self.first = self._choose(0.0)

    def _choose(self, now_s: float, **changes: object) -> EndpointId:
        """Returns the endpoint of an attempt; raises AssertionError if it is refused."""
        choice = self.dispatcher.choose_endpoint(
            build_requirements(target_at_s=now_s + 5.0, **changes), SPEC, now_s
        )
        assert isinstance(choice, SelectedEndpoint), choice
        return choice.endpoint.record.id

    def _name_limit(self, *names: str, per_s: float = 0.5) -> None:
        for name in names:
            self.limits.observe_answer(EndpointId(name), per_s, 0.0, 0.0)

    def test_object_of_a_limited_endpoint_is_served_by_the_next_one(self) -> None:
        self._name_limit(self.first)
        chosen = [self._choose(0.1) for _ in range(10)]
        self.assertEqual(chosen[:2], [self.first] * 2)
        self.assertEqual(len(set(chosen[2:])), 1)
        self.assertNotIn(self.first, chosen[2:])
        self.assertEqual(self._choose(4.2), self.first)

    def test_request_is_refused_at_once_while_no_endpoint_takes_it(self) -> None:
        self._name_limit(*(f"e{number}" for number in range(6)))
        chosen = {self._choose(0.1) for _ in range(12)}
        self.assertEqual(len(chosen), 6)
        requirements = build_requirements(target_at_s=5.0)
        choice = self.dispatcher.choose_endpoint(requirements, SPEC, 3.1)
        assert isinstance(choice, Refusal)
        self.assertIs(choice.kind, ErrorKind.ENDPOINTS_LIMITED)
        self.assertAlmostEqual(choice.retry_after_s, 1.0)
        self.assertFalse(self.dispatcher.has_warm_capacity(requirements, 3.1))
        self._choose(4.2)

    def test_limited_endpoints_are_passed_over_also_when_all_are_excluded_or_cold(self) -> None:
        self._name_limit(*(f"e{number}" for number in range(6)), per_s=0.25)
        for excluded_until_s, cold_until_s in ((9.0, 0.0), (0.0, 9.0)):
            with self.subTest(excluded_until_s=excluded_until_s, cold_until_s=cold_until_s):
                for endpoint in self.registry.all():
                    endpoint.excluded_until_s = excluded_until_s
                    endpoint.cold_until_s = cold_until_s
                now_s = 0.1 if excluded_until_s else 5.0
                chosen = {self._choose(now_s) for _ in range(6)}
                self.assertEqual(len(chosen), 6)
                refused = self.dispatcher.choose_endpoint(build_requirements(), SPEC, now_s)
                self.assertIsInstance(refused, Refusal)
