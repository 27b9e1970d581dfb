"""Builders of registries, dispatchers and attempts for tests of the steering decisions."""

from __future__ import annotations

from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, Carriers
from lycheepin.steering.choices import AttemptRequirements
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.routes import ServiceSpec

__all__ = [
    "OWN",
    "SERVICE",
    "SPEC",
    "build_dispatcher",
    "build_registry",
    "build_requirements",
    "record",
]

SERVICE = ServiceName("desk")
OWN = DaemonName("daemon-1")
SPEC = ServiceSpec(SERVICE, "/health", 100, 3.0, 5.0)


def record(
    name: str,
    region: str = "north",
    slots: int = 4,
    draining: bool = False,
    cold_s: float = 0.0,
    started_ms: int = 1,
    sequence: int = 0,
) -> EndpointRecord:
    """Returns the record of an endpoint of SERVICE."""
    return EndpointRecord(
        EndpointId(name),
        SERVICE,
        Address("127.0.0.1"),
        9000,
        ZoneName(f"{region}-1"),
        RegionName(region),
        slots,
        draining,
        cold_s,
        started_ms,
        sequence,
    )


def build_registry(*records: EndpointRecord) -> EndpointRegistry:
    """Returns a registry of the given endpoints, registered at time 0."""
    registry = EndpointRegistry()
    for item in records:
        registry.register(item, 0.0)
    return registry


def build_dispatcher(
    registry: EndpointRegistry,
    limits: BudgetLimits | None = None,
    rate_limits: RateLimits | None = None,
) -> Dispatcher:
    """Returns a dispatcher of the only daemon of a deployment."""
    placement = Placement(registry, RegionName("north"))
    carriers = Carriers(OWN, lambda: (OWN,))
    return Dispatcher(
        registry,
        placement,
        limits or BudgetLimits(cold_over=1.5),
        carriers,
        rate_limits if rate_limits is not None else RateLimits(OWN, carriers),
    )


def build_requirements(key: str = "7", priority: int = 1, **changes: object) -> AttemptRequirements:
    """Returns the requirements of an attempt that arrives at time 0 with a target of 0.8 s."""
    values: dict[str, object] = {
        "service": SERVICE,
        "object_key": key,
        "priority": priority,
        "allowed_regions": frozenset(),
        "target_at_s": 0.8,
        "deadline_s": 2.0,
    }
    return AttemptRequirements(**(values | changes))  # type: ignore[arg-type]
