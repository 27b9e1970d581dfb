"""The core cells pass, and fail when a rule of the decision code is disabled."""

import unittest
from unittest import mock

from lycheepin.cluster.documents import DocumentReplicas
from lycheepin.steering import plan
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.request_ids import RequestIdTable
from matrix.cells import CellState
from matrix.core import run_core_cells


def count_failed_cells() -> int:
    """Runs the core cells and returns how many fail."""
    return sum(cell.state is CellState.FAIL for cell in run_core_cells())


def accept_repeated_loan(ledger, loan, accept=Ledger.accept):
    """Accepts a loan as if it had not been received before."""
    ledger._accepted_keys.discard(loan.key)
    ledger._borrowed.pop(loan.key, None)
    return accept(ledger, loan)


def accept_any_revision(replicas, document):
    """Accepts a document of any revision, also one older than the one held."""
    replicas._documents[document.name] = document
    return True


class MatrixTest(unittest.TestCase):
    def test_core_cells_pass(self) -> None:
        cells = run_core_cells()
        self.assertGreater(len(cells), 100)
        failed = [cell for cell in cells if cell.state is CellState.FAIL]
        self.assertEqual(failed, [])

    def test_cells_fail_when_a_repeated_loan_is_counted_again(self) -> None:
        with mock.patch.object(Ledger, "accept", accept_repeated_loan):
            self.assertGreater(count_failed_cells(), 0)

    def test_cells_fail_when_limits_rise_before_holders_report_as_settled(self) -> None:
        def confirm_all_grants(base, evidence):
            return {
                holder: {
                    resource: plan.Grant(grant.limit, grant.limit)
                    for resource, grant in grants.items()
                }
                for holder, grants in base.grants.items()
            }

        with mock.patch.object(plan, "_confirm", confirm_all_grants):
            self.assertGreater(count_failed_cells(), 0)

    def test_cells_fail_when_a_request_with_unknown_outcome_runs_again(self) -> None:
        with mock.patch.object(RequestIdTable, "unknown", RequestIdTable.not_run):
            self.assertGreater(count_failed_cells(), 0)

    def test_cells_fail_when_an_older_document_is_accepted(self) -> None:
        with mock.patch.object(DocumentReplicas, "accept", accept_any_revision):
            self.assertGreater(count_failed_cells(), 0)
