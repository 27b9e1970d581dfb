"""What operators and callers ask of a daemon: look-ups, configuration, status, events."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from typing import Any

from returns.result import Failure, Success

from lycheepin.cluster.documents import CONFIGURATION, Copy
from lycheepin.cluster.membership import Member, MemberState
from lycheepin.cluster.wire import peer_token
from lycheepin.configuration import (
    Change,
    check_configuration,
    decode_change,
    encode_change,
    follow_change,
)
from lycheepin.daemon.calls import Called, Caller
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerTask
from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import FleetName, Incarnation, QualifiedName, RegionName, ServiceName
from lycheepin.platform.store import Conflict, Missing, Store, StoreValue, Unavailable, Written
from lycheepin.steering.homes import RequestId
from lycheepin.steering.lookup import Candidate, LookupTable

__all__ = ["Operators"]

MS_PER_S = 1000
NONCE_BYTES = 8
COVERAGE_CALLS = 32
COVERAGE_TIMEOUT_S = 1.0
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.3


class Operators:
    """Answers to calls that are not requests for endpoints."""

    def __init__(self, node: Node, peers: PeerTask, store: Store, caller: Caller) -> None:
        self._node = node
        self._peers = peers
        self._store = store
        self._caller = caller
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
            for name in (region, *node.view.fallback(region))
            if not node.view.is_drained("region", name)
        ]
        return self._table(service).draw(regions, self._random)

    def _table(self, service: ServiceName) -> LookupTable:
        """Returns the table of a service, built anew after a change of members or documents."""
        node = self._node
        version = (
            node.membership.version,
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
            "fallback": list(node.view.fallback(region or node.region)),
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

    async def apply(self, value: Any) -> dict[str, Any] | Fault:
        """Checks a change, writes it to the store and puts it in force.

        `value` has `change_id`, `author`, `summary`, `document`, and `base`: the number of the
        configuration that the change was made from, or none to go on from any.
        """
        try:
            change_id, author = str(value["change_id"]), str(value["author"])
            summary, base = str(value["summary"]), value.get("base")
            document = value["document"]
        except (KeyError, TypeError, AttributeError) as error:
            return Fault(ErrorKind.BAD_REQUEST, f"field {error}")
        match check_configuration(document):
            case Failure(problems):
                text = "; ".join(f"{p.field}: {p.message}" for p in problems)
                return Fault(ErrorKind.REFUSED_CONFIGURATION, text)
            case Success(built):
                pass
        for _ in range(SETTLE_ATTEMPTS):
            read = await self._store.get(CONFIGURATION)
            if isinstance(read, Unavailable):
                await asyncio.sleep(SETTLE_PAUSE_S)
                continue
            outcome = await self._write(read, change_id, author, summary, base, built)
            if outcome is not None:
                return outcome
            await asyncio.sleep(SETTLE_PAUSE_S)
        return Fault(ErrorKind.STORE_UNAVAILABLE, f"change {change_id}: ask for its history")

    async def _write(
        self,
        read: StoreValue | Missing,
        change_id: str,
        author: str,
        summary: str,
        base: Any,
        document: Any,
    ) -> dict[str, Any] | Fault | None:
        """Writes one change once; returns None when the outcome has to be read back."""
        before, expected = self._latest(read)
        if before is not None:
            settled = _find_change(before, change_id)
            if settled is not None:
                return settled
        if base is not None and base != (before.number if before else 0):
            text = f"made from {base}; now {_describe(before)}"
            return Fault(ErrorKind.CONFLICT, text)
        change = follow_change(before, change_id, author, summary, document)
        content = encode_change(change)
        match await self._store.compare_and_swap(CONFIGURATION, expected, content):
            case Written():
                self._peers.publish(Copy(CONFIGURATION, change.number, content))
                return {"number": change.number, "change_id": change_id}
            case Conflict() if base is not None:
                latest = await self._store.get(CONFIGURATION)
                if isinstance(latest, StoreValue):
                    rival, _ = self._latest(latest)
                    return Fault(ErrorKind.CONFLICT, f"now {_describe(rival)}")
        return None

    def _latest(self, read: StoreValue | Missing) -> tuple[Change | None, int]:
        """Returns the latest change known to store or daemon, and the store's revision.

        A store that came back with an older value must not lead back: the change in force here
        goes first when its number is higher.
        """
        stored: Change | None = None
        expected = 0
        if isinstance(read, StoreValue):
            stored = decode_change(read.content).value_or(None)
            expected = read.revision
        known = self._node.change
        if known is not None and (stored is None or known.number > stored.number):
            return known, expected
        return stored, expected

    async def coverage(self, number: int) -> dict[str, Any]:
        """Returns which daemons have a configuration in force, and which can't be asked."""
        limit = asyncio.Semaphore(COVERAGE_CALLS)
        members = self._node.membership.members()
        numbers = await asyncio.gather(*(self._ask_number(m, limit) for m in members))
        own = self._node.replicas.revision(CONFIGURATION)
        asked = [(self._node.settings.vm, own), *zip((m.vm for m in members), numbers, strict=True)]
        return {
            "in_force": sorted(vm for vm, n in asked if n is not None and n >= number),
            "behind": sorted(vm for vm, n in asked if n is not None and n < number),
            "unreachable": sorted(vm for vm, n in asked if n is None),
        }

    async def _ask_number(self, member: Member, limit: asyncio.Semaphore) -> int | None:
        """Returns the configuration number in force at a member, or None."""
        token = (("lycheepin-peer", peer_token(self._node.key, member.address)),)
        async with limit:
            answer = await self._caller.call(
                member.address,
                member.port,
                "GET",
                "/_lycheepin/peer/number",
                headers=token,
                timeout_s=COVERAGE_TIMEOUT_S,
            )
        match answer:
            case Called(status=200, body=body):
                return int(body)
        return None


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


def _describe(change: Change | None) -> str:
    """Returns a change's number, author and summary as text."""
    if change is None:
        return "no configuration"
    return f"number {change.number} by {change.author}: {change.summary}"


def _find_change(change: Change, change_id: str) -> dict[str, Any] | None:
    """Returns the outcome of a change that has already taken effect, or None."""
    if change.change_id == change_id:
        return {"number": change.number, "change_id": change_id}
    for entry in change.history:
        if entry["change_id"] == change_id:
            return {"number": entry["number"], "change_id": change_id}
    return None
