"""Loans of tokens between the daemons of a cell; they need no access to the store."""

from __future__ import annotations

from collections.abc import Callable

from lycheepin.cluster.member import Member
from lycheepin.daemon.node import Node
from lycheepin.generated.messages import (
    Envelope,
    Loan,
    LoanReceipt,
    LoanRequest,
    Repayment,
    RepaymentReceipt,
)
from lycheepin.names import Address, Incarnation, Resource, ServiceName
from lycheepin.steering.ledger import LoanKey, LoanRecord

__all__ = ["LoanManager"]

REPAY_IDLE_S = 1.0
MAX_LOAN_TOKENS = 4

SendEnvelope = Callable[[Address, int, Envelope], None]


class LoanManager:
    """Requests, grants and repays loans.

    Loans and repayments are retransmitted until a receipt arrives.
    """

    def __init__(
        self, node: Node, send: SendEnvelope, cell_members: Callable[[], list[Member]]
    ) -> None:
        self._node = node
        self._send = send
        self._cell_members = cell_members
        self._unconfirmed_loans: dict[int, LoanRecord] = {}
        self._unconfirmed_repayments: dict[LoanKey, LoanRecord] = {}
        self._last_waiting_s: dict[ServiceName, float] = {}

    def receive_loan_receipt(self, receipt: LoanReceipt) -> None:
        """Stops retransmitting a loan."""
        self._unconfirmed_loans.pop(receipt.number, None)

    def receive_repayment_receipt(self, receipt: RepaymentReceipt, lender: Incarnation) -> None:
        """Stops retransmitting a repayment."""
        self._unconfirmed_repayments.pop(LoanKey(lender, receipt.number), None)

    def send_due_messages(self, now_s: float) -> None:
        """Sends the loan messages that are due.

        Retransmits unconfirmed loans and repayments, requests loans for waiting requests, and
        repays the loans of services that have had no waiting requests for REPAY_IDLE_S.
        """
        members = {m.incarnation: m for m in self._node.membership.members()}
        outstanding_keys = {record.key for record in self._node.ledger.loans_out()}
        for record in list(self._unconfirmed_loans.values()):
            if record.key not in outstanding_keys:
                # The borrower has ended and a plan has returned its tokens.
                del self._unconfirmed_loans[record.key.number]
                continue
            self._send_loan(record, members.get(record.borrower))
        for key in list(self._unconfirmed_repayments):
            self._send_repayment(key, members.get(key.lender))
        for service in self._node.services:
            if self._node.admission.waiting(service):
                self._last_waiting_s[service] = now_s
                self._request_loan(service)
        for record in self._node.ledger.loans_in():
            service_name = self._find_service(record.resource)
            if service_name and now_s - self._last_waiting_s.get(service_name, 0.0) < REPAY_IDLE_S:
                continue
            if self._node.ledger.repay(record.key):
                self._unconfirmed_repayments[record.key] = record
                self._node.recompute_endpoints()
                self._send_repayment(record.key, members.get(record.key.lender))

    def _find_service(self, resource: Resource) -> ServiceName | None:
        """Returns the service that a slot resource belongs to, or None."""
        return next((s for s, rs in self._node.services.items() if resource in rs), None)

    def _request_loan(self, service: ServiceName) -> None:
        """Requests a loan from every other holder of tokens of a service."""
        count = min(MAX_LOAN_TOKENS, self._node.admission.waiting(service))
        for member in self._cell_members():
            held_tokens = self._node.granted_tokens(member.incarnation, service)
            if held_tokens and member.address != self._node.address:
                request = LoanRequest(service, count)
                self._send(member.address, member.port, Envelope(loan_request=request))

    def receive_loan_request(self, request: LoanRequest, borrower: Incarnation) -> None:
        """Lends at most half of the free tokens of a service; none while requests wait here."""
        node = self._node
        service = ServiceName(request.service_name)
        if service not in node.services or node.admission.waiting(service):
            return
        member = next((m for m in node.membership.members() if m.incarnation == borrower), None)
        lendable = min(request.count, node.admission.free(service) // 2)
        for resource in node.services[service]:
            count = min(lendable, node.ledger.available(resource))
            record = node.ledger.lend(borrower, resource, count) if count > 0 else None
            if record is not None:
                lendable -= count
                self._unconfirmed_loans[record.key.number] = record
                node.metrics.count("tokens_lent", amount=count)
                self._send_loan(record, member)

    def _send_loan(self, record: LoanRecord, member: Member | None) -> None:
        """Sends a loan whose tokens have already left the ledger."""
        if member is None:
            return
        loan = Loan(
            record.key.number, record.key.lender, record.borrower, record.resource, record.count
        )
        self._send(member.address, member.port, Envelope(loan=loan))

    def receive_loan(self, loan: Loan, address: Address, port: int) -> None:
        """Adds a loan to the ledger and sends a receipt; a repeat adds nothing."""
        record = LoanRecord(
            LoanKey(Incarnation(loan.lender), loan.number),
            Incarnation(loan.borrower),
            Resource(loan.resource),
            loan.count,
        )
        if self._node.ledger.accept(record):
            self._send(address, port, Envelope(loan_receipt=LoanReceipt(loan.number, loan.lender)))
            self._node.recompute_endpoints()

    def _send_repayment(self, key: LoanKey, member: Member | None) -> None:
        """Sends a repayment whose tokens have already left the ledger."""
        if member is None:
            self._unconfirmed_repayments.pop(key, None)
            return
        repayment = Repayment(key.number, key.lender, self._node.incarnation)
        self._send(member.address, member.port, Envelope(repayment=repayment))

    def receive_repayment(self, repayment: Repayment, address: Address, port: int) -> None:
        """Returns repaid tokens to the ledger and sends a receipt; a repeat adds nothing."""
        if repayment.lender != self._node.incarnation:
            return
        self._unconfirmed_loans.pop(repayment.number, None)
        self._node.ledger.reclaim_loan(LoanKey(self._node.incarnation, repayment.number))
        receipt = RepaymentReceipt(repayment.number, repayment.borrower)
        self._send(address, port, Envelope(repayment_receipt=receipt))
        self._node.recompute_endpoints()
