"""The daemon process: startup, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys

from logbook import StreamHandler

from lycheepin.clocks import SystemClock
from lycheepin.cluster.membership import MemberState
from lycheepin.daemon.api import DaemonApi
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.control import ControlTasks
from lycheepin.daemon.node import Node, new_incarnation
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.daemon.requests import RequestHandler
from lycheepin.daemon.server import HttpServer
from lycheepin.daemon.suspicions import build_exchange
from lycheepin.generated.settings import DaemonSettings
from lycheepin.sources.store import HttpStore
from lycheepin.sources.vms import HttpVmListSource
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.connection import ConnectionPool

__all__ = ["EXIT_ABORTED", "EXIT_OK", "listen", "run_daemon"]

EXIT_OK = 0
EXIT_ABORTED = 3
POLL_INTERVAL_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.1
LISTEN_BACKLOG = 2048


class Daemon:
    """A daemon with its sockets and tasks."""

    def __init__(self, settings: DaemonSettings) -> None:
        clock = SystemClock()
        self.node = Node(settings, clock, new_incarnation(clock))
        self._http_client = HttpClient(settings.address)
        self._connection_pool = ConnectionPool(settings.address)
        suspicions = build_exchange(self.node, self._connection_pool)
        self._handler = RequestHandler(self.node, self._connection_pool, suspicions)
        self._peer_protocol = PeerProtocol(self.node, self._http_client, suspicions)
        store = HttpStore(self._http_client, settings.store)
        vm_list_source = HttpVmListSource(self._http_client, settings.vm_list)
        self._control_tasks = ControlTasks(self.node, self._peer_protocol, store, vm_list_source)
        api = DaemonApi(self.node, self._peer_protocol)
        changes = ChangeWriter(self.node, self._peer_protocol, store, self._http_client)
        self._server = HttpServer(self.node, api, changes, self._handler)
        self._stopping = asyncio.Event()
        self._aborting = asyncio.Event()

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> Daemon:
        """Returns a daemon with validated settings."""
        return cls(settings)

    async def run(self) -> int:
        """Runs until a signal or a failed task; returns the exit status."""
        loop = asyncio.get_running_loop()
        settings = self.node.settings
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        listener = listen(settings.address, settings.port)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._peer_protocol, local_addr=(settings.address, settings.port)
        )
        tasks = [
            loop.create_task(self._server.serve(listener)),
            loop.create_task(self._peer_protocol.run()),
            loop.create_task(self._poll_periodically()),
            loop.create_task(self._log_counters()),
            *self._control_tasks.start_tasks(),
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        self.node.events.record("started", f"incarnation {self.node.incarnation}")
        self.node.log.info("listening on {}:{}", settings.address, settings.port)
        status = await self._wait_for_end()
        for task in tasks:
            task.cancel()
        await self._server.close(at_once=status != EXIT_OK)
        transport.close()
        self._connection_pool.close()
        self._http_client.close()
        self.node.log.info("ended with status {}", status)
        return status

    def _on_signal(self) -> None:
        """Starts a graceful shutdown; a second signal aborts the process."""
        if self._stopping.is_set():
            self._aborting.set()
        self._stopping.set()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Aborts the process when a task has failed."""
        if not task.cancelled() and task.exception() is not None:
            self.node.log.error("task failed: {!r}", task.exception())
            self._stopping.set()
            self._aborting.set()

    async def _wait_for_end(self) -> int:
        """Waits for a signal, then for the requests in flight; returns the exit status.

        After the signal it waits for at least `lookup_lifetime_s`, during which callers may still
        use answers to earlier look-ups that contain this daemon.
        """
        await self._stopping.wait()
        node = self.node
        node.leaving = True
        self._peer_protocol.announce_leave()
        node.log.info("leaving with {} requests in flight", node.in_flight)
        loop = asyncio.get_running_loop()
        earliest_end_s = loop.time() + node.settings.lookup_lifetime_s
        while not self._aborting.is_set():
            if loop.time() >= earliest_end_s and node.in_flight == 0:
                return EXIT_OK
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        return EXIT_ABORTED

    async def _poll_periodically(self) -> None:
        """Polls admission, expires request ids, reports overdue requests and announces drains.

        A planned drain of this VM is announced as leaving, and its end as alive.
        """
        node = self.node
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._handler.poll_admission()
            node.request_table.expire(node.clock.wall_ms())
            self._report_overdue_requests()
            if node.leaving:
                continue
            is_drained = node.is_drained()
            if is_drained and node.membership.local_member.state is MemberState.ALIVE:
                self._peer_protocol.announce_leave()
            elif not is_drained and node.membership.local_member.state is MemberState.LEAVING:
                node.membership.announce_alive()

    def _report_overdue_requests(self) -> None:
        """Logs and records requests that exceed their drain target; they are not cancelled."""
        node = self.node
        for request in self._handler.active_requests.overdue(
            node.is_leaving, node.clock.monotonic()
        ):
            location = request.endpoint or "no endpoint yet"
            node.events.record(
                "drain_overdue", f"{request.class_name} of {request.caller_address} at {location}"
            )
            node.log.warning(
                "drain overdue: {} of {} at {}",
                request.class_name,
                request.caller_address,
                location,
            )

    async def _log_counters(self) -> None:
        """Logs the counters every `counter_interval_s`."""
        while True:
            await asyncio.sleep(self.node.settings.counter_interval_s)
            self.node.log.info("counters {}", self.node.metrics.summary())


def listen(address: str, port: int) -> socket.socket:
    """Returns a listening socket; raises OSError when the address is in use."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def run_daemon(settings: DaemonSettings) -> int:
    """Runs a daemon until it ends; returns the exit status."""

    async def main() -> int:
        return await Daemon.from_settings(settings).run()

    handler = StreamHandler(sys.stderr, level=settings.log_level)
    with handler.applicationbound():
        return asyncio.run(main())
