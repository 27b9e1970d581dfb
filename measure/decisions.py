"""Measures the cost of the gateway's choice of an endpoint by the size of the fleet."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, Carriers
from lycheepin.steering.choices import AttemptRequirements
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.placement import OWN_REGION_WEIGHT, Placement, rendezvous_score
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.routes import ServiceSpec

__all__ = ["measure_decisions"]

FLEET_SIZES = (40, 351, 1900)
OBJECTS = 100
ROUNDS = 5
REGIONS = ("north", "south", "west")
SLOTS = 9
SERVICE = ServiceName("desk")
OWN = DaemonName("daemon-1")
SPEC = ServiceSpec(SERVICE, "/health", 1000, 3.0, 2.5)
US_PER_S = 1_000_000


def measure_decisions() -> list[dict[str, Any]]:
    """Returns for each fleet size the costs in us, and the memory of the orders in bytes.

    `reference_us` is the cost of sorting all endpoints for a choice, as the first version did for
    each object and after each change.
    """
    return [_measure_size(size) for size in FLEET_SIZES]


def _measure_size(size: int) -> dict[str, Any]:
    """Returns the figures of a fleet of `size` endpoints."""
    registry = EndpointRegistry()
    records = [_build_record(number) for number in range(size)]
    registration_us = _time_each(lambda i: registry.register(records[i], 0.0), size)
    placement = Placement(registry, RegionName(REGIONS[0]))
    carriers = Carriers(OWN, lambda: (OWN,))
    rate_limits = RateLimits(OWN, carriers)
    dispatcher = Dispatcher(registry, placement, BudgetLimits(), carriers, rate_limits)

    def choose(number: int) -> None:
        dispatcher.choose_endpoint(_build_requirements(number % OBJECTS), SPEC, 0.0)

    def replace_and_choose(number: int) -> None:
        registry.register(_build_record(number % size, started_ms=2 + number), 0.0)
        choose(0)

    def sort_all(number: int) -> None:
        key = str(number)
        sorted(records, key=lambda record: -_score(record, key))

    first_us = _time_each(choose, OBJECTS)
    return {
        "endpoints": size,
        "register_us": registration_us,
        "first_us": first_us,
        "later_us": _time_each(choose, ROUNDS * OBJECTS),
        "after_change_us": _time_each(replace_and_choose, ROUNDS * OBJECTS),
        "reference_us": _time_each(sort_all, ROUNDS),
        "order_bytes": _measure_order_bytes(registry),
    }


def _measure_order_bytes(registry: EndpointRegistry) -> int:
    """Returns the memory that the order of one object takes, in bytes."""
    placement = Placement(registry, RegionName(REGIONS[0]))
    tracemalloc.start()
    for number in range(OBJECTS):
        next(placement.iterate_endpoints(SERVICE, str(number)))
    order_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return order_bytes // OBJECTS


def _time_each(call: Callable[[int], Any], count: int) -> float:
    """Returns the mean time of `count` calls in us."""
    started_s = time.perf_counter()
    for number in range(count):
        call(number)
    return (time.perf_counter() - started_s) / count * US_PER_S


def _build_record(number: int, started_ms: int = 1) -> EndpointRecord:
    """Returns the record of an endpoint; regions take turns."""
    region = REGIONS[number % len(REGIONS)]
    return EndpointRecord(
        EndpointId(f"i-{number:010x}"),
        SERVICE,
        Address("127.0.0.1"),
        9000,
        ZoneName(f"{region}-1"),
        RegionName(region),
        SLOTS,
        False,
        0.0,
        started_ms,
    )


def _build_requirements(number: int) -> AttemptRequirements:
    """Returns the requirements of a request for an object."""
    return AttemptRequirements(SERVICE, str(number), 1, frozenset(), 0.8, 2.0)


def _score(record: EndpointRecord, object_key: str) -> float:
    """Returns the score of an endpoint for an object in the first region."""
    weight = float(record.slots) * (OWN_REGION_WEIGHT if record.region == REGIONS[0] else 1.0)
    return rendezvous_score(record.id, object_key, weight)
