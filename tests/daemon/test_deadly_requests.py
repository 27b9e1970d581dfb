"""Requests that crash the endpoints of the project's own interface, and come again."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from lycheepin.clocks import SystemClock
from lycheepin.cluster.member import Member
from lycheepin.daemon import suspicions
from lycheepin.daemon.node import Node
from lycheepin.daemon.suspicions import SuspicionSpreader, build_exchange
from lycheepin.generated.messages import Envelope
from lycheepin.generated.settings import DaemonSettings
from lycheepin.names import Address, EndpointId, Incarnation, RegionName, ZoneName
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import CRASHES_TO_QUARANTINE, Fingerprint, Suspicion
from lycheepin.transport.connection import ConnectionPool
from standins.http_client import Answer
from tests.daemon.test_requests import HOST, UNUSED_ADDRESS, DaemonFixture

TRIES = 8
ADDRESSES = [Address(f"127.77.1.{number}") for number in range(1, 7)]


async def run_loop_once() -> None:
    """Lets what is due in the event loop run."""
    for _ in range(3):
        await asyncio.sleep(0)


class DeadlyRequest(unittest.IsolatedAsyncioTestCase):
    # Guards against a request that crashes endpoints being sent to one after the other for ever.
    @mock.patch.object(suspicions, "SAME_CRASH_MS", 1)
    async def test_request_is_refused_after_three_crashes_and_others_are_served(self) -> None:
        fixture = DaemonFixture([])
        crashed = asyncio.Event()

        async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"/b/deadly" in fixture.requests[-1]:
                fixture.stop_endpoint()
                crashed.set()
                writer.close()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        fixture.replies.append(reply)
        async with fixture:
            answers = []
            for _ in range(TRIES):
                answer = await fixture.send_request(target="/b/deadly")
                assert isinstance(answer, Answer)
                answers.append(answer.headers["lycheepin-error"])
                if crashed.is_set():
                    crashed.clear()
                    await asyncio.sleep(0.3)
                    await fixture.restart_endpoint()
            deadly = [head for head in fixture.requests if b"/b/deadly" in head]
            self.assertEqual(len(deadly), CRASHES_TO_QUARANTINE)
            self.assertEqual(answers[-1], "quarantined")
            harmless = await fixture.send_request(target="/b/harmless")
            assert isinstance(harmless, Answer)
            self.assertEqual(harmless.status, 200)


class Spreading(unittest.IsolatedAsyncioTestCase):
    """Daemons of two regions that exchange notices without a network."""

    async def asyncSetUp(self) -> None:
        self.sent = 0
        self.nodes: dict[Address, Node] = {}
        self.spreaders: dict[Address, SuspicionSpreader] = {}
        self.lost: set[Address] = set()
        members = [
            Member(address, 1, "v", ZoneName("z"), RegionName("ab"[number % 2]), Incarnation(5))
            for number, address in enumerate(ADDRESSES)
        ]
        for member in members:
            settings = DaemonSettings(
                "f/v", "z", member.region, member.address, UNUSED_ADDRESS, UNUSED_ADDRESS, "k" * 16
            )
            node = Node(settings, SystemClock(), Incarnation(5))
            others = [other for other in members if other is not member]
            node.membership.members = lambda others=others: others  # type: ignore[method-assign]
            self.nodes[member.address] = node
            exchange = build_exchange(node, ConnectionPool(HOST))
            self.spreaders[member.address] = SuspicionSpreader(node, exchange, self._deliver)

    def _deliver(self, address: Address, port: int, envelope: Envelope) -> None:
        """Hands a notice to a daemon."""
        self.sent += 1
        assert envelope.suspicion is not None
        if address not in self.lost:
            self.spreaders[address].receive(envelope.suspicion)

    def _count_knowing(self, fingerprint: Fingerprint) -> int:
        """Returns how many daemons refuse a request."""
        return sum(
            spreader._exchange.find_quarantine(fingerprint) is not None
            for spreader in self.spreaders.values()
        )

    # Guards against each daemon finding out by crashes of its own.
    async def test_all_daemons_of_all_regions_refuse_what_one_has_seen(self) -> None:
        first = self.spreaders[ADDRESSES[0]]
        for number in range(CRASHES_TO_QUARANTINE):
            process = EndpointProcess(EndpointId(f"f/e{number}"), 7)
            suspicion = Suspicion(Fingerprint("deadly"), process)
            first._exchange.apply_suspicion(suspicion)
            first.publish(suspicion)
        await run_loop_once()
        self.assertEqual(self._count_knowing(Fingerprint("deadly")), len(ADDRESSES))
        self.assertLess(self.sent, CRASHES_TO_QUARANTINE * 4 * len(ADDRESSES))

    async def test_notice_that_is_lost_is_repeated(self) -> None:
        with mock.patch.object(suspicions, "REPEATS_S", (0.0, 0.01)):
            self.lost = set(ADDRESSES)
            for number in range(CRASHES_TO_QUARANTINE):
                process = EndpointProcess(EndpointId(f"f/e{number}"), 7)
                suspicion = Suspicion(Fingerprint("deadly"), process)
                self.spreaders[ADDRESSES[0]].publish(suspicion)
            await run_loop_once()
            self.lost = set()
            async with asyncio.timeout(20):
                while self._count_knowing(Fingerprint("deadly")) < len(ADDRESSES) - 1:
                    await asyncio.sleep(0.01)
