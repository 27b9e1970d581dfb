"""What this daemon may spend of the quotas of workspaces, and what it lends and borrows of them.

Load addressed: a workspace asks for three times its quota at 2 of 74 daemons, moves to others, or
sends a request now and then to any of them, while daemons are killed, cut off and suspended. A
request is decided by the tokens that are here; tokens move between the daemons beforehand.

For each workspace a daemon keeps tokens of its own + tokens lent <= its part of the depth. A loan
is valid at the borrower for a time that begins before, and at the lender for one that begins after,
so tokens that anybody can spend never exceed the depth, and no message has to arrive for that.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from copy import copy
from dataclasses import dataclass
from math import ceil, isfinite
from zlib import crc32

from lycheepin.names import DaemonName, WorkspaceName
from lycheepin.steering.quota_bucket import ROUNDING, BorrowedTokens, Need, QuotaBucket
from lycheepin.steering.quota_shares import (
    LOAN_RESERVE_S,
    MAX_LOAN_S,
    QuotaPlan,
    QuotaShares,
    QuotaTerms,
)
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "Ask",
    "Grant",
    "QuotaLedger",
    "QuotaRefusal",
    "Return",
    "Spend",
    "Want",
    "identify_by_number",
]

# Demand in requests per second below which a daemon asks for no tokens.
MIN_DEMAND_PER_S = 0.05
# Parts of the wanted stock that may be missing before a daemon asks.
MIN_MISSING = 0.25
# Intervals in seconds between two asks for the same workspace, by the need.
ASK_INTERVALS_S = {Need.CALM: 0.55, Need.LOW: 0.1, Need.REFUSING: 0.1, Need.PRESSED: 0.19}
# Needs for which others are asked before the next round.
URGENT_NEEDS = (Need.LOW, Need.REFUSING)
# Numbers of lenders that are asked at once before requests are refused, and the number of tokens
# that one of them can spare at least.
MIN_LENDERS = 2
MAX_LENDERS = 6
MIN_SPARE = 0.2
# Factor on what is missing, as not all lenders have tokens to spare.
OVER_ASKED = 1.5
# Time in seconds for which a lender remembers who else asks.
ASKER_MEMORY_S = 0.5
# Time in seconds after the start in which a daemon asks for tokens before there is demand, and the
# largest number of workspaces for which it does.
FILL_S = 10.0
MAX_FILLED = 500
# Smallest loan in tokens.
MIN_LOAN = 0.02
# Most asks at once, and most wants and returns of one, so that it fits into a packet; what is left
# out comes later, and loans that are not returned end by themselves.
MAX_ASKS = 64
MAX_WANTS = 30
MAX_RETURNS = 16
# Time in seconds after a refusal in which a loan comes, and the longest that a caller is told.
LOAN_DELAY_S = 0.3
MAX_RETRY_AFTER_S = 5.0
# Largest number that a message may carry: tokens, or requests per second.
MAX_AMOUNT = 1e6


@dataclass(frozen=True)
class Want:
    """Tokens that a daemon wants of a workspace, which `number` identifies.

    `demand_per_s` are the requests per second that it gets.
    """

    number: int
    tokens: float
    demand_per_s: float
    need: Need


@dataclass(frozen=True)
class Return:
    """The end of a loan, with the tokens that were not spent; `ask` is the number of its ask."""

    ask: int
    number: int
    unspent: float


@dataclass(frozen=True)
class Ask:
    """A daemon's wants for one lender, and what it gives back."""

    number: int
    lender: DaemonName
    wants: tuple[Want, ...]
    returns: tuple[Return, ...] = ()


@dataclass(frozen=True)
class Grant:
    """What a lender answers to an ask: tokens by the number of their workspace."""

    number: int
    tokens: tuple[tuple[int, float], ...]


@dataclass(frozen=True)
class Spend:
    """A token that was spent: the part from the daemon's own ones, and the borrowed parts.

    `workspace` is None if it has no limit.
    """

    workspace: WorkspaceName | None
    spent_s: float = 0.0
    own: float = 0.0
    borrowed: tuple[tuple[BorrowedTokens, float], ...] = ()


@dataclass(frozen=True)
class QuotaRefusal:
    """Why a request is refused: no whole token of its workspace is here.

    `tokens` are left, `share_per_s` is the rate at which this daemon accrues own ones, and
    `loan_age_s` the age of the last loan, None if there was none.
    """

    workspace: WorkspaceName
    retry_after_s: float
    tokens: float
    share_per_s: float
    demand_per_s: float
    last_loan: float
    loan_age_s: float | None


