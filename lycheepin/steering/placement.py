"""Order of preference of a service's endpoints for an object.

An endpoint serves an object several times as fast when it has it in its cache, so capacity is
lost whenever requests for an object move to other endpoints. All daemons compute the same order
without exchanging messages, by weighted rendezvous hashing: the order changes only where
endpoints are added or removed.

Load addressed: services of hundreds of endpoints, of which some are added, replaced or removed
every second. Few endpoints of an order are ever used, so only its first ones are kept, and a change
of an endpoint is applied to an order when it is used next. Requests that only some regions may
serve have orders of their own: of the first ones of all endpoints, few stand in another region.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from heapq import merge, nlargest

from lycheepin.names import EndpointId, RegionName, ServiceName
from lycheepin.steering.budgets import OWN_REGION_WEIGHT
from lycheepin.steering.endpoint import Endpoint, hash_endpoint
from lycheepin.steering.fleet import EndpointRegistry, OrderChange

__all__ = ["Placement", "rendezvous_score"]

# Number of endpoints that are kept of an order, and the number below which it is computed again.
KEPT_ENDPOINTS = 16
MIN_KEPT_ENDPOINTS = 4
# Number of orders that are kept; the least recently used ones are dropped beyond it.
MAX_KEPT_ORDERS = 4096
_HASH_RANGE = float(1 << 64)
ANY_REGION: frozenset[RegionName] = frozenset()

# An object of a service, and the regions that may serve it; empty for any.
_OrderKey = tuple[ServiceName, str, frozenset[RegionName]]


def rendezvous_score(endpoint_id: EndpointId, object_key: str, weight: float) -> float:
    """Returns the score of an endpoint for an object; higher scores are preferred."""
    return _score_digest(_digest(hash_endpoint(endpoint_id), object_key.encode()), weight)


def _digest(endpoint_hash: object, key: bytes) -> bytes:
    """Returns the hash of an endpoint and an object; of equal weights, the highest is preferred."""
    combined = endpoint_hash.copy()  # type: ignore[attr-defined]
    combined.update(key)
    digest: bytes = combined.digest()
    return digest


def _score_digest(digest: bytes, weight: float) -> float:
    """Returns the score that belongs to a hash."""
    uniform = (int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(uniform)


@dataclass
class _Order:
    """The first endpoints of an order with their scores, the highest first.

    It holds all endpoints whose scores are at least `lowest_score`, as of the registry's order
    change with the number `as_of`.
    """

    entries: list[tuple[float, Endpoint]]
    lowest_score: float
    as_of: int

    @property
    def is_complete(self) -> bool:
        """Whether the order holds all endpoints of its service."""
        return self.lowest_score == -math.inf

    def insert(self, score: float, endpoint: Endpoint) -> None:
        """Adds an endpoint at its position, unless its score is too low for this order."""
        if score < self.lowest_score:
            return
        index = next(
            (i for i, entry in enumerate(self.entries) if entry[0] < score), len(self.entries)
        )
        self.entries.insert(index, (score, endpoint))
        if len(self.entries) > 2 * KEPT_ENDPOINTS:
            del self.entries[KEPT_ENDPOINTS:]
            self.lowest_score = self.entries[-1][0]

    def discard(self, endpoint: Endpoint) -> None:
        """Removes an endpoint if the order holds it."""
        self.entries = [entry for entry in self.entries if entry[1] is not endpoint]


class Placement:
    """Orders endpoints by object, and keeps the first endpoints of the orders used lately."""

    def __init__(self, registry: EndpointRegistry, region: RegionName) -> None:
        self._registry = registry
        self.own_region = region
        self._orders: OrderedDict[_OrderKey, _Order] = OrderedDict()

    def iterate_endpoints(
        self, service: ServiceName, object_key: str, regions: frozenset[RegionName] = ANY_REGION
    ) -> Iterator[Endpoint]:
        """Yields the endpoints of a service in some regions in descending order of their scores.

        Those beyond the first few cost a computation over all of them.
        """
        order = self._find_order(service, object_key, regions)
        count = len(order.entries)
        for _, endpoint in order.entries:
            yield endpoint
        if not order.is_complete:
            for _, endpoint in self._rank(service, object_key, regions, None)[count:]:
                yield endpoint

    def order_endpoints(
        self, service: ServiceName, object_key: str, regions: frozenset[RegionName] = ANY_REGION
    ) -> list[Endpoint]:
        """Returns the endpoints of a service in some regions, the highest scores first."""
        return list(self.iterate_endpoints(service, object_key, regions))

    def _find_order(
        self, service: ServiceName, object_key: str, regions: frozenset[RegionName] = ANY_REGION
    ) -> _Order:
        """Returns the order of an object in some regions, up to date with the registry."""
        key = (service, object_key, regions)
        order = self._orders.get(key)
        if order is not None:
            self._orders.move_to_end(key)
            changes = self._registry.order_changes_after(order.as_of)
            if changes is not None:
                self._apply_changes(order, key, changes)
                if order.is_complete or len(order.entries) >= MIN_KEPT_ENDPOINTS:
                    return order
        entries = self._rank(service, object_key, regions, KEPT_ENDPOINTS)
        lowest = entries[-1][0] if len(entries) == KEPT_ENDPOINTS else -math.inf
        order = _Order(entries, lowest, self._registry.order_change_count)
        self._orders[key] = order
        if len(self._orders) > MAX_KEPT_ORDERS:
            self._orders.popitem(last=False)
        return order

    def _apply_changes(self, order: _Order, key: _OrderKey, changes: Iterable[OrderChange]) -> None:
        """Applies the registry's changes to an order."""
        service, object_key, regions = key
        order.as_of = self._registry.order_change_count
        for change in changes:
            if change.service != service:
                continue
            order.discard(change.endpoint)
            record = change.endpoint.record
            if change.present and (not regions or record.region in regions):
                weight = self.find_weight(record.slots, record.region)
                digest = _digest(change.endpoint.id_hash, object_key.encode())
                order.insert(_score_digest(digest, weight), change.endpoint)

    def _rank(
        self,
        service: ServiceName,
        object_key: str,
        regions: frozenset[RegionName],
        limit: int | None,
    ) -> list[tuple[float, Endpoint]]:
        """Returns the first `limit` endpoints, or all, with their scores; the highest first.

        Endpoints of one weight are compared by their hashes, which order them as scores do.
        """
        key = object_key.encode()
        ranked: list[list[tuple[float, Endpoint]]] = []
        for (slots, region), endpoints in self._registry.groups(service):
            if regions and region not in regions:
                continue
            hashed = ((_digest(e.id_hash, key), index) for index, e in enumerate(endpoints))
            best = sorted(hashed, reverse=True) if limit is None else nlargest(limit, hashed)
            weight = self.find_weight(slots, region)
            ranked.append([(_score_digest(d, weight), endpoints[index]) for d, index in best])
        merged = merge(*ranked, key=lambda entry: -entry[0])
        return (
            [entry for entry, _ in zip(merged, range(limit), strict=False)] if limit else [*merged]
        )

    def find_weight(self, slots: int, region: RegionName) -> float:
        """Returns the weight of an endpoint by its slots and its region."""
        weight = float(max(1, slots))
        return weight * OWN_REGION_WEIGHT if region == self.own_region else weight
