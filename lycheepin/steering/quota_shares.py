"""Division of the quotas of workspaces among the daemons that carry requests.

Load addressed: dozens of carriers that are killed, cut off, suspended and added while workspaces
send several times their quotas. What all daemons may spend adds up to the limit without a call, as
long as each one hears of a new carrier within SETTLE_S seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from math import inf
from zlib import crc32

from lycheepin.names import DaemonName
from lycheepin.steering.workspaces import Workspace

__all__ = ["LOAN_RESERVE_S", "MAX_LOAN_S", "QuotaPlan", "QuotaShares", "QuotaTerms"]

# Fractions of the margin above a quota that tokens in stock and loans of processes that have ended
# may use. The rest covers differing views of the carriers.
DEPTH_FRACTION = 0.85
ORPHAN_FRACTION = 0.1
# Fewest tokens that a holder's bucket has room for, so that it can lend and keep a whole one.
MIN_DEPTH = 1.25
# Most daemons among which a quota is divided; the others borrow.
MAX_HOLDERS = 32
# Time in seconds for which a higher share must have lasted before it counts. A new process has no
# tokens of its own before, as its predecessor's may be lent.
SETTLE_S = 1.5
# Time in seconds by which a loan counts longer at the lender than at the borrower, beyond its way.
LOAN_RESERVE_S = 0.1
# Longest time in seconds for which a borrower may spend a loan.
MAX_LOAN_S = 5.0
# Time in seconds for which the share of a carrier that is not registered any more is kept free, and
# for which it uses its share itself. In a minority the others have probably not ended.
HOLD_S = 30.0
MINORITY_HOLD_S = 300.0
OWN_HOLD_S = 15.0
# The same for a daemon that is registered, but no longer a carrier; it stops at once.
RETIRED_HOLD_S = 6.0
# Interval in seconds of the checks whether these times are over.
CHECK_INTERVAL_S = 0.2
# Longest time in seconds between two updates; after a longer one the process starts anew.
MAX_GAP_S = 15.0


@dataclass(frozen=True)
class QuotaTerms:
    """How far quotas may be exceeded.

    In any `window_s` seconds the requests of a workspace that run stay within
    (rate x window + burst) x (1 + `over`) + `slack`.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0


@dataclass(frozen=True)
class QuotaPlan:
    """How the limit of a workspace is spent by all daemons together.

    Tokens accrue at `rate_per_s`, and `depth` of them are kept. A loan is valid for `loan_s`
    seconds. The quota is divided among `max_holders`.
    """

    rate_per_s: float
    depth: float
    loan_s: float
    max_holders: int

    @classmethod
    def from_workspace(cls, workspace: Workspace, terms: QuotaTerms) -> QuotaPlan:
        """Returns the plan for a workspace with a limit; the rate pays for depth that lacks."""
        rate_per_s = workspace.rate_per_s
        margin = terms.over * (rate_per_s * terms.window_s + workspace.burst) + terms.slack
        depth = workspace.burst + DEPTH_FRACTION * margin
        missing = max(0.0, MIN_DEPTH - depth)
        rate_per_s = max(0.0, rate_per_s - missing / terms.window_s)
        depth += missing
        # loans of processes that end outlive the time in which their successors have no share
        orphaned_s = ORPHAN_FRACTION * margin / rate_per_s if rate_per_s else MAX_LOAN_S
        return cls(
            rate_per_s,
            depth,
            min(MAX_LOAN_S, SETTLE_S - LOAN_RESERVE_S + orphaned_s),
            max(1, min(MAX_HOLDERS, int(depth / MIN_DEPTH))),
        )


