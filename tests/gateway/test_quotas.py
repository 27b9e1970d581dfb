"""Quotas of workspaces at gateways that lend each other tokens over loopback."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from typing import Any
from unittest import mock

from lycheepin.gateway.process import Gateway
from lycheepin.gateway.quota_exchange import read_clock_s
from lycheepin.gateway.quota_messages import derive_key, encode_ask, encode_grant
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address, DaemonName, WorkspaceName
from lycheepin.steering.quota_bucket import Need
from lycheepin.steering.quota_shares import QuotaTerms
from lycheepin.steering.quotas import Ask, Grant, Return, Want, identify_by_number
from standins.messages import configuration
from standins.servers import EndpointStandIn, ReceivedRequest, answer_ok
from tests.gateway.deployment import HOST, DeploymentCase

EXCHANGE_PORT = 11_900
NUMBER = identify_by_number("alpha")


def build_configuration(version: int = 1, rate: float = 1.0, burst: float = 4.0) -> dict[str, Any]:
    limited = {"apiKeys": ["alpha-1"], "ratePerS": rate, "burst": burst}
    return configuration(version) | {"tenants": {"alpha": limited, "beta": {"apiKeys": ["b-1"]}}}


def build_request(number: int, key: str = "alpha-1") -> bytes:
    lines = (f"GET /read/{number} HTTP/1.1", "Host: a.example", "Deadline-Ms: 900")
    return "\r\n".join((*lines, f"Authorization: Bearer {key}")).encode() + b"\r\n\r\n"


class QuotaCase(DeploymentCase):
    """Gateways that have addresses of their own, as all use the same port for the exchange."""

    terms = QuotaTerms(5.0, 0.0, 0.0)

    async def add_member(self, number: int) -> Gateway:
        host = Address(str(ipaddress.IPv4Address(HOST) + number * (1 << 22)))
        control = SocketAddress(host, EXCHANGE_PORT + 1)
        return await self.add_gateway(
            f"daemon-{number}",
            host=host,
            control=control,
            exchange_port=EXCHANGE_PORT,
            quota_terms=self.terms,
        )

    async def ask(self, gateway: Gateway, count: int, key: str = "alpha-1") -> list[int]:
        """Returns the statuses of requests that are sent one after the other."""
        return [
            (await self.send_request(gateway, build_request(number, key)))[0]
            for number in range(count)
        ]

    def count_tokens(self, gateway: Gateway) -> float:
        """Returns how many requests of the workspace a gateway could run now."""
        return gateway.quotas.ledger.count_tokens(WorkspaceName("alpha"), read_clock_s())


class SharedQuotaTest(QuotaCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", build_configuration())
        self.endpoint: EndpointStandIn = await self.add_endpoint("one", answer_ok)
        for number in (1, 2):
            await self.wait_until_ready(await self.add_member(number))
        self.first, self.second = self.gateways
        await self.wait_until(lambda: len(self.first.directory.carriers) == 2)

    async def test_one_daemon_gets_the_tokens_of_both_and_more_is_refused(self) -> None:
        await self.wait_until(lambda: self.count_tokens(self.first) >= 1.0)
        statuses: list[int] = []
        while self.first.metrics.value("quota_loans_taken") < 3:
            statuses += await self.ask(self.first, 20)
        self.assertEqual({*statuses}, {200, 429})
        self.assertEqual(statuses.count(200), len(self.endpoint.received_requests))
        self.assertGreater(self.second.metrics.value("quota_loans_given"), 0)
        self.assertEqual({*await self.ask(self.first, 20, "b-1")}, {200})

    async def test_refusal_names_the_time_and_is_explained(self) -> None:
        lines: list[dict[str, Any]] = []
        self.first.log._emit_line = lambda event, fields: lines.append(  # type: ignore
            {"event": event} | fields
        )
        while True:
            status, headers, _ = await self.send_request(self.first, build_request(1))
            if status == 429:
                break
        self.assertGreater(float(headers["retry-after"]), 0.0)
        line = next(line for line in lines if line["event"] == "quota_spent")
        self.assertEqual((line["workspace"], line["limit_per_s"]), ("alpha", 1.0))
        self.assertLess(line["tokens"], 1.0)
        self.assertNotIn("alpha-1", str(lines))


class RefundTest(QuotaCase):
    """One daemon with a clock that stands still, so that no token comes while requests are sent."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock_s = 1000.0
        clock = mock.patch("lycheepin.gateway.quota_exchange.read_clock_s", lambda: self.clock_s)
        clock.start()
        self.addCleanup(clock.stop)

    async def fill(self, gateway: Gateway) -> None:
        """Lets the time pass in which the gateway gets one token."""
        await self.wait_until(lambda: gateway.directory.carriers)
        ledger = gateway.quotas.ledger
        while ledger.count_tokens(WorkspaceName("alpha"), self.clock_s) < 1.0:
            self.clock_s += 0.5

    async def test_request_that_did_not_run_costs_no_token(self) -> None:
        self.store.put("op/config", build_configuration(rate=1.0, burst=1.0))
        gateway = await self.add_member(1)
        await self.wait_until_ready(gateway)
        await self.fill(gateway)
        self.assertEqual({*await self.ask(gateway, 5)}, {503})
        await self.add_endpoint("one")
        await self.wait_until_ready(gateway)
        self.assertEqual(await self.ask(gateway, 2), [200, 429])

    async def test_second_attempt_needs_a_second_token(self) -> None:
        async def break_off(received: ReceivedRequest) -> bytes:
            return b""

        self.store.put("op/config", build_configuration(rate=1.0, burst=1.0))
        for name in ("one", "two"):
            await self.add_endpoint(name, break_off)
        gateway = await self.add_member(1)
        await self.wait_until_ready(gateway)
        await self.fill(gateway)
        self.assertEqual(await self.ask(gateway, 1), [502])
        self.assertEqual(sum(len(e.received_requests) for e in self.endpoints), 1)
        self.assertEqual({*await self.ask(gateway, 1, "b-1")}, {502})
        self.assertEqual(sum(len(e.received_requests) for e in self.endpoints), 3)


