"""A daemon in a process of its own, and crowds of clients that keep to no rules."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import signal
import socket
import tempfile
import unittest
from collections.abc import Callable

from logbook import NullHandler

from soak.daemons import CONTROL_PORT, LISTENER_PORT, Daemon
from standins.messages import HOST, configuration, find_free_address, read_answer, request
from standins.metadata import MetadataStandIn
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer

__all__ = ["CONTROL_PORT", "LISTENER_PORT", "Content", "HostileCase"]

# The machine of the daemon, as its settings state it: its sockets may use what is left of the
# descriptors beside FILE_FDS (DEPLOY.md, "Memory and descriptors").
MEMORY_MB, MAX_FDS, FILE_FDS = 80, 300, 200
MAX_HEADER_BYTES = 16 * 1024
# Timeout of the routes, longer than a test, so that no request of a crowd ends by itself.
ROUTE_TIMEOUT_MS = 60_000
# Time in seconds after which a test fails if an ordinary request has got no answer, and for which a
# crowd may be sending at most.
ANSWER_TIMEOUT_S, SENDING_S = 20.0, 3.0
# Interval in seconds at which the process is looked at.
SAMPLE_S = 0.02
# How often a client comes back after its connection was closed.
RETURNS = 1
# Size of an answer of the endpoint to paths that end in "/large", and the receive buffer of a
# client that doesn't read.
LARGE_ANSWER_BYTES = 900_000
SMALL_BUFFER_BYTES = 4096
KB, MB = 1024, 1024 * 1024

# Bytes that a client sends, by its number.
Content = Callable[[int], bytes]


async def answer_by_path(received: ReceivedRequest) -> bytes:
    """Returns a large answer to "/large", none while the test runs to "/slow", else a small one."""
    if received.target.endswith("/slow"):
        await asyncio.Event().wait()
    is_large = received.target.endswith("/large")
    return build_answer(received, body=b"x" * LARGE_ANSWER_BYTES if is_large else b"ok")


class HostileCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store, an endpoint, and a daemon as a process on a small machine.

    `memory_mb` and `max_fds` are the limits of the machine that its settings state. `peak_sockets`
    and `peak_fds` are the most that the process held open, `peak_unread` the most bytes that had
    arrived for it and that it had not read.
    """

    memory_mb, max_fds = MEMORY_MB, MAX_FDS

    async def asyncSetUp(self) -> None:
        self.handler = NullHandler()
        self.handler.push_application()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        store_address = find_free_address()
        self.store = MetadataStandIn()
        await self.store.listen(HOST, store_address.port)
        document = configuration(timeoutMs=ROUTE_TIMEOUT_MS, targetLatencyMs=ROUTE_TIMEOUT_MS)
        document["limits"] |= {"maxHeaderBytes": MAX_HEADER_BYTES, "headerTimeoutMs": 20_000}
        self.store.put("op/config", document)
        self.endpoint = EndpointStandIn(HOST, answer_by_path)
        await self.endpoint.start()
        self.store.put("servers/i-1", self.endpoint.build_entry("north-1", slots=1000))
        self.clients: set[asyncio.StreamWriter] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.peak_sockets = self.peak_fds = self.peak_unread = 0
        self.daemon = Daemon(
            "daemon-1", HOST, "north-1", {"north-1": "north"}, store_address, (), self.folder
        )
        self.daemon.machine = {"memoryMb": self.memory_mb, "maxFds": self.max_fds}
        self.daemon.start()
        await self.send_ordinary_request()
        self.tasks.append(asyncio.create_task(self._watch_process()))

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.clients:
            writer.transport.abort()
        self.daemon.send_signal(signal.SIGKILL)
        assert self.daemon.process is not None
        self.daemon.process.wait()
        self.endpoint.close()
        self.store.close()
        shutil.rmtree(self.folder)
        self.handler.pop_application()

    async def send_ordinary_request(self) -> None:
        """Sends a request until it is served; an ordinary caller comes back when it is refused."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not await self._is_served():
                await asyncio.sleep(0.1)

    async def _is_served(self) -> bool:
        """Returns whether a request on a new connection gets an answer of the endpoint."""
        try:
            reader, writer = await asyncio.open_connection(HOST, LISTENER_PORT)
        except OSError:
            return False
        try:
            writer.write(request())
            status, _, body = await read_answer(reader)
            return (status, body) == (200, b"ok")
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.transport.abort()

    async def send_crowd(self, size: int, content: Content, port: int = LISTENER_PORT) -> None:
        """Lets a crowd send; its clients don't read, keep their connections and come back once."""
        clients = [asyncio.create_task(self._run_client(n, content, port)) for n in range(size)]
        self.tasks += clients
        await asyncio.wait(clients, timeout=SENDING_S)

    async def _run_client(self, number: int, content: Content, port: int) -> None:
        """Sends a client's bytes on a connection that stays open, and again if it is closed."""
        for _ in range(1 + RETURNS):
            with contextlib.suppress(OSError):
                writer = await self._open_client(number, port)
                writer.write(content(number))
                await writer.drain()
                return

    async def _open_client(self, number: int, port: int) -> asyncio.StreamWriter:
        """Returns a connection from one of four addresses, with a small receive buffer."""
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        connection.bind((f"127.63.{number % 4}.1", 0))
        await asyncio.get_running_loop().sock_connect(connection, (HOST, port))
        _, writer = await asyncio.open_connection(sock=connection, limit=1)
        self.clients.add(writer)
        return writer

    async def assert_holds(self, memory_share: float = 1.0) -> None:
        """Asserts that the daemon lives and answers an ordinary request beside the crowd.

        It has to be inside its machine, and inside a share of its memory.
        """
        assert self.daemon.process is not None
        self.assertIsNone(self.daemon.process.poll(), "the process has ended")
        await self.send_ordinary_request()
        peak_mb = (self._read_peak_bytes() + self.peak_unread) / MB
        print(
            f"{self.id()}: {peak_mb:.0f} MB (unread {self.peak_unread / MB:.1f}), "
            f"{self.peak_sockets} sockets, {self.peak_fds} descriptors"
        )
        self.assertLess(peak_mb, self.memory_mb * memory_share)
        self.assertLessEqual(self.peak_sockets, self.max_fds - FILE_FDS)
        self.assertLessEqual(self.peak_fds, self.max_fds)

    async def _watch_process(self) -> None:
        """Keeps the peaks up to date, until cancelled."""
        assert self.daemon.process is not None
        folder = pathlib.Path(f"/proc/{self.daemon.process.pid}")
        while True:
            links = []
            for entry in (folder / "fd").iterdir():
                with contextlib.suppress(OSError):
                    links.append(str(entry.readlink()))
            sockets = {link[8:-1] for link in links if link.startswith("socket:[")}
            self.peak_fds = max(self.peak_fds, len(links))
            self.peak_sockets = max(self.peak_sockets, len(sockets))
            self.peak_unread = max(self.peak_unread, _count_unread(sockets))
            await asyncio.sleep(SAMPLE_S)

    def _read_peak_bytes(self) -> int:
        """Returns the largest resident size of the process so far."""
        assert self.daemon.process is not None
        path = pathlib.Path(f"/proc/{self.daemon.process.pid}/status")
        fields = dict(line.split(":", 1) for line in path.read_text(encoding="utf-8").splitlines())
        return int(fields["VmHWM"].split()[0]) * KB


def _count_unread(sockets: set[str]) -> int:
    """Returns the bytes that the kernel holds for sockets, by their inode, until they are read."""
    lines = pathlib.Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]
    rows = (line.split() for line in lines)
    return sum(
        int(row[4].partition(":")[2], 16) for row in rows if row[9] in sockets and row[3] != "0A"
    )
