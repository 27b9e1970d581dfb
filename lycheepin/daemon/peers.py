"""Communication between daemons over UDP: membership, documents, reports and loans."""

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
from lycheepin.daemon.lending import LoanManager
from lycheepin.daemon.node import Node
from lycheepin.daemon.suspicions import SuspicionSpreader
from lycheepin.generated.messages import (
    DocumentPush,
    Envelope,
    HoldingReport,
)
from lycheepin.names import Address, Incarnation, Revision
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.transport.calls import CallAnswer, HttpClient

__all__ = ["PeerProtocol", "ReceivedReport"]

SEND_ROUNDS_PER_PROBE = 5
MAX_INLINE_BYTES = 1200
REPORT_INTERVAL_S = 1.0
LOAN_RETRY_INTERVAL_S = 0.2
PLANNER_CANDIDATES = 2


@dataclass(frozen=True)
class ReceivedReport:
    """The latest holding report of a daemon and its incarnation."""

    holder: Incarnation
    report: HoldingReport


class PeerProtocol(asyncio.DatagramProtocol):
    """Exchanges messages with the other daemons over a UDP socket."""

    def __init__(self, node: Node, http_client: HttpClient, suspicions: SuspicionExchange) -> None:
        self._node = node
        self._http_client = http_client
        self._transport: asyncio.DatagramTransport | None = None
        self._fetching: set[str] = set()
        self._members_fetched = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_report: tuple[int, bool, bool] | None = None
        self._last_report_s = 0.0
        self._last_loan_update_s = 0.0
        self._loans = LoanManager(node, self._send_message, self.cell_members)
        self._suspicions = SuspicionSpreader(node, suspicions, self._send_message)
        self.reports_by_holder: dict[Incarnation, ReceivedReport] = {}

    def connection_made(self, transport: Any) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio; counts and drops datagrams without a valid signature."""
        try:
            envelope = decode_envelope(data, self._node.peer_key)
        except ValueError:
            self._node.metrics.count("datagrams_refused")
            return
        self._node.metrics.count("datagrams_received")
        self._node.hybrid_clock.observe(envelope.stamp)
        self._handle_message(envelope, Address(addr[0]), addr[1])

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when a peer's port is closed; ignored, since probes detect it."""

    async def run(self) -> None:
        """Sends due messages periodically until cancelled."""
        interval_s = self._node.settings.probe_interval_ms / 1000 / SEND_ROUNDS_PER_PROBE
        for peer in self._node.settings.peers:
            self._node.membership.add_candidate(Address(peer.host), peer.port)
        while True:
            self.send_due_messages(self._node.clock.monotonic())
            await asyncio.sleep(interval_s)

    def send_due_messages(self, now_s: float) -> None:
        """Sends due heartbeats, reports and loan messages."""
        node = self._node
        self._send_heartbeats(node.membership.advance(now_s))
        node.update_removed_vms()
        self._record_member_changes()
        self._forget_ended_holders()
        self._send_report_if_due(now_s)
        if now_s - self._last_loan_update_s >= LOAN_RETRY_INTERVAL_S:
            self._last_loan_update_s = now_s
            self._loans.send_due_messages(now_s)

    def planner_order(self) -> list[Member]:
        """Returns the members of this cell in order of priority as planner."""
        cell = self.cell_members()
        by_address = {member.address: member for member in cell}
        ordered_addresses = choose_responsible_members(by_address, self._node.plan_name, len(cell))
        return [by_address[address] for address in ordered_addresses]

    def cell_members(self) -> list[Member]:
        """Returns the members of this cell that are neither suspected nor unreachable."""
        return [
            member
            for member in self._node.membership.reachable()
            if member.region == self._node.region and member.state is not MemberState.SUSPECT
        ]

    def publish_document(self, document: Document) -> bool:
        """Applies a document read from the platform and relays it to the cell.

        Returns whether the document was a new revision.
        """
        accepted = self._node.apply_document(document)
        if accepted:
            self._relay_document(document, is_origin=True)
        return accepted

    def announce_leave(self) -> None:
        """Announces immediately that this daemon is leaving."""
        self._node.membership.announce_leaving()
        self._node.events.record("leaving")
        self._send_heartbeats(self._node.membership.build_announcements())

    def _handle_message(self, envelope: Envelope, address: Address, port: int) -> None:
        """Handles one message of another daemon."""
        sender = Incarnation(envelope.incarnation)
        match envelope:
            case Envelope(heartbeat=heartbeat) if heartbeat is not None:
                now_s = self._node.clock.monotonic()
                self._send_heartbeats(
                    self._node.membership.receive(heartbeat, address, port, now_s)
                )
                self._record_member_changes()
                self._schedule_member_fetch(address, port)
                for name in self._node.replicas.find_outdated(heartbeat.documents):
                    self._schedule_document_fetch(name, address, port)
            case Envelope(push=push) if push is not None:
                self._receive_push(push, address, port)
            case Envelope(report=report) if report is not None:
                if sender not in self._node.membership.ended_incarnations():
                    self.reports_by_holder[sender] = ReceivedReport(sender, report)
            case Envelope(loan_request=request) if request is not None:
                self._loans.receive_loan_request(request, sender)
            case Envelope(loan=loan) if loan is not None:
                self._loans.receive_loan(loan, address, port)
            case Envelope(loan_receipt=receipt) if receipt is not None:
                self._loans.receive_loan_receipt(receipt)
            case Envelope(repayment=repayment) if repayment is not None:
                self._loans.receive_repayment(repayment, address, port)
            case Envelope(repayment_receipt=receipt) if receipt is not None:
                self._loans.receive_repayment_receipt(receipt, sender)
            case Envelope(suspicion=notice) if notice is not None:
                self._suspicions.receive(notice)

    def _record_member_changes(self) -> None:
        """Records membership changes as events and metrics."""
        for member in self._node.membership.changes:
            self._node.events.record("member_" + member.state.name.lower(), member.vm)
            self._node.metrics.count("member_changes", member.state.name.lower())
        self._node.membership.changes.clear()

    def _forget_ended_holders(self) -> None:
        """Removes the reports of processes that have ended."""
        for holder in self._node.membership.ended_incarnations() & self.reports_by_holder.keys():
            del self.reports_by_holder[holder]

    def _send_heartbeats(self, outgoing_heartbeats: Iterable[OutgoingHeartbeat]) -> None:
        """Sends heartbeats."""
        for outgoing in outgoing_heartbeats:
            self._send_message(
                outgoing.address, outgoing.port, Envelope(heartbeat=outgoing.heartbeat)
            )

    def _send_message(self, address: Address, port: int, envelope: Envelope) -> None:
        """Stamps, signs and sends one message."""
        if self._transport is None or self._transport.is_closing():
            return
        envelope.stamp = self._node.hybrid_clock.stamp()
        envelope.incarnation = self._node.incarnation
        datagram = encode_envelope(envelope, self._node.peer_key)
        self._node.metrics.count("datagrams_sent")
        self._node.metrics.count("datagram_bytes_sent", amount=len(datagram))
        self._transport.sendto(datagram, (address, port))

    # Documents

    def _relay_document(self, document: Document, is_origin: bool) -> None:
        """Pushes a new revision to this daemon's children in the relay tree.

        Compressed content over MAX_INLINE_BYTES is omitted; the receiver fetches it.
        """
        members = {member.address: member for member in self.cell_members()}
        own_address = self._node.address
        content = compress(document.content)
        if len(content) > MAX_INLINE_BYTES:
            content = b""
        targets = choose_relay_targets(
            document.name, document.revision, own_address, list(members), is_origin
        )
        for address in targets:
            push = DocumentPush(document.name, document.revision, content)
            self._send_message(address, members[address].port, Envelope(push=push))

    def _receive_push(self, push: DocumentPush, address: Address, port: int) -> None:
        """Applies and relays a pushed revision, or fetches it when the push has no content."""
        revision = Revision(push.revision)
        if revision <= self._node.replicas.revision(push.name):
            return
        if not push.content:
            self._schedule_document_fetch(push.name, address, port)
            return
        try:
            document = Document(push.name, revision, decompress(push.content))
        except ValueError:
            self._node.metrics.count("documents_refused", push.name)
            return
        if self._node.apply_document(document):
            self._relay_document(document, is_origin=False)

    def _schedule_document_fetch(self, name: str, address: Address, port: int) -> None:
        """Starts to fetch a document from a peer, unless a fetch of it is in progress."""
        if name in self._fetching:
            return
        self._fetching.add(name)
        task = asyncio.get_running_loop().create_task(self._fetch_document(name, address, port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _schedule_member_fetch(self, address: Address, port: int) -> None:
        """Starts to fetch all members from the first peer that sends a heartbeat."""
        if not self._members_fetched:
            self._members_fetched = True
            task = asyncio.get_running_loop().create_task(self._fetch_members(address, port))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch_members(self, address: Address, port: int) -> None:
        """Fetches and applies the members known to a peer.

        After a failure, the next heartbeat starts another fetch.
        """
        peer_headers = (("lycheepin-peer", peer_token(self._node.peer_key, address)),)
        answer = await self._http_client.call(
            address, port, "GET", "/_lycheepin/peer/members", headers=peer_headers
        )
        try:
            match answer:
                case CallAnswer(status=200, body=body):
                    records = decode_members(body)
                    self._node.membership.apply_records(records, self._node.clock.monotonic())
                    return
        except ValueError:
            self._node.metrics.count("documents_refused", "members")
        self._members_fetched = False

    async def _fetch_document(self, name: str, address: Address, port: int) -> None:
        """Fetches a document from a peer, applies it and relays it."""
        peer_headers = (("lycheepin-peer", peer_token(self._node.peer_key, address)),)
        target = f"/_lycheepin/peer/document?name={quote(name, safe='')}"
        try:
            answer = await self._http_client.call(
                address, port, "GET", target, headers=peer_headers
            )
            match answer:
                case CallAnswer(status=200, body=body):
                    revision = Revision(int(answer.header(b"lycheepin-revision") or 0))
                    document = Document(name, revision, decompress(body))
                    if self._node.apply_document(document):
                        self._relay_document(document, is_origin=False)
        except ValueError:
            self._node.metrics.count("documents_refused", name)
        finally:
            self._fetching.discard(name)

    # Reports

    def _send_report_if_due(self, now_s: float) -> None:
        """Reports to the planner candidates after a change, and every REPORT_INTERVAL_S."""
        ledger = self._node.ledger
        ledger.expire(now_s)
        state = (ledger.plan_revision, ledger.settled, ledger.clear)
        if state == self._last_report and now_s - self._last_report_s < REPORT_INTERVAL_S:
            return
        self._last_report = state
        self._last_report_s = now_s
        report = HoldingReport(state[0], state[1], self._node.service_loads(), state[2])
        for member in self.planner_order()[:PLANNER_CANDIDATES]:
            if member.address == self._node.address:
                self.reports_by_holder[self._node.incarnation] = ReceivedReport(
                    self._node.incarnation, report
                )
            else:
                self._send_message(member.address, member.port, Envelope(report=report))
