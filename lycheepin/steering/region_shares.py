"""Holds the regions' shares of the requests while the own region's endpoints are full.

Load addressed: a burst of several times the capacity. The endpoints of the callers' region are full
first and refuse, while those of other regions still take what prefers them; so within a second half
of the region's requests run elsewhere, on links and endpoints that others need. Where endpoints of
the own region have gone, requests have to move, and are not held.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from lycheepin.names import RegionName, ServiceName

__all__ = ["RegionShares", "RequestBin", "SharesRecord"]

# Length in seconds of the windows whose shares are compared, and of the bins that they consist of.
WINDOW_S = 2.0
BIN_S = 0.25
WINDOW_BINS = int(WINDOW_S / BIN_S)
# Part of the allowed change that is used: daemons see a part of their region's requests each.
SAFETY_FRACTION = 0.5
# Part of the requests that full endpoints of the own region refuse, above which shares are held.
MIN_FULL_FRACTION = 0.3
# Smallest number of requests in a window whose shares are compared.
MIN_REQUESTS = 20
# Part of the own region's largest recent capacity below which requests have to move, and the time
# in seconds for which a capacity counts as recent.
MIN_CAPACITY_FRACTION = 0.9
CAPACITY_MEMORY_S = 8.0


@dataclass
class RequestBin:
    """The requests of a fraction of a second: those sent by region, and those refused."""

    number: int
    sent: dict[RegionName, int] = field(default_factory=dict)
    refused: int = 0
    refused_by_own: int = 0


@dataclass(frozen=True)
class SharesRecord:
    """The bins of a service as values, and the slots of the own region by their times."""

    bins: tuple[RequestBin, ...]
    capacities: tuple[tuple[float, int], ...]


def _copy_bin(counted: RequestBin) -> RequestBin:
    """Returns a bin with the same counts."""
    return replace(counted, sent=dict(counted.sent))


_NOTHING = SharesRecord((), ())


class _ServiceShares:
    """The requests of one service in the last two windows, and the own region's capacity."""

    def __init__(self, record: SharesRecord = _NOTHING) -> None:
        self.bins = deque(_copy_bin(each) for each in record.bins)
        self.capacities = deque(record.capacities)

    @property
    def record(self) -> SharesRecord:
        """The bins and the capacities as they are now."""
        return SharesRecord(tuple(map(_copy_bin, self.bins)), tuple(self.capacities))

    def present_bin(self, now_s: float) -> RequestBin:
        """Returns the bin of the present, and drops those older than two windows."""
        number = int(now_s / BIN_S)
        if not self.bins or self.bins[-1].number != number:
            self.bins.append(RequestBin(number))
        while self.bins[0].number <= number - 2 * WINDOW_BINS:
            self.bins.popleft()
        return self.bins[-1]

    def count_sent(self, is_recent: bool) -> dict[RegionName, int]:
        """Returns the requests sent by region in the present window or in the one before."""
        first = self.bins[-1].number - WINDOW_BINS
        counts: dict[RegionName, int] = {}
        for each in self.bins:
            if (each.number > first) is is_recent:
                for region, count in each.sent.items():
                    counts[region] = counts.get(region, 0) + count
        return counts

    def is_own_region_full(self) -> bool:
        """Returns whether full endpoints of the own region refuse many of the requests."""
        first = self.bins[-1].number - WINDOW_BINS
        recent = [each for each in self.bins if each.number > first]
        refused_by_own = sum(each.refused_by_own for each in recent)
        total = sum(sum(each.sent.values()) + each.refused for each in recent)
        return total >= MIN_REQUESTS and refused_by_own > MIN_FULL_FRACTION * total


class RegionShares:
    """The shares of the regions in a daemon's requests; times are monotonic seconds.

    `max_shift` is the part of the requests that may change their region between two windows of
    WINDOW_S seconds; with None nothing is held.
    """

    def __init__(
        self,
        own_region: RegionName,
        max_shift: float | None,
        records: Mapping[ServiceName, SharesRecord] = MappingProxyType({}),
    ) -> None:
        self.max_shift = max_shift
        self._own_region = own_region
        self._services = {name: _ServiceShares(record) for name, record in records.items()}

    @property
    def records(self) -> dict[ServiceName, SharesRecord]:
        """What is counted, by service."""
        return {name: shares.record for name, shares in self._services.items()}

    def needs_capacity(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether `observe_capacity` is to be called, as the last capacity is too old."""
        if self.max_shift is None:
            return False
        capacities = self._find(service).capacities
        return not capacities or now_s - capacities[-1][0] >= BIN_S

    def observe_capacity(self, service: ServiceName, slots: int, now_s: float) -> None:
        """Records how many slots the usable endpoints of the own region have."""
        capacities = self._find(service).capacities
        capacities.append((now_s, slots))
        while capacities[0][0] < now_s - CAPACITY_MEMORY_S:
            capacities.popleft()

    def count_sent(self, service: ServiceName, region: RegionName, now_s: float) -> None:
        """Counts a request that is sent to a region."""
        if self.max_shift is None:
            return
        sent = self._find(service).present_bin(now_s).sent
        sent[region] = sent.get(region, 0) + 1

    def count_refused(self, service: ServiceName, by_own_region: bool, now_s: float) -> None:
        """Counts a request that is refused, by full endpoints of the own region or otherwise."""
        if self.max_shift is None:
            return
        present = self._find(service).present_bin(now_s)
        present.refused += 1
        present.refused_by_own += by_own_region

    def may_send(self, service: ServiceName, region: RegionName, now_s: float) -> bool:
        """Returns whether one more request may be sent to a region."""
        if self.max_shift is None or region == self._own_region:
            return True
        shares = self._find(service)
        shares.present_bin(now_s)
        if not shares.is_own_region_full() or self._has_lost_capacity(shares):
            return True
        recent, before = shares.count_sent(True), shares.count_sent(False)
        if sum(before.values()) < MIN_REQUESTS:
            return True
        share_before = before.get(region, 0) / sum(before.values())
        share = (recent.get(region, 0) + 1) / (sum(recent.values()) + 1)
        return share <= share_before + SAFETY_FRACTION * self.max_shift

    @staticmethod
    def _has_lost_capacity(shares: _ServiceShares) -> bool:
        """Returns whether the own region has fewer usable slots than a short time ago."""
        slots = [count for _, count in shares.capacities]
        return not slots or slots[-1] < MIN_CAPACITY_FRACTION * max(slots)

    def _find(self, service: ServiceName) -> _ServiceShares:
        """Returns the shares of a service."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceShares()
        return found
