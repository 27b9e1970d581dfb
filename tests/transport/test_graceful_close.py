"""Answers behind which a connection closes, to clients with small windows that read late."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import unittest
from collections import Counter
from collections.abc import Callable
from unittest.mock import patch

from lycheepin.steering.holdings import Holdings, Machine
from lycheepin.transport import graceful_close
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener
from standins.messages import HOST, find_free_address
from tests.transport.slow_clients import Reader, open_client, read_answers

TIMEOUT_S = 60.0
# Time in seconds that a stop may take; longer than the readers of the property need.
GRACE_S = 20.0
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n%b\r\n"
SEEDS = range(60)


class GracefulCloseCase(unittest.IsolatedAsyncioTestCase):
    """Test case with listeners whose answers have the size that the target names."""

    async def asyncSetUp(self) -> None:
        self.handled: Counter[int] = Counter()
        self.listeners: list[Listener] = []
        self.checks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for check in self.checks:
            check.cancel()
        for listener in self.listeners:
            listener.stop_listening()
            for connection in list(listener.connections):
                connection.abort()

    async def add_listener(self, holdings: Holdings | None = None) -> tuple[Listener, int]:
        """Starts a listener; returns it with its port."""

        async def answer(request: IncomingRequest) -> None:
            self.handled[address.port] += 1
            request.respond(200, [], b"x" * int(request.target[1:]))

        listener, address = Listener(answer, holdings), find_free_address()
        await listener.listen(HOST, address.port)
        self.listeners.append(listener)
        self.checks.append(asyncio.create_task(listener.close_expired_connections()))
        return listener, address.port

    async def ask(self, port: int, request: bytes, reader: Reader) -> bytes:
        """Sends a request, and what comes behind it; returns all that was read."""
        client, loop = await open_client(port, reader.window_bytes), asyncio.get_running_loop()

        async def send() -> None:
            await loop.sock_sendall(client, request)
            if reader.behind:
                await asyncio.sleep(reader.behind_after_s)
                await loop.sock_sendall(client, reader.behind)

        sending = asyncio.create_task(send())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await read_answers(client, reader)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            client.close()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until a condition holds; raises TimeoutError after a while."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    def check_first_answer(self, content: bytes, size: int) -> None:
        """Fails unless the first answer is whole."""
        head, _, body = content.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: %d" % size, head)
        self.assertGreaterEqual(len(body), size)


class EachAnswerIsWhole(GracefulCloseCase):
    # Guards against an answer being cut by bytes that its client sends behind the request: closing
    # a socket with unread bytes resets it (review/9).
    async def test_whatever_comes_behind_and_whenever_the_connection_closes(self) -> None:
        await asyncio.gather(*(self._play(seed) for seed in SEEDS))

    async def _play(self, seed: int) -> None:
        source = random.Random(seed)
        size = source.choice((0, 100, 20_000, 540_000, 2_000_000))
        pieces = source.randint(2, 12)
        second = GET % (100, b"")
        behind = source.choice(
            (
                b"",
                second,
                second[: source.randrange(1, len(second))],
                second * source.randint(2, 9),
                b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\nabc",
                b"not a request\r\n\r\n",
            )
        )
        reader = Reader(
            source.uniform(0.0, 1.5),
            max(size // pieces, 1000),
            source.uniform(0.0, 0.3),
            source.choice((4, 32, 256)) * 1024,
            behind,
            source.uniform(0.0, 1.0),
        )
        listener, port = await self.add_listener()
        cause = source.choice(("close", "stop", "sockets"))
        headers = b"Connection: close\r\n" if cause == "close" else b""
        asking = asyncio.create_task(self.ask(port, GET % (size, headers), reader))
        await self.wait_until(lambda: self.handled[port])
        if cause == "sockets":
            listener._pause_accepting(listener._listening[0])
        await asyncio.sleep(source.uniform(0.0, 1.0))
        if cause != "close" and not asking.done():
            loop = asyncio.get_running_loop()
            await listener.close_connections(loop.time() + GRACE_S)
        with self.subTest(seed=seed, cause=cause, size=size, reader=reader):
            self.check_first_answer(await asking, size)

    # Guards against an answer being cut after a fixed time, however steadily it is read.
    async def test_slow_reader_has_as_long_as_it_makes_progress(self) -> None:
        with patch.object(graceful_close, "LINGER_S", 0.3):
            _, port = await self.add_listener()
            reader = Reader(0.3, 30_000, 0.1, behind=GET % (1, b""), behind_after_s=0.6)
            request = GET % (540_000, b"Connection: close\r\n")
            self.check_first_answer(await self.ask(port, request, reader), 540_000)

    # Guards against a stop ending connections whose last answer is still on its way.
    async def test_idle_connection_is_kept_until_its_last_answer_is_taken(self) -> None:
        listener, port = await self.add_listener()
        reader = Reader(0.5, 30_000, 0.1, behind=GET % (1, b""), behind_after_s=0.9)
        asking = asyncio.create_task(self.ask(port, GET % (540_000, b""), reader))
        await self.wait_until(lambda: self.handled[port])
        listener.limits = type(listener.limits)(idle_timeout_s=0.0)
        await asyncio.sleep(0.6)
        await listener.close_connections(asyncio.get_running_loop().time() + GRACE_S)
        self.check_first_answer(await asking, 540_000)

    # Guards against a refusal being lost to the bytes behind the request that it refuses.
    async def test_refusals_reach_clients_that_send_on(self) -> None:
        refused = {
            400: b"GET / HTTP/1.1\r\nno header\r\n\r\n" + b"x" * 20_000,
            413: b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
            + b"x" * 9_000_000,
            431: b"GET /1 HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 9000 + b"\r\n",
        }
        for (status, request), window in itertools.product(refused.items(), (4096, 32 * 1024)):
            listener, port = await self.add_listener()
            listener.limits = type(listener.limits)(max_header_bytes=16_384, max_body_bytes=1000)
            reader = Reader(0.3, window_bytes=window, behind=b"y" * 1000, behind_after_s=0.1)
            content = await self.ask(port, request, reader)
            self.assertTrue(content.startswith(b"HTTP/1.1 %d " % status), (status, content[:60]))


class EachConnectionEnds(GracefulCloseCase):
    async def _hold(self, port: int, request: bytes) -> socket.socket:
        """Sends a request on a connection that is never read and never closed."""
        client = await open_client(port, 4096)
        await asyncio.get_running_loop().sock_sendall(client, request)
        self.addCleanup(client.close)
        return client

    # Guards against connections being kept for clients that never close their side.
    async def test_client_that_never_closes_is_not_waited_for(self) -> None:
        with patch.object(graceful_close, "LINGER_S", 0.3):
            listener, port = await self.add_listener()
            await self._hold(port, GET % (10, b"Connection: close\r\n"))
            await self.wait_until(lambda: self.handled[port] and not listener.connections)

    async def test_client_that_never_reads_is_cut_off(self) -> None:
        with patch("lycheepin.transport.caller_connection.MIN_UNREAD_LIMIT_S", 0.3):
            listener, port = await self.add_listener()
            listener.limits = type(listener.limits)(idle_timeout_s=0.3)
            reasons: list[str] = []
            listener.on_evicted = lambda reason, holder: reasons.append(reason)
            for headers in (b"", b"Connection: close\r\n"):
                self.handled.clear()
                await self._hold(port, GET % (8_000_000, headers))
                await self.wait_until(lambda: self.handled[port] and not listener.connections)
            self.assertEqual(reasons, ["unread", "unread"])

    async def test_client_that_sends_without_end_is_not_read_without_end(self) -> None:
        listener, port = await self.add_listener()
        client = await self._hold(port, GET % (10, b"Connection: close\r\n"))
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    await asyncio.get_running_loop().sock_sendall(client, GET % (1, b""))
        await self.wait_until(lambda: not listener.connections)

    async def test_stop_ends_at_its_time_whatever_clients_do(self) -> None:
        listener, port = await self.add_listener()
        await self._hold(port, GET % (8_000_000, b""))
        await self._hold(port, b"GET /1 HTTP/1.1\r\nHost")
        await self.wait_until(lambda: len(listener.connections) == 2)
        async with asyncio.timeout(TIMEOUT_S):
            await listener.close_connections(asyncio.get_running_loop().time() + 0.5)
        await self.wait_until(lambda: not listener.connections)

    # Guards against connections that are ending taking the sockets of new callers.
    async def test_ending_connections_give_way_when_sockets_run_out(self) -> None:
        listener, port = await self.add_listener(Holdings(Machine(64 * 1024 * 1024, 40)))
        for _ in range(30):
            await self._hold(port, GET % (10, b"Connection: close\r\n"))
        content = await self.ask(port, GET % (10, b"Connection: close\r\n"), Reader())
        self.check_first_answer(content, 10)

    # Guards against an error in the handler when the client has reset the connection.
    async def test_client_that_has_reset_the_connection_is_no_error(self) -> None:
        listener, port = await self.add_listener()
        errors: list[Exception] = []
        listener.on_error = errors.append
        for _ in range(20):
            client = await open_client(port, 4096)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            await asyncio.get_running_loop().sock_sendall(
                client, GET % (10, b"Connection: close\r\n")
            )
            client.close()
        await self.wait_until(lambda: self.handled[port] == 20 and not listener.connections)
        self.assertEqual(errors, [])
