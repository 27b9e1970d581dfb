"""Callers of a soak, on persistent and on new connections, and probes of the configuration."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Coroutine
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from soak.daemons import Daemon
from soak.endpoints import DOWNLOAD_PATH
from soak.ledger import SentRequest
from soak.world import DESK, FILES, PUBLIC_PATH, ROUTE_TIMEOUT_S, Deployment
from standins.messages import read_answer, read_final_answer, request
from standins.odd_requests import BODY_SIZES, encode_chunked, vary_head

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
# Size of a body that no daemon accepts.
TOO_LARGE_BYTES = 5_000_000
# Requests that are sent at once on one connection.
PIPELINED, PIPELINED_READS = 3, 8
# Longest times in seconds after which a caller leaves, waits to be asked for a body, or stops; the
# time after which one reads slowly, and over which one sends slowly in some parts.
LEAVE_AFTER_S = 0.1
EXPECT_WAIT_S = 0.2
SLOW_READ_S = 0.3
SLOW_SEND_S, SLOW_SEND_PARTS = 0.3, 10
# Bytes of an answer after which a caller stops reading it, and for how long in seconds.
READ_BYTES, STOP_READING_S = 20_000, 2.5
# Receive buffer and segments of a caller with a small window: answers are then still on their way
# while it doesn't read. When it sends the start of its next request behind one.
SMALL_WINDOW_BYTES, SEGMENT_BYTES = 32 * 1024, 1400
SEND_BEHIND_S = 0.25
START_OF_REQUEST = b"GET /read/1 HTTP/1.1\r\nHost: a.exa"
# Fraction of the reads that are on the route without keys.
PUBLIC_RATIO = 0.2
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

    def _draw_request(self, daemon: str, reads: bool) -> tuple[SentRequest, bytes]:
        """Returns a random request to a daemon, a repeatable one for `reads`, and its bytes."""
        deployment, random_source = self._deployment, self._deployment.random
        identifier = f"r{next(self._request_numbers):06}"
        body = b""
        method, path, services = "GET", "/read/1", {DESK}
        if random_source.random() < 0.5 and not reads:
            body = b"order"
            method, path, services = "POST", "/order/1", {DESK, FILES}
            if random_source.random() < 0.4:
                path, services = "/files/1", {FILES}
                is_large = random_source.random() < LARGE_UPLOAD_RATIO
                body = b"p" * LARGE_UPLOAD_BYTES if is_large else b"photo"
        elif deployment.board.happens("caller.downloads"):
            path = f"{DOWNLOAD_PATH}1"
        elif deployment.workspaces is not None and random_source.random() < PUBLIC_RATIO:
            path = f"{PUBLIC_PATH}1"
        if method == "POST" and deployment.board.happens("caller.bodies"):
            body = random_source.randbytes(random_source.choice(BODY_SIZES))
        if method == "POST" and deployment.board.happens("caller.too-large"):
            body = b"x" * TOO_LARGE_BYTES
        sent_request, content = self._build_request(
            daemon, identifier, method, path, body, services
        )
        if method == "POST" and deployment.board.happens("caller.bodies"):
            content = encode_chunked(random_source, content)
        if deployment.board.happens("caller.odd-heads"):
            content = vary_head(random_source, content)
        return sent_request, content

    def _build_request(
        self, daemon: str, identifier: str, method: str, path: str, body: bytes, services: set[str]
    ) -> tuple[SentRequest, bytes]:
        """Returns a request with a random affinity key and a workspace's key, and its bytes."""
        credentials = self._draw_credentials()
        request_bytes = request(
            path,
            method,
            identifier,
            body,
            Affinity_Key=str(self._deployment.random.randrange(OBJECT_COUNT)),
            Deadline_Ms=str(int(ANSWER_TIMEOUT_S * 1000)),
        )
        lines = [f"Authorization: {value}\r\n" for value in credentials]
        workspaces = self._deployment.workspaces
        if workspaces is not None and self._deployment.board.happens("caller.forged-names"):
            lines.append(f"Tenant: {self._deployment.random.choice(sorted(workspaces.keys))}\r\n")
        start, end, rest = request_bytes.partition(b"\r\n")
        request_bytes = start + end + "".join(lines).encode() + rest
        protected = method != "GET"
        now_s = self._deployment.now_s()
        sent_request = SentRequest(
            identifier,
            daemon,
            method,
            path,
            body,
            protected,
            frozenset(services),
            now_s,
            credentials,
            path.startswith(PUBLIC_PATH),
        )
        return sent_request, request_bytes

    def _draw_credentials(self) -> tuple[str, ...]:
        """Returns the credentials of a request: none unless the deployment has workspaces."""
        workspaces = self._deployment.workspaces
        if workspaces is None:
            return ()
        if self._deployment.board.happens("caller.odd-keys"):
            return workspaces.draw_odd_credentials()
        return workspaces.draw_credentials()

    async def _send_on_persistent_connections(self) -> None:
        """Sends requests on one connection at a time, each until the daemon closes it."""
        random_source = self._deployment.random
        while True:
            daemon = self._deployment.daemons[
                random_source.choice(sorted(self._deployment.daemons))
            ]
            connection = await self._connect(daemon)
            if connection is None:
                await asyncio.sleep(PERSISTENT_CALLER_PAUSE_S)
                continue
            reader, writer = connection
            try:
                while await self._exchange_and_record(daemon, reader, writer):
                    await asyncio.sleep(random_source.expovariate(1 / PERSISTENT_CALLER_PAUSE_S))
            finally:
                writer.transport.abort()

    async def _connect(
        self, daemon: Daemon
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Returns a connection to a daemon, at times with a small window; None if it fails."""
        is_small = self._deployment.board.happens("caller.small-window")
        return await connect(daemon.listener_address, SMALL_WINDOW_BYTES if is_small else 0)

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
        connection = await self._connect(daemon)
        if connection is not None:
            reader, writer = connection
            try:
                await self._exchange_and_record(daemon, reader, writer)
            finally:
                writer.transport.abort()

    async def _exchange_and_record(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends some requests and records their results; returns whether the connection is kept."""
        deployment, board = self._deployment, self._deployment.board
        count = PIPELINED if board.happens("caller.pipeline") else 1
        reads = board.happens("caller.pipeline-reads")
        count = PIPELINED_READS if reads else count
        drawn = [self._draw_request(daemon.name, reads) for _ in range(count)]
        for sent_request, _ in drawn:
            deployment.ledger.record_request(sent_request)
        content = b"".join(part for _, part in drawn)
        sends_behind = board.happens("caller.send-behind")
        if sends_behind and count == 1:
            content = content.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        sending = asyncio.ensure_future(self._send(reader, writer, content))
        try:
            if board.happens("caller.leave"):
                await asyncio.sleep(deployment.random.random() * LEAVE_AFTER_S)
                return False
            if sends_behind:
                await asyncio.sleep(SEND_BEHIND_S)
                writer.write(START_OF_REQUEST)
            if sends_behind or board.happens("caller.slow-read"):
                await asyncio.sleep(SLOW_READ_S)
            if board.happens("caller.stop-reading"):
                await reader.read(READ_BYTES)
                await asyncio.sleep(STOP_READING_S)
                return False
            for number, (sent_request, _) in enumerate(drawn, 1):
                if not await self._read_and_record(reader, sent_request, number == 1):
                    rest = [request.identifier for request, _ in drawn[number:]]
                    deployment.ledger.record_unread(rest, sent_request.identifier)
                    return False
            return await sending and not sends_behind
        finally:
            sending.cancel()

    async def _read_and_record(
        self, reader: asyncio.StreamReader, sent_request: SentRequest, is_first: bool
    ) -> bool:
        """Reads the answer to a request and records it; returns whether more may follow."""
        deployment, ledger = self._deployment, self._deployment.ledger
        identifier = sent_request.identifier
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers, body = await read_final_answer(reader)
        except TimeoutError:
            if is_first:
                ledger.record_wait(
                    identifier, ANSWER_TIMEOUT_S, ROUTE_TIMEOUT_S, deployment.now_s()
                )
            return False
        except (OSError, asyncio.IncompleteReadError):
            ledger.record_cut_connection(identifier, deployment.now_s())
            return False
        now_s = deployment.now_s()
        repeats = headers.get("body-repeats", "")
        matches_request = (
            headers.get("request-id") == identifier
            and headers.get("response-signature") == f"sig-{identifier}"
            and repeats.isdigit()
            and body == identifier.encode() * int(repeats)
        )
        detail = f"got {len(body)} bytes with {headers}"
        ledger.record_answer(identifier, status, matches_request, now_s, detail)
        if is_first:
            waited_s = now_s - sent_request.sent_at_s
            ledger.record_wait(identifier, waited_s, ROUTE_TIMEOUT_S, now_s)
        return headers.get("connection") != "close"

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, content: bytes
    ) -> bool:
        """Sends the bytes of requests; returns whether the connection may be kept."""
        deployment, board = self._deployment, self._deployment.board
        try:
            if board.happens("caller.expect") and b"\r\n\r\n" in content:
                head, end, body = content.partition(b"\r\n\r\n")
                writer.write(head + b"\r\nExpect: 100-continue" + end)
                await asyncio.sleep(EXPECT_WAIT_S * deployment.random.random())
                content = body
            if board.happens("caller.stop-half-way"):
                writer.write(content[: deployment.random.randrange(len(content) + 1)])
                await asyncio.sleep(EXPECT_WAIT_S * deployment.random.random())
                writer.transport.abort()
                return False
            step = len(content)
            if board.happens("caller.slow-send"):
                step = max(1, len(content) // SLOW_SEND_PARTS)
            for start in range(0, len(content), max(1, step)):
                writer.write(content[start : start + step])
                await writer.drain()
                if step < len(content):
                    await asyncio.sleep(SLOW_SEND_S / SLOW_SEND_PARTS)
        except OSError:
            return False  # the daemon has closed the connection; its answer may still be read
        return True

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
    address: SocketAddress, window_bytes: int = 0
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Returns a connection, or None when it fails or times out.

    With `window_bytes` the receive buffer has that size, and no more is read ahead.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            if not window_bytes:
                return await asyncio.open_connection(address.host, address.port)
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            connection.setblocking(False)
            await asyncio.get_running_loop().sock_connect(connection, (address.host, address.port))
            return await asyncio.open_connection(sock=connection, limit=window_bytes)
    except (OSError, TimeoutError):
        return None
