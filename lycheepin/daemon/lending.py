"""Loans of slots between the daemons of a cell, without the store."""

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

__all__ = ["Lending"]

LOAN_IDLE_S = 1.0
MAX_LOAN = 4

SendEnvelope = Callable[[Address, int, Envelope], None]


class Lending:
    """Asks for, hands out, repeats and repays loans."""

    def __init__(
        self, node: Node, send: SendEnvelope, cell_members: Callable[[], list[Member]]
    ) -> None:
        self._node = node
        self._send = send
        self._cell_members = cell_members
        self._unconfirmed: dict[int, LoanRecord] = {}
        self._repaying: dict[LoanKey, LoanRecord] = {}
        self._busy_s: dict[ServiceName, float] = {}

    def confirm_loan(self, receipt: LoanReceipt) -> None:
        """Stops repeating a loan."""
        self._unconfirmed.pop(receipt.number, None)

    def confirm_repayment(self, receipt: RepaymentReceipt, lender: Incarnation) -> None:
        """Stops repeating a repayment."""
        self._repaying.pop(LoanKey(lender, receipt.number), None)

    def advance(self, now_s: float) -> None:
        """Repeats loans and repayments, asks for slots when requests wait, and repays."""
        members = {m.incarnation: m for m in self._node.membership.members()}
        out = {record.key for record in self._node.ledger.loans_out()}
        for record in list(self._unconfirmed.values()):
            if record.key not in out:
                # The borrower has ended, and its tokens came back with a plan.
                del self._unconfirmed[record.key.number]
                continue
            self._send_loan(record, members.get(record.borrower))
        for key in list(self._repaying):
            self._send_repayment(key, members.get(key.lender))
        for service in self._node.services:
            if self._node.admission.waiting(service):
                self._busy_s[service] = now_s
                self._ask_for_loan(service)
        for record in self._node.ledger.loans_in():
            service_name = self._service_of(record.resource)
            if service_name and now_s - self._busy_s.get(service_name, 0.0) < LOAN_IDLE_S:
                continue
            if self._node.ledger.repay(record.key):
                self._repaying[record.key] = record
                self._node.refresh()
                self._send_repayment(record.key, members.get(record.key.lender))

    def _service_of(self, resource: Resource) -> ServiceName | None:
        """Returns the service of an endpoint's slots, or None."""
        return next((s for s, rs in self._node.services.items() if resource in rs), None)

    def _ask_for_loan(self, service: ServiceName) -> None:
        """Asks the other holders of a service for slots."""
        count = min(MAX_LOAN, self._node.admission.waiting(service))
        for member in self._cell_members():
            holds = self._node.tokens_of(member.incarnation, service)
            if holds and member.address != self._node.address:
                request = LoanRequest(service, count)
                self._send(member.address, member.port, Envelope(loan_request=request))

    def lend(self, request: LoanRequest, borrower: Incarnation) -> None:
        """Lends at most half of the free slots of a service."""
        node = self._node
        service = ServiceName(request.service_name)
        if service not in node.services or node.admission.waiting(service):
            return
        member = next((m for m in node.membership.members() if m.incarnation == borrower), None)
        spare = min(request.count, node.admission.free(service) // 2)
        for resource in node.services[service]:
            count = min(spare, node.ledger.available(resource))
            record = node.ledger.lend(borrower, resource, count) if count > 0 else None
            if record is not None:
                spare -= count
                self._unconfirmed[record.key.number] = record
                node.metrics.count("tokens_lent", amount=count)
                self._send_loan(record, member)

    def _send_loan(self, record: LoanRecord, member: Member | None) -> None:
        """Sends a loan; the ledger was lowered before."""
        if member is None:
            return
        loan = Loan(
            record.key.number, record.key.lender, record.borrower, record.resource, record.count
        )
        self._send(member.address, member.port, Envelope(loan=loan))

    def receive_loan(self, loan: Loan, address: Address, port: int) -> None:
        """Takes a loan over and confirms it."""
        record = LoanRecord(
            LoanKey(Incarnation(loan.lender), loan.number),
            Incarnation(loan.borrower),
            Resource(loan.resource),
            loan.count,
        )
        if self._node.ledger.accept(record):
            self._send(address, port, Envelope(loan_receipt=LoanReceipt(loan.number, loan.lender)))
            self._node.refresh()

    def _send_repayment(self, key: LoanKey, member: Member | None) -> None:
        """Sends a repayment; the ledger was lowered before."""
        if member is None:
            self._repaying.pop(key, None)
            return
        repayment = Repayment(key.number, key.lender, self._node.incarnation)
        self._send(member.address, member.port, Envelope(repayment=repayment))

    def receive_repayment(self, repayment: Repayment, address: Address, port: int) -> None:
        """Takes lent tokens back and confirms it."""
        if repayment.lender != self._node.incarnation:
            return
        self._unconfirmed.pop(repayment.number, None)
        self._node.ledger.reclaim_loan(LoanKey(self._node.incarnation, repayment.number))
        receipt = RepaymentReceipt(repayment.number, repayment.borrower)
        self._send(address, port, Envelope(repayment_receipt=receipt))
        self._node.refresh()
