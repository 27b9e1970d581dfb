"""What a daemon believes about the endpoints and zones of a deployment, and since when.

Plain state: events come in with the time, and the rest of the core reads it. Answers the load of
endpoints that come, go, turn cold or fall silent while the store that lists them is away.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from math import exp

from lycheepin.names import Address, EndpointId, RegionName, ServiceName, ZoneName

__all__ = ["Endpoint", "EndpointRecord", "EndpointRegistry"]

# Entries that lapsed in an outage of the store are back within 2 s of its return; 0.3 s are for
# the way of the news to this daemon.
REAPPEAR_S = 2.3
# Weight of the newest sample in an endpoint's moving averages of load and work time.
SMOOTHING = 0.3
# Weight of the newest sample in a service's moving average of work time: some 20 answers.
SERVICE_SMOOTHING = 0.05
# Work time in seconds before a service has answered anything: its first work is on objects that
# no endpoint knows yet.
FIRST_WORK_S = 1.0
# How many times the reported load of others may be taken to have grown.
MAX_GROWTH = 3.0
# Time constants in seconds with which old beliefs give way: the load of others to none, an
# endpoint's work time to its service's. An endpoint that is avoided is not heard from, and must
# not be avoided for ever.
LOAD_MEMORY_S = 3.0
WORK_MEMORY_S = 5.0
# Shortest work time in seconds that is believed.
MIN_WORK_S = 0.001
# Part of an endpoint's slots beyond which waiting is expected: estimates of load are late.
CROWDED_PART = 0.7
# Time in seconds that a request loses when it is turned away and has to be sent again.
RETURN_COST_S = 0.5
# Silence for which an endpoint with requests of this daemon is not doubted: in seconds, and in
# usual work times, which differ little within a service.
MIN_UNRESPONSIVE_S = 1.0
WORKS_OF_SILENCE = 3.0
# First exclusion of an endpoint that failed, doubled up to the last, in seconds.
FIRST_EXCLUSION_S = 0.5
LAST_EXCLUSION_S = 4.0
# Failures in a row that exclude an endpoint.
FAILURES_TO_EXCLUDE = 3


@dataclass(frozen=True)
class EndpointRecord:
    """One endpoint as it registered itself; `cold_s` is how much longer it stays cold."""

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


@dataclass
class Endpoint:
    """An endpoint with what this daemon has seen of it itself."""

    record: EndpointRecord
    in_flight: int = 0
    cold_until_s: float = 0.0
    excluded_until_s: float = 0.0
    exclusion_s: float = 0.0
    failures: int = 0
    missing_since_s: float | None = None
    gone: bool = False
    _heard_s: float = 0.0
    _others: float = 0.0
    _own_then: float = 0.0
    _others_at_s: float = 0.0
    _extra_work_s: float = 0.0
    _extra_work_at_s: float = 0.0
    _turned_away: float = 0.0
    _turned_away_at_s: float = 0.0

    def start_request(self, now_s: float) -> None:
        """Counts a request that is sent there."""
        if self.in_flight == 0:
            self._heard_s = now_s
        self.in_flight += 1

    def end_request(self, now_s: float, heard: bool) -> None:
        """Ends a request; `heard` tells whether the endpoint answered it."""
        self.in_flight -= 1
        if heard:
            self._heard_s = now_s

    def unresponsive_s(self, now_s: float) -> float:
        """Returns for how long nothing has been heard while requests were sent, in seconds."""
        return now_s - self._heard_s if self.in_flight else 0.0

    def other_requests(self, now_s: float) -> float:
        """Returns the estimate of the other daemons' requests that run or wait there.

        A burst reaches all daemons at once: where this one has more requests than at the time of
        the reports, the others are taken to have more as well.
        """
        faded = self._others * exp((self._others_at_s - now_s) / LOAD_MEMORY_S)
        growth = self.in_flight / max(1.0, self._own_then)
        return faded * min(MAX_GROWTH, max(1.0, growth))

    def load(self, now_s: float) -> float:
        """Returns the estimate of all requests that run or wait there."""
        return self.in_flight + self.other_requests(now_s)

    def extra_work_s(self, now_s: float) -> float:
        """Returns by how much its work takes longer than its service's, in seconds."""
        return self._extra_work_s * exp((self._extra_work_at_s - now_s) / WORK_MEMORY_S)

    def observe_load(self, now_s: float, running: int, waiting: int) -> None:
        """Takes in the load that an answer reported; this daemon's own part is known better."""
        others = max(0.0, running + waiting - self.in_flight)
        before = self._others * exp((self._others_at_s - now_s) / LOAD_MEMORY_S)
        self._others = before + SMOOTHING * (others - before)
        self._own_then += SMOOTHING * (self.in_flight - self._own_then)
        self._others_at_s = now_s

    def turned_away(self, now_s: float) -> float:
        """Returns the recent part of requests that it turned away or failed, 0 to 1."""
        return self._turned_away * exp((self._turned_away_at_s - now_s) / WORK_MEMORY_S)

    def observe_outcome(self, now_s: float, served: bool) -> None:
        """Takes in whether a request was served."""
        before = self.turned_away(now_s)
        self._turned_away = before + SMOOTHING * ((0.0 if served else 1.0) - before)
        self._turned_away_at_s = now_s

    def observe_full(self, now_s: float) -> None:
        """Takes in that the endpoint turned a request away: all its slots are in use."""
        full = float(self.record.slots - self.in_flight)
        self._others = max(self.other_requests(now_s), full)
        self._others_at_s = now_s

    def observe_work(self, now_s: float, work_s: float, usual_s: float) -> None:
        """Takes in the work time of an answer, and what is usual for the service."""
        before = self.extra_work_s(now_s)
        self._extra_work_s = before + SMOOTHING * (work_s - usual_s - before)
        self._extra_work_at_s = now_s

    def observe_success(self) -> None:
        """Ends a suspicion."""
        self.failures = 0
        self.exclusion_s = 0.0

    def observe_failure(self, now_s: float, at_once: bool = False) -> bool:
        """Counts a failure; returns whether the endpoint is now excluded for a while."""
        self.failures += 1
        if self.failures < FAILURES_TO_EXCLUDE and not at_once:
            return False
        self.exclusion_s = min(LAST_EXCLUSION_S, max(FIRST_EXCLUSION_S, 2 * self.exclusion_s))
        self.excluded_until_s = now_s + self.exclusion_s
        return True

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the endpoint is still cold."""
        return now_s < self.cold_until_s


class EndpointRegistry:
    """All endpoints by service, and the zones that are evacuated."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._by_service: dict[ServiceName, list[Endpoint]] = {}
        self.evacuated_zones: set[ZoneName] = set()
        self.generation = 0
        self._work_s: dict[ServiceName, float] = {}
        self._answers: dict[ServiceName, int] = {}
        self._trusted_after_s = 0.0
        self._outage = False
        self.on_removed: Callable[[EndpointRecord], None] = lambda record: None

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Returns an endpoint by its id, or None."""
        return self._endpoints.get(endpoint_id)

    def endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Returns the endpoints of a service that are not known to be gone."""
        return self._by_service.get(service, [])

    def all(self) -> Iterator[Endpoint]:
        """Yields all endpoints that are not known to be gone."""
        yield from self._endpoints.values()

    def work_s(self, service: ServiceName) -> float:
        """Returns the usual work time of a service in seconds."""
        return self._work_s.get(service, FIRST_WORK_S)

    def observe_answer(self, endpoint: Endpoint, now_s: float, duration_s: float) -> None:
        """Takes in how long an answer took; what it waited for a slot is not work."""
        service = endpoint.record.service
        crowding = max(1.0, endpoint.load(now_s) / endpoint.record.slots)
        work_s = duration_s / crowding
        usual_s = self.work_s(service)
        self._answers[service] = self._answers.get(service, 0) + 1
        weight = max(SERVICE_SMOOTHING, 1 / self._answers[service])
        self._work_s[service] = usual_s + weight * (work_s - usual_s)
        endpoint.observe_work(now_s, work_s, usual_s)

    def predict_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns the expected seconds from now to an answer of an endpoint."""
        slots = endpoint.record.slots
        work_s = max(
            MIN_WORK_S, self.work_s(endpoint.record.service) + endpoint.extra_work_s(now_s)
        )
        crowd = max(0.0, endpoint.load(now_s) + 1 - CROWDED_PART * slots)
        answer_s = work_s * (1 + crowd / slots) + RETURN_COST_S * endpoint.turned_away(now_s)
        silence_s = endpoint.unresponsive_s(now_s)
        return (
            answer_s + silence_s
            if silence_s > self.unresponsive_limit_s(endpoint, now_s)
            else answer_s
        )

    def unresponsive_limit_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns for how long an endpoint may be silent before it is doubted, in seconds."""
        work_s = self.work_s(endpoint.record.service) + endpoint.extra_work_s(now_s)
        return max(MIN_UNRESPONSIVE_S, WORKS_OF_SILENCE * work_s)

    def is_silent(self, endpoint: Endpoint, now_s: float) -> bool:
        """Returns whether an endpoint has fallen silent: its other requests wait as well."""
        return endpoint.unresponsive_s(now_s) >= self.unresponsive_limit_s(endpoint, now_s)

    def register(self, record: EndpointRecord, now_s: float) -> bool:
        """Takes in an entry; returns whether that changed who may be used."""
        known = self._endpoints.get(record.id)
        if known is None or known.record.started_ms != record.started_ms:
            endpoint = Endpoint(record)
            endpoint.cold_until_s = now_s + record.cold_s
            if known is not None:
                self.on_removed(known.record)
            self._endpoints[record.id] = endpoint
            self._reindex()
            return True
        changed = known.record.draining != record.draining or known.missing_since_s is not None
        known.missing_since_s = None
        moved = known.record != record
        known.record = record
        known.cold_until_s = max(known.cold_until_s, now_s + record.cold_s) if record.cold_s else 0
        if changed or moved:
            self._reindex()
        return changed

    def remove(self, endpoint_id: EndpointId, now_s: float) -> bool:
        """Takes in that an entry is missing; returns whether the endpoint is now gone.

        After an outage of the store an entry may be missing although the endpoint is alive, so it
        stays in use until the time for its return has passed.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        if self._outage or now_s < self._trusted_after_s:
            endpoint.missing_since_s = now_s
            return False
        self._forget(endpoint)
        return True

    def mark_gone(self, endpoint_id: EndpointId) -> None:
        """Forgets an endpoint whose address was seen to belong to another one."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            self._forget(endpoint)

    def observe_store_outage(self) -> None:
        """Notes that the store can't be reached: missing entries prove nothing for a while."""
        self._outage = True

    def observe_store_recovery(self, now_s: float) -> None:
        """Notes that the store answers again."""
        if self._outage:
            self._outage = False
            self._trusted_after_s = now_s + REAPPEAR_S

    def expire_missing(self, now_s: float) -> list[EndpointId]:
        """Forgets endpoints whose entries did not come back in time; returns their ids."""
        if self._outage or now_s < self._trusted_after_s:
            return []
        late = [e for e in self._endpoints.values() if e.missing_since_s is not None]
        for endpoint in late:
            self._forget(endpoint)
        return [endpoint.record.id for endpoint in late]

    def missing_from(self, listed: Iterable[EndpointId]) -> list[EndpointId]:
        """Returns the ids that are known here and not in a complete list of entries."""
        present = set(listed)
        return [endpoint_id for endpoint_id in self._endpoints if endpoint_id not in present]

    def evacuate(self, zone: ZoneName, active: bool, now_s: float, cold_s: float) -> None:
        """Starts or ends the evacuation of a zone, whose endpoints are taken to be cold after."""
        if active:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
            for endpoint in self._endpoints.values():
                if endpoint.record.zone == zone:
                    endpoint.cold_until_s = max(endpoint.cold_until_s, now_s + cold_s)
        self.generation += 1

    def _forget(self, endpoint: Endpoint) -> None:
        """Removes an endpoint."""
        endpoint.gone = True
        del self._endpoints[endpoint.record.id]
        self._reindex()
        self.on_removed(endpoint.record)

    def _reindex(self) -> None:
        """Builds the index by service anew."""
        self.generation += 1
        index: dict[ServiceName, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            index.setdefault(endpoint.record.service, []).append(endpoint)
        self._by_service = index
