"""Control plane tasks of a daemon: reading from the platform, and planning for the cell.

Every daemon runs these tasks; rendezvous hashing selects the daemons of a cell that act.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Hashable

from lycheepin.cluster.documents import CONFIGURATION, Document, choose_responsible_members
from lycheepin.cluster.membership import MemberState
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.errors import DECODE_ERRORS
from lycheepin.names import Revision
from lycheepin.sources.store import (
    Conflict,
    Missing,
    Store,
    StoreValue,
    Unavailable,
    Unchanged,
    Written,
)
from lycheepin.sources.vms import VmListSource, decode_vm_list
from lycheepin.steering.capacity import HolderVm, slot_resource, spread_tokens
from lycheepin.steering.plan import Evidence, Plan, decode_plan, encode_plan, revise_plan

__all__ = ["ControlTasks"]

WATCHERS_PER_TOPIC = 2
WATCH_WAIT_S = 10.0
ROLE_CHECK_INTERVAL_S = 0.5
VM_LIST_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 0.25
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
PLANNER_START_DELAY_S = 1.5
QUARANTINE_CHECK_MS = 250


class ControlTasks:
    """Tasks that read the configuration and the VM list and revise the plan of the cell."""

    def __init__(
        self, node: Node, peer_protocol: PeerProtocol, store: Store, vm_list_source: VmListSource
    ) -> None:
        self._node = node
        self._peer_protocol = peer_protocol
        self._store = store
        self._vm_list_source = vm_list_source
        self._plan_store_revision: int | None = None
        self._last_plan_inputs: Hashable = None
        self._backoff_s = MIN_BACKOFF_S

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Starts and returns all tasks."""
        loop = asyncio.get_running_loop()
        return [
            loop.create_task(self._watch_configuration()),
            loop.create_task(self._poll_vm_list()),
            loop.create_task(self._run_planner()),
        ]

    def _is_watcher(self, topic: str) -> bool:
        """Returns whether this daemon is one of the watchers of a topic for its cell."""
        addresses = [member.address for member in self._peer_protocol.cell_members()]
        return self._node.address in choose_responsible_members(
            addresses, topic, WATCHERS_PER_TOPIC
        )

    async def _back_off(self) -> None:
        """Sleeps after a failed call: exponential backoff with a jitter fixed for each daemon."""
        jitter = 0.5 + (self._node.incarnation % 100) / 100
        await asyncio.sleep(self._backoff_s * jitter)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    # Configuration

    async def _watch_configuration(self) -> None:
        """Watches the configuration in the store while this daemon is a watcher."""
        known_revision = 0
        while True:
            if not self._is_watcher(CONFIGURATION):
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            self._node.metrics.count("store_calls", "watch")
            match await self._store.watch(CONFIGURATION, known_revision, WATCH_WAIT_S):
                case StoreValue(content, revision):
                    known_revision = revision
                    self._backoff_s = MIN_BACKOFF_S
                    self._publish_configuration(content)
                case Unchanged():
                    self._backoff_s = MIN_BACKOFF_S
                    if known_revision == 0:
                        await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                case Unavailable(reason=reason):
                    self._node.metrics.count("store_failures", "watch")
                    self._node.log.debug("configuration watch failed: {}", reason)
                    await self._back_off()

    def _publish_configuration(self, content: bytes) -> None:
        """Publishes a configuration from the store to the cell, unless it has no valid number."""
        number = parse_configuration_number(content)
        if number is None:
            self._node.metrics.count("documents_refused", CONFIGURATION)
            return
        self._peer_protocol.publish_document(Document(CONFIGURATION, number, content))

    # VM list

    async def _poll_vm_list(self) -> None:
        """Polls the VM list while this daemon is a watcher of it, and publishes new revisions."""
        node = self._node
        while True:
            await asyncio.sleep(VM_LIST_INTERVAL_S)
            if not self._is_watcher(node.vm_list_name):
                continue
            node.metrics.count("vm_list_calls")
            known_revision = node.replicas.revision(node.vm_list_name)
            content = await self._vm_list_source.fetch(node.region, known_revision)
            if content is None:
                continue
            try:
                revision = decode_vm_list(content).revision
            except ValueError as error:
                node.log.warning("VM list rejected: {}", error)
                continue
            self._peer_protocol.publish_document(Document(node.vm_list_name, revision, content))

    # Plan

    async def _run_planner(self) -> None:
        """Revises the plan of the cell while this daemon is its planner."""
        await asyncio.sleep(PLANNER_START_DELAY_S)
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            planners = self._peer_protocol.planner_order()
            ready = self._node.view is not None and self._node.vm_list is not None
            if ready and planners and planners[0].address == self._node.address:
                await self._revise_plan()
            else:
                self._plan_store_revision = None

    async def _revise_plan(self) -> None:
        """Computes the next plan, writes it to the store and publishes it."""
        if self._plan_store_revision is None and not await self._read_plan():
            await self._back_off()
            return
        evidence = gather_evidence(self._node, self._peer_protocol)
        inputs = collect_plan_inputs(self._node, evidence)
        if inputs == self._last_plan_inputs:
            return
        plan = compute_next_plan(self._node, self._peer_protocol, evidence)
        if plan is None:
            self._last_plan_inputs = inputs
            return
        content = encode_plan(plan)
        assert self._plan_store_revision is not None
        self._node.metrics.count("store_calls", "plan_write")
        write_result = await self._store.compare_and_swap(
            self._node.plan_name, self._plan_store_revision, content
        )
        match write_result:
            case Written(revision):
                self._plan_store_revision = revision
                self._backoff_s = MIN_BACKOFF_S
                self._peer_protocol.publish_document(
                    Document(self._node.plan_name, plan.revision, content)
                )
            case Conflict():
                self._node.events.record("plan_conflict", f"revision {plan.revision}")
                self._plan_store_revision = None
            case Unavailable():
                # The write may have taken effect, so the plan is read again before the next write.
                self._node.metrics.count("store_failures", "plan_write")
                self._plan_store_revision = None
                await self._back_off()

    async def _read_plan(self) -> bool:
        """Reads and publishes the plan in the store; returns False when that fails."""
        self._node.metrics.count("store_calls", "plan_read")
        match await self._store.get(self._node.plan_name):
            case StoreValue(content, revision):
                try:
                    plan = decode_plan(content)
                except ValueError as error:
                    self._node.log.warning("invalid plan in the store: {}", error)
                    return False
                self._peer_protocol.publish_document(
                    Document(self._node.plan_name, plan.revision, content)
                )
                if plan.revision != self._node.plan.revision:
                    self._node.log.warning(
                        "plan {} in the store is older than the plan in force", plan.revision
                    )
                self._plan_store_revision = revision
                return True
            case Missing():
                self._plan_store_revision = 0
                return True
        return False


