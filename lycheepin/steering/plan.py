"""The plan of one cell: how many tokens of each resource every daemon may hold.

Tokens move between holders in two steps: a plan lowers limits, and a later one raises others. A
holder's `limit` is what it may use from now on; its `ceiling` is the most that it may still be
using. A ceiling is lowered to the limit only after the holder has reported, at exactly the
revision that the next plan is based on, that it is settled. Limits are raised only as far as the
ceilings of all holders stay within the cap.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from lycheepin.errors import DECODE_ERRORS
from lycheepin.names import Address, Incarnation, Resource, Revision

__all__ = ["Caps", "Evidence", "Grant", "Plan", "decode_plan", "encode_plan", "revise_plan"]

# Shortest time after the end of a holder before its tokens are granted again: requests that it had
# at endpoints are cancelled by then.
QUARANTINE_MS = 3000

Grants = Mapping[Incarnation, Mapping[Resource, "Grant"]]
Desired = Mapping[Incarnation, Mapping[Resource, int]]


@dataclass(frozen=True)
class Grant:
    """Tokens of one resource at one holder; see the module's docstring."""

    limit: int
    ceiling: int


@dataclass(frozen=True)
class Plan:
    """The grants of one cell; `revision` grows by one with each plan.

    `retired` maps holders that have ended, and whose tokens can't be granted again yet, to the
    wall time of their retirement in milliseconds. `addresses` has the address of each holder, so
    that a newly started planner can also find out from the members and the VM list that a holder
    has ended. `vm_revision` is the latest revision of the VM list that a planner has used.
    """

    revision: Revision = Revision(0)
    grants: Grants = field(default_factory=dict)
    retired: Mapping[Incarnation, int] = field(default_factory=dict)
    addresses: Mapping[Incarnation, Address] = field(default_factory=dict)
    vm_revision: Revision = Revision(0)

    @property
    def holders(self) -> frozenset[Incarnation]:
        """The processes that may hold, lend and borrow tokens."""
        return frozenset(self.grants) - frozenset(self.retired)

    def limits(self, holder: Incarnation) -> dict[Resource, int]:
        """Returns the limits of one holder."""
        if holder in self.retired:
            return {}
        return {resource: grant.limit for resource, grant in self.grants.get(holder, {}).items()}


@dataclass(frozen=True)
class Caps:
    """Caps on the tokens of each resource, and of each group of resources, over all holders.

    `shared_by` maps a resource that does not belong to an endpoint to the groups whose holders
    share it.
    """

    resources: Mapping[Resource, int]
    groups: Mapping[str, int] = field(default_factory=dict)
    group_of: Mapping[Resource, str] = field(default_factory=dict)
    shared_by: Mapping[Resource, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True)
class Evidence:
    """State of the holders, as known to the planner at `now_ms`.

    `settled` are holders that reported at the plan's revision that they are within their limits.
    `clear` are holders that reported at the plan's revision that all tokens they use are covered
    by limits and valid loans. `ended` are holders whose process is known to have ended; being
    unreachable does not count as that.
    """

    settled: frozenset[Incarnation]
    clear: frozenset[Incarnation]
    ended: frozenset[Incarnation]
    now_ms: int
    addresses: Mapping[Incarnation, Address] = field(default_factory=dict)
    vm_revision: Revision = Revision(0)


def revise_plan(plan: Plan, caps: Caps, desired: Desired, evidence: Evidence) -> Plan | None:
    """Returns the plan that follows `plan`, or None when nothing changes."""
    grants = _confirm(plan, evidence)
    retired = _retire_ended(plan, grants, evidence)
    for holder in desired:
        if holder not in evidence.ended and holder not in retired:
            grants.setdefault(holder, {})
    _lower_limits(grants, retired, desired)
    _raise_limits(grants, retired, desired, caps)
    kept = {
        holder: {resource: grant for resource, grant in sorted(held.items()) if grant.ceiling > 0}
        for holder, held in sorted(grants.items())
    }
    if kept == plan.grants and retired == plan.retired:
        return None
    known_addresses = {**evidence.addresses, **plan.addresses}
    addresses = {holder: known_addresses[holder] for holder in kept if holder in known_addresses}
    vm_revision = max(plan.vm_revision, evidence.vm_revision)
    return Plan(Revision(plan.revision + 1), kept, retired, addresses, vm_revision)


def _confirm(plan: Plan, evidence: Evidence) -> dict[Incarnation, dict[Resource, Grant]]:
    """Returns the grants, with the ceilings of settled holders lowered to their limits."""
    grants = {}
    for holder, held in plan.grants.items():
        confirmed = holder in evidence.settled and holder not in plan.retired
        grants[holder] = {
            resource: Grant(grant.limit, grant.limit) if confirmed else grant
            for resource, grant in held.items()
        }
    return grants


