"""Tests of the reports that the daemons of a cell send each other."""

import unittest

from lycheepin.cluster.wire import encode_envelope
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.daemon.suspicions import build_exchange
from lycheepin.generated.messages import Envelope, HoldingReport
from lycheepin.names import Address, Incarnation
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.connection import ConnectionPool
from tests.daemon.test_lending import make_node

SENDER = ("127.0.0.2", 1)


class HoldingReports(unittest.IsolatedAsyncioTestCase):
    async def test_reports_of_a_process_that_has_ended_are_forgotten(self) -> None:
        node, sender = make_node(1), make_node(2)
        exchange = build_exchange(node, ConnectionPool(Address("127.0.0.1")))
        protocol = PeerProtocol(node, HttpClient(Address("127.0.0.1")), exchange)
        node.membership.apply_records([sender.membership.local_member.to_record()], 0.0)
        report = Envelope(1, sender.incarnation, report=HoldingReport(1))
        datagram = encode_envelope(report, node.peer_key)
        protocol.datagram_received(datagram, SENDER)
        self.assertEqual(set(protocol.reports_by_holder), {sender.incarnation})
        node.membership.remove_member(sender.membership.local_member.address)
        protocol.send_due_messages(node.clock.monotonic())
        self.assertEqual(set(protocol.reports_by_holder), {node.incarnation})
        protocol.datagram_received(datagram, SENDER)
        self.assertEqual(set(protocol.reports_by_holder), {node.incarnation}, "late report")
        self.assertEqual(node.membership.ended_incarnations(), {Incarnation(2)})
