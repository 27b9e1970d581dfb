import asyncio
import time
import unittest
from dataclasses import replace
from unittest.mock import patch

from logbook import NullHandler

from lycheepin.gateway.decisions import DecisionLog
from lycheepin.names import DaemonName, EndpointId
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.steering import suspects
from lycheepin.steering.endpoint import Endpoint, EndpointProcess
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.suspects import (
    CRASHES_TO_QUARANTINE,
    Fingerprint,
    SuspectRegistry,
    Suspicion,
)
from lycheepin.transport.connection import ConnectionPool
from standins.messages import HOST, find_free_address
from tests.steering.builders import record

POPULAR = Fingerprint("popular")


class RecordingPublisher:
    """Keeps what is published instead of writing it."""

    def __init__(self) -> None:
        self.published: list[Suspicion] = []

    def publish(self, suspicion: Suspicion, delay_s: float = 0.0) -> None:
        self.published.append(suspicion)

    def observe(self, suspicion: Suspicion) -> None:
        self.published = [other for other in self.published if other != suspicion]


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    """Test case with the exchange of one daemon."""

    async def asyncSetUp(self) -> None:
        handler = NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.registry = EndpointRegistry()
        self.suspects = SuspectRegistry(lambda fingerprint, now_s: False)
        self.publisher = RecordingPublisher()
        self.exchange = SuspicionExchange(
            DaemonName("own"),
            self.suspects,
            self.registry.observe_crash,
            ConnectionPool(HOST),
            DecisionLog("own", time.monotonic).write,
        )
        self.exchange.publisher = self.publisher

    def _add_ended_endpoint(self, number: int) -> Endpoint:
        """Adds an endpoint at whose address nothing listens any more."""
        ended = replace(record(f"e{number}"), address=HOST, port=find_free_address().port)
        self.registry.register(ended, 0.0)
        endpoint = self.registry.get(ended.id)
        assert endpoint is not None
        return endpoint


class PopularRequestIsBlamedForCrashesAtOnce(ExchangeCase):
    """Several endpoints that crash together have the same popular request in common."""

    async def _crash_endpoints(self) -> None:
        """Lets endpoints crash under the popular request, and waits until that is known."""
        endpoints = [self._add_ended_endpoint(number) for number in range(CRASHES_TO_QUARANTINE)]
        for endpoint in endpoints:
            self.exchange.detector.observe_break(endpoint, POPULAR)
        async with asyncio.timeout(20):
            while not all(endpoint.excluded_until_s for endpoint in endpoints):
                await asyncio.sleep(0.01)

    async def test_daemon_that_served_the_request_lately_does_not_blame_it(self) -> None:
        self.exchange.observe_served(POPULAR)
        await self._crash_endpoints()
        self.assertIsNone(self.exchange.find_quarantine(POPULAR))
        self.assertEqual(self.publisher.published, [])

    async def test_daemon_that_did_not_serve_it_blames_it_and_an_answer_frees_it(self) -> None:
        await self._crash_endpoints()
        self.assertIsNotNone(self.exchange.find_quarantine(POPULAR))
        self.exchange.observe_served(POPULAR)
        self.assertIsNone(self.exchange.find_quarantine(POPULAR))
        self.assertEqual(sum(s.refuted for s in self.publisher.published), CRASHES_TO_QUARANTINE)

    async def test_daemon_that_served_it_lately_refutes_what_others_suspect(self) -> None:
        self.exchange.observe_served(POPULAR)
        suspicions = [
            Suspicion(POPULAR, EndpointProcess(EndpointId(f"e{number}"), 1))
            for number in range(CRASHES_TO_QUARANTINE)
        ]
        for suspicion in suspicions:
            self.exchange.apply_suspicion(suspicion)
        self.assertIsNone(self.exchange.find_quarantine(POPULAR))
        self.assertEqual(len(self.publisher.published), CRASHES_TO_QUARANTINE)
        self.assertTrue(all(s.refuted for s in self.publisher.published))
        for refutation in list(self.publisher.published):
            self.exchange.apply_suspicion(refutation)
        self.assertEqual(self.publisher.published, [])

    async def test_refutation_is_repeated_when_a_suspicion_comes_back(self) -> None:
        await self._crash_endpoints()
        self.exchange.observe_served(POPULAR)
        self.publisher.published.clear()
        suspicion = Suspicion(POPULAR, EndpointProcess(EndpointId("e0"), 1))
        with patch.object(suspects, "SERVED_PROOF_S", 0.0):
            self.exchange.apply_suspicion(suspicion)
        self.assertEqual([s.refuted for s in self.publisher.published], [True])


class CrashSoonAfterAnotherBreakIsMissed(ExchangeCase):
    """An endpoint broke one connection and ran on, and crashed within a second of that."""

    async def test_crash_is_noticed_although_the_endpoint_was_just_checked(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, 0)
        endpoint = self._add_ended_endpoint(0)
        port = server.sockets[0].getsockname()[1]
        endpoint.record = replace(endpoint.record, port=port)
        self.exchange.detector.observe_break(endpoint, Fingerprint("other"))
        await asyncio.sleep(0.2)
        server.close()
        self.exchange.detector.observe_break(endpoint, POPULAR)
        async with asyncio.timeout(20):
            while not endpoint.excluded_until_s:
                await asyncio.sleep(0.01)
        self.assertEqual(self.suspects.count_crashes(POPULAR), 1)
