"""Listening sockets of a process that has no descriptors left."""

import asyncio
import errno
import socket
import unittest

from lycheepin.steering.holdings import Holdings, Machine
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener
from standins.messages import HOST, find_free_address

TIMEOUT_S = 20.0


class FullSocket(socket.socket):
    """A listening socket that has no descriptor for its first connections."""

    failures = 3

    def accept(self) -> tuple[socket.socket, object]:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


class Accepting(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        async def answer(request: IncomingRequest) -> None:
            await self.may_answer.wait()
            request.respond(200, [], b"")

        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.listener = Listener(answer, Holdings(Machine.from_limits(80, 300)))
        self.listening = FullSocket()
        self.listening.bind((HOST, 0))
        await self.listener.listen_on(self.listening)
        self.checks = asyncio.create_task(self.listener.close_expired_connections())

    async def asyncTearDown(self) -> None:
        self.checks.cancel()
        self.listener.stop_listening()
        for connection in list(self.listener.connections):
            connection.abort()

    async def _open(self, content: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection on which bytes have been sent."""
        reader, writer = await asyncio.open_connection(*self.listening.getsockname())
        writer.write(content)
        return reader, writer

    async def test_connections_are_accepted_once_there_are_descriptors(self) -> None:
        errors: list[Exception] = []
        self.listener.on_error = errors.append
        reader, writer = await self._open(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIn(b"200", await reader.readline())
        self.assertEqual([error.errno for error in errors if isinstance(error, OSError)], [24] * 3)
        writer.close()

    async def test_connections_close_after_their_answer_while_others_wait(self) -> None:
        self.listening.failures = 0
        self.may_answer.clear()
        get = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        opened = []
        async with asyncio.timeout(TIMEOUT_S):
            while self.listener.holdings.admits_connection:
                opened.append(await self._open(get))
                while self.listener.in_flight < len(opened):
                    await asyncio.sleep(0.001)
            opened += [await self._open(get) for _ in range(9)]
            while self.listener.is_accepting:
                await asyncio.sleep(0.001)
            self.may_answer.set()
            heads = [await reader.readuntil(b"\r\n\r\n") for reader, _ in opened]
        self.assertTrue(all(head.startswith(b"HTTP/1.1 200") for head in heads))
        self.assertTrue(any(b"Connection: close" in head for head in heads))
        for _, writer in opened:
            writer.close()

    # Guards against an answer in two parts waiting for the acknowledgement of the first one.
    async def test_accepted_connections_send_small_parts_at_once(self) -> None:
        address = find_free_address()
        await self.listener.listen(address.host, address.port)
        _, writer = await asyncio.open_connection(address.host, address.port)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.listener.connections:
                await asyncio.sleep(0.01)
        (connection,) = self.listener.connections
        assert connection._transport is not None
        accepted = connection._transport.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()
