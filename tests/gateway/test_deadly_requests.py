"""Requests that crash each endpoint that begins to run them, and come again at any daemon."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from lycheepin.gateway import process, suspicion_writer
from lycheepin.gateway.process import Gateway
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, configuration, request

# The time after the third crash from which arrivals count, and how many of them are allowed.
SETTLE_S = 4.0
ALLOWED_ARRIVALS = 3
CRASHES = 3


class CrashingEndpoints(DeploymentCase):
    """Endpoints that end, with all their connections, when they receive a deadly request."""

    DEADLY_PATHS = ("/read/deadly", "/order/deadly")

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.arrivals = 0

    async def add_crashing_endpoints(self, count: int) -> None:
        for number in range(count):
            endpoint: list[EndpointStandIn] = []

            async def script(
                received: ReceivedRequest, endpoint: list[EndpointStandIn] = endpoint
            ) -> bytes:
                if received.target in self.DEADLY_PATHS:
                    self.arrivals += 1
                    endpoint[0].close()
                    return b""
                return build_answer(received)

            endpoint.append(await self.add_endpoint(f"e{number}", script))

    async def add_gateways(self, count: int) -> list[Gateway]:
        gateways = [await self.add_gateway(f"daemon-{number}") for number in range(count)]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
            await self.wait_until(lambda g=gateway: len(g.directory.names) == count)
        return gateways

    async def send_deadly(
        self, gateway: Gateway, number: int, path: str = "/read/deadly", method: str = "GET"
    ) -> tuple[int, dict[str, str], bytes]:
        return await self.send_request(gateway, request(path, method, f"deadly-{number}"))


class RequestCrashesOneEndpointAfterTheOther(CrashingEndpoints):
    """One request ended 63 endpoints within 20 s, 43 of them after the third was known."""

    async def _count_arrivals_after_third_crash(self, path: str, method: str) -> int:
        await self.add_crashing_endpoints(16)
        gateways = await self.add_gateways(3)
        number = 0
        while self.arrivals < CRASHES:
            await self.send_deadly(gateways[number % len(gateways)], number, path, method)
            number += 1
        await asyncio.sleep(SETTLE_S)
        before = self.arrivals
        for gateway in gateways * 4:
            number += 1
            status, _, _ = await self.send_deadly(gateway, number, path, method)
            self.assertIn(status, (502, 503))
        return self.arrivals - before

    async def test_idempotent_request_goes_on_crashing_endpoints_at_any_daemon(self) -> None:
        arrivals = await self._count_arrivals_after_third_crash("/read/deadly", "GET")
        self.assertLessEqual(arrivals, ALLOWED_ARRIVALS)

    async def test_protected_request_goes_on_crashing_endpoints_at_any_daemon(self) -> None:
        arrivals = await self._count_arrivals_after_third_crash("/order/deadly", "POST")
        self.assertLessEqual(arrivals, ALLOWED_ARRIVALS)


class KnowledgeOfCrashes(CrashingEndpoints):
    """What daemons learn of a deadly request from each other, from the store and after a start."""

    async def _crash_three(self, gateway: Gateway) -> None:
        number = 0
        while self.arrivals < CRASHES:
            await self.send_deadly(gateway, number)
            number += 1

    async def _wait_until_quarantined(self, *gateways: Gateway) -> None:
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: g.suspects.quarantined)

    async def test_refusal_is_at_once_true_and_says_when_to_come_again(self) -> None:
        await self.add_crashing_endpoints(8)
        gateways = await self.add_gateways(2)
        await self._crash_three(gateways[0])
        await self._wait_until_quarantined(*gateways)
        before = self.arrivals
        status, headers, _ = await self.send_deadly(gateways[1], 99)
        self.assertEqual((status, self.arrivals), (503, before))
        self.assertGreater(float(headers["retry-after"]), 1.0)
        status, _, _ = await self.send_request(gateways[1], request("/read/deadly-not"))
        self.assertEqual(status, 200)

    async def test_daemon_that_starts_later_knows_the_request(self) -> None:
        await self.add_crashing_endpoints(8)
        (gateway,) = await self.add_gateways(1)
        await self._crash_three(gateway)
        await self.wait_until(lambda: self._count_entries() >= CRASHES)
        later = await self.add_gateway("later")
        await self._wait_until_quarantined(later)

    def _count_entries(self) -> int:
        return sum(key.startswith("lycheepin/suspicions/") for key in self.store.items)

    async def test_others_know_the_request_after_an_outage_of_the_store(self) -> None:
        await self.add_crashing_endpoints(8)
        gateways = await self.add_gateways(2)
        self.store.override_status = lambda target: 503
        await self._crash_three(gateways[0])
        self.assertEqual(self._count_entries(), 0)
        self.store.override_status = lambda target: None
        await self._wait_until_quarantined(*gateways)

    async def test_store_that_lost_the_entries_gets_them_again(self) -> None:
        await self.add_crashing_endpoints(8)
        gateways = await self.add_gateways(2)
        stored = self.store.make_copy()
        await self._crash_three(gateways[0])
        await self._wait_until_quarantined(*gateways)
        with self.subTest("leases ran out"):
            for lease in self._find_leases():
                self.store.end_lease(lease)
            await self.wait_until(lambda: self._count_entries() >= CRASHES)
        with self.subTest("restored from a copy"):
            self.store.restore(stored)
            await self.wait_until(lambda: self._count_entries() >= CRASHES)
        with self.subTest("leases ran out after the daemon that wrote them had ended"):
            gateways[0].stop()
            await self.wait_until(lambda: len(gateways[1].directory.names) == 1)
            for lease in self._find_leases():
                self.store.end_lease(lease)
            await self.wait_until(lambda: self._count_entries() >= CRASHES)
        self.assertTrue(all(gateway.suspects.quarantined for gateway in gateways))

    async def test_entries_whose_lease_ended_in_time_are_not_written_again(self) -> None:
        await self.add_crashing_endpoints(8)
        (gateway,) = await self.add_gateways(1)
        await self._crash_three(gateway)
        await self.wait_until(lambda: self._count_entries() >= CRASHES)
        with patch.object(suspicion_writer, "MAX_RESTORED_AGE_S", 0.0):
            for lease in self._find_leases():
                self.store.end_lease(lease)
            self.store.put("op/config", configuration(2))
            await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 2)
        await asyncio.sleep(0)
        self.assertEqual(self._count_entries(), 0)

    def _find_leases(self) -> set[int]:
        return {i["lease"] for key, i in self.store.items.items() if "suspicions" in key}

    async def test_malformed_entries_are_left_out(self) -> None:
        await self.add_crashing_endpoints(1)
        for number, value in enumerate(({}, [], {"fingerprint": 1}, b"\xff", {"refuted": False})):
            self.store.put(f"lycheepin/suspicions/{number}", value)
        (gateway,) = await self.add_gateways(1)
        self.assertEqual(gateway.suspects.count, 0)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)


class Bystanders(CrashingEndpoints):
    """Requests beside a crash, and endpoints that break connections for another reason."""

    async def test_request_that_ran_beside_the_crash_is_served_and_not_suspected(self) -> None:
        await self.add_crashing_endpoints(4)
        (gateway,) = await self.add_gateways(1)
        started = asyncio.Event()
        script = self.endpoints[0].script

        async def answer_late(received: ReceivedRequest) -> bytes:
            if received.target == "/read/beside" and not started.is_set():
                started.set()
                await asyncio.sleep(30)
            return await script(received)

        for endpoint in self.endpoints:
            endpoint.script = answer_late
        beside = asyncio.create_task(self.send_request(gateway, request("/read/beside")))
        await started.wait()
        running = next(e for e in self.endpoints if e.received_requests)
        running.close()
        self.assertEqual((await beside)[0], 200)
        await self.wait_until(lambda: gateway.log.counts.get("endpoint_crashed"))
        self.assertEqual(gateway.suspects.count, 0)

    async def test_popular_request_is_served_through_many_crashes(self) -> None:
        self.store.put("op/config", configuration(timeoutMs=15_000))
        await self.add_crashing_endpoints(12)
        with patch.object(process, "CONNECT_TIMEOUT_S", 10.0):
            gateways = await self.add_gateways(2)
        for gateway in gateways:
            self.assertEqual((await self.send_request(gateway, request("/read/popular")))[0], 200)
        fingerprints = set()
        for number in range(9):
            answers = [
                asyncio.create_task(self.send_request(gateway, request("/read/popular", n=str(n))))
                for gateway in gateways
                for n in range(4)
            ]
            await asyncio.sleep(0)
            crashed = next((e for e in self.endpoints if e.open_connections), self.endpoints[0])
            crashed.close()
            for status, _, _ in await asyncio.gather(*answers):
                fingerprints.add(status)
            await self.send_request(gateways[number % 2], request("/read/popular"))
        self.assertEqual(fingerprints, {200})
        self.assertEqual([gateway.suspects.quarantined for gateway in gateways], [0, 0])

    async def _send_broken(self, gateway: Gateway, count: int) -> None:
        for number in range(count):
            status, _, _ = await self.send_deadly(gateway, number, "/order/deadly", "POST")
            self.assertEqual(status, 502)

    async def test_endpoints_that_reset_connections_and_run_on_have_not_crashed(self) -> None:
        async def reset(received: ReceivedRequest) -> bytes:
            return b""

        for name in "abcdef":
            await self.add_endpoint(name, reset)
        (gateway,) = await self.add_gateways(1)
        await self._send_broken(gateway, 8)
        self.assertEqual(gateway.suspects.count, 0)

    async def test_endpoint_that_leaves_as_planned_has_not_crashed(self) -> None:
        await self.add_crashing_endpoints(1)
        (gateway,) = await self.add_gateways(1)
        endpoint = self.endpoints[0]

        async def drain_and_end(received: ReceivedRequest) -> bytes:
            self.store.put("servers/e0", endpoint.build_entry("north-1", state="draining"))
            await self.wait_until(lambda: next(gateway.registry.all()).record.draining)
            endpoint.close()
            return b""

        endpoint.script = drain_and_end
        await self._send_broken(gateway, 1)
        self.assertEqual(gateway.suspects.count, 0)
