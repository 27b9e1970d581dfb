"""The API of a daemon for callers and operators: look-ups, status and configuration."""

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
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import FleetName, Incarnation, QualifiedName, RegionName, ServiceName
from lycheepin.steering.lookup import Candidate, LookupTable
from lycheepin.steering.request_ids import RequestId

__all__ = ["DaemonApi"]

MS_PER_S = 1000
NONCE_BYTES = 8


class DaemonApi:
    """Builds the answers of API calls."""

    def __init__(self, node: Node, peer_protocol: PeerProtocol) -> None:
        self._node = node
        self._peer_protocol = peer_protocol
        self._random = random.Random(node.incarnation)
        self._lookup_tables: dict[ServiceName, LookupTable] = {}
        self._lookup_tables_version: tuple[int, int, int] = (-1, -1, -1)

    # Look-ups

    def look_up(self, fleet: str, service: str, caller_address: str) -> dict[str, Any] | Fault:
        """Returns the entry VMs for a caller's address, best first, each with a request id.

        A caller may use the next entry, with the id of that entry, only if the request certainly
        did not reach the previous one. Otherwise it must repeat the request with the id that it
        used before.
        """
        node = self._node
        if node.view is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        merged_service = node.view.find_merged_service(QualifiedName(FleetName(fleet), service))
        if merged_service is None:
            return Fault(ErrorKind.UNKNOWN_SERVICE, f"{fleet}/{service}")
        try:
            region = node.block_table.region_of(caller_address) or node.region
        except ValueError:
            return Fault(ErrorKind.BAD_REQUEST, f"caller {caller_address!r}")
        node.metrics.count("lookups")
        candidates = self._order_candidates(merged_service, region)
        if not candidates:
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
                for c in candidates
            ],
            "lifetime_s": node.settings.lookup_lifetime_s,
            "region": region,
        }

    def _order_candidates(self, service: ServiceName, region: RegionName) -> list[Candidate]:
        """Returns the entry VMs for callers of a region, best first, without drained regions."""
        node = self._node
        assert node.view is not None
        regions = [
            name
            for name in (region, *node.view.fallback_regions(region))
            if not node.view.is_drained("region", name)
        ]
        return self._lookup_table(service).draw(regions, self._random)

    def _lookup_table(self, service: ServiceName) -> LookupTable:
        """Returns the table of a service; all are rebuilt after members or documents change."""
        node = self._node
        version = (
            node.membership.change_count,
            node.plan.revision,
            node.replicas.revision(CONFIGURATION),
        )
        if version != self._lookup_tables_version:
            self._lookup_tables = {}
            self._lookup_tables_version = version
        table = self._lookup_tables.get(service)
        if table is None:
            table = LookupTable(
                Candidate(
                    member.address,
                    member.port,
                    member.incarnation,
                    member.region,
                    node.granted_tokens(member.incarnation, service),
                )
                for member in node.membership.reachable()
                if member.state is MemberState.ALIVE
            )
            self._lookup_tables[service] = table
        return table

    def explain_lookup(
        self, fleet: str, service: str, caller_address: str
    ) -> dict[str, Any] | Fault:
        """Returns the inputs and the result of a look-up, for operators."""
        node = self._node
        answer = self.look_up(fleet, service, caller_address)
        if isinstance(answer, Fault):
            return answer
        assert node.view is not None
        name = QualifiedName(FleetName(fleet), service)
        merged_service = node.view.find_merged_service(name)
        assert merged_service is not None
        region = node.block_table.region_of(caller_address)
        return {
            "caller": caller_address,
            "service": f"{name} is a member of {merged_service}",
            "region": region or f"{node.region} (no client block has the address)",
            "fallback": list(node.view.fallback_regions(region or node.region)),
            "entries": answer["entries"],
            "tokens": self._explain_tokens(merged_service),
            "binding_limit": self.binding_limits().get(merged_service, "none"),
        }

    def _explain_tokens(self, service: ServiceName) -> list[dict[str, Any]]:
        """Returns the tokens of a service granted to each daemon of this cell."""
        return [
            {"vm": m.vm, "slots": self._node.granted_tokens(m.incarnation, service)}
            for m in self._peer_protocol.cell_members()
        ]

    def binding_limits(self) -> dict[str, str]:
        """Returns a description of the limit that keeps requests waiting, by service.

        It contains only services with waiting requests whose granted tokens are all in use.
        """
        node = self._node
        limits_by_service = {}
        for load in self._cell_loads():
            if load["waiting"] and load["in_use"] >= load["granted"]:
                cap = node.caps.groups.get(load["service"], 0)
                limits_by_service[load["service"]] = f"slots less headroom in {node.region}: {cap}"
        return limits_by_service

    def _cell_loads(self) -> list[dict[str, Any]]:
        """Returns the load of each service, summed over this daemon and received reports."""
        totals: dict[str, dict[str, Any]] = {}
        own_loads = self._node.service_loads()
        other_loads = [
            load
            for report in self._peer_protocol.reports_by_holder.values()
            if report.holder != self._node.incarnation
            for load in report.report.loads
        ]
        for load in (*own_loads, *other_loads):
            total = totals.setdefault(
                load.service_name,
                {"service": load.service_name, "granted": 0, "in_use": 0, "waiting": 0},
            )
            total["granted"] += load.granted
            total["in_use"] += load.in_use
            total["waiting"] += load.waiting
        return list(totals.values())

    # Status

    def describe_status(self) -> dict[str, Any]:
        """Returns the state of this daemon."""
        node = self._node
        planner = self._peer_protocol.planner_order()
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
            "vm_list": node.replicas.revision(node.vm_list_name),
            "settled": node.ledger.settled,
            "planner": planner[0].vm if planner else None,
            "members": [_member_json(member) for member in node.membership.members()],
            "loads": [
                {
                    "service": load.service_name,
                    "granted": load.granted,
                    "in_use": load.in_use,
                    "waiting": load.waiting,
                }
                for load in node.service_loads()
            ],
            "binding_limits": self.binding_limits(),
            "metrics": node.metrics.to_json(),
        }

    def gauges(self) -> dict[str, float]:
        """Returns the values of the gauges by metric name."""
        node = self._node
        return {
            "in_flight": node.in_flight,
            "configuration_revision": node.replicas.revision(CONFIGURATION),
            "plan_revision": node.replicas.revision(node.plan_name),
            "members_reachable": len(node.membership.reachable()),
            "request_ids": len(node.request_table),
        }

    # Configuration

    def configuration(self) -> dict[str, Any] | Fault:
        """Returns the configuration in force with its history, or a fault when there is none."""
        change = self._node.change
        if change is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        value: dict[str, Any] = _change_json(change)
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


def _change_json(change: Change) -> Any:
    """Returns a configuration change as JSON values."""
    return json.loads(encode_change(change))
