"""The task that owns the UDP socket: membership, documents, reports and loans."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from lycheepin.cluster.documents import (
    Document,
    choose_relay_targets,
    choose_responsible_members,
    compress,
    decompress,
)
from lycheepin.cluster.member import Member, MemberState, decode_members
from lycheepin.cluster.membership import OutgoingHeartbeat
from lycheepin.cluster.wire import decode_envelope, encode_envelope, peer_token
from lycheepin.daemon.lending import Lending
from lycheepin.daemon.node import Node
from lycheepin.generated.messages import (
    DocumentPush,
    Envelope,
    HoldingReport,
)
from lycheepin.names import Address, Incarnation, Revision
from lycheepin.transport.calls import CallAnswer, HttpClient

__all__ = ["PeerTask", "Report"]

ADVANCE_STEPS = 5
INLINE_BYTES = 1200
REPORT_INTERVAL_S = 1.0
LOAN_RETRY_S = 0.2
PLANNER_CANDIDATES = 2


@dataclass(frozen=True)
class Report:
    """The latest holding report of a daemon."""

    holder: Incarnation
    report: HoldingReport


class PeerTask(asyncio.DatagramProtocol):
    """Talks to the other daemons."""

    def __init__(self, node: Node, http_client: HttpClient) -> None:
        self._node = node
        self._http_client = http_client
        self._transport: asyncio.DatagramTransport | None = None
        self._fetching: set[str] = set()
        self._joined = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_report: tuple[int, bool, bool] | None = None
        self._reported_s = 0.0
        self._loans_checked_s = 0.0
        self._lending = Lending(node, self._send, self.cell_members)
        self.reports: dict[Incarnation, Report] = {}

    def connection_made(self, transport: Any) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio; datagrams that are not authentic are counted and dropped."""
        try:
            envelope = decode_envelope(data, self._node.key)
        except ValueError:
            self._node.metrics.count("datagrams_refused")
            return
        self._node.metrics.count("datagrams_received")
        self._node.hybrid.observe(envelope.stamp)
        self._dispatch(envelope, Address(addr[0]), addr[1])

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when a peer's port is closed; probes find that out."""

    async def run(self) -> None:
        """Sends what is due until cancelled."""
        interval_s = self._node.settings.probe_interval_ms / 1000 / ADVANCE_STEPS
        for peer in self._node.settings.peers:
            self._node.membership.add_candidate(Address(peer.host), peer.port)
        while True:
            self.advance(self._node.clock.monotonic())
            await asyncio.sleep(interval_s)

    def advance(self, now_s: float) -> None:
        """Sends heartbeats, reports and loans that are due."""
        node = self._node
        self._send_all(node.membership.advance(now_s))
        node.update_gone()
        self._note_changes()
        self._report(now_s)
        if now_s - self._loans_checked_s >= LOAN_RETRY_S:
            self._loans_checked_s = now_s
            self._lending.advance(now_s)

    def planner_order(self) -> list[Member]:
        """Returns the members of this cell in the order in which they act as planner."""
        cell = self.cell_members()
        by_address = {member.address: member for member in cell}
        chosen = choose_responsible_members(by_address, self._node.plan_name, len(cell))
        return [by_address[address] for address in chosen]

    def cell_members(self) -> list[Member]:
        """Returns the members of this cell that are expected to answer."""
        return [
            member
            for member in self._node.membership.reachable()
            if member.region == self._node.region and member.state is not MemberState.SUSPECT
        ]

    def publish(self, copy: Document) -> bool:
        """Puts a document read from the platform in force and passes it on."""
        accepted = self._node.accept(copy)
        if accepted:
            self._relay(copy, is_origin=True)
        return accepted

    def announce_leave(self) -> None:
        """Tells the cell at once that this daemon is leaving."""
        self._node.membership.announce_leaving()
        self._node.events.record("leaving")
        self._send_all(self._node.membership.build_announcements())

    def _dispatch(self, envelope: Envelope, address: Address, port: int) -> None:
        """Acts on one message."""
        sender = Incarnation(envelope.incarnation)
        match envelope:
            case Envelope(heartbeat=heartbeat) if heartbeat is not None:
                now_s = self._node.clock.monotonic()
                self._send_all(self._node.membership.receive(heartbeat, address, port, now_s))
                self._note_changes()
                self._join_through(address, port)
                for name in self._node.replicas.find_outdated(heartbeat.documents):
                    self._fetch_later(name, address, port)
            case Envelope(push=push) if push is not None:
                self._receive_push(push, address, port)
            case Envelope(report=report) if report is not None:
                self.reports[sender] = Report(sender, report)
            case Envelope(loan_request=request) if request is not None:
                self._lending.lend(request, sender)
            case Envelope(loan=loan) if loan is not None:
                self._lending.receive_loan(loan, address, port)
            case Envelope(loan_receipt=receipt) if receipt is not None:
                self._lending.confirm_loan(receipt)
            case Envelope(repayment=repayment) if repayment is not None:
                self._lending.receive_repayment(repayment, address, port)
            case Envelope(repayment_receipt=receipt) if receipt is not None:
                self._lending.confirm_repayment(receipt, sender)

    def _note_changes(self) -> None:
        """Records changes of membership as events."""
        for member in self._node.membership.changes:
            self._node.events.record("member_" + member.state.name.lower(), member.vm)
            self._node.metrics.count("member_changes", member.state.name.lower())
        self._node.membership.changes.clear()

    def _send_all(self, sends: Iterable[OutgoingHeartbeat]) -> None:
        """Sends heartbeats."""
        for send in sends:
            self._send(send.address, send.port, Envelope(heartbeat=send.heartbeat))

    def _send(self, address: Address, port: int, envelope: Envelope) -> None:
        """Sends one message."""
        if self._transport is None or self._transport.is_closing():
            return
        envelope.stamp = self._node.hybrid.stamp()
        envelope.incarnation = self._node.incarnation
        datagram = encode_envelope(envelope, self._node.key)
        self._node.metrics.count("datagrams_sent")
        self._node.metrics.count("datagram_bytes_sent", amount=len(datagram))
        self._transport.sendto(datagram, (address, port))

    # Documents

    def _relay(self, copy: Document, is_origin: bool) -> None:
        """Passes a new revision on to this daemon's part of the tree."""
        members = {member.address: member for member in self.cell_members()}
        own = self._node.address
        content = compress(copy.content)
        if len(content) > INLINE_BYTES:
            content = b""
        targets = choose_relay_targets(copy.name, copy.revision, own, list(members), is_origin)
        for address in targets:
            push = DocumentPush(copy.name, copy.revision, content)
            self._send(address, members[address].port, Envelope(push=push))

    def _receive_push(self, push: DocumentPush, address: Address, port: int) -> None:
        """Takes over a pushed revision, or fetches it when it was too large."""
        revision = Revision(push.revision)
        if revision <= self._node.replicas.revision(push.name):
            return
        if not push.content:
            self._fetch_later(push.name, address, port)
            return
        try:
            copy = Document(push.name, revision, decompress(push.content))
        except ValueError:
            self._node.metrics.count("documents_refused", push.name)
            return
        if self._node.accept(copy):
            self._relay(copy, is_origin=False)

    def _fetch_later(self, name: str, address: Address, port: int) -> None:
        """Fetches a document from a peer, once at a time."""
        if name in self._fetching:
            return
        self._fetching.add(name)
        task = asyncio.get_running_loop().create_task(self._fetch(name, address, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _join_through(self, address: Address, port: int) -> None:
        """Asks the first peer that is heard of for all members, once."""
        if not self._joined:
            self._joined = True
            task = asyncio.get_running_loop().create_task(self._fetch_members(address, port))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch_members(self, address: Address, port: int) -> None:
        """Takes over the members that a peer knows; a failure leads to another try."""
        token = (("lycheepin-peer", peer_token(self._node.key, address)),)
        answer = await self._http_client.call(
            address, port, "GET", "/_lycheepin/peer/members", headers=token
        )
        try:
            match answer:
                case CallAnswer(status=200, body=body):
                    records = decode_members(body)
                    self._node.membership.apply_records(records, self._node.clock.monotonic())
                    return
        except ValueError:
            self._node.metrics.count("documents_refused", "members")
        self._joined = False

    async def _fetch(self, name: str, address: Address, port: int) -> None:
        """Fetches a document from a peer, puts it in force and passes it on."""
        token = (("lycheepin-peer", peer_token(self._node.key, address)),)
        target = f"/_lycheepin/peer/document?name={quote(name, safe='')}"
        try:
            answer = await self._http_client.call(address, port, "GET", target, headers=token)
            match answer:
                case CallAnswer(status=200, body=body):
                    revision = Revision(int(answer.header(b"lycheepin-revision") or 0))
                    copy = Document(name, revision, decompress(body))
                    if self._node.accept(copy):
                        self._relay(copy, is_origin=False)
        except ValueError:
            self._node.metrics.count("documents_refused", name)
        finally:
            self._fetching.discard(name)

    # Reports

    def _report(self, now_s: float) -> None:
        """Reports to the planner when something changed, and once an interval."""
        ledger = self._node.ledger
        ledger.expire(now_s)
        state = (ledger.plan_revision, ledger.settled, ledger.clear)
        if state == self._last_report and now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        self._last_report = state
        self._reported_s = now_s
        report = HoldingReport(state[0], state[1], self._node.loads(), state[2])
        for member in self.planner_order()[:PLANNER_CANDIDATES]:
            if member.address == self._node.address:
                self.reports[self._node.incarnation] = Report(self._node.incarnation, report)
            else:
                self._send(member.address, member.port, Envelope(report=report))
