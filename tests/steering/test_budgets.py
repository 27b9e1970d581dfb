import unittest

from lycheepin.names import DaemonName, EndpointId
from lycheepin.steering.budgets import (
    DEPARTURE_S,
    BudgetLimits,
    Carriers,
    ColdStartLimiter,
    RetryBudgetShare,
)

DAEMONS = tuple(DaemonName(f"daemon-{number}") for number in range(40))


class RetryBudget(unittest.TestCase):
    def test_sum_over_all_daemons_stays_within_the_limit(self) -> None:
        limits = BudgetLimits(retry_ratio=0.2, retry_slack=62.0, window_s=10.0)
        spent = 0
        for _ in DAEMONS[:11]:
            budget = RetryBudgetShare(limits)
            for number in range(100):
                budget.count_request(number * 0.1)
            while budget.try_spend(9.95, 1 / 11):
                spent += 1
        self.assertLessEqual(spent, 0.2 * 1100 + 62)
        self.assertGreater(spent, 0.5 * (0.2 * 1100 + 62))

    # Guards against memory that grows with each request of a service without retries.
    def test_requests_before_the_window_are_forgotten(self) -> None:
        budget = RetryBudgetShare(BudgetLimits(window_s=10.0))
        for number in range(5000):
            budget.count_request(number * 0.1)
        self.assertLessEqual(len(budget._requests), 101)

    def test_retries_before_the_window_do_not_count(self) -> None:
        budget = RetryBudgetShare(BudgetLimits(retry_ratio=0.0, retry_slack=2.5, window_s=10.0))
        self.assertTrue(budget.try_spend(0.0, 1.0))
        self.assertTrue(budget.try_spend(0.0, 1.0))
        self.assertFalse(budget.try_spend(9.9, 1.0))
        self.assertTrue(budget.try_spend(10.1, 1.0))


class ColdStarts(unittest.TestCase):
    def _count_starts(self, daemons: tuple[DaemonName, ...], cold_per_s: float) -> int:
        """Returns how many requests a cold endpoint gets in one second from all daemons."""
        limits = BudgetLimits(cold_over=1.5, cold_slack=5.0)
        started = 0
        for own in daemons:
            limiter = ColdStartLimiter(limits, Carriers(own, lambda: daemons))
            for attempt in range(50):
                now_s = attempt * 0.02
                started += limiter.try_start(EndpointId("e"), cold_per_s, now_s)
        return started

    def test_sum_stays_within_the_limit_with_few_and_many_daemons(self) -> None:
        for count in (1, 3, 11, 40):
            with self.subTest(count):
                started = self._count_starts(DAEMONS[:count], 5.0)
                self.assertLessEqual(started, 5.0 * 1.5 + 5.0)
                self.assertGreater(started, 0)

    def test_daemon_that_is_not_listed_counts_itself(self) -> None:
        carriers = Carriers(DAEMONS[0], lambda: ())
        limiter = ColdStartLimiter(BudgetLimits(cold_over=1.0, cold_slack=0.0), carriers)
        self.assertTrue(limiter.try_start(EndpointId("e"), 5.0, 0.0))
        self.assertEqual(carriers.slack_fraction(0.0), 1.0)

    def test_daemon_that_carries_no_requests_has_no_share(self) -> None:
        carriers = Carriers(DAEMONS[5], lambda: DAEMONS[:3])
        limiter = ColdStartLimiter(BudgetLimits(cold_over=1.0, cold_slack=9.0), carriers)
        self.assertFalse(limiter.try_start(EndpointId("e"), 5.0, 0.0))
        self.assertEqual(carriers.slack_fraction(0.0), 0.0)

    def test_shares_follow_a_change_of_the_carriers(self) -> None:
        names = [DAEMONS[:1]]
        carriers = Carriers(DAEMONS[0], lambda: names[0])
        self.assertEqual(carriers.count_share(EndpointId("e"), 8, 0.0), 8)
        names[0] = DAEMONS[:2]
        self.assertEqual(carriers.count_share(EndpointId("e"), 8, 0.0), 4)

    def test_most_of_the_limit_is_spent_where_few_of_many_daemons_carry_requests(self) -> None:
        everyone = tuple(DaemonName(f"daemon-{number}") for number in range(195))
        endpoints = [EndpointId(f"e{number}") for number in range(50)]
        limit, spendable = 11, 0
        for own in everyone[::7]:
            carriers = Carriers(own, lambda: everyone[::7])
            spendable += sum(carriers.count_share(endpoint, limit, 0.0) for endpoint in endpoints)
        self.assertEqual(spendable, limit * len(endpoints))

    def test_shares_do_not_grow_while_the_entries_of_all_daemons_are_lost(self) -> None:
        listed = [DAEMONS[:11]]
        everyone = [Carriers(own, lambda: listed[0]) for own in DAEMONS[:11]]
        for now_s, names in (
            (0.0, DAEMONS[:11]),
            (1.0, ()),
            (2.0, DAEMONS[:3]),
            (3.0, DAEMONS[:11]),
        ):
            with self.subTest(now_s=now_s):
                listed[0] = names
                endpoint = EndpointId("e")
                self.assertEqual(sum(c.count_share(endpoint, 33, now_s) for c in everyone), 33)
                self.assertAlmostEqual(sum(c.slack_fraction(now_s) for c in everyone), 1.0)

    def test_draining_daemon_keeps_its_share_until_the_others_divide_it(self) -> None:
        listed = [DAEMONS[:4]]
        carriers = {own: Carriers(own, lambda: listed[0]) for own in DAEMONS[:4]}
        endpoint = EndpointId("e")

        def count_shares(now_s: float) -> list[int]:
            return [carriers[own].count_share(endpoint, 12, now_s) for own in DAEMONS[:4]]

        self.assertEqual(count_shares(0.0), [3, 3, 3, 3])
        listed[0] = DAEMONS[:3]
        self.assertEqual(count_shares(1.0), [3, 3, 3, 3])
        self.assertEqual(count_shares(1.0 + DEPARTURE_S), [4, 4, 4, 0])
