"""Limits on requests per second that endpoints in need name, for all daemons together.

Load addressed: endpoints that look idle, as they take less than their slots would allow, while each
of many daemons sees a small part of their requests. Each daemon spends a share of the limit in a
sliding window, so the sum stays within the limit without communication.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import floor
from types import MappingProxyType

from lycheepin.names import DaemonName, EndpointId
from lycheepin.steering.budgets import Carriers
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.spreading import spread_fraction

__all__ = ["LimitRecord", "RateLimits"]

# Window in seconds in which a share of a limit is spent; longer for limits below one request in it.
WINDOW_S = 4.0
MAX_WINDOW_S = 60.0
# Part of a limit that the daemons without a share may use together. Each sends one request in a
# long time, since only an answer tells that the limit has ended.
PROBE_FRACTION = 0.25


@dataclass
class _Limit:
    """A limit in requests per second, and when it was last named."""

    per_s: float
    named_at_s: float

    @property
    def window_s(self) -> float:
        """The window in which the limit allows at least one request, in seconds."""
        return min(MAX_WINDOW_S, max(WINDOW_S, 1 / self.per_s if self.per_s else MAX_WINDOW_S))

    @property
    def allowed(self) -> int:
        """The number of requests that all daemons may send in a window, at least 1."""
        return max(1, floor(self.per_s * self.window_s))


@dataclass(frozen=True)
class LimitRecord:
    """The limit of an endpoint as a value, None if it has ended, and the times of requests."""

    per_s: float | None
    named_at_s: float
    sent_s: tuple[float, ...]


class RateLimits:
    """The limits that endpoints have named to this daemon, and its shares of them.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        own: DaemonName,
        carriers: Carriers,
        records: Mapping[EndpointId, LimitRecord] = MappingProxyType({}),
    ) -> None:
        self._own = own
        self._carriers = carriers
        self._limits = {
            name: _Limit(record.per_s, record.named_at_s)
            for name, record in records.items()
            if record.per_s is not None
        }
        self._sent_s = {name: deque(record.sent_s) for name, record in records.items()}

    @property
    def records(self) -> dict[EndpointId, LimitRecord]:
        """The limits, and the counted requests, by endpoint."""
        ended = _Limit(0.0, 0.0)
        return {
            name: LimitRecord(
                self._limits[name].per_s if name in self._limits else None,
                self._limits.get(name, ended).named_at_s,
                tuple(sent_s),
            )
            for name, sent_s in self._sent_s.items()
        }

    @property
    def count(self) -> int:
        """The number of endpoints with a limit."""
        return len(self._limits)

    def find_limit(self, endpoint_id: EndpointId) -> float | None:
        """Returns the limit of an endpoint in requests per second, or None if it has none."""
        limit = self._limits.get(endpoint_id)
        return limit.per_s if limit is not None else None

    def observe_answer(
        self, endpoint_id: EndpointId, per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Applies what an answer says of a limit; returns whether this changes it.

        `per_s` is None if the answer names none, and `sent_s` the time at which its request was
        sent. An answer to a request from before the limit was last named can't raise or end it:
        answers may arrive in another order than they were given.
        """
        current = self._limits.get(endpoint_id)
        if current is None:
            if per_s is None:
                return False
            self._limits[endpoint_id] = _Limit(per_s, now_s)
            self._sent_s.setdefault(endpoint_id, deque())
            return True
        if sent_s < current.named_at_s and (per_s is None or per_s > current.per_s):
            return False
        if per_s is None:
            del self._limits[endpoint_id]
            return True
        changed = per_s != current.per_s
        current.per_s, current.named_at_s = per_s, now_s
        return changed

    def wait_s(self, endpoint: EndpointRecord, now_s: float) -> float:
        """Returns the seconds until this daemon may send an endpoint a request; 0 for at once."""
        limit = self._limits.get(endpoint.id)
        if limit is None:
            return 0.0
        sent_s = self._sent_s[endpoint.id]
        share = self._carriers.find_share(endpoint.id, limit.allowed, now_s, endpoint.region)
        if not share.requests:
            last_s = sent_s[-1] if sent_s else limit.named_at_s
            interval_s = self._probe_interval_s(endpoint.id, limit, share.carriers_without)
            return max(0.0, last_s + interval_s - now_s)
        if len(sent_s) < share.requests:
            return 0.0
        return max(0.0, sent_s[-share.requests] + limit.window_s - now_s)

    def count_request(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Counts a request that is sent to an endpoint which has, or once had, a limit."""
        sent_s = self._sent_s.get(endpoint_id)
        if sent_s is None:
            return
        limit = self._limits.get(endpoint_id)
        window_s = limit.window_s if limit is not None else WINDOW_S
        sent_s.append(now_s)
        while sent_s[0] <= now_s - window_s:
            sent_s.popleft()

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the limit of an endpoint that no longer exists."""
        self._limits.pop(endpoint_id, None)
        self._sent_s.pop(endpoint_id, None)

    def _probe_interval_s(
        self, endpoint_id: EndpointId, limit: _Limit, carriers_without: int
    ) -> float:
        """Returns the time between requests of a daemon without a share, in seconds.

        A hash spreads the daemons, which learn of a limit at about the same time.
        """
        spread = spread_fraction(self._own, endpoint_id)
        mean_s = limit.window_s * max(1, carriers_without) / (PROBE_FRACTION * limit.allowed)
        return max(limit.window_s, mean_s * (0.5 + spread))
