import unittest

from soak.daemons import BOUNDS
from soak.ledger import RequestLedger, SentRequest

SENT = ("POST", "/order/1", b"body")


class LedgerViolations(unittest.TestCase):
    """The ledger reports each violated guarantee, and nothing for allowed behaviour."""

    def setUp(self) -> None:
        self.ledger = RequestLedger()
        self._record_request("p", protected=True)
        self._record_request("i", protected=False)

    def _record_request(self, identifier: str, protected: bool, at_s: float = 100.0) -> None:
        """Records a request to daemon `d`."""
        services = frozenset({"desk"})
        self.ledger.record_request(SentRequest(identifier, "d", *SENT, protected, services, at_s))

    def _record_run(self, identifier: str, endpoint: str = "a", at_s: float = 100.0) -> None:
        """Records a run of a request as it was sent."""
        self.ledger.record_arrival(identifier, "desk", at_s)
        self.ledger.record_run(identifier, endpoint, "desk", SENT, at_s)

    def _violated_guarantees(self) -> list[str]:
        """Returns the names of the violated guarantees."""
        return [violation.guarantee for violation in self.ledger.violations]

    def test_second_run_of_protected_request_is_reported(self) -> None:
        for endpoint in "ab":
            self._record_run("i", endpoint)
        self.assertEqual(self._violated_guarantees(), [])
        for endpoint in "ab":
            self._record_run("p", endpoint)
        self.assertEqual(self._violated_guarantees(), ["at most once"])

    def test_third_attempt_is_reported(self) -> None:
        for endpoint in "abc":
            self._record_run("i", endpoint)
        self.assertEqual(self._violated_guarantees(), ["attempts"])

    def test_run_before_or_after_not_run_status_is_reported(self) -> None:
        self.ledger.record_answer("p", 503, True, 100.0)
        self._record_run("p")
        self._record_request("q", protected=True)
        self._record_run("q")
        self.ledger.record_answer("q", 503, True, 100.0)
        self.assertEqual(self._violated_guarantees(), ["not run", "not run"])

    def test_answer_that_differs_or_has_no_run_is_reported(self) -> None:
        self._record_run("i")
        self.ledger.record_answer("i", 200, False, 100.0)
        self.ledger.record_answer("p", 200, True, 100.0)
        self.assertEqual(self._violated_guarantees(), ["own whole answer", "success without a run"])

    def test_changed_request_and_wrong_service_are_reported(self) -> None:
        self.ledger.record_run("p", "a", "desk", ("POST", "/order/1", b"other"), 100.0)
        self.ledger.record_run("i", "a", "files", SENT, 100.0)
        self.assertEqual(self._violated_guarantees(), ["unchanged", "route"])

    def test_late_run_at_leaving_endpoint_is_reported_unless_daemon_had_fault(self) -> None:
        self.ledger.record_endpoint_leaving("a", 100.0)
        self._record_run("i", at_s=102.4)
        self.assertEqual(self._violated_guarantees(), [])
        self._record_run("p", at_s=102.6)
        self.assertEqual(self._violated_guarantees(), ["drain"])
        self.ledger.record_fault("other", 101.0)
        self._record_request("q", protected=True)
        self._record_run("q", at_s=102.6)
        self.assertEqual(self._violated_guarantees(), ["drain", "drain"])
        self.ledger.record_fault("d", 101.0)
        self._record_request("r", protected=True)
        self._record_run("r", at_s=102.6)
        self.assertEqual(self._violated_guarantees(), ["drain", "drain"])

    def test_connection_cut_after_endpoint_answered_is_reported_unless_daemon_had_fault(
        self,
    ) -> None:
        self.ledger.record_cut_connection("p", 101.0)
        self.assertEqual(self._violated_guarantees(), [])
        self._record_run("p")
        self.ledger.record_complete_answer("p")
        self.ledger.record_stop_request("d", 100.0)
        self.ledger.record_cut_connection("p", 101.0)
        self.assertEqual(self._violated_guarantees(), ["cut"])
        self.ledger.record_fault("d", 100.0)
        self.ledger.record_cut_connection("p", 101.0)
        self.assertEqual(self._violated_guarantees(), ["cut"])

    def test_answer_after_route_timeout_is_reported(self) -> None:
        self.ledger.record_wait("p", 1.9, 1.5, 102.0)
        self.assertEqual(self._violated_guarantees(), [])
        self.ledger.record_wait("p", 2.1, 1.5, 102.0)
        self.assertEqual(self._violated_guarantees(), ["timeout"])

    def test_configuration_that_reverts_or_is_applied_late_is_reported(self) -> None:
        self.ledger.record_configuration(5, 100.0)
        self.ledger.record_configuration(7, 101.0)
        self.ledger.record_probe_result("d", 1, 5, False, 102.0)
        self.ledger.record_probe_result("d", 1, 7, True, 102.0)
        self.assertEqual(self._violated_guarantees(), [])
        self.ledger.record_probe_result("d", 1, 5, False, 102.0)
        self.assertEqual(self._violated_guarantees(), ["configuration"])
        self.ledger.record_probe_result("d", 2, 7, False, 104.0)
        self.assertEqual(self._violated_guarantees(), ["configuration", "in force"])

    def test_retries_above_shared_budget_are_reported(self) -> None:
        allowed = int(BOUNDS["budgetSlack"] + BOUNDS["retryBudgetRatio"] * 100)
        for number in range(98):
            self._record_request(f"n{number}", protected=False)
        for number in range(allowed):
            self.ledger.record_arrival(f"n{number}", "desk", 100.0)
            self.ledger.record_arrival(f"n{number}", "desk", 101.0)
        self.ledger.check_retry_budgets()
        self.assertEqual(self._violated_guarantees(), [])
        self.ledger.record_arrival("n0", "desk", 102.0)
        self.ledger.check_retry_budgets()
        self.assertEqual(self._violated_guarantees(), ["budget"])

    def test_unexpected_exit_and_failure_status_are_reported(self) -> None:
        self.ledger.record_exit("d", 0, True)
        self.ledger.record_exit("d", -9, True)
        self.assertEqual(self._violated_guarantees(), [])
        self.ledger.record_exit("d", 1, True)
        self.ledger.record_exit("d", 0, False)
        self.assertEqual(self._violated_guarantees(), ["clean end", "runs on"])

    def test_unknown_request_and_missing_route_are_reported(self) -> None:
        self.ledger.record_run("nobody", "a", "desk", SENT, 100.0)
        self.ledger.record_answer("p", 404, True, 100.0)
        self.ledger.record_answer("p", 0, False, 100.0)
        self.ledger.record_answer("p", 600, False, 100.0)
        self.assertEqual(
            self._violated_guarantees(), ["unasked", "known route", "no answer", "no answer"]
        )

    def _run_as(
        self, credentials: tuple[str, ...], name: str, region: str = "r0", at_s: float = 100.0
    ) -> list[str]:
        """Returns what is reported if an endpoint runs a request with credentials under a name."""
        before = len(self.ledger.violations)
        sent = SentRequest("k", "d", *SENT, False, frozenset({"desk"}), at_s, credentials)
        self.ledger.record_request(sent)
        self.ledger.record_identity("k", region, {"tenant": name} if name else {}, at_s)
        return self._violated_guarantees()[before:]

    def _record_keys(self, at_s: float, **keys: list[str]) -> None:
        """Records a version of the configuration with keys by workspace."""
        table = {n: {"apiKeys": held, "ratePerS": 2, "burst": 1} for n, held in keys.items()}
        table["a"]["homeRegions"] = ["r0"]
        self.ledger.key_history.record_version(table, at_s)

    def test_run_without_a_key_under_another_name_or_elsewhere_is_reported(self) -> None:
        self._record_keys(90.0, a=["key-1"], b=["key-2"])
        self.assertEqual(self._run_as(("bearer key-1",), "a"), [])
        self.assertEqual(self._run_as(("Bearer key-1",), "a", "r1"), ["home"])
        self.assertEqual(self._run_as(("Bearer key-2",), "b", "r1"), [])
        self.assertIn("name", self._run_as(("Bearer key-2",), "a"))
        self.assertIn("name", self._run_as(("Bearer key-2",), "b, a"))
        for odd in ((), ("Bearer key-9",), ("Bearer key-1",) * 2, ("key-1",), ("Bearer",)):
            self.assertIn("key", self._run_as(odd, "a"), odd)
        self.ledger.record_identity("k", "r0", {"authorization": "x y, Bearer key-1"}, 100.0)
        self.assertIn("key passed on", self._violated_guarantees())

    def test_key_counts_as_long_as_its_withdrawal_may_be_unknown(self) -> None:
        self._record_keys(90.0, a=["key-1"], b=[""])
        self._record_keys(99.0, a=[], b=["key-1", ""])
        self.assertEqual(self._run_as(("Bearer key-1",), "a", at_s=101.0), [])
        self.assertEqual(self._run_as(("Bearer key-1",), "b", at_s=101.0), [])
        self.assertEqual(self._run_as(("Bearer key-1",), "a", at_s=102.0), ["withdrawn key"])
        self.assertIn("key", self._run_as(("Bearer ",), "b", at_s=102.0))

    def test_refusal_of_a_key_that_is_known_is_reported(self) -> None:
        self._record_keys(90.0, a=["key-1", "key-3"], b=["key-2"])
        self._record_keys(99.0, a=["key-1"], b=["key-2", "key-4"])
        for key, expected in (
            ("key-1", "known key"),
            ("key-3", ""),
            ("key-4", "new key"),
            ("key-9", ""),
        ):
            self._run_as((f"Bearer {key}",), "a", at_s=103.0)
            reported = len(self.ledger.violations)
            self.ledger.record_answer("k", 401, False, 103.0)
            refused = self._violated_guarantees()[reported:]
            self.assertEqual(refused, [expected] if expected else [], key)

    def test_runs_above_a_quota_are_reported(self) -> None:
        self._record_keys(90.0, a=["key-1"], b=["key-2"])
        allowed = int((2 * 5 + 1) * 1.1 + 20)
        for number in range(allowed):
            self._run_as(("Bearer key-2",), "b", at_s=100.0 + number / 10)
        self.ledger.check_quotas()
        self.assertEqual(self._violated_guarantees(), [])
        self._run_as(("Bearer key-2",), "b", at_s=100.0)
        self.ledger.check_quotas()
        self.assertEqual(self._violated_guarantees(), ["quota"])

    def test_protected_request_behind_the_end_of_a_connection_must_not_run(self) -> None:
        self.ledger.record_unread(["p"], "i")
        self._record_run("p")
        self.assertEqual(self._violated_guarantees(), [])
        self._record_request("q", protected=True)
        self.ledger.record_answer("i", 500, True, 100.0)
        self.ledger.record_unread(["p", "q"], "i")
        self.assertEqual(self._violated_guarantees(), ["unread"])
        self._record_run("q")
        self.assertEqual(self._violated_guarantees(), ["unread", "unread"])

    def test_time_limits_are_not_checked_when_disabled(self) -> None:
        ledger = RequestLedger(check_time_limits=False)
        ledger.check_recovery(0.1, 0.9)
        self.assertEqual(ledger.violations, [])
        ledger.check_recovery(0.0, 0.9)
        self.assertEqual([each.guarantee for each in ledger.violations], ["served at all"])
        self.ledger.check_recovery(0.1, 0.9)
        self.assertEqual(self._violated_guarantees(), ["recovery"])
