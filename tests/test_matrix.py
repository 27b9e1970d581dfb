"""The core cells pass, and fail when a rule of the product is broken on purpose."""

import unittest
from unittest import mock

from lycheepin.cluster.documents import DocumentReplicas
from lycheepin.steering import plan
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.request_ids import RequestIdTable
from matrix.cells import CellState
from matrix.core import run_core_cells


def failures() -> int:
    """Returns the number of cells that fail."""
    return sum(cell.state is CellState.FAIL for cell in run_core_cells())


def forget_loans(ledger, loan, accept=Ledger.accept):
    """Accepts a loan as if it had never been seen."""
    ledger._accepted_keys.discard(loan.key)
    ledger._borrowed.pop(loan.key, None)
    return accept(ledger, loan)


def take_any(replicas, copy):
    """Accepts any copy."""
    replicas._documents[copy.name] = copy
    return True


class MatrixTest(unittest.TestCase):
    def test_all_cells_pass(self) -> None:
        cells = run_core_cells()
        self.assertGreater(len(cells), 100)
        failed = [cell for cell in cells if cell.state is CellState.FAIL]
        self.assertEqual(failed, [])

    def test_a_repeated_loan_that_counts_again_is_noticed(self) -> None:
        with mock.patch.object(Ledger, "accept", forget_loans):
            self.assertGreater(failures(), 0)

    def test_raising_before_the_acknowledgement_is_noticed(self) -> None:
        def confirm_all(base, evidence):
            return {
                holder: {r: plan.Grant(g.limit, g.limit) for r, g in held.items()}
                for holder, held in base.grants.items()
            }

        with mock.patch.object(plan, "_confirm", confirm_all):
            self.assertGreater(failures(), 0)

    def test_running_an_unknown_outcome_again_is_noticed(self) -> None:
        with mock.patch.object(RequestIdTable, "unknown", RequestIdTable.not_run):
            self.assertGreater(failures(), 0)

    def test_accepting_any_copy_is_noticed(self) -> None:
        with mock.patch.object(DocumentReplicas, "accept", take_any):
            self.assertGreater(failures(), 0)
