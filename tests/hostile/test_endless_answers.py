"""Endpoints, a store and daemons whose answers have no end, all at once, at a daemon's process."""

from __future__ import annotations

import asyncio
import contextlib

from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.own_entries import DAEMON_PREFIX, encode_daemon
from lycheepin.names import DaemonName, RegionName, ZoneName
from standins.messages import configuration, find_free_address, request
from standins.servers import EndpointStandIn, ReceivedRequest
from tests.hostile.crowds import HOST, ROUTE_TIMEOUT_MS, HostileCase
from tests.transport.test_endless_answers import CHUNKED, ENDLESS, HEAD

CROWD = 80
# Timeout of the faulty endpoints' route: an answer that is read all the while ends only by it, and
# the crowd has more connections than the daemon has sockets.
FAULTY_TIMEOUT_MS = 4000
# Bytes that an endpoint writes at a time, and the most that it sends on one connection.
PIECE_BYTES = 16 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
CHUNK = b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"
# Bodies without end, by the framing of the answer.
BODIES = {
    "body without a length": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "body of a huge length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * PIECE_BYTES),
    "large chunks": (CHUNKED, CHUNK),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * (PIECE_BYTES // 6)),
    "chunks of two bytes": (CHUNKED, b"2\r\nxy\r\n" * (PIECE_BYTES // 7)),
    "chunks with extensions": (CHUNKED, (b"1;" + b"a" * 1000 + b"\r\nx\r\n") * 16),
}
KINDS = ENDLESS | BODIES


async def send_without_end(writer: asyncio.StreamWriter, kind: str, identifier: str) -> None:
    """Sends an answer of a kind until the connection ends, or for very long."""
    start, repeated = KINDS[kind]
    own = f"Request-Id: {identifier}\r\nResponse-Signature: s\r\n".encode()
    writer.write(start.replace(HEAD, HEAD + own, 1))
    piece = repeated * max(PIECE_BYTES // len(repeated), 1)
    with contextlib.suppress(ConnectionError):
        for _ in range(MAX_SENT_BYTES // len(piece)):
            writer.write(piece)
            await writer.drain()


async def answer_without_end(received: ReceivedRequest) -> bytes:
    """Answers with the kind that the target names."""
    kind = list(KINDS)[int(received.target.rpartition("/")[2])]
    await send_without_end(received.writer, kind, received.headers.get("request-id", ""))
    return b""


class EndlessAnswersOfEndpoints(HostileCase):
    crowd = CROWD

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.faulty = EndpointStandIn(HOST, answer_without_end)
        await self.faulty.start()
        self.addCleanup(self.faulty.close)
        document = configuration(2, timeoutMs=ROUTE_TIMEOUT_MS, targetLatencyMs=ROUTE_TIMEOUT_MS)
        document["limits"] |= {"maxHeaderBytes": 16 * 1024, "headerTimeoutMs": 20_000}
        document["services"]["faulty"] = document["services"]["desk"] | {"maxConnections": 1000}
        document["routes"]["faulty"] = document["routes"]["order"] | {
            "prefix": "/faulty/",
            "service": "faulty",
            "timeoutMs": FAULTY_TIMEOUT_MS,
        }
        self.store.put("op/config", document)
        entry = self.faulty.build_entry("north-1", "faulty", slots=1000)
        self.store.put("servers/i-2", entry)
        await asyncio.sleep(1.0)

    async def _ask_all(self, kinds: dict[str, tuple[bytes, bytes]], are_read: bool) -> None:
        """Lets a crowd ask for answers of all kinds; its clients read them, or nothing."""
        numbers = [list(KINDS).index(kind) for kind in kinds]

        def content(number: int) -> bytes:
            path = f"/faulty/{numbers[number % len(numbers)]}"
            return request(path, "POST", f"r{number}", Deadline_Ms="60000")

        await self.send_crowd(self.crowd, content)
        if are_read:
            for writer in self.clients:
                writer.transport.set_protocol(asyncio.Protocol())
                writer.transport.resume_reading()
        await self.assert_holds()
        self.assertGreaterEqual(len(self.faulty.received_requests), len(kinds))

    # Guards against a faulty endpoint's bytes taking the memory of the daemon that called it.
    async def test_heads_and_elements_without_end(self) -> None:
        await self._ask_all(ENDLESS, are_read=True)

    async def test_bodies_without_end_that_are_read(self) -> None:
        await self._ask_all(BODIES, are_read=True)

    async def test_bodies_without_end_that_are_not_read(self) -> None:
        await self._ask_all(BODIES, are_read=False)


class EndlessAnswersOfManyEndpoints(EndlessAnswersOfEndpoints):
    """The same with a machine of more sockets, all of which may carry such an answer."""

    memory_mb, max_fds = 200, 1200
    crowd = 300


class EndlessServer:
    """A server that sends an answer without end on each connection, whatever it is asked.

    The kinds take turns.
    """

    def __init__(self, kinds: dict[str, tuple[bytes, bytes]]) -> None:
        self._kinds = list(kinds)
        self._server: asyncio.Server | None = None
        self.accepted = 0

    async def start(self, port: int) -> None:
        """Listens on a port."""
        self._server = await asyncio.start_server(self._serve, HOST, port)

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends an answer without end."""
        self.accepted += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            await send_without_end(writer, self._kinds[self.accepted % len(self._kinds)], "")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


class EndlessAnswersOfPlatformAndDaemons(HostileCase):
    async def _replace_store(self, kinds: dict[str, tuple[bytes, bytes]]) -> EndlessServer:
        """Puts a server whose answers have no end in the place of the store."""
        server = EndlessServer(kinds)
        self.addCleanup(server.close)
        self.store.close()
        await server.start(self.daemon.store_address.port)
        return server

    async def _wait_for_connections(self, server: EndlessServer, number: int) -> None:
        async with asyncio.timeout(60.0):
            while server.accepted < number:
                await asyncio.sleep(0.05)

    # Guards against a store that is none taking the memory of all daemons.
    async def test_store_whose_answers_have_no_end(self) -> None:
        for kinds in (ENDLESS, BODIES):
            server = await self._replace_store(kinds)
            await self._wait_for_connections(server, 2 * len(kinds))
            await self.assert_holds()
            server.close()

    # Guards against one faulty daemon taking the memory of those that follow it.
    async def test_daemon_whose_answers_have_no_end(self) -> None:
        for kinds in (ENDLESS, BODIES):
            server, address = EndlessServer(kinds), find_free_address()
            self.addCleanup(server.close)
            await server.start(address.port)
            zone, region = ZoneName("north-1"), RegionName("north")
            name = DaemonName(f"faulty-{address.port}")
            record = DaemonRecord(name, 7, zone, region, address, address)
            self.store.put(DAEMON_PREFIX + name, encode_daemon(record, 0))
            await asyncio.sleep(1.0)
            # Without the store, a daemon asks all others in turn.
            self.store.override_status = lambda target: 503
            await self._wait_for_connections(server, len(kinds))
            await self.assert_holds()
            self.store.override_status = lambda target: None
