"""The callers of a soak: on kept connections, on fresh ones, and probes of the configuration."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from soak.daemons import Daemon
from soak.ledger import Asked
from soak.world import DESK, FILES, TIMEOUT_S, World
from standins.messages import read_answer, request

__all__ = ["Callers"]

# Callers on kept connections for each daemon, and their mean pause in seconds.
KEPT_PER_DAEMON = 4
KEPT_GAP_S = 0.2
# Requests a second on fresh connections.
FRESH_PER_S = 25
# Time in seconds that a caller waits, and that it allows for a connection.
PATIENCE_S = 3.0
CONNECT_S = 1.0
# Seconds between two probes of a daemon.
PROBE_S = 0.3
# Part of the uploads that are large, and their size in bytes.
LARGE_PART = 0.1
LARGE_BYTES = 400_000
# Objects that the requests are about.
OBJECTS = 23


class Callers:
    """Sends requests for as long as its tasks run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._numbers = itertools.count(1)
        self._sending: set[asyncio.Task[None]] = set()

    def works(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the endless tasks."""
        kept = KEPT_PER_DAEMON * len(self._world.daemons)
        return [self._keep_asking() for _ in range(kept)] + [self._ask_afresh(), self._probe()]

    def _draw(self, daemon: str) -> tuple[Asked, bytes]:
        """Returns a new request to a daemon and its bytes."""
        source = self._world.random
        identifier = f"r{next(self._numbers):06}"
        body = b""
        method, path, services = "GET", "/read/1", {DESK}
        if source.random() < 0.5:
            body = b"order"
            method, path, services = "POST", "/order/1", {DESK, FILES}
            if source.random() < 0.4:
                path, services = "/files/1", {FILES}
                body = b"p" * LARGE_BYTES if source.random() < LARGE_PART else b"photo"
        return self._compose(daemon, identifier, method, path, body, services)

    def _compose(
        self, daemon: str, identifier: str, method: str, path: str, body: bytes, services: set[str]
    ) -> tuple[Asked, bytes]:
        """Returns a request and its bytes."""
        content = request(
            path,
            method,
            identifier,
            body,
            Affinity_Key=str(self._world.random.randrange(OBJECTS)),
            Deadline_Ms=str(int(PATIENCE_S * 1000)),
        )
        protected = method != "GET"
        now_s = self._world.now_s()
        asked = Asked(identifier, daemon, method, path, body, protected, frozenset(services), now_s)
        return asked, content

    async def _keep_asking(self) -> None:
        """Uses one connection after the other, each until its daemon closes it."""
        source = self._world.random
        while True:
            daemon = self._world.daemons[source.choice(sorted(self._world.daemons))]
            connection = await _connect(daemon.front)
            if connection is None:
                await asyncio.sleep(KEPT_GAP_S)
                continue
            reader, writer = connection
            try:
                while await self._exchange(daemon, reader, writer):
                    await asyncio.sleep(source.expovariate(1 / KEPT_GAP_S))
            finally:
                writer.transport.abort()

    async def _ask_afresh(self) -> None:
        """Sends requests on connections of their own at an even rate."""
        while True:
            task = asyncio.ensure_future(self._ask_once())
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)
            await asyncio.sleep(1 / FRESH_PER_S)

    async def _ask_once(self) -> None:
        """Sends one request on a connection of its own."""
        daemon = self._world.daemons[self._world.random.choice(sorted(self._world.daemons))]
        connection = await _connect(daemon.front)
        if connection is not None:
            reader, writer = connection
            try:
                await self._exchange(daemon, reader, writer)
            finally:
                writer.transport.abort()

    async def _exchange(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request and notes what came of it; returns whether the connection goes on."""
        world, ledger = self._world, self._world.ledger
        asked, content = self._draw(daemon.name)
        identifier = asked.identifier
        ledger.ask(asked)
        try:
            async with asyncio.timeout(PATIENCE_S):
                writer.write(content)
                await writer.drain()
                status, headers, body = await read_answer(reader)
        except TimeoutError:
            ledger.late(identifier, PATIENCE_S, TIMEOUT_S, world.now_s())
            return False
        except (OSError, asyncio.IncompleteReadError):
            ledger.cut(identifier, world.now_s())
            return False
        now_s = world.now_s()
        own = (
            headers.get("request-id") == identifier
            and headers.get("response-signature") == f"sig-{identifier}"
            and body == identifier.encode() * 200
        )
        ledger.answer(identifier, status, own, now_s)
        ledger.late(identifier, now_s - asked.at_s, TIMEOUT_S, now_s)
        return headers.get("connection") != "close"

    async def _probe(self) -> None:
        """Asks each daemon for what only the newest versions of the configuration have."""
        while True:
            await asyncio.sleep(PROBE_S)
            for daemon in self._world.daemons.values():
                version = self._world.newest_probe
                if daemon.running and version is not None:
                    task = asyncio.ensure_future(self._probe_once(daemon, version))
                    self._sending.add(task)
                    task.add_done_callback(self._sending.discard)

    async def _probe_once(self, daemon: Daemon, version: int) -> None:
        """Asks one daemon; a refusal tells nothing, since it may have no room or know nothing."""
        life = daemon.lives
        identifier = f"p{next(self._numbers):06}"
        path = f"/probe-{version}/1"
        asked, content = self._compose(daemon.name, identifier, "GET", path, b"", {DESK})
        connection = await _connect(daemon.front)
        if connection is None:
            return
        self._world.ledger.ask(asked, probe=True)
        reader, writer = connection
        try:
            writer.write(content)
            async with asyncio.timeout(PATIENCE_S):
                status, _, _ = await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()
        if daemon.lives == life and status != 503:
            self._world.ledger.probe(daemon.name, life, version, status != 404, asked.at_s)


async def _connect(
    address: SocketAddress,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Returns a connection, or None when it can't be opened in time."""
    try:
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return None
