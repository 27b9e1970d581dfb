"""The deployment of a soak: store, endpoints and gateways on loopback, all in one process."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from lycheepin.gateway.process import Gateway
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.names import DaemonName, RegionName, ZoneName
from lycheepin.platform.gateway import KvPlatform
from lycheepin.steering.budgets import BudgetTerms
from soak.ledger import Ledger
from standins.messages import HOST, configuration, free_address
from standins.metadata import MetadataStandIn
from standins.servers import Arrival, BackEndStandIn, answer_with

__all__ = ["World"]

ZONES = {ZoneName(f"z{number}"): RegionName(f"r{number // 2}") for number in range(4)}
DAEMONS = 4
ENDPOINTS = 8
# Answer target in milliseconds, and time in seconds for which a new endpoint is cold.
TARGET_MS = 500
COLD_S = 1.0
# Work time of a request in seconds, and how it varies.
WORK_S = 0.02
WORK_SPREAD_S = 0.02


class World:
    """Starts and stops the parts; endpoints behave as `mood` says, by their id."""

    def __init__(self, seed: int, ledger: Ledger) -> None:
        self.random = random.Random(seed)
        self.ledger = ledger
        self.store = MetadataStandIn()
        self.store_address = free_address()
        self.endpoints: dict[str, BackEndStandIn] = {}
        self.mood: dict[str, str] = {}
        self.gateways: dict[str, Gateway] = {}
        self.fronts: dict[str, SocketAddress] = {}
        self.version = 1
        self._runs: set[asyncio.Task[None]] = set()
        self._started = 0

    async def start(self) -> None:
        """Starts everything."""
        await self.store.listen(HOST, self.store_address.port)
        self.configure()
        for _ in range(ENDPOINTS):
            await self.add_endpoint()
        for number in range(DAEMONS):
            name = f"daemon-{number}"
            self.fronts[name] = free_address()
            self.start_gateway(name)

    async def close(self) -> None:
        """Stops everything."""
        for gateway in self.gateways.values():
            gateway.close()
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)
        for endpoint in self.endpoints.values():
            endpoint.close()
        self.store.close()

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self.version += self.random.randint(1, 3)
        document = configuration(self.version, targetLatencyMs=TARGET_MS)
        document["services"]["desk"]["coldStartS"] = COLD_S
        self.store.put("op/config", document)

    async def add_endpoint(self) -> str:
        """Starts and registers an endpoint; returns its id."""
        self._started += 1
        name = f"i-{self._started}"
        endpoint = BackEndStandIn(HOST, lambda arrival: self._serve(name, arrival))
        await endpoint.start()
        self.endpoints[name] = endpoint
        self.register(name)
        return name

    def register(self, name: str, **changes: Any) -> None:
        """Writes an endpoint's entry."""
        zone = sorted(ZONES)[int(name.removeprefix("i-")) % len(ZONES)]
        entry = self.endpoints[name].entry(zone, **changes)
        self.store.put(f"servers/{name}", entry)

    def start_gateway(self, name: str) -> None:
        """Starts a daemon, or a new life of it."""
        number = int(name.removeprefix("daemon-"))
        zone = sorted(ZONES)[number % len(ZONES)]
        settings = GatewaySettings(
            name=DaemonName(name),
            host=HOST,
            zone=zone,
            region=ZONES[zone],
            zones=ZONES,
            front=self.fronts[name],
            ready=free_address(),
            directory=free_address(),
            metrics=free_address(),
            control=free_address(),
            seeds=(),
            store=self.store_address,
            grace_s=4.0,
            lookup_max_s=5.0,
            terms=BudgetTerms(retry_ratio=0.2, retry_slack=60.0, cold_over=1.5, cold_slack=5.0),
        )
        gateway = Gateway(settings, KvPlatform(""))
        self.gateways[name] = gateway
        run = asyncio.ensure_future(gateway.run())
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)

    async def _serve(self, name: str, arrival: Arrival) -> bytes:
        """Answers one request as the endpoint's mood has it."""
        identifier = arrival.headers.get("request-id", "")
        mood = self.mood.get(name, "well")
        if arrival.headers.get("target-instance") != name:
            return answer_with(arrival, 421, Instance_Id=name)
        if mood == "sheds" and self.random.random() < 0.5:
            return answer_with(arrival, 503, Not_Executed="1", Server_Load="1,0,4")
        self.ledger.run(identifier, name, asyncio.get_running_loop().time())
        if mood == "silent":
            await asyncio.sleep(60)
        await asyncio.sleep(WORK_S + self.random.random() * WORK_SPREAD_S)
        answer = answer_with(arrival, 200, identifier.encode() * 200, Server_Load="1,0,4")
        match mood:
            case "resets":
                return b""
            case "cuts":
                arrival.writer.write(answer[: len(answer) // 2])
                return b""
            case "repeats":
                return answer + answer
            case "spoils":
                return b"\x00\x01 not an answer\r\n\r\n"
        return answer
