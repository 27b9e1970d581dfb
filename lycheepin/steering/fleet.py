"""What a daemon believes about the endpoints and zones of a deployment, and since when.

Plain state: events come in with the time, and the rest of the core reads it. Answers the load of
endpoints that come, go, turn cold or fall silent while the store that lists them is away.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from lycheepin.names import Address, EndpointId, RegionName, ServiceName, ZoneName

__all__ = ["Endpoint", "EndpointRecord", "Fleet"]

# Entries that lapsed in an outage of the store are back within 2 s of its return; 0.3 s are for
# the way of the news to this daemon.
REAPPEAR_S = 2.3
# Weight of the newest sample in moving averages of load and work time.
SMOOTHING = 0.25
# Work time in seconds that an endpoint is given before it has answered anything.
FIRST_WORK_S = 0.35
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
    born_ms: int


@dataclass
class Endpoint:
    """An endpoint with what this daemon has seen of it itself."""

    record: EndpointRecord
    in_flight: int = 0
    others: float = 0.0
    work_s: float = FIRST_WORK_S
    cold_until_s: float = 0.0
    excluded_until_s: float = 0.0
    exclusion_s: float = 0.0
    failures: int = 0
    last_heard_s: float = 0.0
    missing_since_s: float | None = None
    gone: bool = False
    oldest_sent_s: dict[int, float] = field(default_factory=dict)

    @property
    def occupancy(self) -> float:
        """Requests that run or wait there: this daemon's own, and an estimate of the others'."""
        return self.in_flight + self.others

    def observe_load(self, running: int, waiting: int) -> None:
        """Takes in the load that an answer reported; this daemon's own part is known better."""
        others = max(0.0, running + waiting - self.in_flight)
        self.others += SMOOTHING * (others - self.others)

    def observe_answer(self, now_s: float, duration_s: float) -> None:
        """Takes in an answer of the endpoint, good or bad."""
        self.last_heard_s = now_s
        crowding = max(1.0, self.occupancy / max(1, self.record.slots))
        self.work_s += SMOOTHING * (duration_s / crowding - self.work_s)

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


class Fleet:
    """All endpoints by service, and the zones that are evacuated."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._by_service: dict[ServiceName, list[Endpoint]] = {}
        self.evacuated: set[ZoneName] = set()
        self.generation = 0
        self._trusted_after_s = 0.0
        self._outage = False
        self.on_gone: Callable[[EndpointRecord], None] = lambda record: None

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Returns an endpoint by its id, or None."""
        return self._endpoints.get(endpoint_id)

    def endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Returns the endpoints of a service that are not known to be gone."""
        return self._by_service.get(service, [])

    def all(self) -> Iterator[Endpoint]:
        """Yields all endpoints that are not known to be gone."""
        yield from self._endpoints.values()

    def register(self, record: EndpointRecord, now_s: float) -> bool:
        """Takes in an entry; returns whether that changed who may be used."""
        known = self._endpoints.get(record.id)
        if known is None or known.record.born_ms != record.born_ms:
            endpoint = Endpoint(record)
            endpoint.cold_until_s = now_s + record.cold_s
            endpoint.last_heard_s = now_s
            if known is not None:
                self.on_gone(known.record)
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

    def observe_outage(self) -> None:
        """Notes that the store can't be reached: missing entries prove nothing for a while."""
        self._outage = True

    def observe_return(self, now_s: float) -> None:
        """Notes that the store answers again."""
        if self._outage:
            self._outage = False
            self._trusted_after_s = now_s + REAPPEAR_S

    def settle(self, now_s: float) -> list[EndpointId]:
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
            self.evacuated.add(zone)
        else:
            self.evacuated.discard(zone)
            for endpoint in self._endpoints.values():
                if endpoint.record.zone == zone:
                    endpoint.cold_until_s = max(endpoint.cold_until_s, now_s + cold_s)
        self.generation += 1

    def _forget(self, endpoint: Endpoint) -> None:
        """Removes an endpoint."""
        endpoint.gone = True
        del self._endpoints[endpoint.record.id]
        self._reindex()
        self.on_gone(endpoint.record)

    def _reindex(self) -> None:
        """Builds the index by service anew."""
        self.generation += 1
        index: dict[ServiceName, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            index.setdefault(endpoint.record.service, []).append(endpoint)
        self._by_service = index
