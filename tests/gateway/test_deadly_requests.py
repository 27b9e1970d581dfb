"""Requests that crash each endpoint that begins to run them, and come again at any daemon."""

from __future__ import annotations

import asyncio

from lycheepin.gateway.process import Gateway
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, request

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
