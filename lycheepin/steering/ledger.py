"""A daemon's ledger of tokens: granted by the plan, in use, lent and borrowed.

A token is the right to use one unit of a resource: one slot of an endpoint, one shifted request
per second, or one Mbit/s of a link. For each resource the ledger keeps in use + lent <= limit +
borrowed, without communication. The limits of all daemons add up to at most the cap, and loans
only move tokens, so the tokens in use never exceed the cap.
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
    """Identity of a loan; an incarnation never uses a number for two loans."""

    lender: Incarnation
    number: int


@dataclass(frozen=True)
class LoanRecord:
    """Tokens of one resource that a lender has lent to a borrower."""

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
        self._timed_uses: list[tuple[float, Resource, int]] = []
        self._next_loan = 1

    def apply_plan(self, plan: Plan) -> bool:
        """Puts a plan in force; returns False for one that is not newer than the present one.

        Drops loans from lenders that are no longer holders, as their tokens may be granted again,
        and loans to borrowers that are no longer in the plan, as these have ended.
        """
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
        """Returns the tokens that may be in use: granted, less lent, plus borrowed."""
        return self.limit(resource) - self._lent_count(resource) + self._borrowed_count(resource)

    def available(self, resource: Resource) -> int:
        """Returns the tokens that can be acquired now."""
        return max(0, self.allowance(resource) - self.in_use(resource))

    def acquire(self, resource: Resource, count: int = 1) -> bool:
        """Takes `count` tokens into use; returns whether that many were available."""
        if count > self.available(resource):
            return False
        self._in_use[resource] += count
        return True

    def release(self, resource: Resource, count: int = 1) -> None:
        """Ends the use of `count` tokens; raises ValueError when fewer are in use."""
        if self._in_use[resource] < count:
            raise ValueError(
                f"{count} tokens released, {self._in_use[resource]} in use: {resource}"
            )
        self._in_use[resource] -= count

    def acquire_until(self, resource: Resource, end_s: float) -> bool:
        """Takes one token into use until a monotonic time; returns whether one was available.

        `expire` ends the use.
        """
        if not self.acquire(resource):
            return False
        heapq.heappush(self._timed_uses, (end_s, resource, 1))
        return True

    def expire(self, now_s: float) -> None:
        """Releases tokens that were acquired until a time that has passed."""
        while self._timed_uses and self._timed_uses[0][0] <= now_s:
            _, resource, count = heapq.heappop(self._timed_uses)
            self.release(resource, count)

    @property
    def settled(self) -> bool:
        """Whether tokens lent are within the limits, and tokens in use within the allowances."""
        resources = {*self._in_use, *(record.resource for record in self._lent.values())}
        return all(self._is_within_limits(resource) for resource in resources)

    @property
    def clear(self) -> bool:
        """Whether all tokens in use are covered by limits and by loans that are still valid."""
        return all(used <= self.allowance(resource) for resource, used in self._in_use.items())

    def _is_within_limits(self, resource: Resource) -> bool:
        """Returns whether the tokens lent and in use of a resource are within its limits."""
        if self._lent_count(resource) > self.limit(resource):
            return False
        return self.in_use(resource) <= self.allowance(resource)

    def lend(self, borrower: Incarnation, resource: Resource, count: int) -> LoanRecord | None:
        """Records a loan and returns it to be sent, or None when too few tokens are free.

        Borrowed tokens are not lent. The borrower must be a holder of the plan in force.
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
        """Records a borrowed loan; returns whether the lender may stop repeating it.

        A loan that was accepted before is not added again. A loan from or to a process that the
        plan in force does not name as a holder is refused: its tokens may have been granted again.
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
        """Removes a borrowed loan; returns whether a repayment may be sent.

        Returns False while the borrowed tokens are in use. The repayment of a loan that is no
        longer in the ledger may be sent any number of times.
        """
        record = self._borrowed.get(key)
        if record is None:
            return key in self._accepted_keys
        if self.available(record.resource) < record.count:
            return False
        del self._borrowed[key]
        return True

    def reclaim_loan(self, key: LoanKey) -> None:
        """Removes a loan that the borrower repaid; repeats have no effect."""
        self._lent.pop(key, None)

    def loans_out(self) -> list[LoanRecord]:
        """Returns the loans to others that are not repaid."""
        return list(self._lent.values())

    def loans_in(self) -> list[LoanRecord]:
        """Returns the loans from others that are not repaid."""
        return list(self._borrowed.values())

    def _lent_count(self, resource: Resource) -> int:
        """Returns the tokens of a resource that are lent."""
        return sum(loan.count for loan in self._lent.values() if loan.resource == resource)

    def _borrowed_count(self, resource: Resource) -> int:
        """Returns the tokens of a resource that are borrowed."""
        return sum(loan.count for loan in self._borrowed.values() if loan.resource == resource)
