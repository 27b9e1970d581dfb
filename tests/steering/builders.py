"""Builders of small fleets for tests."""

from __future__ import annotations

from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits
from lycheepin.steering.dispatch import AttemptRequirements, Dispatcher
from lycheepin.steering.fleet import EndpointRecord, EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.routes import ServiceSpec

__all__ = ["OWN", "SERVICE", "SPEC", "build_dispatcher", "build_fleet", "demand", "record"]

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
) -> EndpointRecord:
    """Returns an endpoint of the service."""
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
    )


def build_fleet(*records: EndpointRecord) -> EndpointRegistry:
    """Returns a fleet of some endpoints, registered at time 0."""
    fleet = EndpointRegistry()
    for item in records:
        fleet.register(item, 0.0)
    return fleet


def build_dispatcher(fleet: EndpointRegistry, terms: BudgetLimits | None = None) -> Dispatcher:
    """Returns a dispatcher over a fleet, alone in its deployment."""
    placement = Placement(fleet, RegionName("north"))
    dispatcher = Dispatcher(fleet, placement, terms or BudgetLimits(cold_over=1.5), OWN)
    dispatcher.daemons = (OWN,)
    return dispatcher


def demand(key: str = "7", priority: int = 1, **changes: object) -> AttemptRequirements:
    """Returns an attempt that is due 0.8 s from time 0."""
    values: dict[str, object] = {
        "service": SERVICE,
        "object_key": key,
        "priority": priority,
        "homes": frozenset(),
        "target_s": 0.8,
        "deadline_s": 2.0,
    }
    return AttemptRequirements(**(values | changes))  # type: ignore[arg-type]
