"""The gateway process: listeners, background tasks, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Coroutine, Mapping
from typing import Any, Protocol

from logbook import NullHandler

from lycheepin.gateway.attempt import AttemptRunner
from lycheepin.gateway.call_listeners import CallListeners, Purpose
from lycheepin.gateway.decisions import DecisionLog, JsonHandler
from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.gateway.explaining import STATE_PATH, answer_state_call
from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.quota_exchange import QuotaExchange
from lycheepin.gateway.relay import RELAY_PATH, Relay
from lycheepin.gateway.request_handler import RequestHandler
from lycheepin.gateway.request_log import RequestLog
from lycheepin.gateway.settings import GatewaySettings
from lycheepin.metrics import Metrics
from lycheepin.names import RegionName, ZoneName
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.steering.budgets import Carriers
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.draining import DrainSchedule
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.holdings import Holder, Holdings, Machine
from lycheepin.steering.placement import Placement
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.region_shares import RegionShares
from lycheepin.steering.routes import RoutingTable
from lycheepin.steering.suspects import SuspectRegistry
from lycheepin.transport.connection import ConnectionPool
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener
from lycheepin.transport.process_limits import read_descriptor_limit

__all__ = ["Gateway", "Platform", "run_gateway"]

# Time in seconds for which callers may cache the addresses of a look-up. Some callers cache them
# three times as long, so a draining daemon accepts connections until then.
LOOKUP_LIFETIME_S = 1.0
MAX_CACHED_LIFETIMES = 3
# Timeout in seconds for connecting to an endpoint; a round trip between regions takes 0.08 s.
CONNECT_TIMEOUT_S = 0.5
# Limit for the body of a call to this daemon; no such call needs a body.
MAX_CALL_BODY_BYTES = 1024


class Platform(Protocol):
    """The platform that a gateway runs on."""

    header_names: HeaderNames
    call_paths: Mapping[str, Purpose]

    def create_tasks(self, gateway: Gateway) -> list[Coroutine[Any, Any, None]]:
        """Returns the background tasks that keep the gateway's state up to date."""

    async def deregister(self) -> None:
        """Removes this daemon's registration at the platform."""

    def reload_settings(self, gateway: Gateway) -> None:
        """Reads the settings again and applies them to the gateway."""

    def answer_call(self, gateway: Gateway, request: IncomingRequest) -> None:
        """Answers a call to one of `call_paths`, of the platform or a caller's look-up."""


