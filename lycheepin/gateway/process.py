"""The gateway process: listeners, tasks, signals, graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Coroutine
from typing import Any, Protocol

from logbook import NullHandler

from lycheepin.gateway.attempt import Attempts
from lycheepin.gateway.decisions import DecisionLog, JsonHandler
from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.gateway.header_names import HeaderNames
from lycheepin.gateway.incoming import IncomingRequest
from lycheepin.gateway.listener import Listener
from lycheepin.gateway.relay import RELAY_PATH, Relay
from lycheepin.gateway.replica import StoreReplica
from lycheepin.gateway.request_handler import RequestHandler
from lycheepin.gateway.settings import GatewaySettings
from lycheepin.metrics import Metrics
from lycheepin.names import DaemonName, RegionName, ZoneName
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.fleet import EndpointRecord, EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.routes import RoutingTable
from lycheepin.transport.connection import ConnectionPool

__all__ = ["Gateway", "Platform", "run_gateway"]

# Time in seconds for which callers may keep the directory's answer. Some keep it three times as
# long, and a leaving daemon serves until then.
LOOKUP_LIFETIME_S = 1.0
LONGEST_CACHED = 3
# Time in seconds of a graceful shutdown that is left for the process to end.
EXIT_MARGIN_S = 0.5
# Time in seconds to open a connection to an endpoint; two ways between regions take 0.08.
CONNECT_TIMEOUT_S = 0.5
POLL_S = 0.05
# Bytes of a call's body that are read; no call has one.
MAX_CALL_BYTES = 1024


class Platform(Protocol):
    """What a gateway needs of the platform that it runs on."""

    header_names: HeaderNames

    def create_tasks(self, gateway: Gateway) -> list[Coroutine[Any, Any, None]]:
        """Returns the endless tasks that tell the gateway's beliefs what the platform says."""

    async def deregister(self) -> None:
        """Tells the platform that this daemon is leaving."""

    def reload_settings(self, gateway: Gateway) -> None:
        """Reads the settings again."""

    def answer_call(self, gateway: Gateway, request: IncomingRequest) -> None:
        """Answers a call of the platform or of a caller that asks where to connect."""


