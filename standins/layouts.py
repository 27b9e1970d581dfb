"""Layouts of test deployments: regions, zones, VMs, services, network delays and load.

`prairie` and `cire` have the sizes of the two users' deployments; `solo` is one daemon.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["LAYOUTS", "SHIFT_CAP", "Layout", "ServiceLayout", "Zone", "configuration", "vm_list"]

ENTRY_PORT = 8400
ENDPOINT_PORT = 9000
PLATFORM_ADDRESS = "127.9.0.1"
PLATFORM_PORT = 9100
DEFAULT_ENTRY_VMS = 11
ZONES_PER_REGION = 2
# Requests per second that may be shifted from one region to another, for each service.
SHIFT_CAP = 20


@dataclass(frozen=True)
class Zone:
    """An availability zone whose hosts have the addresses 127.`region_index`.`index`.*.

    Both indexes count from 1.
    """

    name: str
    region: str
    region_index: int
    index: int

    def address(self, host: int) -> str:
        """Returns the address of the host with a number, the last byte of its address."""
        return f"127.{self.region_index}.{self.index}.{host}"


@dataclass(frozen=True)
class ServiceLayout:
    """A merged service: its endpoints in all fleets and its load.

    `class_rates` is the load of each class in requests per second, over all callers.
    """

    name: str
    endpoint_count: int
    slots_per_endpoint: int
    class_rates: dict[str, float]


@dataclass(frozen=True)
class Layout:
    """A deployment; delays are one way."""

    name: str
    fleets: tuple[str, ...]
    regions: tuple[str, ...]
    zone_names: tuple[str, ...]
    zone_delay_ms: float
    region_delay_ms: float
    link_mbit_per_s: int
    headroom_percent: int
    services: tuple[ServiceLayout, ...]
    entry_vm_count: int = DEFAULT_ENTRY_VMS

    @property
    def zones(self) -> list[Zone]:
        """The availability zones in the order of `zone_names`, ZONES_PER_REGION in each region."""
        return [
            Zone(
                name,
                self.regions[i // ZONES_PER_REGION],
                i // ZONES_PER_REGION + 1,
                i % ZONES_PER_REGION + 1,
            )
            for i, name in enumerate(self.zone_names)
        ]

    def delay_ms(self, source: str, target: str) -> float:
        """Returns the one-way delay in milliseconds between two 127.x.y addresses."""
        source_zone, target_zone = source.split(".")[1:3], target.split(".")[1:3]
        if source_zone == target_zone:
            return 0.0
        return self.zone_delay_ms if source_zone[0] == target_zone[0] else self.region_delay_ms


LAYOUTS = {
    "prairie": Layout(
        "prairie",
        ("maple", "harrow", "bluestem"),
        ("Saskatchewan", "Manitoba", "Alberta"),
        ("Regina", "Saskatoon", "Winnipeg", "Brandon", "Calgary", "Edmonton"),
        3.0,
        35.0,
        4000,
        20,
        (
            ServiceLayout("order-desk", 30, 9, {"browse": 110, "confirm": 30, "payment": 15}),
            ServiceLayout("proof-studio", 12, 3, {"photo": 9}),
        ),
    ),
    "cire": Layout(
        "cire",
        ("abeille", "bougie", "ruche"),
        ("Nord", "Plateau", "Sud"),
        ("Triolet", "Grand Baie", "Moka", "Vacoas", "Surinam", "Mahébourg"),
        5.0,
        20.0,
        300,
        30,
        (
            ServiceLayout("waxdesk", 30, 5, {"browse": 110, "confirm": 30, "payment": 15}),
            ServiceLayout("growerfiles", 12, 3, {"photo": 6}),
        ),
    ),
    "solo": Layout(
        "solo",
        ("solo",),
        ("Solo",),
        ("One", "Two"),
        0.0,
        0.0,
        1000,
        20,
        (ServiceLayout("desk", 4, 50, {"browse": 100, "photo": 1}),),
        entry_vm_count=1,
    ),
}


def list_endpoints(layout: Layout) -> list[dict[str, Any]]:
    """Returns the VM list's records of all endpoints.

    All fleets use the same VM and service names, so that a name identifies an endpoint or a service
    only together with its fleet.
    """
    records = []
    for service_index, service in enumerate(layout.services):
        for number in range(service.endpoint_count):
            zone = layout.zones[number % len(layout.zones)]
            fleet = layout.fleets[number % len(layout.fleets)]
            host = 10 + 40 * service_index + number // len(layout.zones)
            records.append(
                {
                    "name": f"{fleet}/{service.name}-{number // len(layout.fleets) + 1}",
                    "service": f"{fleet}/{service.name}",
                    "address": zone.address(host),
                    "port": ENDPOINT_PORT,
                    "zone": zone.name,
                    "region": zone.region,
                    "slots": service.slots_per_endpoint,
                    "state": "live",
                }
            )
    return records


def list_entry_vms(layout: Layout) -> list[dict[str, Any]]:
    """Returns the VM list's records of the entry VMs, spread evenly over the zones."""
    records = []
    for number in range(layout.entry_vm_count):
        zone = layout.zones[number % len(layout.zones)]
        records.append(
            {
                "name": f"{layout.fleets[0]}/entry-{number + 1}",
                "address": zone.address(200 + number // len(layout.zones)),
                "port": ENTRY_PORT,
                "zone": zone.name,
                "region": zone.region,
                "state": "live",
            }
        )
    return records


def vm_list(layout: Layout) -> dict[str, Any]:
    """Returns the platform's VM list at revision 1."""
    return {"revision": 1, "endpoints": list_endpoints(layout), "entries": list_entry_vms(layout)}


def caller_address_block(region_index: int) -> str:
    """Returns the address block of the callers of a region; regions count from 1."""
    return f"127.{100 + region_index}.0.0/16"


def configuration(layout: Layout, shift_cap: int = SHIFT_CAP) -> dict[str, Any]:
    """Returns the operators' configuration; `shift_cap` is in requests per second."""
    regions = list(layout.regions)
    region_pairs = [(a, b) for a in regions for b in regions if a != b]
    return {
        "fleets": [{"name": fleet} for fleet in layout.fleets],
        "regions": [
            {
                "name": name,
                "client_blocks": [caller_address_block(index + 1)],
                "fallback": [other for other in regions if other != name],
            }
            for index, name in enumerate(regions)
        ],
        "services": [_declare_service(layout, service) for service in layout.services],
        "shift_caps": [
            {"service": s.name, "from_region": a, "to_region": b, "requests_per_second": shift_cap}
            for s in layout.services
            for a, b in region_pairs
        ],
        "links": [
            {"from_region": a, "to_region": b, "mbit_per_second": layout.link_mbit_per_s}
            for a, b in region_pairs
        ],
    }


def _declare_service(layout: Layout, service: ServiceLayout) -> dict[str, Any]:
    """Returns a service of the configuration, with the classes that the layout has load for."""
    classes: dict[str, dict[str, Any]] = {
        "browse": {"methods": ["GET"], "path_prefix": "/browse", "answer_target_ms": 100,
                   "deadline_ms": 2000},
        "confirm": {"methods": ["POST"], "path_prefix": "/confirm", "protected": True,
                    "answer_target_ms": 200, "deadline_ms": 5000},
        "payment": {"methods": ["POST"], "path_prefix": "/payment", "protected": True,
                    "answer_target_ms": 250, "deadline_ms": 5000},
        "photo": {"methods": ["PUT"], "path_prefix": "/photo", "protected": True,
                  "upload": True, "answer_target_ms": 2000, "deadline_ms": 30000},
    }  # fmt: skip
    return {
        "name": service.name,
        "members": [f"{fleet}/{service.name}" for fleet in layout.fleets],
        "classes": [
            {"name": name, "headroom_percent": layout.headroom_percent, **classes[name]}
            for name in service.class_rates
        ],
    }
