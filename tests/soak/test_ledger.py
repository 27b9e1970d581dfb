import unittest

from soak.daemons import BOUNDS
from soak.ledger import Asked, Ledger

SENT = ("POST", "/order/1", b"body")


class Promises(unittest.TestCase):
    """Each broken promise is seen, and what is allowed is not taken for one."""

    def setUp(self) -> None:
        self.ledger = Ledger()
        self._ask("p", protected=True)
        self._ask("i", protected=False)

    def _ask(self, identifier: str, protected: bool, at_s: float = 100.0) -> None:
        """Notes a request to daemon `d`."""
        services = frozenset({"desk"})
        self.ledger.ask(Asked(identifier, "d", *SENT, protected, services, at_s))

    def _run(self, identifier: str, endpoint: str = "a", at_s: float = 100.0) -> None:
        """Notes a run of a request as it was sent."""
        self.ledger.arrive(identifier, "desk", at_s)
        self.ledger.run(identifier, endpoint, "desk", SENT, at_s)

    def _promises(self) -> list[str]:
        """Returns the promises that were broken."""
        return [violation.promise for violation in self.ledger.violations]

    def test_second_run_of_protected_work(self) -> None:
        for endpoint in "ab":
            self._run("i", endpoint)
        self.assertEqual(self._promises(), [])
        for endpoint in "ab":
            self._run("p", endpoint)
        self.assertEqual(self._promises(), ["at most once"])

    def test_too_many_attempts(self) -> None:
        for endpoint in "abc":
            self._run("i", endpoint)
        self.assertEqual(self._promises(), ["attempts"])

    def test_refusal_that_is_not_true_before_or_after(self) -> None:
        self.ledger.answer("p", 503, True, 100.0)
        self._run("p")
        self._ask("q", protected=True)
        self._run("q")
        self.ledger.answer("q", 503, True, 100.0)
        self.assertEqual(self._promises(), ["not run", "not run"])

    def test_foreign_cut_and_invented_answers(self) -> None:
        self._run("i")
        self.ledger.answer("i", 200, False, 100.0)
        self.ledger.answer("p", 200, True, 100.0)
        self.assertEqual(self._promises(), ["own whole answer", "success without a run"])

    def test_changed_requests_and_services_that_no_route_names(self) -> None:
        self.ledger.run("p", "a", "desk", ("POST", "/order/1", b"other"), 100.0)
        self.ledger.run("i", "a", "files", SENT, 100.0)
        self.assertEqual(self._promises(), ["unchanged", "route"])

    def test_leaving_endpoint_is_used_too_long_unless_its_daemon_was_disturbed(self) -> None:
        self.ledger.leave("a", 100.0)
        self._run("i", at_s=102.4)
        self.assertEqual(self._promises(), [])
        self._run("p", at_s=102.6)
        self.assertEqual(self._promises(), ["drain"])
        self.ledger.disturb("other", 101.0)
        self._ask("q", protected=True)
        self._run("q", at_s=102.6)
        self.assertEqual(self._promises(), ["drain", "drain"])
        self.ledger.disturb("d", 101.0)
        self._ask("r", protected=True)
        self._run("r", at_s=102.6)
        self.assertEqual(self._promises(), ["drain", "drain"])

    def test_answer_that_was_cut_off_though_the_endpoint_had_sent_it(self) -> None:
        self.ledger.cut("p", 101.0)
        self.assertEqual(self._promises(), [])
        self._run("p")
        self.ledger.finish("p")
        self.ledger.plan("d", 100.0)
        self.ledger.cut("p", 101.0)
        self.assertEqual(self._promises(), ["cut"])
        self.ledger.disturb("d", 100.0)
        self.ledger.cut("p", 101.0)
        self.assertEqual(self._promises(), ["cut"])

    def test_answer_after_the_timeout_of_the_route(self) -> None:
        self.ledger.late("p", 1.9, 1.5, 102.0)
        self.assertEqual(self._promises(), [])
        self.ledger.late("p", 2.1, 1.5, 102.0)
        self.assertEqual(self._promises(), ["timeout"])

    def test_version_that_goes_back_or_comes_late(self) -> None:
        self.ledger.configure(5, 100.0)
        self.ledger.configure(7, 101.0)
        self.ledger.probe("d", 1, 5, False, 102.0)
        self.ledger.probe("d", 1, 7, True, 102.0)
        self.assertEqual(self._promises(), [])
        self.ledger.probe("d", 1, 5, False, 102.0)
        self.assertEqual(self._promises(), ["configuration"])
        self.ledger.probe("d", 2, 7, False, 104.0)
        self.assertEqual(self._promises(), ["configuration", "in force"])

    def test_more_repeats_than_the_shared_budget(self) -> None:
        allowed = int(BOUNDS["budgetSlack"] + BOUNDS["retryBudgetRatio"] * 100)
        for number in range(98):
            self._ask(f"n{number}", protected=False)
        for number in range(allowed):
            self.ledger.arrive(f"n{number}", "desk", 100.0)
            self.ledger.arrive(f"n{number}", "desk", 101.0)
        self.ledger.check_budgets()
        self.assertEqual(self._promises(), [])
        self.ledger.arrive("n0", "desk", 102.0)
        self.ledger.check_budgets()
        self.assertEqual(self._promises(), ["budget"])

    def test_processes_that_end_by_themselves_or_badly(self) -> None:
        self.ledger.end("d", 0, True)
        self.ledger.end("d", -9, True)
        self.assertEqual(self._promises(), [])
        self.ledger.end("d", 1, True)
        self.ledger.end("d", 0, False)
        self.assertEqual(self._promises(), ["clean end", "runs on"])

    def test_unknown_ids_and_lost_routes(self) -> None:
        self.ledger.run("nobody", "a", "desk", SENT, 100.0)
        self.ledger.answer("p", 404, True, 100.0)
        self.assertEqual(self._promises(), ["unasked", "known route"])

    def test_bounds_in_time_are_left_out_without_a_clock_to_trust(self) -> None:
        ledger = Ledger(timed=False)
        ledger.observe_recovery(0.1, 0.9)
        self.assertEqual(ledger.violations, [])
        self.ledger.observe_recovery(0.1, 0.9)
        self.assertEqual(self._promises(), ["recovery"])
