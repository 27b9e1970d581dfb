"""Deployment of a soak: daemons as processes, and a store and endpoints behind proxies."""

from __future__ import annotations

import asyncio
import base64
import pathlib
import random
import signal
import socket
from collections.abc import Mapping
from typing import Any

from lycheepin.gateway.own_entries import DAEMON_PREFIX
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address
from soak.daemons import BOUNDS, CONTROL_PORT, Daemon
from soak.endpoints import DOWNLOAD_PATH, Endpoint, EndpointScript
from soak.ledger import RequestLedger
from soak.proxy import Proxy
from soak.workspaces import Quota, Workspaces
from standins.hostile import HostileEndpoint
from standins.messages import HOST, configuration, find_free_address
from standins.metadata import MetadataStandIn, StoreCopy
from standins.servers import ReceivedRequest
from standins.switches import SwitchBoard

__all__ = [
    "DESK",
    "FILES",
    "LARGE_ROUTE_COUNT",
    "PUBLIC_PATH",
    "ROUTE_TIMEOUT_S",
    "ZONES",
    "Deployment",
]

# Availability zones and their regions.
ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
DESK, FILES = "desk", "files"
ENDPOINT_COUNTS = {DESK: 6, FILES: 4}
# Target latency and timeout of the routes, and the time for which a new endpoint is cold.
TARGET_LATENCY_S = 0.6
ROUTE_TIMEOUT_S = 1.5
COLD_START_S = 1.0
# Time for which the entry of a crashed endpoint stays in the store.
ENTRY_OF_CRASHED_S = 2.0
# Prefix of the route that needs no key of a workspace.
PUBLIC_PATH = "/open/"
# Number of routes in a large configuration.
LARGE_ROUTE_COUNT = 600
# Interval of the checks for ended processes, which delays a restart as the platform does.
RESTART_DELAY_S = 0.3
# Range of loopback networks 127.N, without the last; concurrent soaks on one machine use different
# ones.
FIRST_NETWORK, LAST_NETWORK = 64, 127


