"""Where an object lives: the same few endpoints at every daemon, without talking.

An endpoint that has handled an object recently handles it several times as fast, so capacity is
lost whenever an object wanders. Weighted rendezvous hashing gives each object an order of
endpoints that changes only where endpoints come or go.
"""

from __future__ import annotations

import math
from hashlib import blake2b

from lycheepin.names import EndpointId, RegionName, ServiceName
from lycheepin.steering.fleet import Endpoint, EndpointRegistry

__all__ = ["Placement", "score"]

# How much more of an object's requests an endpoint in the caller's own region draws.
NEAR_WEIGHT = 4.0
# Objects whose order is kept; beyond it the table is emptied, at about 100 bytes an endpoint.
MAX_CACHED = 4096
_HASH_SPAN = float(1 << 64)


def score(endpoint_id: EndpointId, object_key: str, weight: float) -> float:
    """Returns the rendezvous score of an endpoint for an object; the highest is first."""
    digest = blake2b(f"{endpoint_id}\0{object_key}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(digest, "big") + 1) / (_HASH_SPAN + 1)
    return -weight / math.log(unit)


class Placement:
    """Orders of endpoints by object."""

    def __init__(self, fleet: EndpointRegistry, region: RegionName) -> None:
        self._fleet = fleet
        self._region = region
        self._generation = -1
        self._orders: dict[tuple[ServiceName, str], list[Endpoint]] = {}

    def order_endpoints(self, service: ServiceName, object_key: str) -> list[Endpoint]:
        """Returns all endpoints of a service, the object's first home first."""
        if self._generation != self._fleet.generation or len(self._orders) > MAX_CACHED:
            self._orders.clear()
            self._generation = self._fleet.generation
        key = (service, object_key)
        order = self._orders.get(key)
        if order is None:
            order = sorted(
                self._fleet.endpoints(service),
                key=lambda endpoint: -self._score(endpoint, object_key),
            )
            self._orders[key] = order
        return order

    def _score(self, endpoint: Endpoint, object_key: str) -> float:
        """Returns the score of an endpoint for an object."""
        record = endpoint.record
        weight = float(max(1, record.slots))
        if record.region == self._region:
            weight *= NEAR_WEIGHT
        return score(record.id, object_key, weight)
