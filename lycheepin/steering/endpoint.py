"""One endpoint with the load, speed and failures that a daemon has observed.

Holds state only: events are passed in with their time. An endpoint is cold for some time after its
start or after an evacuation: its caches are empty, it is slow, and it may get only a limited rate
of requests. Otherwise it is warm.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import exp, inf, isfinite
from typing import Any

from lycheepin.names import Address, EndpointId, RegionName, ServiceName, ZoneName

__all__ = ["Endpoint", "EndpointProcess", "EndpointRecord", "hash_endpoint"]

# Weight of the newest sample in an endpoint's moving averages.
SMOOTHING = 0.3
# Largest factor by which other daemons' requests are assumed to have grown since the last report.
MAX_GROWTH = 3.0
# Time constants in seconds of the exponential decay of estimates: other daemons' requests decay
# to zero; an endpoint's processing time decays to its service's mean, and its rejected fraction to
# zero. An avoided endpoint yields no new samples, so without decay it would be avoided
# indefinitely.
LOAD_DECAY_S = 3.0
PROCESSING_DECAY_S = 5.0
# Time constant in seconds with which the slowness that an endpoint reported decays to 1: it changes
# many times a second.
SLOWNESS_DECAY_S = 0.3
# First exclusion of a failed endpoint in seconds; doubled with each further one up to the maximum.
FIRST_EXCLUSION_S = 0.5
MAX_EXCLUSION_S = 4.0
# Consecutive failures after which an endpoint is excluded.
FAILURES_TO_EXCLUDE = 3


def hash_endpoint(endpoint_id: EndpointId) -> Any:
    """Returns a hash object to which the key of an object can be added in a copy."""
    return blake2b(f"{endpoint_id}\0".encode(), digest_size=8)


@dataclass(frozen=True)
class EndpointProcess:
    """One process of an endpoint; `started_ms` is its start in Unix milliseconds."""

    id: EndpointId
    started_ms: int


@dataclass(frozen=True)
class EndpointRecord:
    """An endpoint as registered in the store; `cold_s` is its remaining cold time in seconds.

    `sequence` grows with each entry that the process writes, from its start on.
    """

    id: EndpointId
    service: ServiceName
    address: Address
    port: int
    zone: ZoneName
    region: RegionName
    slots: int
    draining: bool
    cold_s: float
    started_ms: int
    sequence: int = 0

    @property
    def process(self) -> EndpointProcess:
        """The process that the endpoint runs in."""
        return EndpointProcess(self.id, self.started_ms)


@dataclass
class Endpoint:
    """An endpoint with the load, speed and failures that this daemon has observed.

    Times are monotonic seconds. From `resumes_at_s` on, requests return to it after a pause; 0 if
    there was none. `reported_full` is true if its last report named no free slot.
    """

    record: EndpointRecord
    in_flight: int = 0
    cold_until_s: float = 0.0
    excluded_until_s: float = 0.0
    exclusion_s: float = 0.0
    failures: int = 0
    silences: int = 0
    missing_since_s: float | None = None
    removed: bool = False
    resumes_at_s: float = 0.0
    reported_full: bool = False
    id_hash: Any = field(init=False, repr=False, compare=False)
    _last_response_s: float = 0.0
    _other_requests: float = 0.0
    _in_flight_at_reports: float = 0.0
    _other_requests_updated_s: float = -inf
    _extra_processing_s: float = 0.0
    _extra_processing_updated_s: float = 0.0
    _rejected_fraction: float = 0.0
    _rejected_fraction_updated_s: float = 0.0
    _slowness: float = 1.0
    _slowness_updated_s: float = -inf

    def __post_init__(self) -> None:
        """Prepares the hash of the endpoint, which placement adds the keys of objects to."""
        self.id_hash = hash_endpoint(self.record.id)

    @property
    def process(self) -> EndpointProcess:
        """The process that the endpoint runs in."""
        return self.record.process

    @property
    def address(self) -> Address:
        """The address that the endpoint listens on."""
        return self.record.address

    @property
    def port(self) -> int:
        """The port that the endpoint listens on."""
        return self.record.port

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint ends as planned, or is known to have ended."""
        return self.record.draining or self.removed

    def start_request(self, now_s: float) -> None:
        """Counts a request that is sent to the endpoint."""
        if self.in_flight == 0:
            self._last_response_s = now_s
        self.in_flight += 1

    def end_request(self, now_s: float, responded: bool) -> None:
        """Ends a request; `responded` is true when the endpoint answered it."""
        self.in_flight -= 1
        if responded:
            self._last_response_s = now_s
            self.silences = 0

    def unresponsive_s(self, now_s: float) -> float:
        """Returns the seconds without an answer while requests are in flight, else 0."""
        return now_s - self._last_response_s if self.in_flight else 0.0

    def other_requests(self, now_s: float) -> float:
        """Returns the estimated number of other daemons' requests that run or wait there.

        A burst reaches all daemons at once, so the estimate grows in proportion to this daemon's
        own requests since the reports.
        """
        decayed = self._other_requests * exp(
            (self._other_requests_updated_s - now_s) / LOAD_DECAY_S
        )
        growth = self.in_flight / max(1.0, self._in_flight_at_reports)
        return decayed * min(MAX_GROWTH, max(1.0, growth))

    def report_age_s(self, now_s: float) -> float | None:
        """Returns the age of the last load report in seconds; None before the first."""
        age_s = now_s - self._other_requests_updated_s
        return age_s if isfinite(age_s) else None

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests that run or wait there."""
        return self.in_flight + self.other_requests(now_s)

    def extra_processing_s(self, now_s: float) -> float:
        """Returns its processing time in excess of its service's mean, in seconds."""
        return self._extra_processing_s * exp(
            (self._extra_processing_updated_s - now_s) / PROCESSING_DECAY_S
        )

    def observe_load(self, now_s: float, running: int, waiting: int) -> None:
        """Updates the estimate of other daemons' requests from the load that an answer reports.

        This daemon's own requests are subtracted, as their number is known exactly.
        """
        self.reported_full = running + waiting >= self.record.slots
        other_requests = max(0.0, running + waiting - self.in_flight)
        before = self._other_requests * exp((self._other_requests_updated_s - now_s) / LOAD_DECAY_S)
        self._other_requests = before + SMOOTHING * (other_requests - before)
        self._in_flight_at_reports += SMOOTHING * (self.in_flight - self._in_flight_at_reports)
        self._other_requests_updated_s = now_s

    @property
    def reports_slowness(self) -> bool:
        """Whether it has reported how slow its machine is."""
        return isfinite(self._slowness_updated_s)

    def slowness(self, now_s: float) -> float:
        """Returns the factor by which work is expected to take longer there than usual."""
        decay = exp(min(0.0, self._slowness_updated_s - now_s) / SLOWNESS_DECAY_S)
        return 1.0 + (self._slowness - 1.0) * decay

    def observe_slowness(self, now_s: float, slowness: float) -> None:
        """Records the factor by which work takes longer there than usual, as it reports it."""
        self._slowness = slowness
        self._slowness_updated_s = now_s

    def rejected_fraction(self, now_s: float) -> float:
        """Returns the recent fraction of requests that it rejected or failed, from 0 to 1."""
        return self._rejected_fraction * exp(
            (self._rejected_fraction_updated_s - now_s) / PROCESSING_DECAY_S
        )

    def observe_outcome(self, now_s: float, served: bool) -> None:
        """Updates the rejected fraction with the outcome of a request."""
        before = self.rejected_fraction(now_s)
        self._rejected_fraction = before + SMOOTHING * ((0.0 if served else 1.0) - before)
        self._rejected_fraction_updated_s = now_s

    def observe_full(self, now_s: float) -> None:
        """Updates the load estimate after a rejection for lack of a free slot.

        All slots are in use then, so other daemons use at least those that this daemon doesn't.
        """
        unaccounted = float(self.record.slots - self.in_flight)
        self._other_requests = max(self.other_requests(now_s), unaccounted)
        self._other_requests_updated_s = now_s

    def observe_processing(self, now_s: float, processing_s: float, mean_s: float) -> None:
        """Updates the extra processing time with a sample and its service's mean, in seconds."""
        before = self.extra_processing_s(now_s)
        self._extra_processing_s = before + SMOOTHING * (processing_s - mean_s - before)
        self._extra_processing_updated_s = now_s

    def observe_success(self) -> None:
        """Resets the failure count and the length of the next exclusion."""
        self.failures = 0
        self.exclusion_s = 0.0

    def observe_failure(self, now_s: float, exclude_now: bool = False) -> bool:
        """Counts a failure; returns whether the endpoint is excluded for it.

        The endpoint is excluded after FAILURES_TO_EXCLUDE failures in a row, or at once with
        `exclude_now`.
        """
        self.failures += 1
        if self.failures < FAILURES_TO_EXCLUDE and not exclude_now:
            return False
        self._exclude(now_s)
        return True

    def observe_silence(self, now_s: float) -> bool:
        """Counts a request that another endpoint answered first; returns whether it is excluded.

        It is excluded after FAILURES_TO_EXCLUDE of them without any answer.
        """
        self.silences += 1
        if self.silences < FAILURES_TO_EXCLUDE:
            return False
        self.silences = 0
        self._exclude(now_s)
        return True

    def _exclude(self, now_s: float) -> None:
        """Excludes the endpoint, each time for longer until it answers."""
        self.exclusion_s = min(MAX_EXCLUSION_S, max(FIRST_EXCLUSION_S, 2 * self.exclusion_s))
        self.excluded_until_s = now_s + self.exclusion_s
        self.resumes_at_s = self.excluded_until_s

    def make_cold(self, until_s: float) -> None:
        """Makes the endpoint cold until a time, after which requests return to it by and by."""
        self.cold_until_s = self.resumes_at_s = until_s

    def observe_crash(self, now_s: float) -> None:
        """Excludes the endpoint for the longest time, as its process is known to have crashed."""
        self.exclusion_s = MAX_EXCLUSION_S
        self.excluded_until_s = now_s + MAX_EXCLUSION_S
        self.resumes_at_s = self.excluded_until_s

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the endpoint is cold."""
        return now_s < self.cold_until_s
