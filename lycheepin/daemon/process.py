"""The daemon process: start, signals, graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys

from logbook import StreamHandler

from lycheepin.clocks import SystemClock
from lycheepin.cluster.membership import MemberState
from lycheepin.daemon.api import Operators
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.control import ControlTasks
from lycheepin.daemon.node import Node, new_incarnation
from lycheepin.daemon.peers import PeerTask
from lycheepin.daemon.requests import RequestHandler
from lycheepin.daemon.server import HttpServer, build_server
from lycheepin.generated.settings import DaemonSettings
from lycheepin.sources.store import HttpStore
from lycheepin.sources.vms import HttpVmListSource
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.connection import ConnectionPool

__all__ = ["EXIT_ABORTED", "EXIT_OK", "listen", "run_daemon"]

EXIT_OK = 0
EXIT_ABORTED = 3
POLL_INTERVAL_S = 0.1
DRAIN_CHECK_S = 0.1
BACKLOG = 2048


class Daemon:
    """One daemon with its sockets and tasks."""

    def __init__(self, settings: DaemonSettings) -> None:
        clock = SystemClock()
        self.node = Node(settings, clock, new_incarnation(clock))
        self._http_client = HttpClient(settings.address)
        self._pool = ConnectionPool(settings.address)
        self._path = RequestHandler(self.node, self._pool)
        self._peers = PeerTask(self.node, self._http_client)
        store = HttpStore(self._http_client, settings.store)
        source = HttpVmListSource(self._http_client, settings.vm_list)
        self._control = ControlTasks(self.node, self._peers, store, source)
        operators = Operators(self.node, self._peers)
        changes = ChangeWriter(self.node, self._peers, store, self._http_client)
        self._server: HttpServer = build_server(self.node, operators, changes, self._path)
        self._stopping = asyncio.Event()
        self._abort = asyncio.Event()

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> Daemon:
        """Returns the daemon for checked settings."""
        return cls(settings)

    async def run(self) -> int:
        """Serves until a signal; returns the exit status."""
        loop = asyncio.get_running_loop()
        settings = self.node.settings
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        listener = listen(settings.address, settings.port)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._peers, local_addr=(settings.address, settings.port)
        )
        server = loop.create_task(self._server.serve(sockets=[listener]))
        tasks = [
            loop.create_task(self._peers.run()),
            loop.create_task(self._poll()),
            loop.create_task(self._count()),
            *self._control.tasks(),
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        self.node.events.record("started", f"incarnation {self.node.incarnation}")
        self.node.log.info("listening on {}:{}", settings.address, settings.port)
        status = await self._wait_for_end()
        for task in tasks:
            task.cancel()
        self._server.should_exit = True
        self._server.force_exit = status != EXIT_OK
        await server
        transport.close()
        self._pool.close()
        self._http_client.close()
        self.node.log.info("ended with status {}", status)
        return status

    def _on_signal(self) -> None:
        """Starts a graceful shutdown; a second signal aborts it."""
        if self._stopping.is_set():
            self._abort.set()
        self._stopping.set()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Aborts the process when a task that never ends has ended."""
        if not task.cancelled() and task.exception() is not None:
            self.node.log.error("task failed: {!r}", task.exception())
            self._stopping.set()
            self._abort.set()

    async def _wait_for_end(self) -> int:
        """Waits for a signal and until all requests have ended; returns the exit status."""
        await self._stopping.wait()
        node = self.node
        node.leaving = True
        self._peers.announce_leave()
        node.log.info("leaving with {} requests in flight", node.in_flight)
        loop = asyncio.get_running_loop()
        earliest_s = loop.time() + node.settings.lookup_lifetime_s
        while not self._abort.is_set():
            if loop.time() >= earliest_s and node.in_flight == 0:
                return EXIT_OK
            await asyncio.sleep(DRAIN_CHECK_S)
        return EXIT_ABORTED

    async def _poll(self) -> None:
        """Lets waiting requests go on, forgets expired ids, follows drains of this VM."""
        node = self.node
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._path.poll()
            node.homes.expire(node.clock.wall_ms())
            self._name_overdue()
            if node.leaving:
                continue
            drained = node.drained()
            if drained and node.membership.local_member.state is MemberState.ALIVE:
                self._peers.announce_leave()
            elif not drained and node.membership.local_member.state is MemberState.LEAVING:
                node.membership.announce_alive()

    def _name_overdue(self) -> None:
        """Tells the operator of requests that outlast a drain; they are not cut."""
        node = self.node
        for request in self._path.active.overdue(node.is_leaving, node.clock.monotonic()):
            place = request.endpoint or "no endpoint yet"
            node.events.record("drain_overdue", f"{request.work} of {request.caller} at {place}")
            node.log.warning("drain overdue: {} of {} at {}", request.work, request.caller, place)

    async def _count(self) -> None:
        """Logs a counter line each period."""
        while True:
            await asyncio.sleep(self.node.settings.counter_interval_s)
            self.node.log.info("counters {}", self.node.metrics.summary())


def listen(address: str, port: int) -> socket.socket:
    """Returns a listening socket; raises OSError when the address is in use."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # asyncio turns Nagle's algorithm off only on sockets that name TCP as their protocol.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def run_daemon(settings: DaemonSettings) -> int:
    """Runs a daemon until it ends; returns the exit status."""

    async def main() -> int:
        return await Daemon.from_settings(settings).run()

    handler = StreamHandler(sys.stderr, level=settings.log_level)
    with handler.applicationbound():
        return asyncio.run(main())