class Deployment:
    """Starts and stops daemons, store and endpoints, and generates the endpoints' answers."""

    def __init__(
        self,
        seed: int,
        daemon_count: int,
        ledger: RequestLedger,
        folder: pathlib.Path,
        doses: Mapping[str, float] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.ledger = ledger
        self.board = SwitchBoard(seed)
        for name, dose in (doses or {}).items():
            self.board.set_dose(name, dose)
        self._script = EndpointScript(ledger, self.board, self.random, self._schedule_crash)
        self.store = MetadataStandIn(self.board.count("store.high-numbers", 1))
        self.store.board = self.board
        self.store.on_page = self._change_between_pages
        self.endpoints: dict[str, Endpoint] = {}
        self.daemons: dict[str, Daemon] = {}
        self.store_proxy = Proxy(find_free_address())
        self.configuration_version = 1
        self.route_count = 2
        self.order_service = DESK
        self.workspaces = self._create_workspaces(seed)
        self._folder = folder
        self._daemon_count = daemon_count
        self._probe_versions: list[int] = []
        self._started_endpoint_count = 0
        self._entry_count = 0
        self._network_lock: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _create_workspaces(self, seed: int) -> Workspaces | None:
        """Returns the workspaces, if the deployment has any."""
        count = self.board.count("platform.workspaces", 0)
        if not count:
            return None
        rate_per_s = self.board.dose("platform.quotas")
        quota = Quota(rate_per_s, rate_per_s) if rate_per_s else None
        source = random.Random(f"workspaces {seed}")
        return Workspaces(source, count, self.board.dose("platform.homes"), quota)

    @staticmethod
    def now_s() -> float:
        """Returns the monotonic time of the running event loop."""
        return asyncio.get_running_loop().time()

    @property
    def newest_probe_version(self) -> int | None:
        """The newest configuration version that a probe can detect, or None before the first."""
        return self._probe_versions[-1] if self._probe_versions else None

    async def start(self) -> None:
        """Starts the store, the endpoints and the daemons."""
        self._folder.mkdir(parents=True, exist_ok=True)
        await self.store.listen(HOST, self.store_proxy.target.port)
        await self.store_proxy.start()
        self.write_configuration()
        for service, count in ENDPOINT_COUNTS.items():
            for _ in range(count):
                await self.add_endpoint(service, cold_start_s=0.0)
        self._network_lock, network = _reserve_network()
        hosts = [Address(f"127.{network}.0.{n + 1}") for n in range(self._daemon_count)]
        seed_addresses = tuple(f"{host}:{CONTROL_PORT}" for host in hosts[:3])
        if self.board.dose("platform.dead-seeds"):
            seed_addresses = (f"127.{network}.9.9:{CONTROL_PORT}", *seed_addresses[:1])
        for number, host in enumerate(hosts):
            name = f"daemon-{number}"
            zone = sorted(ZONES)[number % len(ZONES)]
            self.daemons[name] = Daemon(
                name, host, zone, ZONES, self.store_proxy.address, seed_addresses, self._folder
            )
            self.daemons[name].has_new_settings = self.board.dose("platform.new-settings") > 0
            self.daemons[name].start()

    async def close(self) -> None:
        """Kills the daemons and waits until they have ended; closes endpoints and store."""
        for daemon in self.daemons.values():
            daemon.send_signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            endpoint.proxy.close()
            endpoint.stand_in.close()
        self.store_proxy.close()
        self.store.close()
        if self._network_lock is not None:
            self._network_lock.close()

    async def restart_ended_daemons(self) -> None:
        """Restarts daemons that have ended, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_DELAY_S)
            for daemon in self.daemons.values():
                exit_status = daemon.process.poll() if daemon.process is not None else None
                if exit_status is not None:
                    self.ledger.record_exit(daemon.name, exit_status, daemon.exit_expected)
                    self.ledger.record_fault(daemon.name, self.now_s())
                    daemon.start()

    def write_configuration(self) -> None:
        """Writes the next version of the configuration, with a probe route that is new in it."""
        self.configuration_version += self.random.randint(1, 3)
        timeout_ms = int(ROUTE_TIMEOUT_S * 1000)
        document = configuration(
            self.configuration_version,
            self.route_count,
            targetLatencyMs=int(TARGET_LATENCY_S * 1000),
            timeoutMs=timeout_ms,
        )
        self._probe_versions.append(self.configuration_version)
        routes = document["routes"]
        for version in self._probe_versions:
            routes[f"probe-{version}"] = routes["read"] | {"prefix": f"/probe-{version}/"}
        routes["files"] = routes["order"] | {"prefix": "/files/", "service": FILES}
        routes["media"] = routes["read"] | {"prefix": DOWNLOAD_PATH, "kind": "download"}
        routes["open"] = routes["read"] | {"prefix": PUBLIC_PATH, "public": True}
        routes["order"]["service"] = self.order_service
        document["services"][DESK]["coldStartS"] = COLD_START_S
        document["services"][FILES] = document["services"][DESK]
        if self.workspaces is not None:
            document["tenants"] = self.workspaces.build_table()
            self.ledger.key_history.record_version(document["tenants"], self.now_s())
        self.store.put("op/config", document)
        self.ledger.record_configuration(self.configuration_version, self.now_s())

    async def add_endpoint(self, service: str, cold_start_s: float = COLD_START_S) -> Endpoint:
        """Starts and registers an endpoint."""
        stand_in = HostileEndpoint(HOST, self.board, on_whole=self._record_whole_answer)
        await stand_in.start()
        proxy = Proxy(SocketAddress(HOST, stand_in.port))
        await proxy.start()
        return self.register_new_endpoint(service, stand_in, proxy, cold_start_s)

    def register_new_endpoint(
        self,
        service: str,
        stand_in: HostileEndpoint,
        proxy: Proxy,
        cold_start_s: float = COLD_START_S,
    ) -> Endpoint:
        """Registers a new endpoint at an address that another endpoint may have used before."""
        self._started_endpoint_count += 1
        zones = [other.zone for other in self.endpoints.values() if other.service == service]
        zone = min(sorted(ZONES), key=zones.count)
        endpoint = Endpoint(
            f"i-{self._started_endpoint_count}",
            service,
            zone,
            ZONES[zone],
            stand_in,
            proxy,
            start_number=self._started_endpoint_count,
        )
        stand_in.script = lambda received: self._script.answer(endpoint, received)
        self.endpoints[endpoint.name] = endpoint
        self.write_endpoint_entry(endpoint, coldRemainingMs=int(cold_start_s * 1000))
        return endpoint

    def write_endpoint_entry(self, endpoint: Endpoint, **changes: Any) -> None:
        """Writes an endpoint's entry to the store; `changes` are additional or different fields."""
        endpoint.state = changes.get("state", endpoint.state)
        entry = self.build_endpoint_entry(endpoint, **changes)
        self.store.put(f"servers/{endpoint.name}", entry)

    def rewrite_endpoint_entry(self, name: str) -> None:
        """Writes the entry of an endpoint again, as its next heartbeat does, unless it has left."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.is_unlisted:
            self.store.delete(f"servers/{name}")
        else:
            self.write_endpoint_entry(endpoint)

    def pick_running_endpoint(self) -> Endpoint:
        """Returns a random endpoint that has not begun to leave."""
        running = [
            name
            for name, endpoint in sorted(self.endpoints.items())
            if endpoint.state == "ready" and not endpoint.is_unlisted
        ]
        return self.endpoints[self.random.choice(running)]

    def restart_endpoint(self, endpoint: Endpoint) -> None:
        """Ends an endpoint and starts another process under its id, whose counts start anew."""
        self.ledger.record_fault("endpoints", self.now_s())
        endpoint.proxy.reset()
        self._started_endpoint_count += 1
        endpoint.start_number = self._started_endpoint_count
        self.write_endpoint_entry(endpoint, sequence=1)

    def _change_between_pages(self) -> None:
        """Changes the entry of a random endpoint, as while a listing is read."""
        if self.endpoints:
            self.rewrite_endpoint_entry(self.random.choice(sorted(self.endpoints)))

    def _record_whole_answer(self, received: ReceivedRequest) -> None:
        """Records that an endpoint's answer was sent to its end."""
        self.ledger.record_complete_answer(received.headers.get("request-id", ""))

    def build_endpoint_entry(self, endpoint: Endpoint, **changes: Any) -> dict[str, Any]:
        """Returns an endpoint's entry with the next sequence number."""
        address = str(endpoint.proxy.address)
        self._entry_count += 1
        values = {
            "address": address,
            "born": endpoint.start_number,
            "sequence": self._entry_count,
            "state": endpoint.state,
            **changes,
        }
        return endpoint.stand_in.build_entry(endpoint.zone, endpoint.service, **values)

    def restore_store(self, stored: StoreCopy) -> None:
        """Restores the store from a copy; operator and endpoints write again what they wrote.

        Entries of endpoints that have ended meanwhile stay as they are in the copy.
        """
        written = {
            key: item for key, item in self.store.items.items() if not key.startswith(DAEMON_PREFIX)
        }
        self.store.restore(stored)
        for key, item in written.items():
            self.store.put(key, base64.b64decode(item["value"]))
        for key in stored.items:
            if key.startswith("op/") and key not in written:
                self.store.delete(key)

    def remove_endpoint(self, endpoint: Endpoint, close: bool = True) -> None:
        """Removes an endpoint; with `close`, also stops it, which frees its address."""
        self.endpoints.pop(endpoint.name, None)
        if close:
            endpoint.proxy.close()
            endpoint.stand_in.close()

    def _schedule_crash(self, endpoint: Endpoint) -> None:
        """Crashes an endpoint, in a task of its own."""
        task = asyncio.ensure_future(self.crash_endpoint(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crash_endpoint(self, endpoint: Endpoint) -> None:
        """Stops an endpoint abruptly and adds another one; the first one's entry stays a while."""
        self.ledger.record_fault("endpoints", self.now_s())
        self.remove_endpoint(endpoint)
        await self.add_endpoint(endpoint.service)
        await asyncio.sleep(ENTRY_OF_CRASHED_S)
        self.store.delete(f"servers/{endpoint.name}")

    async def stop_daemon(self, daemon: Daemon) -> None:
        """Stops a daemon with SIGTERM, and kills it when it exceeds the grace period.

        `restart_ended_daemons` starts it again.
        """
        self.ledger.record_stop_request(daemon.name, self.now_s())
        daemon.send_signal(signal.SIGTERM)
        if not daemon.exit_expected:
            return
        end_s = self.now_s() + BOUNDS["gracePeriodS"]
        incarnation = daemon.incarnation
        while self.now_s() < end_s and daemon.incarnation == incarnation:
            await asyncio.sleep(RESTART_DELAY_S)
        if daemon.incarnation == incarnation:
            self.ledger.record_fault(daemon.name, self.now_s())
            daemon.send_signal(signal.SIGKILL)


def _reserve_network() -> tuple[socket.socket, int]:
    """Reserves a loopback network for this soak.

    Returns the socket whose address reserves it while open, and the number N of 127.N.

    Raises OSError when all networks are reserved.
    """
    for network in range(FIRST_NETWORK, LAST_NETWORK):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.255.1", CONTROL_PORT))
        except OSError:
            lock.close()
            continue
        return lock, network
    raise OSError(f"no free loopback network from 127.{FIRST_NETWORK} to 127.{LAST_NETWORK}")
