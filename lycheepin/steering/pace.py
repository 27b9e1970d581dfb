"""How fast requests return to an endpoint that has just started or recovered.

Load addressed: all daemons return to an endpoint in the same moment, when its cold time, its
exclusion or the evacuation of its zone ends. Its caches are empty, so its usual share of requests
is more than it can process, while the endpoints that stood in for it still know its objects. The
pace is found from its answers: the requests that a daemon may have in flight there grow with each
answer in time, and fall with late answers while it is full, refusals and failures, until the limit
binds no more.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from lycheepin.names import EndpointId
from lycheepin.steering.budgets import Carriers
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry

__all__ = ["Pace", "Paces"]

# Requests in flight that all daemons together may have for each slot, at the start and at least: a
# part of the daemons has none to send.
START_PER_SLOT, LEAST_PER_SLOT = 2.0, 0.5
# Smallest number of requests in flight, on average, of a daemon without a share.
MIN_WINDOW = 0.02
# While an endpoint has free slots, it is given time to learn objects: answers within this factor of
# their target raise the limit.
LEARNING_FACTOR = 2.0
# Fraction of an endpoint's slots from which on a daemon's limit binds no more.
OVER_FRACTION = 0.5
# Factor on the limit after a late answer, a refusal or a failure.
DECREASE_FACTOR = 0.5


@dataclass
class Pace:
    """One daemon's limit on its requests in flight at an endpoint, from `resumes_at_s` on.

    `window` is the limit, None before the first request, and `least` its lower bound. Below 1 it
    is an average: one request is in flight for that fraction of the time. `threshold` is the limit
    up to which each answer adds one, or doubles a smaller limit, None for any; beyond, as many
    answers as it allows add one. Times are monotonic seconds.
    """

    resumes_at_s: float
    window: float | None = None
    threshold: float | None = None
    last_start_s: float | None = None
    last_decrease_s: float = 0.0
    duration_s: float = 0.0
    least: float = MIN_WINDOW

    def may_start(
        self, in_flight: int, slots: int, share: float, processing_s: float, now_s: float
    ) -> bool:
        """Returns whether a request may be sent.

        `share` is this daemon's part of all requests and `processing_s` the mean processing time.
        """
        if self.window is None:
            self.window = max(MIN_WINDOW, START_PER_SLOT * slots * share)
            self.least = max(MIN_WINDOW, LEAST_PER_SLOT * slots * share)
        if self.window >= 1.0:
            return in_flight + 1 <= self.window
        pause_s = max(processing_s, self.duration_s) / self.window
        rested = self.last_start_s is None or now_s >= self.last_start_s + pause_s
        return in_flight == 0 and rested

    def is_over(self, slots: int) -> bool:
        """Returns whether the limit has grown so far that it binds no more."""
        return self.window is not None and self.window >= OVER_FRACTION * slots

    def count_start(self, now_s: float) -> None:
        """Records that a request is sent."""
        self.last_start_s = now_s

    def observe_answer(self, started_s: float, target_s: float, full: bool, now_s: float) -> None:
        """Applies an answer to a request that was sent at a time.

        A late one lowers the limit if the endpoint reported with it that it is `full`.
        """
        if started_s < self.resumes_at_s or self.window is None:
            return
        self.duration_s = now_s - started_s
        if full and self.duration_s > target_s:
            self.observe_failure(started_s, now_s)
        elif self.duration_s <= LEARNING_FACTOR * target_s:
            self._raise_limit(self.window)

    def _raise_limit(self, window: float) -> None:
        """Raises the limit from `window` after an answer in time."""
        step = min(1.0, window)
        if self.threshold is not None and window >= self.threshold:
            step /= max(1.0, window)
        self.window = window + step

    def observe_failure(self, started_s: float, now_s: float) -> None:
        """Applies a refusal or a failure; those of requests sent before the last one count once."""
        if self.window is None or started_s < max(self.resumes_at_s, self.last_decrease_s):
            return
        self.window = self.threshold = max(self.least, DECREASE_FACTOR * self.window)
        self.last_decrease_s = now_s


class Paces:
    """One daemon's limits at all endpoints of services that report their slowness.

    `paces` are those of the dispatcher that this one's is a copy of. Nothing is limited while
    `is_enabled` is false.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        carriers: Carriers,
        paces: Mapping[EndpointId, Pace] = MappingProxyType({}),
    ) -> None:
        self._registry = registry
        self._carriers = carriers
        self.is_enabled = True
        self._paces = {endpoint_id: replace(pace) for endpoint_id, pace in paces.items()}

    @property
    def records(self) -> dict[EndpointId, Pace]:
        """The limits by endpoint, as values of their own."""
        return {endpoint_id: replace(pace) for endpoint_id, pace in self._paces.items()}

    def may_start(self, endpoint: Endpoint, now_s: float) -> bool:
        """Returns whether a request keeps to the pace of an endpoint."""
        pace = self._find(endpoint)
        service, slots = endpoint.record.service, endpoint.record.slots
        return pace is None or pace.may_start(
            endpoint.in_flight,
            slots,
            self._carriers.slack_fraction(now_s),
            self._registry.mean_processing_s(service),
            now_s,
        )

    def count_start(self, endpoint: Endpoint, now_s: float) -> None:
        """Records that a request is sent to an endpoint."""
        if (pace := self._find(endpoint)) is not None:
            pace.count_start(now_s)

    def observe_answer(
        self, endpoint: Endpoint, started_s: float, target_s: float, now_s: float
    ) -> None:
        """Applies an endpoint's answer to a request that was sent at a time."""
        if (pace := self._find(endpoint)) is not None:
            pace.observe_answer(started_s, target_s, endpoint.reported_full, now_s)

    def observe_failure(self, endpoint: Endpoint, started_s: float, now_s: float) -> None:
        """Applies a refusal or a failure of a request that was sent at a time."""
        if (pace := self._find(endpoint)) is not None:
            pace.observe_failure(started_s, now_s)

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the limit at an endpoint that no longer exists."""
        self._paces.pop(endpoint_id, None)

    def _find(self, endpoint: Endpoint) -> Pace | None:
        """Returns the limit at an endpoint that binds; a new one after each pause."""
        record = endpoint.record
        if not self.is_enabled or endpoint.removed or not endpoint.resumes_at_s:
            return None
        if not self._registry.is_uneven(record.service):
            return None
        pace = self._paces.get(record.id)
        if pace is None or pace.resumes_at_s != endpoint.resumes_at_s:
            pace = self._paces[record.id] = Pace(endpoint.resumes_at_s)
        return None if pace.is_over(record.slots) else pace