def collect_plan_inputs(node: Node, evidence: Evidence) -> Hashable:
    """Returns the inputs of planning; the plan stays the same while they do.

    While the plan has retired holders, the time in units of QUARANTINE_CHECK_MS is an input, so
    that planning is repeated until their quarantine ends.
    """
    retirement_tick = evidence.now_ms // QUARANTINE_CHECK_MS if node.plan.retired else 0
    return (
        node.plan.revision,
        node.replicas.revision(node.vm_list_name),
        node.replicas.revision(CONFIGURATION),
        node.membership.change_count,
        evidence.settled,
        evidence.clear,
        evidence.ended,
        retirement_tick,
    )


def compute_next_plan(node: Node, peer_protocol: PeerProtocol, evidence: Evidence) -> Plan | None:
    """Returns the successor of the plan in force, or None when nothing changes."""
    assert node.vm_list is not None
    cell = peer_protocol.cell_members()
    listed_addresses = {entry.address for entry in node.vm_list.entries}
    holders = [
        HolderVm(member.incarnation, member.zone)
        for member in cell
        if member.state is MemberState.ALIVE
        and (member.address in listed_addresses or member.incarnation in node.plan.grants)
    ]
    ended_holders = evidence.ended
    cell_incarnations = {member.incarnation for member in cell}
    unresponsive_holders = frozenset(node.plan.holders - cell_incarnations - ended_holders)
    zones = {slot_resource(endpoint): endpoint.zone for endpoint in node.vm_list.endpoints}
    desired_tokens = spread_tokens(node.caps, zones, holders, unresponsive_holders, node.plan)
    return revise_plan(node.plan, node.caps, desired_tokens, evidence)


def gather_evidence(node: Node, peer_protocol: PeerProtocol) -> Evidence:
    """Returns the evidence about holders, from reports at exactly the revision of the plan."""
    current_reports = [
        received
        for received in peer_protocol.reports_by_holder.values()
        if received.report.plan_revision == node.plan.revision
    ]
    return Evidence(
        settled=frozenset(
            received.holder for received in current_reports if received.report.settled
        ),
        clear=frozenset(received.holder for received in current_reports if received.report.clear),
        ended=node.ended_holders(),
        now_ms=node.clock.wall_ms(),
        addresses={m.incarnation: m.address for m in peer_protocol.cell_members()},
        vm_revision=node.replicas.revision(node.vm_list_name),
    )


def parse_configuration_number(content: bytes) -> Revision | None:
    """Returns the number of an encoded configuration, or None when it has no valid number.

    The other fields are checked when the configuration is applied.
    """
    try:
        return Revision(int(json.loads(content)["number"]))
    except DECODE_ERRORS:
        return None
