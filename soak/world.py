"""The deployment of a soak: daemons as processes, a store and endpoints behind proxies."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import socket
from dataclasses import dataclass
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address
from soak.daemons import BOUNDS, CONTROL_PORT, Daemon
from soak.ledger import Ledger
from soak.proxy import Proxy
from standins.messages import HOST, configuration, find_free_address
from standins.metadata import MetadataStandIn
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer

__all__ = ["DESK", "FILES", "MANY_ROUTES", "TIMEOUT_S", "ZONES", "World"]

ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
DESK, FILES = "desk", "files"
ENDPOINTS = {DESK: 6, FILES: 4}
# Answer target and timeout of the routes in seconds, and for how long a new endpoint is cold.
TARGET_S = 0.6
TIMEOUT_S = 1.5
COLD_S = 1.0
# Work time of a request in seconds, and how it varies.
WORK_S = 0.02
WORK_SPREAD_S = 0.02
# Routes of a large configuration.
MANY_ROUTES = 600
# Pause in seconds between the end of a process and the next start, as on the platform.
RESTART_S = 0.3
# Networks of loopback addresses that a soak may take, one for each run on the machine.
FIRST_NETWORK, LAST_NETWORK = 64, 127


@dataclass
class Endpoint:
    """One endpoint behind its proxy; `mood` is how it misbehaves."""

    name: str
    service: str
    stand_in: EndpointStandIn
    proxy: Proxy
    mood: str = "well"
    born: int = 1


class World:
    """Starts and stops the parts, and answers for endpoints."""

    def __init__(self, seed: int, daemons: int, ledger: Ledger, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.ledger = ledger
        self.store = MetadataStandIn()
        self.endpoints: dict[str, Endpoint] = {}
        self.daemons: dict[str, Daemon] = {}
        self.store_proxy = Proxy(find_free_address())
        self.version = 1
        self.routes = 2
        self.order_service = DESK
        self._folder = folder
        self._count = daemons
        self._probes: list[int] = []
        self._started = 0
        self._lock: socket.socket | None = None

    @staticmethod
    def now_s() -> float:
        """Returns the time of the running loop."""
        return asyncio.get_running_loop().time()

    @property
    def newest_probe(self) -> int | None:
        """The newest version that a probe can tell."""
        return self._probes[-1] if self._probes else None

    async def start(self) -> None:
        """Starts everything."""
        self._folder.mkdir(parents=True, exist_ok=True)
        await self.store.listen(HOST, self.store_proxy.target.port)
        await self.store_proxy.start()
        self.configure()
        for service, count in ENDPOINTS.items():
            for _ in range(count):
                await self.add_endpoint(service, cold_s=0.0)
        self._lock, network = _take_network()
        hosts = [Address(f"127.{network}.0.{n + 1}") for n in range(self._count)]
        seeds = tuple(f"{host}:{CONTROL_PORT}" for host in hosts[:3])
        for number, host in enumerate(hosts):
            name = f"daemon-{number}"
            zone = sorted(ZONES)[number % len(ZONES)]
            self.daemons[name] = Daemon(
                name, host, zone, ZONES, self.store_proxy.address, seeds, self._folder
            )
            self.daemons[name].start()

    async def close(self) -> None:
        """Stops everything; daemons that were killed by signal are waited for."""
        for daemon in self.daemons.values():
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
        for endpoint in self.endpoints.values():
            endpoint.proxy.close()
            endpoint.stand_in.close()
        self.store_proxy.close()
        self.store.close()
        if self._lock is not None:
            self._lock.close()

    async def watch_daemons(self) -> None:
        """Starts daemons that have ended again, for ever."""
        while True:
            await asyncio.sleep(RESTART_S)
            for daemon in self.daemons.values():
                status = daemon.process.poll() if daemon.process is not None else None
                if status is not None:
                    self.ledger.end(daemon.name, status, daemon.expected_end)
                    self.ledger.disturb(daemon.name, self.now_s())
                    daemon.start()

    def configure(self) -> None:
        """Writes the next version of the configuration, with a route that only later ones have."""
        self.version += self.random.randint(1, 3)
        timeout_ms = int(TIMEOUT_S * 1000)
        document = configuration(
            self.version, self.routes, targetLatencyMs=int(TARGET_S * 1000), timeoutMs=timeout_ms
        )
        self._probes.append(self.version)
        routes = document["routes"]
        for version in self._probes:
            routes[f"probe-{version}"] = routes["read"] | {"prefix": f"/probe-{version}/"}
        routes["files"] = routes["order"] | {"prefix": "/files/", "service": FILES}
        routes["order"]["service"] = self.order_service
        document["services"][DESK]["coldStartS"] = COLD_S
        document["services"][FILES] = document["services"][DESK]
        self.store.put("op/config", document)
        self.ledger.configure(self.version, self.now_s())

    async def add_endpoint(self, service: str, cold_s: float = COLD_S) -> Endpoint:
        """Starts and registers an endpoint."""
        stand_in = EndpointStandIn(HOST)
        await stand_in.start()
        proxy = Proxy(SocketAddress(HOST, stand_in.port))
        await proxy.start()
        return self.adopt(service, stand_in, proxy, cold_s)

    def adopt(
        self, service: str, stand_in: EndpointStandIn, proxy: Proxy, cold_s: float = COLD_S
    ) -> Endpoint:
        """Registers a new endpoint at an address that may have been another one's."""
        self._started += 1
        endpoint = Endpoint(f"i-{self._started}", service, stand_in, proxy, born=self._started)
        stand_in.script = lambda received: self._serve(endpoint, received)
        self.endpoints[endpoint.name] = endpoint
        self.register(endpoint, coldRemainingMs=int(cold_s * 1000))
        return endpoint

    def register(self, endpoint: Endpoint, **changes: Any) -> None:
        """Writes an endpoint's entry."""
        zone = sorted(ZONES)[endpoint.born % len(ZONES)]
        address = str(endpoint.proxy.address)
        values = {"address": address, "born": endpoint.born, **changes}
        entry = endpoint.stand_in.build_entry(zone, endpoint.service, **values)
        self.store.put(f"servers/{endpoint.name}", entry)

    def remove(self, endpoint: Endpoint, close: bool = True) -> None:
        """Ends an endpoint; `close` frees its address."""
        self.endpoints.pop(endpoint.name, None)
        if close:
            endpoint.proxy.close()
            endpoint.stand_in.close()

    async def stop_daemon(self, daemon: Daemon) -> None:
        """Asks a daemon to stop, kills it after the grace period; it is started again."""
        self.ledger.plan(daemon.name, self.now_s())
        daemon.signal(signal.SIGTERM)
        if not daemon.expected_end:
            return
        end_s = self.now_s() + BOUNDS["gracePeriodS"]
        life = daemon.lives
        while self.now_s() < end_s and daemon.lives == life:
            await asyncio.sleep(RESTART_S)
        if daemon.lives == life:
            self.ledger.disturb(daemon.name, self.now_s())
            daemon.signal(signal.SIGKILL)

    async def _serve(self, endpoint: Endpoint, received: ReceivedRequest) -> bytes:
        """Answers one request as the endpoint's mood has it."""
        identifier = received.headers.get("request-id", "")
        now_s = self.now_s()
        self.ledger.arrive(identifier, endpoint.service, now_s)
        if received.headers.get("target-instance") != endpoint.name:
            return build_answer(received, 421, Instance_Id=endpoint.name)
        if endpoint.mood == "sheds" and self.random.random() < 0.5:
            return build_answer(received, 503, Not_Executed="1", Server_Load="1,0,4")
        sent = (received.method, received.target, received.body)
        self.ledger.run(identifier, endpoint.name, endpoint.service, sent, now_s)
        if endpoint.mood == "silent":
            await asyncio.sleep(60)
        slow = 10 if endpoint.mood == "slow" else 1
        await asyncio.sleep(slow * (WORK_S + self.random.random() * WORK_SPREAD_S))
        answer = build_answer(received, 200, identifier.encode() * 200, Server_Load="1,0,4")
        match endpoint.mood:
            case "resets":
                return b""
            case "cuts":
                received.writer.write(answer[: len(answer) // 2])
                return b""
            case "repeats":
                return answer + answer
            case "spoils":
                return b"\x00\x01 not an answer\r\n\r\n"
        self.ledger.finish(identifier)
        return answer


def _take_network() -> tuple[socket.socket, int]:
    """Returns the number of a loopback network, and the socket that keeps others out of it."""
    for network in range(FIRST_NETWORK, LAST_NETWORK):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.255.1", CONTROL_PORT))
        except OSError:
            lock.close()
            continue
        return lock, network
    raise OSError(f"no free network from 127.{FIRST_NETWORK} to 127.{LAST_NETWORK}")
