"""What operators and callers ask of a daemon: look-ups, configuration, status, events."""

from __future__ import annotations

import json
import random
import secrets
from typing import Any

from lycheepin.cluster.documents import CONFIGURATION
from lycheepin.cluster.membership import Member, MemberState
from lycheepin.configuration import (
    Change,
    encode_change,
)
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerTask
from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import FleetName, Incarnation, QualifiedName, RegionName, ServiceName
from lycheepin.steering.lookup import Candidate, LookupTable
from lycheepin.steering.request_ids import RequestId

__all__ = ["Operators"]

MS_PER_S = 1000
NONCE_BYTES = 8


class Operators:
    """Answers to calls that are not requests for endpoints."""

    def __init__(self, node: Node, peers: PeerTask) -> None:
        self._node = node
        self._peers = peers
        self._random = random.Random(node.incarnation)
        self._tables: dict[ServiceName, LookupTable] = {}
        self._tables_version: tuple[int, int, int] = (-1, -1, -1)

    # Look-ups

    def look_up(self, fleet: str, service: str, caller: str) -> dict[str, Any] | Fault:
        """Returns the entry VMs for a caller's address, best first, each with a request id.

        A caller that certainly did not reach an entry VM goes on to the next one with that one's
        id; after any doubt it repeats the id that it used.
        """
        node = self._node
        if node.view is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        merged = node.view.service_of(QualifiedName(FleetName(fleet), service))
        if merged is None:
            return Fault(ErrorKind.UNKNOWN_SERVICE, f"{fleet}/{service}")
        try:
            region = node.blocks.region_of(caller) or node.region
        except ValueError:
            return Fault(ErrorKind.BAD_REQUEST, f"caller {caller!r}")
        node.metrics.count("lookups")
        ordered = self._order(merged, region)
        if not ordered:
            return Fault(ErrorKind.NO_CAPACITY, "no entry VM is known to be alive")
        lifetime_ms = node.settings.request_id_lifetime_s * MS_PER_S
        expires_ms = node.clock.wall_ms() + lifetime_ms
        nonce = secrets.token_hex(NONCE_BYTES)
        return {
            "entries": [
                {
                    "address": c.address,
                    "port": c.port,
                    "request_id": str(RequestId(c.address, c.incarnation, expires_ms, nonce)),
                }
                for c in ordered
            ],
            "lifetime_s": node.settings.lookup_lifetime_s,
            "region": region,
        }

    def _order(self, service: ServiceName, region: RegionName) -> list[Candidate]:
        """Returns the candidates for callers of a region, best first."""
        node = self._node
        assert node.view is not None
        regions = [
            name
            for name in (region, *node.view.fallback_regions(region))
            if not node.view.is_drained("region", name)
        ]
        return self._table(service).draw(regions, self._random)

    def _table(self, service: ServiceName) -> LookupTable:
        """Returns the table of a service, built anew after a change of members or documents."""
        node = self._node
        version = (
            node.membership.change_count,
            node.plan.revision,
            node.replicas.revision(CONFIGURATION),
        )
        if version != self._tables_version:
            self._tables = {}
            self._tables_version = version
        table = self._tables.get(service)
        if table is None:
            table = LookupTable(
                Candidate(
                    member.address,
                    member.port,
                    member.incarnation,
                    member.region,
                    node.tokens_of(member.incarnation, service),
                )
                for member in node.membership.reachable()
                if member.state is MemberState.ALIVE
            )
            self._tables[service] = table
        return table

    def explain(self, fleet: str, service: str, caller: str) -> dict[str, Any] | Fault:
        """Returns why a caller is sent where it is."""
        node = self._node
        answer = self.look_up(fleet, service, caller)
        if isinstance(answer, Fault):
            return answer
        assert node.view is not None
        name = QualifiedName(FleetName(fleet), service)
        merged = node.view.service_of(name)
        assert merged is not None
        region = node.blocks.region_of(caller)
        return {
            "caller": caller,
            "service": f"{name} is a member of {merged}",
            "region": region or f"{node.region} (no client block has the address)",
            "fallback": list(node.view.fallback_regions(region or node.region)),
            "entries": answer["entries"],
            "tokens": self._explain_tokens(merged),
            "binding_limit": self.binding_limits().get(merged, "none"),
        }

    def _explain_tokens(self, service: ServiceName) -> list[dict[str, Any]]:
        """Returns the slots of a service by daemon of this cell."""
        return [
            {"vm": m.vm, "slots": self._node.tokens_of(m.incarnation, service)}
            for m in self._peers.cell_members()
        ]

    def binding_limits(self) -> dict[str, str]:
        """Returns, for each service with waiting requests, the limit that keeps them waiting."""
        node = self._node
        found = {}
        for load in self._cell_loads():
            if load["waiting"] and load["in_use"] >= load["granted"]:
                cap = node.caps.groups.get(load["service"], 0)
                found[load["service"]] = f"slots less headroom in {node.region}: {cap}"
        return found

    def _cell_loads(self) -> list[dict[str, Any]]:
        """Returns load by service, summed over the reports that this daemon has."""
        totals: dict[str, dict[str, Any]] = {}
        own = self._node.loads()
        others = [
            load
            for report in self._peers.reports.values()
            if report.holder != self._node.incarnation
            for load in report.report.loads
        ]
        for load in (*own, *others):
            total = totals.setdefault(
                load.service_name,
                {"service": load.service_name, "granted": 0, "in_use": 0, "waiting": 0},
            )
            total["granted"] += load.granted
            total["in_use"] += load.in_use
            total["waiting"] += load.waiting
        return list(totals.values())

    # Status

    def status(self) -> dict[str, Any]:
        """Returns the state of this daemon."""
        node = self._node
        planner = self._peers.planner_order()
        return {
            "vm": node.settings.vm,
            "address": node.address,
            "region": node.region,
            "zone": node.settings.zone,
            "incarnation": str(node.incarnation),
            "leaving": node.leaving,
            "in_flight": node.in_flight,
            "configuration": node.replicas.revision(CONFIGURATION),
            "plan": node.replicas.revision(node.plan_name),
            "vm_list": node.replicas.revision(node.vms_name),
            "settled": node.ledger.settled,
            "planner": planner[0].vm if planner else None,
            "members": [_member_json(member) for member in node.membership.members()],
            "loads": [
                {
                    "service": x.service_name,
                    "granted": x.granted,
                    "in_use": x.in_use,
                    "waiting": x.waiting,
                }
                for x in node.loads()
            ],
            "binding_limits": self.binding_limits(),
            "metrics": node.metrics.to_json(),
        }

    def gauges(self) -> dict[str, float]:
        """Returns gauges for the metrics page."""
        node = self._node
        return {
            "in_flight": node.in_flight,
            "configuration_revision": node.replicas.revision(CONFIGURATION),
            "plan_revision": node.replicas.revision(node.plan_name),
            "members_reachable": len(node.membership.reachable()),
            "request_ids": len(node.homes),
        }

    # Configuration

    def configuration(self) -> dict[str, Any] | Fault:
        """Returns the configuration in force with its history."""
        change = self._node.change
        if change is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        value: dict[str, Any] = _plain_change(change)
        return value


def _member_json(member: Member) -> dict[str, Any]:
    """Returns a member as a JSON object."""
    return {
        "vm": member.vm,
        "address": member.address,
        "port": member.port,
        "zone": member.zone,
        "region": member.region,
        "state": member.state.name,
        "incarnation": str(Incarnation(member.incarnation)),
    }


def _plain_change(change: Change) -> Any:
    """Returns a change as plain JSON values."""
    return json.loads(encode_change(change))
