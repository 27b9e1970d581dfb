"""Caps and the desired spread of tokens, derived from targets and the VM list."""

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

HOLDER_TOKENS = 24
PERCENT = 100


@dataclass(frozen=True)
class HolderVm:
    """A daemon of the cell that may hold tokens."""

    incarnation: Incarnation
    zone: ZoneName


def slot_resource(endpoint: EndpointVm) -> Resource:
    """Returns the resource of an endpoint's slots; the address tells one VM from its successor."""
    return Resource(f"slot|{endpoint.name}|{endpoint.address}:{endpoint.port}")


def shift_resource(service: ServiceName, source: RegionName) -> Resource:
    """Returns the resource of requests a second that callers of `source` may shift here."""
    return Resource(f"shift|{service}|{source}")


def link_resource(source: RegionName) -> Resource:
    """Returns the resource of Mbit/s that uploads from `source` may fill."""
    return Resource(f"link|{source}")


def usable_endpoints(
    view: ConfigurationView, endpoints: Iterable[EndpointVm], region: RegionName
) -> dict[ServiceName, list[EndpointVm]]:
    """Returns the endpoints of a region that may get new work, by merged service."""
    found: dict[ServiceName, list[EndpointVm]] = {}
    for endpoint in endpoints:
        service = view.service_of(endpoint.service)
        if service is None or endpoint.region != region or is_leaving(view, endpoint):
            continue
        found.setdefault(service, []).append(endpoint)
    return found


def is_leaving(view: ConfigurationView, endpoint: EndpointVm) -> bool:
    """Returns whether an endpoint is leaving by the VM list or by a planned drain."""
    return (
        endpoint.state is VmState.LEAVING
        or view.is_drained("endpoint", str(endpoint.name))
        or view.is_drained("zone", endpoint.zone)
        or view.is_drained("region", endpoint.region)
    )


def region_cap(endpoints: Sequence[EndpointVm], headroom_percent: int) -> int:
    """Returns the slots of a region that may be in use at once."""
    return sum(endpoint.slots for endpoint in endpoints) * (PERCENT - headroom_percent) // PERCENT


def endpoint_caps(endpoints: Sequence[EndpointVm], headroom_percent: int) -> dict[Resource, int]:
    """Returns the region's cap split over its endpoints, largest remainders first."""
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
    """Returns the caps of a region's cell."""
    resources: dict[Resource, int] = {}
    groups: dict[str, int] = {}
    group_of: dict[Resource, str] = {}
    followed: dict[Resource, tuple[str, ...]] = {}
    usable = usable_endpoints(view, endpoints, region)
    uploads = tuple(
        service for service in usable if any(work.upload for work in view.service(service).classes)
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
                followed[shift_resource(service, source)] = (service,)
        mbit = view.upload_mbit(source, region)
        if mbit is not None:
            resources[link_resource(source)] = mbit
            followed[link_resource(source)] = uploads
    return Caps(resources, groups, group_of, followed)


def spread_tokens(
    caps: Caps,
    zones: Mapping[Resource, ZoneName],
    holders: Sequence[HolderVm],
    silent: frozenset[Incarnation],
    plan: Plan,
) -> dict[Incarnation, dict[Resource, int]]:
    """Returns the tokens that each holder should have.

    All slots of an endpoint go to one holder, so that it alone knows what is in flight there. A
    service is kept on few holders, with about HOLDER_TOKENS slots each: the more slots a holder
    pools, the fewer requests wait. Holders that have an endpoint already keep it, and the zone
    of the endpoint is preferred. Shift and link tokens are split over the holders of the
    services that use them. `silent` holders can't be reached, but may be at work: they keep
    what they have.
    """
    desired: dict[Incarnation, dict[Resource, int]] = {h.incarnation: {} for h in holders}
    remaining = dict(caps.resources)
    for holder in sorted(silent):
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
    for resource, groups in sorted(caps.followed.items()):
        _split_over(desired, resource, remaining[resource], groups, caps, holders)
    return desired


def _split_over(
    desired: dict[Incarnation, dict[Resource, int]],
    resource: Resource,
    cap: int,
    groups: tuple[str, ...],
    caps: Caps,
    holders: Sequence[HolderVm],
) -> None:
    """Splits a cap evenly over the holders of some services; the first ones get the rest."""
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
    """Places the endpoints of one service on few holders."""
    total = sum(caps.resources[resource] for resource in resources)
    wanted = max(1, min(len(holders), total // HOLDER_TOKENS))
    chosen = _choose_holders(resources, wanted, holders, desired, plan)
    load = dict.fromkeys((holder.incarnation for holder in chosen), 0)
    fair = -(-total // len(chosen))
    for resource in sorted(resources, key=lambda r: (-caps.resources[r], r)):
        cap = caps.resources[resource]

        def rank(
            holder: HolderVm, resource: Resource = resource, cap: int = cap
        ) -> tuple[bool, bool, bool, int, Incarnation]:
            current = plan.grants.get(holder.incarnation, {}).get(resource)
            overfull = load[holder.incarnation] + cap > fair + cap // 2
            keeps = current is not None and current.limit > 0
            near = zones.get(resource) == holder.zone
            return (overfull, not keeps, not near, load[holder.incarnation], holder.incarnation)

        best = min(chosen, key=rank).incarnation
        desired[best][resource] = cap
        load[best] += cap


def _choose_holders(
    resources: Sequence[Resource],
    wanted: int,
    holders: Sequence[HolderVm],
    desired: Mapping[Incarnation, Mapping[Resource, int]],
    plan: Plan,
) -> list[HolderVm]:
    """Returns the holders of a service: present ones first, then those with least to do."""

    def rank(holder: HolderVm) -> tuple[int, int, Incarnation]:
        held = plan.grants.get(holder.incarnation, {})
        present = sum(held[r].limit for r in resources if r in held)
        others = sum(desired[holder.incarnation].values())
        return (-min(present, HOLDER_TOKENS), others, holder.incarnation)

    return sorted(holders, key=rank)[:wanted]
