"""Tests of a daemon's ledger of tokens."""

import unittest

from lycheepin.names import Incarnation, Resource, Revision
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.plan import Grant, Plan

SLOT = Resource("slot")
LENDER, BORROWER = Incarnation(1), Incarnation(2)


def make_ledger(name: Incarnation, revision: int = 1, limit: int = 4) -> Ledger:
    """Returns a ledger under a plan that grants `limit` tokens to the lender."""
    ledger = Ledger(name)
    ledger.apply_plan(make_plan(revision, limit))
    return ledger


def make_plan(revision: int, limit: int) -> Plan:
    """Returns a plan with the lender and the borrower as holders."""
    grants = {LENDER: {SLOT: Grant(limit, limit)}, BORROWER: {}}
    return Plan(Revision(revision), grants)


class UseTest(unittest.TestCase):
    def test_acquires_up_to_the_limit(self) -> None:
        ledger = make_ledger(LENDER)
        self.assertTrue(ledger.acquire(SLOT, 4))
        self.assertFalse(ledger.acquire(SLOT))
        ledger.release(SLOT)
        self.assertTrue(ledger.acquire(SLOT))

    def test_release_of_more_than_is_in_use_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            make_ledger(LENDER).release(SLOT)

    def test_plans_that_are_not_newer_change_nothing(self) -> None:
        ledger = make_ledger(LENDER, revision=2)
        self.assertFalse(ledger.apply_plan(make_plan(2, 9)))
        self.assertFalse(ledger.apply_plan(make_plan(1, 9)))
        self.assertEqual(ledger.limit(SLOT), 4)

    def test_tokens_acquired_until_a_time_are_released_by_expire(self) -> None:
        ledger = make_ledger(LENDER, limit=1)
        self.assertTrue(ledger.acquire_until(SLOT, 1.0))
        ledger.expire(0.9)
        self.assertFalse(ledger.acquire_until(SLOT, 2.0))
        ledger.expire(1.0)
        self.assertTrue(ledger.acquire_until(SLOT, 2.0))

    def test_ledger_is_settled_when_use_is_within_a_lowered_limit(self) -> None:
        ledger = make_ledger(LENDER)
        ledger.acquire(SLOT, 3)
        ledger.apply_plan(make_plan(2, 2))
        self.assertFalse(ledger.settled)
        ledger.release(SLOT)
        self.assertTrue(ledger.settled)


class LoanTest(unittest.TestCase):
    def test_loan_moves_tokens_once_although_it_is_repeated(self) -> None:
        lender, borrower = make_ledger(LENDER), make_ledger(BORROWER)
        loan = lender.lend(BORROWER, SLOT, 3)
        assert loan is not None
        self.assertEqual(lender.available(SLOT), 1)
        for _ in range(3):
            self.assertTrue(borrower.accept(loan))
        self.assertEqual(borrower.available(SLOT), 3)

    def test_repeats_after_the_repayment_add_no_tokens(self) -> None:
        lender, borrower = make_ledger(LENDER), make_ledger(BORROWER)
        loan = lender.lend(BORROWER, SLOT, 1)
        assert loan is not None
        borrower.accept(loan)
        self.assertTrue(borrower.repay(loan.key))
        borrower.accept(loan)
        self.assertEqual(borrower.available(SLOT), 0)
        lender.reclaim_loan(loan.key)
        lender.reclaim_loan(loan.key)
        self.assertEqual(lender.available(SLOT), 4)

    def test_tokens_in_use_are_not_repaid(self) -> None:
        lender, borrower = make_ledger(LENDER), make_ledger(BORROWER)
        loan = lender.lend(BORROWER, SLOT, 1)
        assert loan is not None
        borrower.accept(loan)
        borrower.acquire(SLOT)
        self.assertFalse(borrower.repay(loan.key))

    def test_borrowed_tokens_are_not_lent(self) -> None:
        lender, borrower = make_ledger(LENDER), make_ledger(BORROWER)
        loan = lender.lend(BORROWER, SLOT, 2)
        assert loan is not None
        borrower.accept(loan)
        self.assertIsNone(borrower.lend(LENDER, SLOT, 1))

    def test_loan_from_a_retired_lender_is_dropped_or_refused(self) -> None:
        lender, borrower = make_ledger(LENDER), make_ledger(BORROWER)
        loan = lender.lend(BORROWER, SLOT, 1)
        late = lender.lend(BORROWER, SLOT, 1)
        assert loan is not None and late is not None
        borrower.accept(loan)
        borrower.acquire(SLOT)
        retired = Plan(Revision(2), make_plan(2, 4).grants, {LENDER: 0})
        borrower.apply_plan(retired)
        self.assertFalse(borrower.clear)
        self.assertFalse(borrower.accept(late))
        borrower.release(SLOT)
        self.assertTrue(borrower.clear)

    def test_loan_to_an_ended_borrower_is_dropped(self) -> None:
        lender = make_ledger(LENDER)
        lender.lend(BORROWER, SLOT, 2)
        lender.apply_plan(Plan(Revision(2), {LENDER: {SLOT: Grant(4, 4)}}))
        self.assertEqual(lender.available(SLOT), 4)
