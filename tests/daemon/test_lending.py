"""Tests of loans between two daemons over a network that loses and duplicates messages."""

import random
import unittest

from lycheepin.clocks import SystemClock
from lycheepin.daemon.lending import LoanManager
from lycheepin.daemon.node import Node
from lycheepin.generated.messages import Envelope
from lycheepin.generated.settings import Address as AddressSetting
from lycheepin.generated.settings import DaemonSettings
from lycheepin.names import Address, FleetName, Incarnation, ServiceName
from lycheepin.steering.admission import Start, Ticket, Wait
from lycheepin.steering.endpoints import ExchangeResult
from tests.daemon.test_requests import CONFIGURATION_VALUE, SLOTS, load_documents

PLATFORM = AddressSetting("127.0.0.1", 1)
DESK = ServiceName("desk")


def make_node(number: int) -> Node:
    """Returns a daemon of a cell of two; daemon 1 holds all slots of the only endpoint."""
    settings = DaemonSettings(
        f"f/v{number}", "z", "r", f"127.0.0.{number}", PLATFORM, PLATFORM, "k" * 16
    )
    node = Node(settings, SystemClock(), Incarnation(number))
    load_documents(node, Address("127.0.0.9"), 1, (Incarnation(1), Incarnation(2)))
    return node


class DaemonPair:
    """Two daemons and a simulated network between them."""

    def __init__(self, loss: float) -> None:
        self._random = random.Random(4)
        self._loss = loss
        self.now_s = 100.0
        self.nodes = {f"127.0.0.{n}": make_node(n) for n in (1, 2)}
        first, second = self.nodes.values()
        first.membership._apply_record(second.membership.local_member, 0.0)
        second.membership._apply_record(first.membership.local_member, 0.0)
        self.loan_managers = {
            address: LoanManager(node, self._sender(address), self._cell_members(node))
            for address, node in self.nodes.items()
        }
        self._queue: list[tuple[str, str, Envelope]] = []

    def _sender(self, source: str):
        return lambda address, port, envelope: self._queue.append((source, address, envelope))

    def _cell_members(self, node: Node):
        return lambda: node.membership.reachable()

    def run_rounds(self, rounds: int) -> None:
        """Runs rounds of 0.2 s, each of which sends, delivers, drops and duplicates messages."""
        for _ in range(rounds):
            self.now_s += 0.2
            for loan_manager in self.loan_managers.values():
                loan_manager.send_due_messages(self.now_s)
            queued_messages, self._queue = self._queue, []
            for source, target, envelope in queued_messages:
                for _ in range(self._random.choice((1, 1, 2))):
                    if self._random.random() >= self._loss:
                        self._deliver(source, target, envelope)
            self.check_slots()

    def _deliver(self, source: str, target: str, envelope: Envelope) -> None:
        loan_manager, sender = self.loan_managers[target], self.nodes[source].incarnation
        address = Address(source)
        if envelope.loan_request is not None:
            loan_manager.receive_loan_request(envelope.loan_request, sender)
        elif envelope.loan is not None:
            loan_manager.receive_loan(envelope.loan, address, 1)
        elif envelope.loan_receipt is not None:
            loan_manager.receive_loan_receipt(envelope.loan_receipt)
        elif envelope.repayment is not None:
            loan_manager.receive_repayment(envelope.repayment, address, 1)
        elif envelope.repayment_receipt is not None:
            loan_manager.receive_repayment_receipt(envelope.repayment_receipt, sender)

    def check_slots(self) -> None:
        """Raises AssertionError when the daemons together may use more slots than exist."""
        total = sum(
            max(node.ledger.allowance(r), node.ledger.in_use(r))
            for node in self.nodes.values()
            for r in node.services[DESK]
        )
        assert total <= SLOTS, total


class LendingTest(unittest.TestCase):
    def run_with_loss(self, loss: float) -> None:
        pair = DaemonPair(loss)
        lender, borrower = pair.nodes.values()
        class_name = CONFIGURATION_VALUE["services"][0]["classes"][0]["name"]
        assert borrower.view is not None
        work_class = next(w for w in borrower.view.service(DESK).classes if w.name == class_name)
        ticket = Ticket(FleetName("f"), DESK, work_class, 10_000.0)
        borrower.admission._queues[DESK].push(ticket.fleet, ticket, False, 10_000.0)
        pair.run_rounds(30)
        self.assertGreater(borrower.admission.granted(DESK), 0)
        (start,) = borrower.admission.poll(pair.now_s)
        assert isinstance(start, Start)
        pair.run_rounds(30)
        self.assertEqual(borrower.admission.in_use(DESK), 1)
        borrower.admission.finish(start, ExchangeResult.ANSWERED, 0.1, pair.now_s)
        pair.run_rounds(60)
        self.assertEqual(borrower.admission.granted(DESK), 0)
        self.assertEqual(lender.admission.granted(DESK), SLOTS)

    def test_slots_are_lent_to_waiting_requests_and_repaid(self) -> None:
        self.run_with_loss(0.0)

    def test_lost_and_duplicated_messages_lose_no_slot(self) -> None:
        self.run_with_loss(0.5)

    def test_daemon_with_waiting_requests_lends_nothing(self) -> None:
        pair = DaemonPair(0.0)
        lender = pair.nodes["127.0.0.1"]
        assert lender.view is not None
        work_class = lender.view.service(DESK).classes[0]
        for _ in range(SLOTS + 1):
            decision = lender.admission.submit(Ticket(FleetName("f"), DESK, work_class, 1e9), 1.0)
        self.assertIsInstance(decision, Wait)
        self.assertEqual(lender.admission.free(DESK), 0)
        pair.run_rounds(5)
        self.assertEqual(lender.ledger.loans_out(), [])
