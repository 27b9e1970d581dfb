"""Order of preference of a service's endpoints for an object.

An endpoint serves an object several times as fast when it has it in its cache, so capacity is
lost whenever requests for an object move to other endpoints. All daemons compute the same order
without exchanging messages, by weighted rendezvous hashing: the order changes only where
endpoints are added or removed.
"""

from __future__ import annotations

import math
from hashlib import blake2b

from lycheepin.names import EndpointId, RegionName, ServiceName
from lycheepin.steering.fleet import Endpoint, EndpointRegistry

__all__ = ["Placement", "rendezvous_score"]

# Factor on the weight of endpoints in the daemon's own region.
OWN_REGION_WEIGHT = 4.0
# Orders that are cached, at about 100 bytes for each endpoint of an order. The cache is cleared
# when it has grown beyond this.
MAX_CACHED_ORDERS = 4096
_HASH_RANGE = float(1 << 64)


def rendezvous_score(endpoint_id: EndpointId, object_key: str, weight: float) -> float:
    """Returns the score of an endpoint for an object; higher scores are preferred."""
    digest = blake2b(f"{endpoint_id}\0{object_key}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(uniform)


class Placement:
    """Orders endpoints by object, with a cache for the present generation of the registry."""

    def __init__(self, registry: EndpointRegistry, region: RegionName) -> None:
        self._registry = registry
        self._region = region
        self._generation = -1
        self._orders: dict[tuple[ServiceName, str], list[Endpoint]] = {}

    def order_endpoints(self, service: ServiceName, object_key: str) -> list[Endpoint]:
        """Returns all endpoints of a service in descending order of their scores."""
        if self._generation != self._registry.generation or len(self._orders) > MAX_CACHED_ORDERS:
            self._orders.clear()
            self._generation = self._registry.generation
        key = (service, object_key)
        order = self._orders.get(key)
        if order is None:
            order = sorted(
                self._registry.endpoints(service),
                key=lambda endpoint: -self._score(endpoint, object_key),
            )
            self._orders[key] = order
        return order

    def _score(self, endpoint: Endpoint, object_key: str) -> float:
        """Returns the score of an endpoint, weighted by its slots and its region."""
        record = endpoint.record
        weight = float(max(1, record.slots))
        if record.region == self._region:
            weight *= OWN_REGION_WEIGHT
        return rendezvous_score(record.id, object_key, weight)
