import unittest

from soak.ledger import Ledger


class Promises(unittest.TestCase):
    """Each broken promise is seen, and what is allowed is not taken for one."""

    def setUp(self) -> None:
        self.ledger = Ledger()
        self.ledger.ask("p", protected=True)
        self.ledger.ask("i", protected=False)

    def _promises(self) -> list[str]:
        """Returns the promises that were broken."""
        return [violation.promise for violation in self.ledger.violations]

    def test_second_run_of_protected_work(self) -> None:
        for endpoint in "ab":
            self.ledger.run("i", endpoint, 1.0)
        self.assertEqual(self._promises(), [])
        for endpoint in "ab":
            self.ledger.run("p", endpoint, 1.0)
        self.assertEqual(self._promises(), ["at most once"])

    def test_too_many_attempts(self) -> None:
        for endpoint in "abc":
            self.ledger.run("i", endpoint, 1.0)
        self.assertEqual(self._promises(), ["attempts"])

    def test_refusal_that_is_not_true_before_or_after(self) -> None:
        self.ledger.answer("p", 503, "p", True)
        self.ledger.run("p", "a", 1.0)
        self.ledger.ask("q", protected=True)
        self.ledger.run("q", "a", 1.0)
        self.ledger.answer("q", 503, "q", True)
        self.assertEqual(self._promises(), ["not run", "not run"])

    def test_foreign_cut_and_invented_answers(self) -> None:
        self.ledger.run("p", "a", 1.0)
        self.ledger.answer("p", 200, "other", True)
        self.ledger.run("i", "a", 1.0)
        self.ledger.answer("i", 200, "i", False)
        self.ledger.ask("q", protected=False)
        self.ledger.answer("q", 200, "q", True)
        self.assertEqual(
            self._promises(), ["own whole answer", "own whole answer", "success without a run"]
        )

    def test_leaving_endpoint_is_used_too_long_unless_a_fault_was_near(self) -> None:
        self.ledger.leave("a", 10.0)
        self.ledger.run("i", "a", 12.4)
        self.assertEqual(self._promises(), [])
        self.ledger.run("p", "a", 12.6)
        self.assertEqual(self._promises(), ["drain"])
        self.ledger.disturb(11.0)
        self.ledger.ask("q", protected=True)
        self.ledger.run("q", "a", 12.6)
        self.assertEqual(self._promises(), ["drain"])

    def test_unknown_ids_lost_routes_and_older_versions(self) -> None:
        self.ledger.run("nobody", "a", 1.0)
        self.ledger.answer("p", 404, "p", True)
        self.ledger.observe_version("d", 5, 5)
        self.ledger.observe_version("d", 5, 4)
        self.assertEqual(self._promises(), ["unasked", "known route", "configuration"])
