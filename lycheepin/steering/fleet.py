"""Endpoints and evacuated zones of a deployment, as known to one daemon.

Holds state only: events are passed in with their time, and the decision code reads the result. It
covers endpoints that start, stop, turn cold or become unresponsive, also while the store that
lists them can't be reached.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice

from lycheepin.names import EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.endpoint import Endpoint, EndpointProcess, EndpointRecord
from lycheepin.steering.store_contact import StoreContact

__all__ = ["EndpointRegistry", "OrderChange"]

# Weight of the newest sample in a service's mean processing time: averages about 20 answers.
SERVICE_SMOOTHING = 0.05
# Processing time in seconds that is assumed before a service has answered: its first requests are
# for objects that no endpoint has in its cache.
INITIAL_PROCESSING_S = 1.0
# Lower bound in seconds of the processing time that is expected of an endpoint.
MIN_PROCESSING_S = 0.001
# Fraction of an endpoint's slots above which requests are expected to wait: estimates of load lag
# behind.
CROWDED_FRACTION = 0.7
# Time in seconds that a request loses when it is rejected and has to be sent again.
REJECTION_COST_S = 0.5
# An endpoint that has requests of this daemon is suspected when it has not answered for a time: at
# least MIN_UNRESPONSIVE_S seconds, and UNRESPONSIVE_FACTOR times its expected processing time.
# Processing times vary little within a service.
MIN_UNRESPONSIVE_S = 1.0
UNRESPONSIVE_FACTOR = 3.0
# Number of removed processes of endpoints that are remembered.
MAX_REMOVED = 4096
# Number of changes that are kept for orders of endpoints; an order that is further behind is
# computed again, which costs about as much as applying them.
MAX_ORDER_CHANGES = 256


@dataclass(frozen=True)
class OrderChange:
    """An endpoint whose position in the orders of its service changes, or that leaves them."""

    service: ServiceName
    endpoint: Endpoint
    present: bool


# Endpoints of one service with equal numbers of slots in one region have equal weights in orders.
_Group = tuple[int, RegionName]


class EndpointRegistry:
    """All endpoints by id, by service and by weight, and the evacuated zones.

    `order_change_count` is the number of changes of the orders of endpoints, and `missing_count`
    the number of endpoints that are missing from the store. `contact` tells whether these have
    left. `on_removed` is called with the record of each removed endpoint.
    """

    def __init__(self) -> None:
        self.contact = StoreContact()
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._groups: dict[ServiceName, dict[_Group, dict[EndpointId, Endpoint]]] = {}
        self._order_changes: deque[OrderChange] = deque(maxlen=MAX_ORDER_CHANGES)
        self.order_change_count = 0
        self.missing_count = 0
        self.evacuated_zones: set[ZoneName] = set()
        self._mean_processing_s: dict[ServiceName, float] = {}
        self._answers: dict[ServiceName, int] = {}
        self._uneven_services: set[ServiceName] = set()
        self._removed: OrderedDict[EndpointProcess, int] = OrderedDict()
        self._removed_before_copy: dict[EndpointProcess, int] = {}
        self._known_before_copy: dict[EndpointProcess, int] = {}
        self._unlisted_evacuations: dict[ZoneName, float] = {}
        self.on_removed: Callable[[EndpointRecord], None] = lambda record: None

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Returns an endpoint by its id, or None."""
        return self._endpoints.get(endpoint_id)

    def endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Returns the registered endpoints of a service."""
        return [endpoint for _, group in self.groups(service) for endpoint in group]

    def groups(self, service: ServiceName) -> Iterator[tuple[_Group, list[Endpoint]]]:
        """Yields the endpoints of a service by their number of slots and their region."""
        for group, endpoints in self._groups.get(service, {}).items():
            yield group, list(endpoints.values())

    def order_changes_after(self, count: int) -> Iterable[OrderChange] | None:
        """Returns the changes after the first `count` ones; None if they are no longer kept."""
        newer = self.order_change_count - count
        if newer > len(self._order_changes):
            return None
        return islice(self._order_changes, len(self._order_changes) - newer, None) if newer else ()

    def all(self) -> Iterator[Endpoint]:
        """Yields all registered endpoints."""
        yield from self._endpoints.values()

    def mean_processing_s(self, service: ServiceName) -> float:
        """Returns the moving average of a service's processing time in seconds."""
        return self._mean_processing_s.get(service, INITIAL_PROCESSING_S)

    def mean_processing_times_s(self) -> dict[ServiceName, float]:
        """Returns the moving averages of all services that have answered, in seconds."""
        return dict(self._mean_processing_s)

    def restore(
        self, endpoints: Iterable[Endpoint], mean_processing_s: Mapping[ServiceName, float]
    ) -> None:
        """Adds endpoints as they were observed, and the processing times of services."""
        for endpoint in endpoints:
            self._endpoints[endpoint.record.id] = endpoint
            self._add_to_orders(endpoint)
            self.missing_count += endpoint.missing_since_s is not None
            if endpoint.reports_slowness:
                self._uneven_services.add(endpoint.record.service)
        self._mean_processing_s.update(mean_processing_s)

    def is_uneven(self, service: ServiceName) -> bool:
        """Returns whether endpoints of a service have reported how slow their machines are."""
        return service in self._uneven_services

    def observe_answer(
        self, endpoint: Endpoint, now_s: float, duration_s: float, slowness: float = 1.0
    ) -> None:
        """Updates processing times with the duration of an answer, less its estimated wait.

        `slowness` is the factor by which work took longer there, as reported with the answer.
        """
        service = endpoint.record.service
        if endpoint.reports_slowness:
            self._uneven_services.add(service)
        crowding = max(1.0, endpoint.load(now_s) / endpoint.record.slots)
        processing_s = duration_s / (crowding * slowness)
        mean_s = self.mean_processing_s(service)
        self._answers[service] = self._answers.get(service, 0) + 1
        weight = max(SERVICE_SMOOTHING, 1 / self._answers[service])
        self._mean_processing_s[service] = mean_s + weight * (processing_s - mean_s)
        endpoint.observe_processing(now_s, processing_s, mean_s)

    def observe_silence(self, endpoint: Endpoint, now_s: float, waited_s: float) -> bool:
        """Records that an endpoint had not answered a request after a time that others need.

        Returns whether it is excluded, as it has not answered any of several requests in a row.
        """
        crowding = max(1.0, endpoint.load(now_s) / endpoint.record.slots)
        processing_s = waited_s / (crowding * endpoint.slowness(now_s))
        mean_s = self.mean_processing_s(endpoint.record.service)
        if processing_s > mean_s + endpoint.extra_processing_s(now_s):
            endpoint.observe_processing(now_s, processing_s, mean_s)
        return endpoint.observe_silence(now_s)

    def predict_answer_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns the expected time to an answer of an endpoint, in seconds.

        It covers processing, waiting, the cost of a possible rejection and, for an unresponsive
        endpoint, the time that it has not answered.
        """
        slots = endpoint.record.slots
        usual_s = self.mean_processing_s(endpoint.record.service) + endpoint.extra_processing_s(
            now_s
        )
        processing_s = max(MIN_PROCESSING_S, usual_s * endpoint.slowness(now_s))
        excess = max(0.0, endpoint.load(now_s) + 1 - CROWDED_FRACTION * slots)
        answer_s = processing_s * (1 + excess / slots) + REJECTION_COST_S * (
            endpoint.rejected_fraction(now_s)
        )
        unresponsive_s = endpoint.unresponsive_s(now_s)
        return (
            answer_s + unresponsive_s
            if unresponsive_s > self.unresponsive_limit_s(endpoint, now_s)
            else answer_s
        )

    def unresponsive_limit_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns the seconds without an answer after which an endpoint is suspected."""
        processing_s = self.mean_processing_s(
            endpoint.record.service
        ) + endpoint.extra_processing_s(now_s)
        return max(MIN_UNRESPONSIVE_S, UNRESPONSIVE_FACTOR * processing_s)

    def is_unresponsive(self, endpoint: Endpoint, now_s: float) -> bool:
        """Returns whether an endpoint has answered none of its requests within the limit.

        One slow request is not enough: answers to other requests reset the time.
        """
        return endpoint.unresponsive_s(now_s) >= self.unresponsive_limit_s(endpoint, now_s)

    def register(self, record: EndpointRecord, now_s: float) -> bool:
        """Adds or updates an endpoint; returns whether this changes which endpoints are usable.

        A record with another start time replaces the endpoint: it is another process. One from a
        restored copy of the store that is older than what is known of the process changes nothing.
        """
        current = self._endpoints.get(record.id)
        if self._had_left(record):
            return False
        if current is None or current.record.process != record.process:
            if current is not None:
                self._remove_endpoint(current)
            self._removed.pop(record.process, None)
            self._removed_before_copy.pop(record.process, None)
            endpoint = Endpoint(record)
            if record.cold_s > 0.0:
                endpoint.make_cold(now_s + record.cold_s)
            self._endpoints[record.id] = endpoint
            self._add_to_orders(endpoint)
            return True
        was_missing = current.missing_since_s is not None
        self._mark_missing(current, None)
        if self._is_outdated(record, now_s):
            return was_missing
        changed = was_missing or current.record.draining != record.draining
        if current.record != record and record.cold_s > 0.0:
            current.make_cold(now_s + record.cold_s)
        elif current.record != record:
            current.cold_until_s = now_s
        if _group_of(current.record) != _group_of(record):
            self._remove_from_orders(current)
            current.record = record
            self._add_to_orders(current)
        current.record = record
        return changed

    def remove(self, endpoint_id: EndpointId, now_s: float) -> bool:
        """Handles an entry that is missing from the store; returns whether it removes the endpoint.

        During and shortly after an outage of the store in which entries may have expired, the
        endpoint may run all the same. It then stays registered and is only marked as missing; see
        `expire_missing`.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        if not self.contact.believes_removals(now_s):
            self._mark_missing(endpoint, now_s)
            return False
        self._remove_endpoint(endpoint)
        return True

    def remove_replaced(self, endpoint_id: EndpointId) -> None:
        """Removes an endpoint whose address was found to belong to another endpoint."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            self._remove_endpoint(endpoint)

    def observe_crash(self, process: EndpointProcess, now_s: float) -> None:
        """Excludes an endpoint whose process has crashed, unless another one has started."""
        endpoint = self._endpoints.get(process.id)
        if endpoint is not None and endpoint.record.process == process:
            endpoint.observe_crash(now_s)

    def observe_restored_store(self, now_s: float) -> None:
        """Records that the store has come back from a copy, which may lack what it had before.

        What the copy lacks is kept for a while, as after an outage. Processes that were removed
        before stay removed until they write again.
        """
        self._removed_before_copy = dict(self._removed)
        self._known_before_copy = {
            endpoint.record.process: endpoint.record.sequence
            for endpoint in self._endpoints.values()
        }
        self.contact.observe_restored_store(now_s)

    def expire_missing(self, now_s: float) -> list[EndpointId]:
        """Removes the endpoints that are still missing, once they are known to have left.

        Returns their ids.
        """
        if not self.contact.believes_removals(now_s):
            return []
        expired = [e for e in self._endpoints.values() if e.missing_since_s is not None]
        for endpoint in expired:
            self._remove_endpoint(endpoint)
        return [endpoint.record.id for endpoint in expired]

    def missing_from(self, listed: Iterable[EndpointId]) -> list[EndpointId]:
        """Returns the ids of registered endpoints that are not in a complete list of entries."""
        present = set(listed)
        return [endpoint_id for endpoint_id in self._endpoints if endpoint_id not in present]

    def evacuate(self, zone: ZoneName, active: bool, now_s: float, cold_s: float) -> None:
        """Starts or ends the evacuation of a zone.

        At the end its endpoints are cold for `cold_s` seconds, as they served nothing meanwhile.
        """
        self._unlisted_evacuations.pop(zone, None)
        if active:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.discard(zone)
            for endpoint in self._endpoints.values():
                if endpoint.record.zone == zone:
                    endpoint.make_cold(max(endpoint.cold_until_s, now_s + cold_s))

    def unlist_evacuation(self, zone: ZoneName, now_s: float, cold_s: float) -> None:
        """Ends an evacuation that a listing lacks, at once or when it could be written again."""
        if self.contact.may_lack_entries(now_s):
            self._unlisted_evacuations[zone] = cold_s
        else:
            self.evacuate(zone, False, now_s, cold_s)

    def expire_evacuations(self, now_s: float) -> list[ZoneName]:
        """Ends the evacuations that were not written again in time; returns their zones."""
        if self.contact.may_lack_entries(now_s):
            return []
        expired, self._unlisted_evacuations = self._unlisted_evacuations, {}
        for zone, cold_s in expired.items():
            self.evacuate(zone, False, now_s, cold_s)
        return [*expired]

    def _remove_endpoint(self, endpoint: Endpoint) -> None:
        """Removes an endpoint and calls `on_removed`."""
        endpoint.removed = True
        record = endpoint.record
        self._removed[record.process] = record.sequence
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        self._mark_missing(endpoint, None)
        del self._endpoints[record.id]
        self._remove_from_orders(endpoint)
        self.on_removed(record)

    def _had_left(self, record: EndpointRecord) -> bool:
        """Returns whether a record is not newer than the removal of its process before a copy."""
        sequence = self._removed_before_copy.get(record.process)
        return sequence is not None and record.sequence <= sequence

    def _is_outdated(self, record: EndpointRecord, now_s: float) -> bool:
        """Returns whether a record is older than what was known of its process before a copy.

        Within an era, the order of the store's changes tells which record is the newest.
        """
        if not self.contact.may_lack_entries(now_s):
            self._known_before_copy.clear()
        return record.sequence < self._known_before_copy.get(record.process, 0)

    def _mark_missing(self, endpoint: Endpoint, since_s: float | None) -> None:
        """Records since when an endpoint is missing from the store; None if it is listed."""
        self.missing_count += (since_s is not None) - (endpoint.missing_since_s is not None)
        endpoint.missing_since_s = since_s

    def _add_to_orders(self, endpoint: Endpoint) -> None:
        """Adds an endpoint to the orders of its service."""
        record = endpoint.record
        groups = self._groups.setdefault(record.service, {})
        groups.setdefault((record.slots, record.region), {})[record.id] = endpoint
        self._record_order_change(OrderChange(record.service, endpoint, True))

    def _remove_from_orders(self, endpoint: Endpoint) -> None:
        """Removes an endpoint from the orders of its service."""
        record = endpoint.record
        groups = self._groups[record.service]
        group = groups[(record.slots, record.region)]
        del group[record.id]
        if not group:
            del groups[(record.slots, record.region)]
        if not groups:
            del self._groups[record.service]
        self._record_order_change(OrderChange(record.service, endpoint, False))

    def _record_order_change(self, change: OrderChange) -> None:
        """Keeps a change for the orders that are used later."""
        self._order_changes.append(change)
        self.order_change_count += 1


def _group_of(record: EndpointRecord) -> tuple[ServiceName, int, RegionName]:
    """Returns what decides the orders that an endpoint is in, and its weight there."""
    return record.service, record.slots, record.region
