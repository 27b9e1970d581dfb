"""Callers of a soak, on persistent and on new connections, and probes of the configuration."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from soak.daemons import Daemon
from soak.ledger import SentRequest
from soak.world import DESK, FILES, ROUTE_TIMEOUT_S, Deployment
from standins.messages import read_answer, request

__all__ = ["Callers", "connect"]

# Callers on persistent connections, and their mean pause between two requests.
PERSISTENT_CALLERS_PER_DAEMON = 4
PERSISTENT_CALLER_PAUSE_S = 0.2
# Requests that are each sent on a new connection.
NEW_CONNECTIONS_PER_S = 25
# Time that a caller waits for an answer, and for a connection.
ANSWER_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
# Time between two probes of a daemon.
PROBE_INTERVAL_S = 0.3
# Fraction of the uploads that are large, and their size.
LARGE_UPLOAD_RATIO = 0.1
LARGE_UPLOAD_BYTES = 400_000
# Number of objects that requests are for, each with its own affinity key.
OBJECT_COUNT = 23


class Callers:
    """Sends requests to the daemons and records the results in the ledger."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._request_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def create_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the coroutines that send requests until they are cancelled."""
        caller_count = PERSISTENT_CALLERS_PER_DAEMON * len(self._deployment.daemons)
        return [self._send_on_persistent_connections() for _ in range(caller_count)] + [
            self._send_on_new_connections(),
            self._probe_daemons(),
        ]

    def _draw_request(self, daemon: str) -> tuple[SentRequest, bytes]:
        """Returns a random request to a daemon, and its bytes."""
        random_source = self._deployment.random
        identifier = f"r{next(self._request_numbers):06}"
        body = b""
        method, path, services = "GET", "/read/1", {DESK}
        if random_source.random() < 0.5:
            body = b"order"
            method, path, services = "POST", "/order/1", {DESK, FILES}
            if random_source.random() < 0.4:
                path, services = "/files/1", {FILES}
                body = (
                    b"p" * LARGE_UPLOAD_BYTES
                    if random_source.random() < LARGE_UPLOAD_RATIO
                    else b"photo"
                )
        return self._build_request(daemon, identifier, method, path, body, services)

    def _build_request(
        self, daemon: str, identifier: str, method: str, path: str, body: bytes, services: set[str]
    ) -> tuple[SentRequest, bytes]:
        """Returns a request with a random affinity key, and its bytes."""
        request_bytes = request(
            path,
            method,
            identifier,
            body,
            Affinity_Key=str(self._deployment.random.randrange(OBJECT_COUNT)),
            Deadline_Ms=str(int(ANSWER_TIMEOUT_S * 1000)),
        )
        protected = method != "GET"
        now_s = self._deployment.now_s()
        sent_request = SentRequest(
            identifier, daemon, method, path, body, protected, frozenset(services), now_s
        )
        return sent_request, request_bytes

    async def _send_on_persistent_connections(self) -> None:
        """Sends requests on one connection at a time, each until the daemon closes it."""
        random_source = self._deployment.random
        while True:
            daemon = self._deployment.daemons[
                random_source.choice(sorted(self._deployment.daemons))
            ]
            connection = await connect(daemon.listener_address)
            if connection is None:
                await asyncio.sleep(PERSISTENT_CALLER_PAUSE_S)
                continue
            reader, writer = connection
            try:
                while await self._exchange_and_record(daemon, reader, writer):
                    await asyncio.sleep(random_source.expovariate(1 / PERSISTENT_CALLER_PAUSE_S))
            finally:
                writer.transport.abort()

    async def _send_on_new_connections(self) -> None:
        """Sends requests at a constant rate, each on a new connection."""
        while True:
            task = asyncio.ensure_future(self._send_single_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / NEW_CONNECTIONS_PER_S)

    async def _send_single_request(self) -> None:
        """Sends one request on a new connection."""
        daemon = self._deployment.daemons[
            self._deployment.random.choice(sorted(self._deployment.daemons))
        ]
        connection = await connect(daemon.listener_address)
        if connection is not None:
            reader, writer = connection
            try:
                await self._exchange_and_record(daemon, reader, writer)
            finally:
                writer.transport.abort()

    async def _exchange_and_record(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request and records its result; returns whether the connection stays open."""
        deployment, ledger = self._deployment, self._deployment.ledger
        sent_request, request_bytes = self._draw_request(daemon.name)
        identifier = sent_request.identifier
        ledger.record_request(sent_request)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(request_bytes)
                await writer.drain()
                status, headers, body = await read_answer(reader)
        except TimeoutError:
            ledger.record_wait(identifier, ANSWER_TIMEOUT_S, ROUTE_TIMEOUT_S, deployment.now_s())
            return False
        except (OSError, asyncio.IncompleteReadError):
            ledger.record_cut_connection(identifier, deployment.now_s())
            return False
        now_s = deployment.now_s()
        matches_request = (
            headers.get("request-id") == identifier
            and headers.get("response-signature") == f"sig-{identifier}"
            and body == identifier.encode() * 200
        )
        ledger.record_answer(identifier, status, matches_request, now_s)
        ledger.record_wait(identifier, now_s - sent_request.sent_at_s, ROUTE_TIMEOUT_S, now_s)
        return headers.get("connection") != "close"

    async def _probe_daemons(self) -> None:
        """Periodically probes each running daemon for the newest configuration version."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for daemon in self._deployment.daemons.values():
                version = self._deployment.newest_probe_version
                if daemon.running and version is not None:
                    task = asyncio.ensure_future(self._probe_daemon(daemon, version))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _probe_daemon(self, daemon: Daemon, version: int) -> None:
        """Sends a probe to one daemon and records whether it has the route of `version`.

        Status 503 is ignored: the daemon may lack capacity or have no configuration yet.
        """
        incarnation = daemon.incarnation
        identifier = f"p{next(self._request_numbers):06}"
        path = f"/probe-{version}/1"
        sent_request, request_bytes = self._build_request(
            daemon.name, identifier, "GET", path, b"", {DESK}
        )
        connection = await connect(daemon.listener_address)
        if connection is None:
            return
        self._deployment.ledger.record_request(sent_request, is_probe=True)
        reader, writer = connection
        try:
            writer.write(request_bytes)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, _, _ = await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()
        if daemon.incarnation == incarnation and status != 503:
            self._deployment.ledger.record_probe_result(
                daemon.name, incarnation, version, status != 404, sent_request.sent_at_s
            )


async def connect(
    address: SocketAddress,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Returns a connection, or None when it fails or times out."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return None