class Gateway:
    """One gateway with its sockets and background tasks."""

    def __init__(self, settings: GatewaySettings, platform: Platform) -> None:
        self.settings = settings
        self._platform = platform
        self._call_paths = {
            RELAY_PATH: Purpose.CONTROL,
            STATE_PATH: Purpose.CONTROL,
            **platform.call_paths,
        }
        self._loop = asyncio.get_running_loop()
        self.log = DecisionLog(settings.name, time.monotonic)
        self.metrics = Metrics()
        self.registry = EndpointRegistry()
        self.registry.contact.heartbeat_s = settings.heartbeat_s
        self.directory = Directory()
        self.state = DeploymentState(self.registry, self.directory, self.log)
        self.replica = StoreReplica()
        self._relay = Relay(self.replica)
        self.draining = False
        placement = Placement(self.registry, settings.region)
        carriers = Carriers(
            settings.name, lambda: self.directory.carriers, self.directory.find_region
        )
        self.rate_limits = RateLimits(settings.name, carriers)
        self._dispatcher = Dispatcher(
            self.registry,
            placement,
            settings.terms,
            carriers,
            self.rate_limits,
            RegionShares(settings.region, settings.max_shift),
        )
        self._dispatcher.paces.is_enabled = settings.paces_returns
        self._pool = ConnectionPool(settings.host, CONNECT_TIMEOUT_S)
        self.holdings = Holdings(
            Machine.from_limits(settings.memory_mb, settings.max_fds or read_descriptor_limit())
        )
        self.holdings.count_endpoint_sockets = lambda: self._pool.open_count
        self.holdings.count_idle_sockets = lambda: self._pool.idle_count
        self._pool.has_room = lambda: self.holdings.has_endpoint_socket
        self.suspects = SuspectRegistry(carriers.is_chosen)
        self.suspicions = SuspicionExchange(
            settings.name,
            self.suspects,
            self.registry.observe_crash,
            self._pool,
            self.log.write,
        )
        attempt_runner = AttemptRunner(
            self.registry,
            self._pool,
            platform.header_names,
            self.rate_limits,
            self.log,
            self.holdings,
        )
        self.quotas = QuotaExchange(
            settings,
            self.directory,
            lambda: self.replica.age_s(self._loop.time()),
            self.log,
            self.metrics,
        )
        self._handler = RequestHandler(
            platform.header_names,
            self.registry,
            self._dispatcher,
            attempt_runner,
            settings.terms,
            carriers,
            self.suspicions,
            RequestLog(self.log, platform.header_names, self.rate_limits),
            self.metrics,
            self.holdings,
            self.quotas,
        )
        self._caller_listener = Listener(self._handler.handle_request, self.holdings)
        self._stop_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._call_listeners = CallListeners(settings, self.holdings, self._answer_call)
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
        self._register_callbacks()

    @property
    def ready(self) -> bool:
        """Whether this daemon can serve requests."""
        return self.state.table is not None and not self.draining

    async def run(self) -> None:
        """Serves until SIGTERM or a failed background task, then drains and closes."""
        settings = self.settings
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self.log.write("start", incarnation=self.record.incarnation, zone=settings.zone)
        await self._open_listeners()
        for coroutine in (
            *self._platform.create_tasks(self),
            self._caller_listener.close_expired_connections(),
            self._call_listeners.close_expired_connections(),
            self.quotas.run(),
        ):
            task = self._loop.create_task(coroutine)
            task.add_done_callback(self._on_task_done)
            self._tasks.append(task)
        await self._stop_requested.wait()
        await self._drain_requests()
        self.close()
        self.log.write("stopped", counts=dict(self.log.counts))

    def close(self) -> None:
        """Cancels all tasks and closes all connections immediately."""
        for task in self._tasks:
            task.cancel()
        for listener in (self._caller_listener, *self._call_listeners.by_address.values()):
            listener.stop_listening()
            for connection in list(listener.connections):
                connection.abort()
        self.suspicions.detector.close()
        self.quotas.close()
        self._pool.close()

    def stop(self) -> None:
        """Starts the graceful shutdown."""
        self._stop_requested.set()

    def find_addresses(self, zone: ZoneName, region: RegionName) -> list[str]:
        """Returns the addresses that a caller in a zone should connect to.

        Includes this daemon only while it is not draining.
        """
        addresses = [str(address) for address in self.directory.find_addresses(zone, region)]
        own = str(self.settings.front)
        if not addresses and self.ready:
            return [own]
        if self.draining:
            addresses = [address for address in addresses if address != own]
        return addresses

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Applies those changed settings that take effect without a restart."""
        changed = [
            name
            for name in (
                "terms",
                "zones",
                "lookup_max_s",
                "grace_s",
                "store",
                "seeds",
                "heartbeat_s",
            )
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if not changed:
            return
        self.settings = settings
        self._handler.apply_budget_limits(settings.terms)
        self.registry.contact.heartbeat_s = settings.heartbeat_s
        self.log.write("settings", changed=changed)

    def collect_gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges, by metric name."""
        known_endpoints = list(self.registry.all())
        return {
            "in_flight": float(self._caller_listener.in_flight),
            "caller_connections": float(len(self._caller_listener.connections)),
            "held_bytes": float(self.holdings.held_bytes),
            "endpoint_connections": float(self._pool.open_count),
            "paused_accepts": float(self._caller_listener.pauses + self._call_listeners.pauses),
            "endpoints": float(len(known_endpoints)),
            "limited_endpoints": float(self.rate_limits.count),
            "suspected_requests": float(self.suspects.count),
            "quarantined_requests": float(self.suspects.quarantined),
            "configuration_version": float(self.state.table.version if self.state.table else 0),
            "store_answers": float(self.state.store_answers),
            **self.quotas.collect_gauges(),
        }

    async def _open_listeners(self) -> None:
        """Opens the sockets of all listeners."""
        front = self.settings.front
        for listener in (self._caller_listener, *self._call_listeners.by_address.values()):
            self._log_errors_of(listener)
        await self._caller_listener.listen(front.host, front.port)
        await self._call_listeners.listen()

    async def _answer_call(self, purposes: frozenset[Purpose], request: IncomingRequest) -> None:
        """Answers a call to an address with some purposes; 404 for a path of another one."""
        await request.read_up_to(MAX_CALL_BODY_BYTES)
        path = request.path
        if self._call_paths.get(path) not in purposes:
            request.respond(404, [], b"")
        elif path == RELAY_PATH:
            await self._relay.answer_follower(request, self.settings.store)
        elif path == STATE_PATH:
            answer_state_call(
                request,
                self.settings.name,
                self.state.table,
                self.registry,
                self._dispatcher,
                self.replica,
                self.quotas,
            )
        else:
            self._platform.answer_call(self, request)

    def _log_errors_of(self, listener: Listener) -> None:
        """Logs refused requests and internal errors of a listener."""
        listener.on_refused = lambda status: self.log.write("unreadable_request", status=status)
        listener.on_evicted = self._log_eviction
        listener.on_error = lambda error: self.log.write("fault", error=repr(error))

    def _log_eviction(self, reason: str, holder: Holder) -> None:
        """Logs and counts a connection that ends because of what it holds."""
        self.metrics.count("evictions", reason)
        self.log.write(
            "evicted",
            reason=reason,
            caller=holder.caller_host,
            stage=holder.stage.name.lower(),
            held=self.holdings.find_bytes(holder),
            held_by_all=self.holdings.held_bytes,
            connections=self.holdings.connections,
        )

    def _register_callbacks(self) -> None:
        """Registers callbacks that pass changes of the state to the components they concern."""

        def update_table(table: RoutingTable) -> None:
            self._handler.table = table
            self.quotas.apply_configuration(table)
            self._caller_listener.limits = table.limits

        def release_endpoint(record: EndpointRecord) -> None:
            self._dispatcher.forget_endpoint(record.id)
            self._pool.discard(record.address, record.port)

        self.registry.on_removed = release_endpoint
        self.state.on_configuration = update_table
        self.state.on_suspicion = self.suspicions.apply_suspicion

    def _reload_settings(self) -> None:
        """Reloads the settings; called on SIGHUP."""
        self.log.write("reload")
        self._platform.reload_settings(self)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Starts the shutdown if a background task has failed."""
        if not task.cancelled() and task.exception() is not None:
            self.log.write("task_failed", error=repr(task.exception()))
            self._stop_requested.set()

    async def _drain_requests(self) -> None:
        """Accepts connections until callers use other daemons, then waits for running requests.

        Ends before the grace period does, even if requests are still running.
        """
        self.draining = True
        drain = DrainSchedule.from_grace(
            self._loop.time(), self.settings.grace_s, MAX_CACHED_LIFETIMES * LOOKUP_LIFETIME_S
        )
        self._caller_listener.closing = True
        self._handler.drain = drain
        self.log.write("draining", in_flight=self._caller_listener.in_flight)
        deregistration = self._loop.create_task(self._platform.deregister())
        await asyncio.sleep(drain.listens_until_s - self._loop.time())
        await self._caller_listener.close_connections(drain.ends_s)
        await self._call_listeners.close_connections(drain.ends_s)
        deregistration.cancel()


def run_gateway(settings: GatewaySettings, platform: Platform) -> None:
    """Runs a gateway until it has shut down, with its log on standard output."""

    async def main() -> None:
        await Gateway(settings, platform).run()

    handler = JsonHandler(1)
    with NullHandler().applicationbound(), handler.applicationbound():
        asyncio.run(main())
