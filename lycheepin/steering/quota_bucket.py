"""The tokens of one workspace at one daemon."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import exp, sqrt

from lycheepin.names import DaemonName
from lycheepin.steering.quota_shares import QuotaPlan

__all__ = ["ROUNDING", "BorrowedTokens", "Need", "QuotaBucket"]

# Time constant in seconds of the rates of demand, refusals and loans.
RATE_TIME_CONSTANT_S = 3.0
# Time in seconds of demand that a daemon wants to have tokens for; a factor on the square root of
# their number, for its variance, and a number of tokens that sparse demand doesn't need.
STOCK_S = 1.0
VARIANCE_FACTOR = 4.0
SPARSE_TOKENS = 1.8
# Most requests that are expected in the time since the last one, and the shortest time in seconds
# that tells something.
REQUESTS_PER_GAP = 3.0
MIN_GAP_S = 0.001
# Time in seconds after the last refusal for which tokens are needed most.
REFUSAL_MEMORY_S = 1.0
# Times in seconds after the last use of a loan after which it is given back: when nothing is left,
# as the request may still be refused, and when some of it is.
SPENT_S = 0.3
IDLE_S = 1.0
# Times in seconds before the end of a loan in which another one is asked for, and in which what is
# left of it is given back.
RENEWAL_S = 0.6
RETURN_S = 0.25
# Part of the wanted stock below which tokens run low.
LOW_FRACTION = 0.35
# Time in seconds without a request after which a daemon keeps no token for the next one.
IDLE_DEMAND_S = 20.0
ROUNDING = 1e-9
# Smallest number of refusals in about RATE_TIME_CONSTANT_S that lets lenders give what they need.
MIN_REFUSALS = 1.5


class DecayingRate:
    """A rate per second that decays with RATE_TIME_CONSTANT_S."""

    __slots__ = ("_amount", "_now_s")

    def __init__(self) -> None:
        self._amount = 0.0
        self._now_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Counts an amount."""
        self._amount = self.count(now_s) + amount
        self._now_s = now_s

    def count(self, now_s: float) -> float:
        """Returns the amount in about the last RATE_TIME_CONSTANT_S seconds."""
        elapsed_s = max(0.0, now_s - self._now_s)
        return self._amount * exp(-elapsed_s / RATE_TIME_CONSTANT_S) if self._amount else 0.0

    def per_s(self, now_s: float) -> float:
        """Returns the rate."""
        return self.count(now_s) / RATE_TIME_CONSTANT_S


class Need(IntEnum):
    """How much a daemon needs tokens: its stock is not full or runs low, or it refuses requests."""

    CALM = 0
    LOW = 1
    REFUSING = 2
    PRESSED = 3


@dataclass
class BorrowedTokens:
    """What is left of a loan, which `lender` gave in answer to the ask of a `number`."""

    lender: DaemonName
    number: int
    until_s: float
    left: float
    used_s: float


@dataclass
class QuotaBucket:
    """The tokens of one workspace at this daemon.

    `lent` has end and amount of loans by borrower and number of the ask. `refundable` is how many
    own tokens that were spent may still be given back, at most what there is room for.
    """

    plan: QuotaPlan
    accrued: float
    requested_s: float
    tokens: float = 0.0
    was_holder: bool = False
    refundable: float = 0.0
    lent: dict[tuple[DaemonName, int], tuple[float, float]] = field(default_factory=dict)
    borrowed: list[BorrowedTokens] = field(default_factory=list)
    demand: DecayingRate = field(default_factory=DecayingRate)
    refused: DecayingRate = field(default_factory=DecayingRate)
    refused_s: float = 0.0
    granted: DecayingRate = field(default_factory=DecayingRate)
    askers: dict[DaemonName, tuple[float, float]] = field(default_factory=dict)
    next_ask_s: float = 0.0
    last_loan: float = 0.0
    last_loan_s: float | None = None
    removed_s: float | None = None

    def expire(self, now_s: float) -> None:
        """Forgets loans and askers whose time is over."""
        if self.lent:
            self.lent = {key: loan for key, loan in self.lent.items() if loan[0] > now_s}
        if self.borrowed:
            self.borrowed = [loan for loan in self.borrowed if loan.until_s > now_s]
        if self.askers:
            self.askers = {name: a for name, a in self.askers.items() if a[0] > now_s}

    @property
    def holdings(self) -> float:
        """The tokens that can be spent here."""
        return self.tokens + sum(loan.left for loan in self.borrowed)

    def find_lasting(self, now_s: float) -> float:
        """Returns the tokens that can still be spent here once others could be asked for some."""
        lasting_s = now_s + RENEWAL_S
        return self.tokens + sum(loan.left for loan in self.borrowed if loan.until_s > lasting_s)

    @property
    def total_lent(self) -> float:
        """The tokens that others may still spend."""
        return sum(amount for _, amount in self.lent.values())

    def find_demand(self, now_s: float) -> float:
        """Returns the requests per second that come here; few once none has come for long."""
        gap_s = max(MIN_GAP_S, now_s - self.requested_s)
        return min(self.demand.per_s(now_s), REQUESTS_PER_GAP / gap_s)

    def find_target(self, now_s: float) -> float:
        """Returns how many tokens this daemon wants to have."""
        expected = STOCK_S * self.find_demand(now_s)
        return max(1.0, expected + VARIANCE_FACTOR * sqrt(expected) - SPARSE_TOKENS)

    def has_refused(self, now_s: float) -> bool:
        """Returns whether a request was refused lately."""
        return now_s < self.refused_s + REFUSAL_MEMORY_S

    def find_need(self, now_s: float) -> Need:
        """Returns how much tokens are needed here."""
        if self.has_refused(now_s):
            if self.refused.count(now_s) > MIN_REFUSALS:
                return Need.PRESSED
            if self.holdings < 1.0 - ROUNDING:
                return Need.REFUSING
        low = max(1.0, LOW_FRACTION * self.find_target(now_s))
        return Need.LOW if self.find_lasting(now_s) < low - ROUNDING else Need.CALM

    def count_spare(self, now_s: float) -> float:
        """Returns how many own tokens are beyond the stock that this daemon wants."""
        return min(self.tokens, self.holdings - self.find_target(now_s))

    def is_idle(self, now_s: float) -> bool:
        """Returns whether no request has come for IDLE_DEMAND_S."""
        return now_s >= self.requested_s + IDLE_DEMAND_S

    def take(self, now_s: float) -> tuple[float, tuple[tuple[BorrowedTokens, float], ...]]:
        """Takes one token, borrowed ones first; returns the own and the borrowed parts."""
        missing = 1.0
        parts = []
        for loan in self.borrowed:
            part = min(loan.left, missing)
            if part > 0.0:
                loan.left -= part
                loan.used_s = now_s
                missing -= part
                parts.append((loan, part))
        own = min(missing, self.tokens)
        self.tokens -= own
        self.refundable += own
        return own, tuple(parts)

    def give_back(self, now_s: float) -> list[BorrowedTokens]:
        """Removes and returns the loans that are spent, not needed, or about to end."""
        surplus = self.holdings - self.find_target(now_s)
        ended = []
        for loan in self.borrowed:
            idle_s = now_s - loan.used_s
            is_spent = loan.left <= 0.0 and idle_s >= SPENT_S
            is_needless = 0.0 < loan.left <= surplus and idle_s >= IDLE_S
            if is_spent or is_needless or loan.until_s <= now_s + RETURN_S:
                surplus -= loan.left
                ended.append(loan)
        if ended:
            self.borrowed = [loan for loan in self.borrowed if loan not in ended]
        return ended
