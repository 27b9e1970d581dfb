"""Tasks that read the platform, and the planner that any daemon of a cell can be."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Hashable

from lycheepin.cluster.documents import CONFIGURATION, Document, choose_responsible_members
from lycheepin.cluster.membership import MemberState
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerTask
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

WATCHERS = 2
WATCH_WAIT_S = 10.0
ROLE_CHECK_S = 0.5
VM_LIST_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 0.25
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
JOIN_GRACE_S = 1.5
QUARANTINE_CHECK_MS = 250


class ControlTasks:
    """Reads configuration and VM list for the cell, and revises its plan."""

    def __init__(self, node: Node, peers: PeerTask, store: Store, source: VmListSource) -> None:
        self._node = node
        self._peers = peers
        self._store = store
        self._source = source
        self._plan_store_revision: int | None = None
        self._planned_inputs: Hashable = None
        self._backoff_s = MIN_BACKOFF_S

    def tasks(self) -> list[asyncio.Task[None]]:
        """Starts all tasks."""
        loop = asyncio.get_running_loop()
        return [
            loop.create_task(self._watch_configuration()),
            loop.create_task(self._poll_vm_list()),
            loop.create_task(self._plan()),
        ]

    def _is_watcher(self, topic: str) -> bool:
        """Returns whether this daemon reads a topic from the platform for its cell."""
        addresses = [member.address for member in self._peers.cell_members()]
        return self._node.address in choose_responsible_members(addresses, topic, WATCHERS)

    async def _back_off(self) -> None:
        """Waits after a failed call, longer each time, with a part that differs by daemon."""
        jitter = 0.5 + (self._node.incarnation % 100) / 100
        await asyncio.sleep(self._backoff_s * jitter)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    # Configuration

    async def _watch_configuration(self) -> None:
        """Watches the configuration in the store while this daemon is a watcher."""
        after = 0
        while True:
            if not self._is_watcher(CONFIGURATION):
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            self._node.metrics.count("store_calls", "watch")
            match await self._store.watch(CONFIGURATION, after, WATCH_WAIT_S):
                case StoreValue(content, revision):
                    after = revision
                    self._backoff_s = MIN_BACKOFF_S
                    self._take_configuration(content)
                case Unchanged():
                    self._backoff_s = MIN_BACKOFF_S
                    if after == 0:
                        await asyncio.sleep(ROLE_CHECK_S)
                case Unavailable(reason=reason):
                    self._node.metrics.count("store_failures", "watch")
                    self._node.log.debug("configuration watch failed: {}", reason)
                    await self._back_off()

    def _take_configuration(self, content: bytes) -> None:
        """Publishes a configuration read from the store."""
        number = parse_configuration_number(content)
        if number is None:
            self._node.metrics.count("documents_refused", CONFIGURATION)
            return
        self._peers.publish(Document(CONFIGURATION, number, content))

    # VM list

    async def _poll_vm_list(self) -> None:
        """Polls the VM list while this daemon is a watcher of it."""
        node = self._node
        while True:
            await asyncio.sleep(VM_LIST_INTERVAL_S)
            if not self._is_watcher(node.vms_name):
                continue
            node.metrics.count("vm_list_calls")
            after = node.replicas.revision(node.vms_name)
            content = await self._source.fetch(node.region, after)
            if content is None:
                continue
            try:
                revision = decode_vm_list(content).revision
            except ValueError as error:
                node.log.warning("VM list refused: {}", error)
                continue
            self._peers.publish(Document(node.vms_name, revision, content))

    # Plan

    async def _plan(self) -> None:
        """Revises the plan of the cell while this daemon comes first among its members."""
        await asyncio.sleep(JOIN_GRACE_S)
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            order = self._peers.planner_order()
            ready = self._node.view is not None and self._node.vms is not None
            if ready and order and order[0].address == self._node.address:
                await self._revise()
            else:
                self._plan_store_revision = None

    async def _revise(self) -> None:
        """Writes the next plan, if there is one, and passes it on."""
        if self._plan_store_revision is None and not await self._read_plan():
            await self._back_off()
            return
        evidence = gather_evidence(self._node, self._peers)
        inputs = plan_inputs(self._node, evidence)
        if inputs == self._planned_inputs:
            return
        plan = next_plan(self._node, self._peers, evidence)
        if plan is None:
            self._planned_inputs = inputs
            return
        content = encode_plan(plan)
        assert self._plan_store_revision is not None
        self._node.metrics.count("store_calls", "plan_write")
        written = await self._store.compare_and_swap(
            self._node.plan_name, self._plan_store_revision, content
        )
        match written:
            case Written(revision):
                self._plan_store_revision = revision
                self._backoff_s = MIN_BACKOFF_S
                self._peers.publish(Document(self._node.plan_name, plan.revision, content))
            case Conflict():
                self._node.events.record("plan_conflict", f"revision {plan.revision}")
                self._plan_store_revision = None
            case Unavailable():
                # The write may have taken effect: the next round reads before it writes.
                self._node.metrics.count("store_failures", "plan_write")
                self._plan_store_revision = None
                await self._back_off()

    async def _read_plan(self) -> bool:
        """Reads the plan in the store and puts it in force; returns whether that succeeded."""
        self._node.metrics.count("store_calls", "plan_read")
        match await self._store.get(self._node.plan_name):
            case StoreValue(content, revision):
                try:
                    plan = decode_plan(content)
                except ValueError as error:
                    self._node.log.warning("the store's plan is refused: {}", error)
                    return False
                self._peers.publish(Document(self._node.plan_name, plan.revision, content))
                if plan.revision != self._node.plan.revision:
                    self._node.log.warning("the store's plan {} is behind", plan.revision)
                self._plan_store_revision = revision
                return True
            case Missing():
                self._plan_store_revision = 0
                return True
        return False


def plan_inputs(node: Node, evidence: Evidence) -> Hashable:
    """Returns what a plan depends on; while it is the same there is nothing to compute."""
    waiting_ms = evidence.now_ms // QUARANTINE_CHECK_MS if node.plan.retired else 0
    return (
        node.plan.revision,
        node.replicas.revision(node.vms_name),
        node.replicas.revision(CONFIGURATION),
        node.membership.change_count,
        evidence.settled,
        evidence.clear,
        evidence.ended,
        waiting_ms,
    )


def next_plan(node: Node, peers: PeerTask, evidence: Evidence) -> Plan | None:
    """Returns the plan to follow the one in force, or None when it fits."""
    assert node.vms is not None
    cell = peers.cell_members()
    listed = {entry.address for entry in node.vms.entries}
    holders = [
        HolderVm(member.incarnation, member.zone)
        for member in cell
        if member.state is MemberState.ALIVE
        and (member.address in listed or member.incarnation in node.plan.grants)
    ]
    ended = evidence.ended
    present = {member.incarnation for member in cell}
    silent = frozenset(node.plan.holders - present - ended)
    zones = {slot_resource(endpoint): endpoint.zone for endpoint in node.vms.endpoints}
    desired = spread_tokens(node.caps, zones, holders, silent, node.plan)
    return revise_plan(node.plan, node.caps, desired, evidence)


def gather_evidence(node: Node, peers: PeerTask) -> Evidence:
    """Returns what the latest reports at exactly the plan's revision say."""
    current = [
        item for item in peers.reports.values() if item.report.plan_revision == node.plan.revision
    ]
    return Evidence(
        settled=frozenset(item.holder for item in current if item.report.settled),
        clear=frozenset(item.holder for item in current if item.report.clear),
        ended=node.ended_holders(),
        now_ms=node.clock.wall_ms(),
        addresses={m.incarnation: m.address for m in peers.cell_members()},
        vm_revision=node.replicas.revision(node.vms_name),
    )


def parse_configuration_number(content: bytes) -> Revision | None:
    """Returns the number of an encoded configuration, or None when it has none.

    The rest is checked once, where the copy is put in force.
    """
    try:
        return Revision(int(json.loads(content)["number"]))
    except DECODE_ERRORS:
        return None