def _retire_ended(
    plan: Plan, grants: dict[Incarnation, dict[Resource, Grant]], evidence: Evidence
) -> dict[Incarnation, int]:
    """Retires holders that ended, and drops those whose tokens are free; returns the retired ones.

    The tokens of a retired holder are free when QUARANTINE_MS have passed and every other holder
    is clear at a plan that names it as retired, so that no tokens lent by it are in use.
    """
    retired = dict(plan.retired)
    for holder in evidence.ended & grants.keys() - retired.keys():
        retired[holder] = evidence.now_ms
    all_clear = plan.holders - evidence.ended <= evidence.clear
    for holder, since_ms in plan.retired.items():
        if all_clear and evidence.now_ms - since_ms >= QUARANTINE_MS:
            grants.pop(holder, None)
            del retired[holder]
    return retired


def _lower_limits(
    grants: dict[Incarnation, dict[Resource, Grant]],
    retired: Mapping[Incarnation, int],
    desired: Desired,
) -> None:
    """Lowers limits to the desired numbers; keeps ceilings."""
    for holder, held in grants.items():
        wanted = {} if holder in retired else desired.get(holder, {})
        for resource, grant in held.items():
            limit = min(grant.limit, wanted.get(resource, 0))
            held[resource] = Grant(limit, grant.ceiling)


def _raise_limits(
    grants: dict[Incarnation, dict[Resource, Grant]],
    retired: Mapping[Incarnation, int],
    desired: Desired,
    caps: Caps,
) -> None:
    """Raises limits towards the desired numbers, as far as ceilings stay within the caps."""
    resource_total, group_total = _sum_ceilings(grants, caps)
    for holder in sorted(desired):
        if holder in retired or holder not in grants:
            continue
        for resource, wanted in sorted(desired[holder].items()):
            grant = grants[holder].get(resource, Grant(0, 0))
            group = caps.group_of.get(resource, "")
            spare = caps.resources.get(resource, 0) - resource_total.get(resource, 0)
            if group in caps.groups:
                spare = min(spare, caps.groups[group] - group_total.get(group, 0))
            ceiling = max(grant.ceiling, min(wanted, grant.ceiling + max(0, spare)))
            added = ceiling - grant.ceiling
            resource_total[resource] = resource_total.get(resource, 0) + added
            group_total[group] = group_total.get(group, 0) + added
            grants[holder][resource] = Grant(max(grant.limit, min(wanted, ceiling)), ceiling)


def _sum_ceilings(
    grants: Mapping[Incarnation, Mapping[Resource, Grant]], caps: Caps
) -> tuple[dict[Resource, int], dict[str, int]]:
    """Returns the sum of ceilings for each resource and for each group."""
    by_resource: dict[Resource, int] = {}
    by_group: dict[str, int] = {}
    for held in grants.values():
        for resource, grant in held.items():
            group = caps.group_of.get(resource, "")
            by_resource[resource] = by_resource.get(resource, 0) + grant.ceiling
            by_group[group] = by_group.get(group, 0) + grant.ceiling
    return by_resource, by_group


def encode_plan(plan: Plan) -> bytes:
    """Returns the encoding of a plan for the store and for messages between daemons."""
    value = {
        "revision": plan.revision,
        "grants": {
            str(holder): {r: [g.limit, g.ceiling] for r, g in held.items()}
            for holder, held in plan.grants.items()
        },
        "retired": {str(holder): since_ms for holder, since_ms in plan.retired.items()},
        "addresses": {str(holder): address for holder, address in plan.addresses.items()},
        "vm_revision": plan.vm_revision,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_plan(content: bytes) -> Plan:
    """Returns the plan in `content`; raises ValueError when it is malformed."""
    try:
        return _build_plan(json.loads(content))
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed plan: {error!r}") from error


def _build_plan(value: dict[str, Any]) -> Plan:
    """Returns the plan in a decoded value; raises one of DECODE_ERRORS when it is malformed."""
    grants = {
        Incarnation(int(holder)): {
            Resource(resource): Grant(int(limit), int(ceiling))
            for resource, (limit, ceiling) in held.items()
        }
        for holder, held in value["grants"].items()
    }
    retired = {Incarnation(int(holder)): int(ms) for holder, ms in value["retired"].items()}
    addresses = {Incarnation(int(h)): Address(a) for h, a in value["addresses"].items()}
    revision, vm_revision = Revision(int(value["revision"])), Revision(int(value["vm_revision"]))
    return Plan(revision, grants, retired, addresses, vm_revision)
