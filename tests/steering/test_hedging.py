import unittest

from lycheepin.names import EndpointId
from lycheepin.steering.budgets import BudgetLimits, RetryBudgetShare
from lycheepin.steering.choices import SelectedEndpoint
from lycheepin.steering.endpoint import FAILURES_TO_EXCLUDE, Endpoint
from lycheepin.steering.hedging import MAX_TIMES, AnswerTimes, HedgeDenial, Hedging
from lycheepin.steering.progress import RequestProgress
from lycheepin.steering.routes import RequestKind, Route, ServiceShare
from tests.steering.builders import SERVICE, SPEC, build_dispatcher, build_registry, record

FAST_S, LONG_S, TIMES = 0.1, 0.7, 100


def build_progress(kind: RequestKind = RequestKind.IDEMPOTENT) -> RequestProgress:
    """Returns a request that has its first attempt, at time 0, and a second one left."""
    shares = (ServiceShare(SERVICE, 1.0),)
    route = Route("r", "h", "/", kind, 2.0, 0.8, 1, shares, 2, True, frozenset())
    return RequestProgress(route, SERVICE, 0.0, 2.0, "id", "7", running=1)


class SecondEndpoints(unittest.TestCase):
    """Load: 3 in 100 requests take seven times as long as the others."""

    def setUp(self) -> None:
        self.registry = build_registry(record("a"), record("b"), record("c"))
        self.hedging = Hedging(build_dispatcher(self.registry))
        self.first = self._endpoint("a")
        self.first.observe_slowness(0.0, 1.0)
        self.budget = RetryBudgetShare(BudgetLimits(0.0, 10.0))

    def _endpoint(self, name: str) -> Endpoint:
        endpoint = self.registry.get(EndpointId(name))
        assert endpoint is not None
        return endpoint

    def _learn(self, long_s: float = LONG_S) -> None:
        for number in range(TIMES):
            time_s = long_s if number % 33 == 0 else FAST_S
            self.hedging.observe_time(build_progress(), self.first, time_s)

    def _choose(self, now_s: float = 0.2) -> SelectedEndpoint | HedgeDenial:
        return self.hedging.choose_endpoint(
            build_progress(), self.first, SPEC, self.budget, 1.0, now_s
        )

    def test_delay_is_longer_than_almost_all_answers_and_known_only_with_a_tail(self) -> None:
        self.assertIsNone(self.hedging.find_delay_s(build_progress(), 0.0), "nothing is known")
        self._learn(long_s=FAST_S)
        self.assertIsNone(self.hedging.find_delay_s(build_progress(), 0.0), "no tail")
        self._learn()
        self._learn()
        self.assertEqual(self.hedging.find_delay_s(build_progress(), 0.0), FAST_S)
        protected = build_progress(RequestKind.PROTECTED)
        self.assertIsNone(self.hedging.find_delay_s(protected, 0.0))
        self.assertIsNone(self.hedging.find_delay_s(build_progress(), 1.9), "the deadline is near")

    def test_another_endpoint_is_asked_only_while_it_has_room(self) -> None:
        self._learn()
        chosen = self._choose()
        assert isinstance(chosen, SelectedEndpoint)
        self.assertIsNot(chosen.endpoint, self.first)
        for name in ("b", "c"):
            self._endpoint(name).in_flight = 3
        self.assertEqual(self._choose(), HedgeDenial.FULL)

    def test_service_that_refuses_requests_gets_no_second_attempts(self) -> None:
        self._learn()
        for number in range(40):
            self.hedging.observe_choice(SERVICE, number % 5 == 0, 0.1)
        self.assertEqual(self._choose(), HedgeDenial.FULL)

    def test_part_of_the_budget_is_kept_for_failures(self) -> None:
        self._learn()
        while isinstance(self._choose(), SelectedEndpoint):
            pass
        self.assertEqual(self._choose(), HedgeDenial.BUDGET)
        retries = sum(self.budget.try_spend(0.2, 1.0) for _ in range(20))
        self.assertEqual(retries, 4, "half of 0.8 x 10")

    def test_second_attempts_that_never_answer_first_end_for_a_while(self) -> None:
        self._learn()
        for _ in range(10):
            self.hedging.observe_race(build_progress(), False, 0.0)
        self.assertIsNone(self.hedging.find_delay_s(build_progress(), 0.0))

    def test_lost_attempts_slow_an_endpoint_and_several_in_a_row_exclude_it(self) -> None:
        for _ in range(20):
            self.registry.observe_answer(self.first, 0.0, FAST_S)
        before_s = self.registry.predict_answer_s(self.first, 0.0)
        changes = [
            build_progress().record_loss(self.first, self.registry, LONG_S, 0.0)
            for _ in range(FAILURES_TO_EXCLUDE)
        ]
        self.assertGreater(self.registry.predict_answer_s(self.first, 0.0), before_s)
        self.assertEqual([change.excluded for change in changes], [False, False, True])
        self.assertEqual((self.first.failures, self.first.excluded_until_s > 0.0), (0, True))

    def test_times_are_those_of_the_latest_answers(self) -> None:
        times = AnswerTimes()
        for number in range(3 * MAX_TIMES):
            times.observe(float(number))
        self.assertEqual(times.quantile_s(0.0), 2 * MAX_TIMES)
