"""Caps on tokens, and their desired distribution over daemons.

Both are derived from the configuration and the VM list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lycheepin.configuration import ConfigurationView
from lycheepin.names import Incarnation, RegionName, Resource, ServiceName, ZoneName
from lycheepin.sources.vms import EndpointVm, VmState
from lycheepin.steering.plan import Caps, Plan

__all__ = [
    "HolderVm",
    "build_caps",
    "endpoint_caps",
    "link_resource",
    "region_cap",
    "shift_resource",
    "slot_resource",
    "spread_tokens",
    "usable_endpoints",
]

# Slots that a holder should have of a service. Requests wait less when more slots are pooled at one
# holder.
HOLDER_TOKENS = 24
PERCENT = 100


@dataclass(frozen=True)
class HolderVm:
    """A daemon of the cell that may hold tokens, and its zone."""

    incarnation: Incarnation
    zone: ZoneName


def slot_resource(endpoint: EndpointVm) -> Resource:
    """Returns the resource of an endpoint's slots.

    It includes the address, so that a VM that replaces another of the same name has its own.
    """
    return Resource(f"slot|{endpoint.name}|{endpoint.address}:{endpoint.port}")


def shift_resource(service: ServiceName, source: RegionName) -> Resource:
    """Returns the resource of requests per second that are shifted here from region `source`."""
    return Resource(f"shift|{service}|{source}")


def link_resource(source: RegionName) -> Resource:
    """Returns the resource of Mbit/s for shifted uploads from region `source`."""
    return Resource(f"link|{source}")


def usable_endpoints(
    view: ConfigurationView, endpoints: Iterable[EndpointVm], region: RegionName
) -> dict[ServiceName, list[EndpointVm]]:
    """Returns the endpoints of a region that may get new requests, by service.

    Services that the configuration merges count as one.
    """
    found: dict[ServiceName, list[EndpointVm]] = {}
    for endpoint in endpoints:
        service = view.find_merged_service(endpoint.service)
        if service is None or endpoint.region != region or is_leaving(view, endpoint):
            continue
        found.setdefault(service, []).append(endpoint)
    return found


def is_leaving(view: ConfigurationView, endpoint: EndpointVm) -> bool:
    """Returns whether an endpoint is leaving, by the VM list or by a configured drain."""
    return (
        endpoint.state is VmState.LEAVING
        or view.is_drained("endpoint", str(endpoint.name))
        or view.is_drained("zone", endpoint.zone)
        or view.is_drained("region", endpoint.region)
    )


def region_cap(endpoints: Sequence[EndpointVm], headroom_percent: int) -> int:
    """Returns the number of slots of the given endpoints that may be in use at once."""
    return sum(endpoint.slots for endpoint in endpoints) * (PERCENT - headroom_percent) // PERCENT


def endpoint_caps(endpoints: Sequence[EndpointVm], headroom_percent: int) -> dict[Resource, int]:
    """Returns the cap of each endpoint; they add up to the region's cap.

    Slots that are left by rounding go to the endpoints with the largest remainders.
    """
    share = PERCENT - headroom_percent
    caps = {slot_resource(e): e.slots * share // PERCENT for e in endpoints}
    spare = region_cap(endpoints, headroom_percent) - sum(caps.values())
    by_remainder = sorted(endpoints, key=lambda e: (-(e.slots * share % PERCENT), e.name))
    for endpoint in by_remainder[:spare]:
        caps[slot_resource(endpoint)] += 1
    return caps


def build_caps(
    view: ConfigurationView, endpoints: Iterable[EndpointVm], region: RegionName
) -> Caps:
    """Returns the caps of a region's cell: slots, shifted requests and links."""
    resources: dict[Resource, int] = {}
    groups: dict[str, int] = {}
    group_of: dict[Resource, str] = {}
    shared_by: dict[Resource, tuple[str, ...]] = {}
    usable = usable_endpoints(view, endpoints, region)
    uploads = tuple(
        service
        for service in usable
        if any(work_class.upload for work_class in view.service(service).classes)
    )
    for service, members in usable.items():
        headroom = view.headroom_percent(service)
        caps = endpoint_caps(members, headroom)
        resources |= caps
        groups[service] = region_cap(members, headroom)
        group_of |= dict.fromkeys(caps, str(service))
    for source in (RegionName(item.name) for item in view.configuration.regions):
        if source == region:
            continue
        for service in usable:
            cap = view.shift_cap(service, source, region)
            if cap is not None:
                resources[shift_resource(service, source)] = cap
                shared_by[shift_resource(service, source)] = (service,)
        mbit = view.upload_mbit(source, region)
        if mbit is not None:
            resources[link_resource(source)] = mbit
            shared_by[link_resource(source)] = uploads
    return Caps(resources, groups, group_of, shared_by)