class QuotaShares:
    """This daemon's share of the quotas, by the carriers that it knows.

    `find_carriers` returns their names, as the same object until they change, and `is_registered`
    whether a daemon is known at all. Times are seconds of a clock that goes on while the machine is
    suspended.
    """

    def __init__(
        self,
        own: DaemonName,
        find_carriers: Callable[[], Sequence[DaemonName]],
        now_s: float,
        is_registered: Callable[[DaemonName], bool] = lambda name: False,
    ) -> None:
        self._own = own
        self._is_registered = is_registered
        self._checked_s = now_s
        self._find_carriers = find_carriers
        self._listed: Sequence[DaemonName] = ()
        self._departed_s: dict[DaemonName, float] = {}
        self._order: tuple[DaemonName, ...] = ()
        self._position: int | None = None
        self._hashes: dict[DaemonName, bytes] = {}
        # numbers of carriers by the time from which they counted; infinite without a share
        self._counts: deque[tuple[float, float]] = deque([(now_s, inf)])
        self._count = inf
        self._now_s = now_s
        self._since_s = now_s
        self._accrued = [0.0] * (MAX_HOLDERS + 1)
        self._accrued_at_change = self._accrued
        self.change_count = 0

    @property
    def is_carrier(self) -> bool:
        """Whether this daemon is one of the carriers."""
        return self._position is not None

    @property
    def fraction(self) -> float:
        """This daemon's part of a quota that all carriers hold; 0 if it has none."""
        return 1 / self._count

    @property
    def carriers(self) -> tuple[DaemonName, ...]:
        """All carriers, in the order that all daemons use."""
        return self._order

    def advance(self, now_s: float, in_touch: bool = True) -> bool:
        """Brings the share up to date; returns False if so much time passed that none is certain.

        `in_touch` is false when the others may have divided this daemon's share among them.
        """
        gap_s, self._now_s = now_s - self._now_s, max(now_s, self._now_s)
        if gap_s > MAX_GAP_S:
            self._counts = deque([(now_s, inf)])
            self._count = inf
            self._since_s = now_s
        self._update_carriers(now_s)
        has_share = in_touch and self._position is not None
        count = float(len(self._order)) if has_share else inf
        counts = self._counts
        if count != counts[-1][1]:
            counts.append((now_s, count))
        while len(counts) > 1 and counts[1][0] <= now_s - SETTLE_S:
            counts.popleft()
        largest = max(known for _, known in counts)
        if largest != self._count:
            self._settle_accrued()
            self._count = largest
        return gap_s <= MAX_GAP_S

    def is_holder(self, name: str, max_holders: int) -> bool:
        """Returns whether this daemon is one of the holders of a workspace."""
        if self._position is None:
            return False
        count = len(self._order)
        return (self._position - crc32(name.encode())) % count < max_holders

    def list_holders(self, name: str, max_holders: int) -> list[DaemonName]:
        """Returns the holders of a workspace other than this daemon."""
        order, first = self._order, crc32(name.encode())
        holders = (order[(first + k) % len(order)] for k in range(min(len(order), max_holders)))
        return [holder for holder in holders if holder != self._own]

    def divide(self, tokens: float, max_holders: int) -> float:
        """Returns a holder's part of a number of tokens."""
        return tokens / min(self._count, max_holders) if self._count < inf else 0.0

    def accrued(self, max_holders: int) -> float:
        """Returns the seconds for which a holder would have accrued a whole quota by now."""
        elapsed_s = self._now_s - self._since_s
        return self._accrued[max_holders] + self.divide(elapsed_s, max_holders)

    def accrued_before_change(self, max_holders: int) -> float:
        """Returns what `accrued` was when the holders of quotas changed last.

        Returns 0 while all carriers are holders, as a change then keeps them so.
        """
        return self._accrued_at_change[max_holders] if len(self._order) > max_holders else 0.0

    def _settle_accrued(self) -> None:
        """Adds what has accrued since the share changed last."""
        for holders in range(1, MAX_HOLDERS + 1):
            self._accrued[holders] = self.accrued(holders)
        self._since_s = self._now_s

    def _update_carriers(self, now_s: float) -> None:
        """Applies changes of the listed carriers, and the end of the time of departed ones."""
        listed, departed = self._find_carriers(), self._departed_s
        if listed is self._listed and (not departed or now_s < self._checked_s + CHECK_INTERVAL_S):
            return
        self._checked_s = now_s
        for name in {*self._listed}.difference(listed):
            departed.setdefault(name, now_s)
        gone = {name for name in departed if not self._is_registered(name)}
        hold_s = HOLD_S if len(listed) >= len(gone) else MINORITY_HOLD_S
        for name, left_s in list(departed.items()):
            held_s = hold_s if name in gone else RETIRED_HOLD_S
            if name in listed or now_s >= left_s + held_s:
                del departed[name]
        self._listed = listed
        known = {*listed, *departed}
        if known != {*self._order}:
            self._hashes = {n: self._hashes.get(n) or _hash_name(n) for n in known}
            self._order = tuple(sorted(known, key=self._hashes.__getitem__))
            self._settle_accrued()
            self._accrued_at_change = list(self._accrued)
            self.change_count += 1
        is_carrier = self._own in listed
        if not is_carrier and self._own in departed and self._own in gone:
            is_carrier = now_s < departed[self._own] + OWN_HOLD_S
        self._position = self._order.index(self._own) if is_carrier else None


def _hash_name(name: DaemonName) -> bytes:
    """Returns the hash by which daemons are ordered, so that no zone holds neighbouring shares."""
    return blake2b(name.encode(), digest_size=16).digest()