class QuotaLedger:
    """The tokens of all workspaces at one daemon.

    `rank_peer` orders lenders, nearest first. Times are seconds of a clock that goes on while the
    machine is suspended. Workspaces without a limit are served without tokens.
    """

    def __init__(
        self,
        shares: QuotaShares,
        terms: QuotaTerms,
        now_s: float,
        rank_peer: Callable[[DaemonName], int] = lambda name: 0,
    ) -> None:
        self._shares = shares
        self._terms = terms
        self._rank_peer = rank_peer
        self._started_s = now_s
        self._plans: dict[WorkspaceName, QuotaPlan] = {}
        self._added: dict[WorkspaceName, float] = {}
        self._names: dict[int, WorkspaceName | None] = {}
        self._buckets: dict[WorkspaceName, QuotaBucket] = {}
        self._in_demand: set[WorkspaceName] = set()
        self._next_sweep_s = now_s
        self._asks: dict[int, tuple[float, Ask]] = {}
        self._last_number = int(now_s * 1000) << 20
        self._round = 0
        self._lenders: dict[int, list[DaemonName]] = {}
        self._lenders_change = -1
        # whether tokens run low, so that others should be asked at once
        self.is_urgent = False
        # whether no other daemon may have divided this daemon's share
        self.is_in_touch = True

    @property
    def has_limits(self) -> bool:
        """Whether any workspace has a limit."""
        return bool(self._plans)

    @property
    def bucket_count(self) -> int:
        """The number of workspaces for which tokens are counted."""
        return len(self._buckets)

    def apply_workspaces(self, workspaces: Iterable[Workspace], now_s: float) -> None:
        """Applies the limits of a version of the configuration.

        Buckets of workspaces that it lacks are kept for a window, in case they come back.
        """
        self.advance(now_s)
        first = not self._plans and not self._buckets
        plans = {
            w.name: QuotaPlan.from_workspace(w, self._terms) for w in workspaces if w.rate_per_s > 0
        }
        if not first:
            for name in plans.keys() - self._plans.keys():
                self._added[name] = self._shares.accrued(plans[name].max_holders)
        self._added = {name: a for name, a in self._added.items() if name in plans}
        for name, bucket in self._buckets.items():
            plan = plans.get(name)
            if plan is None:
                bucket.removed_s = bucket.removed_s or now_s
                continue
            bucket.removed_s = None
            self._refresh(name, bucket, now_s)
            if plan.max_holders != bucket.plan.max_holders:
                bucket.accrued = self._shares.accrued(plan.max_holders)
            bucket.plan = plan
        if plans.keys() != self._plans.keys():
            self._names = {}
            for name in plans:
                number = identify_by_number(name)
                # workspaces that share a number are not lent, as nobody knows which one is meant
                self._names[number] = None if number in self._names else name
        self._plans = plans

    def advance(self, now_s: float) -> None:
        """Brings the shares up to date; forgets all tokens if none of them is certain any more."""
        if not self._shares.advance(now_s, self.is_in_touch):
            self._buckets.clear()
            self._added = {
                name: self._shares.accrued(plan.max_holders) for name, plan in self._plans.items()
            }

    def try_spend(self, name: WorkspaceName | None, now_s: float) -> Spend | QuotaRefusal:
        """Spends a token of a workspace, or returns why there is none."""
        if name is None or name not in self._plans:
            return Spend(None)
        bucket = self._find_bucket(name, now_s)
        bucket.demand.add(1.0, now_s)
        bucket.requested_s = now_s
        self._in_demand.add(name)
        if bucket.holdings >= 1.0 - ROUNDING:
            own, borrowed = bucket.take(now_s)
            self.is_urgent |= bucket.find_need(now_s) in URGENT_NEEDS
            return Spend(name, now_s, own, borrowed)
        bucket.refused.add(1.0, now_s)
        bucket.refused_s = now_s
        self.is_urgent |= bucket.find_need(now_s) in URGENT_NEEDS
        return self._explain_refusal(name, bucket, now_s)

    def count_tokens(self, name: WorkspaceName, now_s: float) -> float:
        """Returns how many tokens of a workspace with a limit can be spent here."""
        return self._find_bucket(name, now_s).holdings

    def find_standings(self, now_s: float) -> dict[WorkspaceName, QuotaRefusal]:
        """Returns what is left of the quotas of workspaces that have asked here; changes nothing.

        Each comes as the refusal that a request without a token would get.
        """
        standings = {}
        for name in self._buckets.keys() & self._plans.keys():
            bucket = copy(self._buckets[name])
            self._refresh(name, bucket, now_s)
            standings[name] = self._explain_refusal(name, bucket, now_s)
        return standings

    def settle(self, spend: Spend, has_run: bool, now_s: float) -> None:
        """Records whether the request of a spent token may have run; gives the token back if not.

        What would have been lost meanwhile is not given back: own tokens that the bucket has no
        room for, and borrowed ones whose loan has ended.
        """
        bucket = self._buckets.get(spend.workspace) if spend.workspace is not None else None
        if bucket is None or spend.workspace is None:
            return
        self._refresh(spend.workspace, bucket, now_s)
        own = min(spend.own, bucket.refundable)
        bucket.refundable -= own
        if not has_run:
            bucket.tokens += own
            for loan, part in spend.borrowed:
                if any(loan is open_loan for open_loan in bucket.borrowed):
                    loan.left += part

    def plan_asks(self, now_s: float) -> list[Ask]:
        """Returns what to ask other daemons for now, at most one ask for each."""
        self._forget(now_s)
        self._round += MIN_LENDERS
        self.is_urgent = False
        wants: dict[DaemonName, list[Want]] = {}
        returns: dict[DaemonName, list[Return]] = {}
        for name in self._list_in_demand(now_s):
            for lender, want in self._plan_wants(name, now_s):
                if len(wants) == MAX_ASKS and lender not in wants:
                    continue
                if len(listed := wants.setdefault(lender, [])) < MAX_WANTS:
                    listed.append(want)
            for loan in self._buckets[name].give_back(now_s):
                if len(ended := returns.setdefault(loan.lender, [])) < MAX_RETURNS:
                    ended.append(Return(loan.number, identify_by_number(name), loan.left))
        asks = []
        for lender in dict.fromkeys((*wants, *returns)):
            self._last_number += 1
            ask = Ask(
                self._last_number,
                lender,
                tuple(wants.get(lender, ())),
                tuple(returns.get(lender, ())),
            )
            self._asks[ask.number] = (now_s, ask)
            asks.append(ask)
        return asks

    def answer_ask(self, borrower: DaemonName, ask: Ask, now_s: float) -> Grant:
        """Lends what this daemon can spare to a borrower; the tokens leave its buckets at once."""
        for ended in ask.returns:
            self._end_loan(borrower, ended, now_s)
        granted: list[tuple[int, float]] = []
        for want in ask.wants:
            name = self._names.get(want.number)
            if name is None or not _is_amount(want.tokens) or not _is_amount(want.demand_per_s):
                continue
            bucket = self._find_bucket(name, now_s)
            amount = min(want.tokens, self._count_spare(bucket, borrower, want, now_s))
            # an ask that comes twice is answered once
            if amount < MIN_LOAN or (borrower, ask.number) in bucket.lent:
                continue
            bucket.tokens -= amount
            until_s = now_s + bucket.plan.loan_s + LOAN_RESERVE_S
            bucket.lent[borrower, ask.number] = (until_s, amount)
            granted.append((want.number, amount))
        return Grant(ask.number, tuple(granted))

    def _end_loan(self, borrower: DaemonName, ended: Return, now_s: float) -> None:
        """Takes back what is left of a loan, unless its time is over."""
        name = self._names.get(ended.number)
        if name is None or not _is_amount(ended.unspent):
            return
        bucket = self._find_bucket(name, now_s)
        _, amount = bucket.lent.pop((borrower, ended.ask), (0.0, 0.0))
        bucket.tokens += min(ended.unspent, amount)

    def accept_grant(self, lender: DaemonName, grant: Grant, now_s: float) -> float:
        """Adds borrowed tokens to the buckets; returns how many.

        Returns 0 for a grant that nobody asked the lender for, that comes twice, or too late.
        """
        asked_s, ask = self._asks.get(grant.number, (0.0, None))
        if ask is None or ask.lender != lender:
            return 0.0
        del self._asks[grant.number]
        wants = {want.number: want.tokens for want in ask.wants}
        accepted = 0.0
        for number, tokens in grant.tokens:
            name = self._names.get(number)
            # each workspace counts once, so that a repeated entry adds nothing
            asked = wants.pop(number, 0.0)
            if name is None or not _is_amount(tokens) or not 0.0 < tokens <= asked + ROUNDING:
                continue
            bucket = self._find_bucket(name, now_s)
            until_s = asked_s + bucket.plan.loan_s
            if until_s > now_s:
                bucket.borrowed.append(BorrowedTokens(lender, grant.number, until_s, tokens, now_s))
                self._in_demand.add(name)
                bucket.granted.add(tokens, now_s)
                bucket.last_loan, bucket.last_loan_s = tokens, now_s
                accepted += tokens
        return accepted

    def _find_bucket(self, name: WorkspaceName, now_s: float) -> QuotaBucket:
        """Returns the bucket of a workspace that has a limit, up to date."""
        self.advance(now_s)
        bucket = self._buckets.get(name)
        if bucket is None:
            plan = self._plans[name]
            bucket = self._buckets[name] = QuotaBucket(
                plan, self._find_first_accrued(name, plan), now_s
            )
        self._refresh(name, bucket, now_s)
        return bucket

    def _refresh(self, name: WorkspaceName, bucket: QuotaBucket, now_s: float) -> None:
        """Adds what a bucket has accrued, up to its depth, and forgets loans that have ended."""
        plan, shares = bucket.plan, self._shares
        bucket.expire(now_s)
        is_holder = shares.is_holder(name, plan.max_holders)
        accrued = shares.accrued(plan.max_holders)
        if is_holder:
            since = bucket.accrued
            if not bucket.was_holder:
                since = max(since, shares.accrued_before_change(plan.max_holders))
            bucket.tokens += plan.rate_per_s * max(0.0, accrued - since)
        bucket.was_holder = is_holder
        bucket.accrued = accrued
        room = self._find_room(bucket) if is_holder else 0.0
        bucket.tokens = min(bucket.tokens, room)
        bucket.refundable = min(bucket.refundable, room - bucket.tokens)

    def _find_room(self, bucket: QuotaBucket) -> float:
        """Returns how many tokens of its own a holder may have beside those that it has lent."""
        depth = self._shares.divide(bucket.plan.depth, bucket.plan.max_holders)
        return max(0.0, depth - bucket.total_lent)

    def _explain_refusal(
        self, name: WorkspaceName, bucket: QuotaBucket, now_s: float
    ) -> QuotaRefusal:
        """Returns the refusal of a request, with the time at which a token can be expected.

        Callers that were refused before are to come first, at the rate at which tokens come here.
        """
        plan = bucket.plan
        share_per_s = self._shares.divide(plan.rate_per_s, plan.max_holders)
        share_per_s = share_per_s if bucket.was_holder else 0.0
        income_per_s = max(share_per_s + bucket.granted.per_s(now_s), 0.1 * plan.rate_per_s)
        waiting = max(0.0, bucket.refused.count(now_s) - 1.0)
        return QuotaRefusal(
            name,
            min(MAX_RETRY_AFTER_S, LOAN_DELAY_S + waiting / max(income_per_s, ROUNDING)),
            bucket.holdings,
            share_per_s,
            bucket.find_demand(now_s),
            bucket.last_loan,
            None if bucket.last_loan_s is None else now_s - bucket.last_loan_s,
        )

    def _count_spare(
        self, bucket: QuotaBucket, borrower: DaemonName, want: Want, now_s: float
    ) -> float:
        """Returns how many tokens may be lent to a borrower.

        That is what is beyond the stock that this daemon wants, which is nothing while no requests
        come and the borrower's tokens run low. A borrower that refuses many requests gets its part
        by demand, also if others ask or this daemon needs some.
        """
        if want.need is Need.CALM:
            return bucket.count_spare(now_s)
        spare = bucket.count_spare(now_s)
        if want.need is Need.LOW:
            return bucket.tokens if bucket.is_idle(now_s) else spare
        if want.need is Need.REFUSING:
            # parts of a token help nobody here, and may complete one there
            is_part = bucket.holdings < 1.0 - ROUNDING and not bucket.has_refused(now_s)
            return bucket.tokens if is_part or bucket.is_idle(now_s) else spare
        own_demand = bucket.find_demand(now_s)
        others = sum(d for name, (_, d) in bucket.askers.items() if name != borrower)
        bucket.askers[borrower] = (now_s + ASKER_MEMORY_S, want.demand_per_s)
        surplus = max(0.0, want.demand_per_s - own_demand)
        total = want.demand_per_s + own_demand + others
        return max(spare, bucket.tokens * surplus / total) if total > 0.0 else spare

    def _list_in_demand(self, now_s: float) -> list[WorkspaceName]:
        """Returns the workspaces for which tokens may be needed, those that refuse most first."""
        filling = self._is_filling(now_s)
        if filling:
            self._in_demand.update(self._plans)
        found = []
        for name in list(self._in_demand):
            if name not in self._plans:
                self._in_demand.discard(name)
                continue
            bucket = self._find_bucket(name, now_s)
            found.append((-bucket.refused.count(now_s), name))
            in_demand = filling or bucket.find_demand(now_s) >= MIN_DEMAND_PER_S
            if not in_demand and not bucket.borrowed:
                self._in_demand.discard(name)
        return [name for _, name in sorted(found)]

    def _is_filling(self, now_s: float) -> bool:
        """Returns whether this daemon has just started and wants a token of each workspace."""
        has_started = now_s < self._started_s + FILL_S
        return has_started and self._shares.is_carrier and len(self._plans) <= MAX_FILLED

    def _plan_wants(self, name: WorkspaceName, now_s: float) -> list[tuple[DaemonName, Want]]:
        """Returns whom to ask for how many tokens of a workspace; nobody if it has enough."""
        bucket = self._buckets[name]
        target = bucket.find_target(now_s)
        lasting = bucket.find_lasting(now_s)
        missing = target - lasting
        has_enough = missing < MIN_MISSING * target and lasting >= 1.0 - ROUNDING
        if has_enough or now_s < bucket.next_ask_s:
            return []
        in_demand = bucket.find_demand(now_s) >= MIN_DEMAND_PER_S
        if not in_demand and not self._is_filling(now_s):
            return []
        lenders = self._list_lenders(name, bucket.plan.max_holders)
        if not lenders:
            return []
        need = bucket.find_need(now_s) if in_demand else Need.CALM
        bucket.next_ask_s = now_s + ASK_INTERVALS_S[need]
        count = len(lenders)
        if need < Need.REFUSING:
            count = min(count, self._count_lenders(bucket.plan, missing))
        # all wants of a moment go to the same lenders, so that few messages hold them
        first = self._round % len(lenders)
        chosen = [lenders[(first + k) % len(lenders)] for k in range(count)]
        tokens = min(missing, OVER_ASKED * missing / count)
        want = Want(identify_by_number(name), tokens, bucket.find_demand(now_s), need)
        return [(lender, want) for lender in chosen]

    def _count_lenders(self, plan: QuotaPlan, missing: float) -> int:
        """Returns how many lenders are likely to spare tokens that are missing."""
        spare = max(MIN_SPARE, self._shares.divide(plan.depth, plan.max_holders) - 1.0)
        return min(MAX_LENDERS, max(MIN_LENDERS, ceil(OVER_ASKED * missing / spare)))

    def _list_lenders(self, name: WorkspaceName, max_holders: int) -> Sequence[DaemonName]:
        """Returns the holders of a workspace other than this daemon, nearest first."""
        if self._lenders_change != self._shares.change_count:
            self._lenders_change = self._shares.change_count
            self._lenders.clear()
        if len(self._shares.carriers) > max_holders:
            return sorted(self._shares.list_holders(name, max_holders), key=self._rank_peer)
        lenders = self._lenders.get(0)
        if lenders is None:
            lenders = sorted(self._shares.list_holders(name, max_holders), key=self._rank_peer)
            self._lenders[0] = lenders
        return lenders

    def _forget(self, now_s: float) -> None:
        """Forgets asks without an answer, and once in a window buckets without a use."""
        window_s = self._terms.window_s
        self._asks = {n: ask for n, ask in self._asks.items() if now_s - ask[0] < MAX_LOAN_S}
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + window_s
        for name, bucket in list(self._buckets.items()):
            if bucket.removed_s is not None:
                if now_s >= bucket.removed_s + window_s:
                    del self._buckets[name]
            elif name not in self._in_demand and self._is_as_new(name, now_s):
                del self._buckets[name]

    def _is_as_new(self, name: WorkspaceName, now_s: float) -> bool:
        """Returns whether a new bucket of the workspace would have the same tokens."""
        bucket = self._buckets[name]
        self._refresh(name, bucket, now_s)
        if bucket.lent or bucket.borrowed:
            return False
        new = QuotaBucket(bucket.plan, self._find_first_accrued(name, bucket.plan), now_s)
        self._refresh(name, new, now_s)
        return 0.0 <= bucket.tokens - new.tokens < ROUNDING

    def _find_first_accrued(self, name: WorkspaceName, plan: QuotaPlan) -> float:
        """Returns from which point of its share on a new bucket accrues."""
        since_change = self._shares.accrued_before_change(plan.max_holders)
        return max(self._added.get(name, 0.0), since_change)


def identify_by_number(name: str) -> int:
    """Returns the number that stands for a workspace in messages; a few names may share one."""
    return crc32(name.encode()) - (1 << 31)


def _is_amount(value: float) -> bool:
    """Returns whether a number from a message is a possible amount."""
    return isfinite(value) and 0.0 <= value <= MAX_AMOUNT
