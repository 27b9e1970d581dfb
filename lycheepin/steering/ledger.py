"""A daemon's account of tokens: what the plan grants, what is in use, lent and borrowed.

A token is the right to use one unit of a resource: one slot of an endpoint, one shifted request
a second, one Mbit/s of a link. The account upholds, for each resource and without asking
anybody: in use + lent <= limit + borrowed. Over all daemons the sum of limits is at most the
cap, and a loan only moves tokens, so the sum in use can't pass the cap.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass

from lycheepin.names import Incarnation, Resource, Revision
from lycheepin.steering.plan import Plan

__all__ = ["Ledger", "LoanKey", "LoanRecord"]


@dataclass(frozen=True)
class LoanKey:
    """Identity of a loan: numbers are never used twice by one lender incarnation."""

    lender: Incarnation
    number: int


@dataclass(frozen=True)
class LoanRecord:
    """Tokens of one resource that the lender has handed to the borrower."""

    key: LoanKey
    borrower: Incarnation
    resource: Resource
    count: int


class Ledger:
    """The tokens of one daemon incarnation."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.plan_revision = Revision(0)
        self._limits: dict[Resource, int] = {}
        self._holders: frozenset[Incarnation] = frozenset()
        self._in_use: defaultdict[Resource, int] = defaultdict(int)
        self._lent: dict[LoanKey, LoanRecord] = {}
        self._borrowed: dict[LoanKey, LoanRecord] = {}
        self._accepted_keys: set[LoanKey] = set()
        self._timed: list[tuple[float, Resource, int]] = []
        self._next_loan = 1

    def apply_plan(self, plan: Plan) -> bool:
        """Takes over a plan and returns True; an older or equal revision changes nothing."""
        if plan.revision <= self.plan_revision:
            return False
        self.plan_revision = plan.revision
        self._limits = {r: limit for r, limit in plan.limits(self.incarnation).items() if limit}
        self._holders = plan.holders
        for key in [key for key in self._borrowed if key.lender not in plan.holders]:
            del self._borrowed[key]
        for key in [key for key, loan in self._lent.items() if loan.borrower not in plan.grants]:
            del self._lent[key]
        return True

    def limit(self, resource: Resource) -> int:
        """Returns the tokens that the plan grants."""
        return self._limits.get(resource, 0)

    def in_use(self, resource: Resource) -> int:
        """Returns the tokens in use."""
        return self._in_use.get(resource, 0)

    def allowance(self, resource: Resource) -> int:
        """Returns the tokens that may be in use now."""
        return self.limit(resource) - self._lent_count(resource) + self._borrowed_count(resource)

    def available(self, resource: Resource) -> int:
        """Returns the tokens that can be acquired now."""
        return max(0, self.allowance(resource) - self.in_use(resource))

    def acquire(self, resource: Resource, count: int = 1) -> bool:
        """Takes `count` tokens into use and returns True, or returns False."""
        if count > self.available(resource):
            return False
        self._in_use[resource] += count
        return True

    def release(self, resource: Resource, count: int = 1) -> None:
        """Ends the use of `count` tokens; raises ValueError when fewer are in use."""
        if self._in_use[resource] < count:
            raise ValueError(f"{count} released, {self._in_use[resource]} in use: {resource}")
        self._in_use[resource] -= count

    def acquire_until(self, resource: Resource, end_s: float) -> bool:
        """Takes one token into use until a monotonic time; see `expire`."""
        if not self.acquire(resource):
            return False
        heapq.heappush(self._timed, (end_s, resource, 1))
        return True

    def expire(self, now_s: float) -> None:
        """Ends the use of tokens whose time has passed."""
        while self._timed and self._timed[0][0] <= now_s:
            _, resource, count = heapq.heappop(self._timed)
            self.release(resource, count)

    @property
    def settled(self) -> bool:
        """Whether what is in use and lent fits the limits of the plan in force."""
        resources = {*self._in_use, *(record.resource for record in self._lent.values())}
        return all(self._fits(resource) for resource in resources)

    @property
    def clear(self) -> bool:
        """Whether everything in use is covered by the plan in force and by loans still valid."""
        return all(used <= self.allowance(resource) for resource, used in self._in_use.items())

    def _fits(self, resource: Resource) -> bool:
        """Returns whether one resource is within its limit."""
        if self._lent_count(resource) > self.limit(resource):
            return False
        return self.in_use(resource) <= self.allowance(resource)

    def lend(self, borrower: Incarnation, resource: Resource, count: int) -> LoanRecord | None:
        """Lowers this account and returns the loan to send, or None when too little is free.

        Only granted tokens are lent, never borrowed ones.
        """
        own_free = self.limit(resource) - self._lent_count(resource) - self.in_use(resource)
        if borrower not in self._holders or count < 1 or count > own_free:
            return None
        key = LoanKey(self.incarnation, self._next_loan)
        self._next_loan += 1
        record = LoanRecord(key, borrower, resource, count)
        self._lent[key] = record
        return record

    def accept(self, loan: LoanRecord) -> bool:
        """Takes a loan into the account; returns whether the lender may stop repeating it.

        A repeated loan adds nothing. A loan from, or to, a process that the plan in force does
        not name as holder is refused: its tokens may have been granted again.
        """
        if loan.borrower != self.incarnation or loan.key.lender not in self._holders:
            return False
        if self.incarnation not in self._holders:
            return False
        if loan.key not in self._accepted_keys:
            self._accepted_keys.add(loan.key)
            self._borrowed[loan.key] = loan
        return True

    def repay(self, key: LoanKey) -> bool:
        """Lowers this account by a loan; returns True when a repayment may be sent.

        Returns False while the borrowed tokens are in use. A loan that is no longer in the
        account may be reported as repaid any number of times.
        """
        record = self._borrowed.get(key)
        if record is None:
            return key in self._accepted_keys
        if self.available(record.resource) < record.count:
            return False
        del self._borrowed[key]
        return True

    def reclaim_loan(self, key: LoanKey) -> None:
        """Raises this account by a loan that the borrower repaid; a repeat adds nothing."""
        self._lent.pop(key, None)

    def loans_out(self) -> list[LoanRecord]:
        """Returns the loans handed out and not yet repaid."""
        return list(self._lent.values())

    def loans_in(self) -> list[LoanRecord]:
        """Returns the loans in this account."""
        return list(self._borrowed.values())

    def _lent_count(self, resource: Resource) -> int:
        """Returns the tokens of a resource that are lent."""
        return sum(loan.count for loan in self._lent.values() if loan.resource == resource)

    def _borrowed_count(self, resource: Resource) -> int:
        """Returns the tokens of a resource that are borrowed."""
        return sum(loan.count for loan in self._borrowed.values() if loan.resource == resource)
