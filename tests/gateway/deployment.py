"""A deployment on the loopback address for tests: a store, endpoints and gateways."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from logbook import NullHandler

from lycheepin.gateway.process import Gateway
from lycheepin.gateway.settings import GatewaySettings
from lycheepin.names import DaemonName, RegionName, ZoneName
from lycheepin.platform.gateway import KvPlatform
from lycheepin.steering.budgets import BudgetLimits
from standins.messages import HOST, configuration, find_free_address, read_answer, request
from standins.metadata import MetadataStandIn
from standins.servers import EndpointStandIn, Script, answer_ok

__all__ = ["HOST", "DeploymentCase", "configuration", "find_free_address", "read_answer", "request"]

ZONES = {ZoneName("north-1"): RegionName("north"), ZoneName("south-1"): RegionName("south")}
# Time in seconds after which a test fails if a condition does not hold or an answer is missing.
TIMEOUT_S = 20.0


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a running store; the tests add endpoints and gateways."""

    async def asyncSetUp(self) -> None:
        self.handler = NullHandler()
        self.handler.push_application()
        self.store_address = find_free_address()
        self.store = MetadataStandIn()
        await self.store.listen(HOST, self.store_address.port)
        self.store.put("op/config", configuration())
        self.gateways: list[Gateway] = []
        self.endpoints: list[EndpointStandIn] = []
        self._gateway_tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self._gateway_tasks:
            task.cancel()
        await asyncio.gather(*self._gateway_tasks, return_exceptions=True)
        for gateway in self.gateways:
            gateway.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.store.close()
        self.handler.pop_application()

    async def start_anew(self) -> None:
        """Replaces the deployment by an empty one, for the next part of a test."""
        await self.asyncTearDown()
        await self.asyncSetUp()

    async def add_endpoint(
        self, name: str, script: Script = answer_ok, zone: str = "north-1", **entry: Any
    ) -> EndpointStandIn:
        """Starts an endpoint stand-in and registers it in the store."""
        endpoint = EndpointStandIn(HOST, script)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.store.put(f"servers/{name}", endpoint.build_entry(zone, **entry))
        return endpoint

    async def add_gateway(self, name: str = "daemon-1", **changes: Any) -> Gateway:
        """Starts a gateway; `changes` override its default settings."""
        defaults: dict[str, Any] = {
            "name": DaemonName(name),
            "host": HOST,
            "zone": ZoneName("north-1"),
            "region": RegionName("north"),
            "zones": ZONES,
            "front": find_free_address(),
            "ready": find_free_address(),
            "directory": find_free_address(),
            "metrics": find_free_address(),
            "control": find_free_address(),
            "seeds": (),
            "store": self.store_address,
            "grace_s": 6.0,
            "lookup_max_s": 5.0,
            "apply_limit_s": 2.5,
            "terms": BudgetLimits(retry_ratio=0.2, retry_slack=60.0),
        }
        gateway = Gateway(GatewaySettings(**(defaults | changes)), KvPlatform(""))
        self.gateways.append(gateway)
        self._gateway_tasks.append(asyncio.create_task(gateway.run()))
        return gateway

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Waits until a condition holds.

        Raises TimeoutError after `TIMEOUT_S`, and the error of a gateway that failed meanwhile.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                for task in self._gateway_tasks:
                    if task.done():
                        task.result()
                await asyncio.sleep(0.01)

    async def wait_until_ready(self, gateway: Gateway) -> None:
        """Waits until a gateway is ready and has as many endpoints as the store."""
        entries = [key for key in self.store.items if key.startswith("servers/")]
        await self.wait_until(
            lambda: gateway.ready and len(list(gateway.registry.all())) == len(entries)
        )

    async def send_request(
        self, gateway: Gateway, content: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request on a new connection; returns status, headers and body of the answer."""
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        try:
            writer.write(content)
            async with asyncio.timeout(TIMEOUT_S):
                return await read_answer(reader)
        finally:
            writer.close()
