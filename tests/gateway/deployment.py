"""A small deployment on loopback for tests: a store, back ends, one gateway or several."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Callable
from typing import Any

from logbook import NullHandler

from lycheepin.gateway.process import Gateway
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.platform.gateway import KvPlatform
from lycheepin.steering.budgets import BudgetTerms
from standins.metadata import MetadataStandIn
from standins.servers import BackEndStandIn, Script, answer_ok

__all__ = ["HOST", "DeploymentCase", "configuration", "free_address", "read_answer", "request"]

HOST = Address("127.0.0.1")
ZONES = {ZoneName("north-1"): RegionName("north"), ZoneName("south-1"): RegionName("south")}
# Time in seconds after which a condition that never comes true fails a test.
PATIENCE_S = 20.0


def free_address() -> SocketAddress:
    """Returns an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return SocketAddress(HOST, probe.getsockname()[1])


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with an idempotent and a protected route."""

    def route(prefix: str, kind: str) -> dict[str, Any]:
        return {
            "host": "a.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": 1500,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": "desk",
            "maxAttempts": 2,
            "sessionAffinity": True,
            "homeRegions": [],
        } | changes

    service = {
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 5.0,
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "read": route("/read/", "idempotent"),
            "order": route("/order/", "non_idempotent"),
        },
        "services": {"desk": service},
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 1 << 22,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def request(
    path: str = "/read/1",
    method: str = "GET",
    identifier: str = "r1",
    body: bytes = b"",
    **more: str,
) -> bytes:
    """Returns the bytes of a request."""
    fields = {
        "Host": "a.example",
        "Request-Id": identifier,
        "Affinity-Key": "7",
        "Deadline-Ms": "4000",
    } | {name.replace("_", "-"): value for name, value in more.items()}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in head[1:] if line)}
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    return int(head[0].split(" ")[1]), headers, body


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store; back ends and gateways are added by the tests."""

    async def asyncSetUp(self) -> None:
        self.handler = NullHandler()
        self.handler.push_application()
        self.store_address = free_address()
        self.store = MetadataStandIn()
        await self.store.listen(HOST, self.store_address.port)
        self.store.put("op/config", configuration())
        self.gateways: list[Gateway] = []
        self.back_ends: list[BackEndStandIn] = []
        self._runs: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)
        for gateway in self.gateways:
            gateway.close()
        for back_end in self.back_ends:
            back_end.close()
        self.store.close()
        self.handler.pop_application()

    async def add_back_end(
        self, name: str, script: Script = answer_ok, **entry: Any
    ) -> BackEndStandIn:
        """Starts and registers a back end."""
        back_end = BackEndStandIn(HOST, script)
        await back_end.start()
        self.back_ends.append(back_end)
        self.store.put(f"servers/{name}", back_end.entry("north-1", **entry))
        return back_end

    async def add_gateway(self, name: str = "daemon-1", **changes: Any) -> Gateway:
        """Starts a gateway and waits until it knows all that the store has."""
        values: dict[str, Any] = {
            "name": DaemonName(name),
            "host": HOST,
            "zone": ZoneName("north-1"),
            "region": RegionName("north"),
            "zones": ZONES,
            "front": free_address(),
            "ready": free_address(),
            "directory": free_address(),
            "metrics": free_address(),
            "control": free_address(),
            "seeds": (),
            "store": self.store_address,
            "grace_s": 6.0,
            "lookup_max_s": 5.0,
            "terms": BudgetTerms(retry_ratio=0.2, retry_slack=60.0),
        }
        gateway = Gateway(GatewaySettings(**(values | changes)), KvPlatform(""))
        self.gateways.append(gateway)
        self._runs.append(asyncio.create_task(gateway.run()))
        return gateway

    async def until(self, condition: Callable[[], Any]) -> None:
        """Waits until a condition holds; fails when it never does."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def ready(self, gateway: Gateway) -> None:
        """Waits until a gateway is ready and knows all back ends of the store."""
        entries = [key for key in self.store.items if key.startswith("servers/")]
        await self.until(lambda: gateway.ready and len(list(gateway.fleet.all())) == len(entries))

    async def ask(self, gateway: Gateway, content: bytes) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a connection of its own and returns the answer."""
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        try:
            writer.write(content)
            async with asyncio.timeout(PATIENCE_S):
                return await read_answer(reader)
        finally:
            writer.close()
