"""A small deployment on loopback addresses: a store, backends, and gateways as processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Mapping
from typing import Any

from review.lib.backend import Backend, Run
from review.lib.http import Message, encode, read_message
from review.lib.store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST_NAME = "ficu95.example"
METRICS_PORT = 9464
START_S = 20.0
# Bounds of the small sites of our pages (Cire Commune).
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "settleWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2500,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "outerBoundMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 62,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 15,
    "ttl_max_s": 5,
    "maxShift": 0.15,
}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_ports(host: str, names: tuple[str, ...]) -> dict[str, int]:
    """Returns a different port for each name, all of which are free now on a host."""
    with contextlib.ExitStack() as stack:
        ports: dict[str, int] = {}
        for name in names:
            probe = stack.enter_context(socket.socket())
            probe.bind((host, 0))
            ports[name] = int(probe.getsockname()[1])
        return ports


def pick_network() -> str:
    """Returns the first three numbers of a loopback network whose metrics ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, 5):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{number}", METRICS_PORT))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback network")


class Gateway:
    """One gateway process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, host: str, zone: str, region: str) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.region = region
        self.ports = free_ports(host, ("front", "ready", "control", "directory"))
        self.process: subprocess.Popen[bytes] | None = None

    def settings(self, store: str, zones: Mapping[str, str], seeds: list[str]) -> str:
        """Returns the text of the settings file."""

        def text(value: Any) -> str:
            return json.dumps(value)

        listen = {name: f"{self.host}:{port}" for name, port in self.ports.items()}
        lines = [
            f"nodeName = {text(self.name)}",
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge","control_plane","directory"]',
            f"ip = {text(self.host)}",
            f"zone = {text(self.zone)}",
            f"region = {text(self.region)}",
            "innerPortRange = [7660,7675]",
            f"seeds = {text(seeds)}",
            "bootstrap = true",
            "includeInTolerance = false",
            'discovery = "platform"',
            'entry = "directory"',
            "heartbeatIntervalMs = 1500",
            f"bounds = {text([f'{name}={value}' for name, value in BOUNDS.items()])}",
            "[zones]",
            *(f"{zone} = {text(region)}" for zone, region in zones.items()),
            "[listen]",
            *(f"{name} = {text(address)}" for name, address in listen.items()),
            "[limits]",
            "cpuShare = 0.86",
            "cores = 1",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[faultTolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 1",
            "[platform]",
            f"address = {text(store)}",
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        return "\n".join(lines) + "\n"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """Starts and ends all parts; `record` collects what is written to record.txt."""

    def __init__(self, folder: pathlib.Path, zones: Mapping[str, str]) -> None:
        self.zones = dict(zones)
        self.network = pick_network()
        self.store = Store()
        self.store_address = ""
        self.backends: dict[str, Backend] = {}
        self.gateways: list[Gateway] = []
        self.runs: list[Run] = []
        self.started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="lycheepin-review-"))

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{time.monotonic() - self.started_s:9.3f} {text}\n")
        self._record.flush()

    async def start(self, gateway_zones: list[str], configuration: dict[str, Any]) -> None:
        """Starts the store and one gateway in each of the zones."""
        self.store_address = await self.store.listen(f"{self.network}.100")
        self.store.put("op/config", configuration)
        for number, zone in enumerate(gateway_zones, 1):
            name = f"edge-{zone}-{number}"
            host = f"{self.network}.{number}"
            self.gateways.append(Gateway(name, host, zone, self.zones[zone]))
        for gateway in self.gateways:
            self.start_gateway(gateway)

    def start_gateway(self, gateway: Gateway) -> None:
        """Starts the process of a gateway as the platform does."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        seeds = [f"{g.host}:{g.ports['control']}" for g in self.gateways[:3]]
        path = self._temporary / f"{gateway.name}.toml"
        path.write_text(gateway.settings(self.store_address, self.zones, seeds), encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "LYCHEEPIN_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._temporary / f"{gateway.name}.log").open("ab")
        with log:
            gateway.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.note(f"gateway {gateway.name} started")

    async def add_backend(
        self, identifier: str, service: str, zone: str, work_s: float, slots: int = 8
    ) -> Backend:
        """Starts a backend and registers it."""
        backend = Backend(identifier, service, zone, self.runs, work_s, slots)
        await backend.listen(f"{self.network}.{101 + len(self.backends)}")
        self.backends[identifier] = backend
        self.register(backend)
        return backend

    def register(self, backend: Backend, **changes: Any) -> None:
        """Writes the entry of a backend."""
        self.store.put(f"servers/{backend.identifier}", backend.entry(**changes))

    async def wait_until_ready(self) -> None:
        """Waits until all gateways are ready and registered; raises CannotRun."""
        end_s = time.monotonic() + START_S
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                if gateway.process is None or gateway.process.poll() is not None:
                    raise CannotRun(f"{gateway.name} ended: {self.log_of(gateway)[-500:]}")
                if time.monotonic() > end_s:
                    raise CannotRun(f"{gateway.name} is not ready after {START_S} s")
                await asyncio.sleep(0.1)
        while sum("/daemons/" in key for key in self.store.items) < len(self.gateways):
            if time.monotonic() > end_s:
                raise CannotRun("not all gateways registered")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def _is_ready(self, gateway: Gateway) -> bool:
        """Returns whether a gateway answers the platform's readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                address = (gateway.host, gateway.ports["ready"])
                reader, writer = await asyncio.open_connection(*address)
                writer.write(encode("GET /api/ready HTTP/1.1", {"Host": gateway.host}))
                answer = await read_message(reader)
                writer.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_of(self, gateway: Gateway) -> str:
        """Returns what a gateway has written."""
        return (self._temporary / f"{gateway.name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes that were started, and the stand-ins."""
        for gateway in self.gateways:
            if gateway.process is not None:
                if gateway.process.poll() is None:
                    gateway.process.kill()
                gateway.process.wait()
        self.store.close()
        for backend in self.backends.values():
            backend.close()
        for gateway in self.gateways:
            for line in self.log_of(gateway).splitlines():
                if "Traceback" in line or '"fault"' in line or "task_failed" in line:
                    self.note(f"log of {gateway.name}: {line}")
        if os.environ.get("KEEP_LOGS"):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()


def configuration(
    routes: dict[str, dict[str, Any]], services: list[str], version: int = 7
) -> dict[str, Any]:
    """Returns a configuration like the example of `fleetbench wire`."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {
            name: {
                "healthPath": "/health",
                "maxConnections": 390,
                "protocol": "h1",
                "coldStartS": 4,
                "coldPerS": 10,
            }
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route like those of the example."""
    return {
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sessionAffinity": False,
        "homeRegions": [],
    } | changes


def new_id() -> str:
    """Returns a new request id."""
    return f"{random.getrandbits(64):016x}"


async def send(
    gateway: Gateway,
    method: str,
    path: str,
    identifier: str,
    body: bytes = b"",
    deadline_ms: int = 4000,
) -> Message | None:
    """Sends a request on a new connection; returns the answer, or None if there was none."""
    headers = {"Host": HOST_NAME, "Request-Id": identifier, "Deadline-Ms": str(deadline_ms)}
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.ports["front"])
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def run_case(main: Any) -> None:
    """Runs a case and exits with its status: 1 broken, 0 held, 2 could not run."""
    try:
        status = asyncio.run(asyncio.wait_for(main(), 110))
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