class ForgeryTest(QuotaCase):
    terms = QuotaTerms()

    async def test_datagrams_of_others_change_nothing(self) -> None:
        self.store.put("op/config", build_configuration())
        await self.add_endpoint("one")
        for number in (1, 2):
            await self.wait_until_ready(await self.add_member(number))
        gateway = self.gateways[0]
        await self.wait_until(lambda: len(gateway.directory.carriers) == 2)
        await self.wait_until(lambda: gateway.quotas._transport is not None)
        key = derive_key(str(gateway.settings.store))
        want = Want(NUMBER, 1e5, 1e5, Need.PRESSED)
        ask = Ask(1, DaemonName("daemon-1"), (want,), (Return(1, NUMBER, 1e5),))
        unread = (
            b"",
            b"\xff" * 60_000,
            encode_ask(ask, key)[:-9],
            encode_ask(ask, derive_key("127.0.0.1:1")),
            encode_grant(Grant(1, ((NUMBER, 1e5),)), key)[:8] + b"\x0f\x00\x02\x0c\x7f\xff\xff\xff",
        )
        held = self.count_tokens(gateway)
        target = (gateway.settings.host, EXCHANGE_PORT)
        refused = gateway.metrics.value("quota_datagrams_refused")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in (*unread, encode_ask(ask, key)):
                sender.sendto(datagram, target)
        peer = self.gateways[1]
        for datagram in (*unread, encode_grant(Grant(1, ((NUMBER, 1e5),)), key)):
            peer.quotas._transport.sendto(datagram, target)  # type: ignore
        await self.wait_until(
            lambda: gateway.metrics.value("quota_datagrams_refused") >= refused + 2 * len(unread)
        )
        await asyncio.sleep(0)
        self.assertLess(self.count_tokens(gateway), held + 50.0)
        self.assertEqual(await self.ask(gateway, 1, "b-1"), [200])