class Gateway:
    """One gateway with its sockets and tasks."""

    def __init__(self, settings: GatewaySettings, platform: Platform) -> None:
        self.settings = settings
        self._platform = platform
        self._loop = asyncio.get_running_loop()
        self.log = DecisionLog(settings.name, time.monotonic)
        self.metrics = Metrics()
        self.fleet = EndpointRegistry()
        self.directory = Directory()
        self.state = DeploymentState(self.fleet, self.directory, self.log)
        self.replica = StoreReplica()
        self._relay = Relay(self.replica)
        self.stopping = False
        placement = Placement(self.fleet, settings.region)
        self._dispatcher = Dispatcher(self.fleet, placement, settings.terms, settings.name)
        self._pool = ConnectionPool(settings.host, CONNECT_TIMEOUT_S)
        attempts = Attempts(self.fleet, self._pool, platform.header_names)
        self._handler = RequestHandler(
            platform.header_names,
            self.fleet,
            self._dispatcher,
            attempts,
            settings.terms,
            self.log,
            self.metrics,
        )
        self._front = Listener(self._handler.handle)
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._calls = Listener(self._answer_call)
        self.record = DaemonRecord(
            settings.name,
            time.time_ns(),
            settings.zone,
            settings.region,
            settings.front,
            settings.control,
            settings.link_mbps,
            settings.processors,
        )
        self._connect_beliefs()

    @property
    def ready(self) -> bool:
        """Whether this daemon can serve requests."""
        return self.state.table is not None and not self.stopping

    async def run(self) -> None:
        """Serves until SIGTERM, then drains."""
        settings = self.settings
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.log.write("start", incarnation=self.record.incarnation, zone=settings.zone)
        await self._listen()
        for work in (*self._platform.create_tasks(self), self._front.sweep(), self._calls.sweep()):
            task = self._loop.create_task(work)
            task.add_done_callback(self._on_task_done)
            self._tasks.append(task)
        await self._stop.wait()
        await self._drain()
        self.close()
        self.log.write("stopped", counts=dict(self.log.counts))

    def close(self) -> None:
        """Closes everything at once."""
        for task in self._tasks:
            task.cancel()
        for listener in (self._front, self._calls):
            listener.stop_listening()
            for connection in list(listener.connections):
                connection.abort()
        self._pool.close()

    def stop(self) -> None:
        """Starts the graceful shutdown."""
        self._stop.set()

    def find_addresses(self, zone: ZoneName, region: RegionName) -> list[str]:
        """Returns the addresses that a caller of a zone should connect to."""
        found = [str(address) for address in self.directory.find_addresses(zone, region)]
        own = str(self.settings.front)
        if not found and self.ready:
            return [own]
        if self.stopping:
            found = [address for address in found if address != own]
        return found

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Takes over settings that may change while the process runs."""
        changed = [
            name
            for name in ("terms", "zones", "lookup_max_s", "grace_s", "store", "seeds")
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if not changed:
            return
        self.settings = settings
        self._handler.apply_budget_limits(settings.terms)
        self.log.write("settings", changed=changed)

    def collect_gauges(self) -> dict[str, float]:
        """Returns current values for the metrics page."""
        endpoints = list(self.fleet.all())
        return {
            "in_flight": float(self._front.in_flight),
            "caller_connections": float(len(self._front.connections)),
            "endpoints": float(len(endpoints)),
            "configuration_version": float(self.state.table.version if self.state.table else 0),
            "store_answers": float(self.state.store_answers),
        }

    async def _listen(self) -> None:
        """Opens all listeners."""
        settings = self.settings
        self._watch_faults(self._calls)
        self._watch_faults(self._front)
        await self._front.listen(settings.front.host, settings.front.port)
        for address in {settings.ready, settings.directory, settings.control, settings.metrics}:
            await self._calls.listen(address.host, address.port)

    async def _answer_call(self, request: IncomingRequest) -> None:
        """Answers a call of the platform, of an operator, or of another daemon."""
        await request.read_up_to(MAX_CALL_BYTES)
        if request.path == RELAY_PATH:
            await self._relay.answer(request, self.settings.store)
        else:
            self._platform.answer_call(self, request)

    def _watch_faults(self, listener: Listener) -> None:
        """Logs what goes wrong on the connections of a listener."""
        listener.on_refused = lambda status: self.log.write("unreadable_request", status=status)
        listener.on_fault = lambda error: self.log.write("fault", error=repr(error))

    def _connect_beliefs(self) -> None:
        """Lets the parts that decide hear of changes."""

        def take_daemons(names: tuple[DaemonName, ...]) -> None:
            self._dispatcher.daemons = names

        def take_table(table: RoutingTable) -> None:
            self._handler.table = table
            self._front.limits = table.limits

        def take_gone(record: EndpointRecord) -> None:
            self._dispatcher.forget_endpoint(record.id)
            self._pool.discard(record.address, record.port)

        self.fleet.on_removed = take_gone
        self.state.on_daemons = take_daemons
        self.state.on_table = take_table

    def _reload(self) -> None:
        """Reads the settings again after SIGHUP."""
        self.log.write("reload")
        self._platform.reload_settings(self)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Ends the process when a task that never ends has failed."""
        if not task.cancelled() and task.exception() is not None:
            self.log.write("task_failed", error=repr(task.exception()))
            self._stop.set()

    async def _drain(self) -> None:
        """Serves until callers have moved, then until all requests have ended."""
        self.stopping = True
        started_s = self._loop.time()
        end_s = started_s + self.settings.grace_s - EXIT_MARGIN_S
        self._front.closing = True
        self._handler.draining = True
        self.log.write("draining", in_flight=self._front.in_flight)
        leave = self._loop.create_task(self._platform.deregister())
        await asyncio.sleep(LONGEST_CACHED * LOOKUP_LIFETIME_S)
        self._front.stop_listening()
        self._front.close_idle()
        while self._front.in_flight and self._loop.time() < end_s:
            await asyncio.sleep(POLL_S)
        leave.cancel()


def run_gateway(settings: GatewaySettings, platform: Platform) -> None:
    """Runs a gateway until it ends."""

    async def main() -> None:
        await Gateway(settings, platform).run()

    handler = JsonHandler(1)
    with NullHandler().applicationbound(), handler.applicationbound():
        asyncio.run(main())