def spread_tokens(
    caps: Caps,
    zones: Mapping[Resource, ZoneName],
    holders: Sequence[HolderVm],
    unreachable: frozenset[Incarnation],
    plan: Plan,
) -> dict[Incarnation, dict[Resource, int]]:
    """Returns the desired number of tokens of each holder.

    All slots of an endpoint go to one holder, which thereby knows all requests in flight there. A
    service is placed on few holders with about HOLDER_TOKENS slots each, since fewer requests
    wait when more slots are pooled. Holders keep endpoints that they have; for other endpoints,
    holders in the endpoint's zone are preferred. Shift and link tokens are split over the holders
    of the services that use them. `unreachable` holders may still serve requests and keep their
    tokens.
    """
    desired: dict[Incarnation, dict[Resource, int]] = {h.incarnation: {} for h in holders}
    remaining = dict(caps.resources)
    for holder in sorted(unreachable):
        desired[holder] = {
            resource: min(grant.limit, remaining.get(resource, 0))
            for resource, grant in plan.grants.get(holder, {}).items()
        }
        for resource, count in desired[holder].items():
            if resource in caps.group_of and count:
                remaining[resource] = 0
            elif count:
                remaining[resource] -= count
    if not holders:
        return desired
    by_group: dict[str, list[Resource]] = {}
    for resource, group in sorted(caps.group_of.items()):
        if remaining[resource]:
            by_group.setdefault(group, []).append(resource)
    for _, resources in sorted(by_group.items()):
        _place_group(desired, resources, caps, zones, holders, plan)
    for resource, groups in sorted(caps.shared_by.items()):
        _split_evenly(desired, resource, remaining[resource], groups, caps, holders)
    return desired


def _split_evenly(
    desired: dict[Incarnation, dict[Resource, int]],
    resource: Resource,
    cap: int,
    groups: tuple[str, ...],
    caps: Caps,
    holders: Sequence[HolderVm],
) -> None:
    """Splits a cap evenly over the holders of the services in `groups`.

    Without such holders, splits it over all holders. The first ones get the remainder.
    """
    names = [holder.incarnation for holder in holders]
    sharing = [
        name for name in names if any(caps.group_of.get(held) in groups for held in desired[name])
    ]
    sharing = sorted(sharing or names)
    share, rest = divmod(cap, len(sharing))
    for index, name in enumerate(sharing):
        desired[name][resource] = share + (1 if index < rest else 0)


def _place_group(
    desired: dict[Incarnation, dict[Resource, int]],
    resources: Sequence[Resource],
    caps: Caps,
    zones: Mapping[Resource, ZoneName],
    holders: Sequence[HolderVm],
    plan: Plan,
) -> None:
    """Assigns each endpoint of one service to one of few holders."""
    total = sum(caps.resources[resource] for resource in resources)
    count = max(1, min(len(holders), total // HOLDER_TOKENS))
    chosen = _choose_holders(resources, count, holders, desired, plan)
    assigned = dict.fromkeys((holder.incarnation for holder in chosen), 0)
    fair_share = -(-total // len(chosen))
    for resource in sorted(resources, key=lambda r: (-caps.resources[r], r)):
        cap = caps.resources[resource]

        def rank(
            holder: HolderVm, resource: Resource = resource, cap: int = cap
        ) -> tuple[bool, bool, bool, int, Incarnation]:
            current = plan.grants.get(holder.incarnation, {}).get(resource)
            over_share = assigned[holder.incarnation] + cap > fair_share + cap // 2
            holds_now = current is not None and current.limit > 0
            same_zone = zones.get(resource) == holder.zone
            return (
                over_share,
                not holds_now,
                not same_zone,
                assigned[holder.incarnation],
                holder.incarnation,
            )

        best = min(chosen, key=rank).incarnation
        desired[best][resource] = cap
        assigned[best] += cap


def _choose_holders(
    resources: Sequence[Resource],
    count: int,
    holders: Sequence[HolderVm],
    desired: Mapping[Incarnation, Mapping[Resource, int]],
    plan: Plan,
) -> list[HolderVm]:
    """Returns `count` holders for a service.

    Holders that have tokens of the service are preferred, then those with the fewest tokens of
    other services.
    """

    def rank(holder: HolderVm) -> tuple[int, int, Incarnation]:
        held = plan.grants.get(holder.incarnation, {})
        present = sum(held[r].limit for r in resources if r in held)
        total = sum(desired[holder.incarnation].values())
        return (-min(present, HOLDER_TOKENS), total, holder.incarnation)

    return sorted(holders, key=rank)[:count]
