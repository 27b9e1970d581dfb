"""Tests of caps and of the distribution of tokens."""

import json
import unittest

from lycheepin.configuration import ConfigurationView, check_configuration
from lycheepin.names import Incarnation, QualifiedName, RegionName, Revision, ServiceName, ZoneName
from lycheepin.sources.vms import EndpointVm, VmState, decode_vm_list
from lycheepin.steering.capacity import (
    HolderVm,
    build_caps,
    endpoint_caps,
    shift_resource,
    slot_resource,
    spread_tokens,
)
from lycheepin.steering.plan import Grant, Plan
from standins.layouts import LAYOUTS, configuration, vm_list

REGION = RegionName("Saskatchewan")
VMS = decode_vm_list(json.dumps(vm_list(LAYOUTS["prairie"])).encode())
VIEW = ConfigurationView(check_configuration(configuration(LAYOUTS["prairie"])).unwrap())
ZONES = {slot_resource(e): e.zone for e in VMS.endpoints}
HOLDERS = [
    HolderVm(Incarnation(i + 1), ZoneName("Regina" if i % 2 else "Saskatoon")) for i in range(4)
]


def spread_region_tokens(
    holders: list[HolderVm], plan: Plan, unreachable: frozenset[Incarnation] = frozenset()
):
    """Returns the region's caps and the distribution of its tokens."""
    caps = build_caps(VIEW, VMS.endpoints, REGION)
    return caps, spread_tokens(caps, ZONES, holders, unreachable, plan)


class CapsTest(unittest.TestCase):
    def test_headroom_applies_to_the_region_and_not_to_each_endpoint(self) -> None:
        caps = build_caps(VIEW, VMS.endpoints, REGION)
        self.assertEqual(caps.groups, {"order-desk": 72, "proof-studio": 9})
        studio = [
            cap for r, cap in caps.resources.items() if caps.group_of.get(r) == "proof-studio"
        ]
        self.assertEqual(sorted(studio), [2, 2, 2, 3])

    def test_drained_endpoints_are_not_in_the_caps(self) -> None:
        value = configuration(LAYOUTS["prairie"])
        value["drains"] = [{"kind": "zone", "name": "Regina"}]
        view = ConfigurationView(check_configuration(value).unwrap())
        caps = build_caps(view, VMS.endpoints, REGION)
        self.assertEqual(caps.groups["order-desk"], 36)

    def test_vms_of_the_same_name_in_two_fleets_have_different_resources(self) -> None:
        names = [str(e.name) for e in VMS.endpoints]
        bare = [e.name.name for e in VMS.endpoints]
        self.assertLess(len(set(bare)), len(set(names)))
        self.assertEqual(len({slot_resource(e) for e in VMS.endpoints}), len(VMS.endpoints))

    def test_cap_of_an_endpoint_does_not_exceed_its_slots(self) -> None:
        for headroom in range(0, 91, 7):
            for slots in (1, 3, 9):
                endpoints = [
                    EndpointVm(
                        QualifiedName.parse(f"f/e{i}"), QualifiedName.parse("f/s"), "127.0.0.1",
                        9000 + i, ZoneName("z"), REGION, slots, VmState.LIVE,
                    )
                    for i in range(5)
                ]  # fmt: skip
                caps = endpoint_caps(endpoints, headroom)
                self.assertEqual(sum(caps.values()), 5 * slots * (100 - headroom) // 100)
                self.assertLessEqual(max(caps.values()), slots)


class SpreadTest(unittest.TestCase):
    def test_tokens_of_all_holders_add_up_to_the_cap(self) -> None:
        caps, desired = spread_region_tokens(HOLDERS, Plan())
        for resource, cap in caps.resources.items():
            self.assertEqual(sum(held.get(resource, 0) for held in desired.values()), cap)

    def test_each_endpoint_has_one_holder(self) -> None:
        caps, desired = spread_region_tokens(HOLDERS, Plan())
        for resource in caps.group_of:
            self.assertEqual(sum(held.get(resource, 0) > 0 for held in desired.values()), 1)

    def test_service_with_few_slots_has_one_holder(self) -> None:
        caps, desired = spread_region_tokens(HOLDERS, Plan())
        studio = [r for r, group in caps.group_of.items() if group == "proof-studio"]
        self.assertEqual(sum(any(r in held for r in studio) for held in desired.values()), 1)

    def test_slots_do_not_move_when_a_daemon_joins(self) -> None:
        _, first = spread_region_tokens(HOLDERS[:3], Plan())
        grants = {h: {r: Grant(n, n) for r, n in held.items()} for h, held in first.items()}
        _, second = spread_region_tokens(HOLDERS, Plan(Revision(1), grants))
        moved = [r for h, held in first.items() for r in held if r not in second[h]]
        self.assertEqual([r for r in moved if r.startswith("slot|")], [])

    def test_unreachable_holder_keeps_its_tokens(self) -> None:
        _, first = spread_region_tokens(HOLDERS, Plan())
        grants = {h: {r: Grant(n, n) for r, n in held.items()} for h, held in first.items()}
        holder = next(h for h in first if any(r.startswith("slot|") for r in first[h]))
        rest = [h for h in HOLDERS if h.incarnation != holder]
        caps, second = spread_region_tokens(rest, Plan(Revision(1), grants), frozenset((holder,)))
        self.assertEqual(second[holder], first[holder])
        for resource, cap in caps.resources.items():
            self.assertLessEqual(sum(held.get(resource, 0) for held in second.values()), cap)

    def test_shift_tokens_go_to_the_holders_of_the_service(self) -> None:
        caps, desired = spread_region_tokens(HOLDERS, Plan())
        shift = shift_resource(ServiceName("proof-studio"), RegionName("Alberta"))
        studio = [r for r, group in caps.group_of.items() if group == "proof-studio"]
        for held in desired.values():
            self.assertEqual(held.get(shift, 0) > 0, any(r in held for r in studio))
