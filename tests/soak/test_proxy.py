import asyncio
import socket
import unittest

from lycheepin.gateway.settings import SocketAddress
from soak.proxy import Proxy, ProxyMode
from standins.messages import HOST
from standins.servers import reset_connection

RECEIVE_TIMEOUT_S = 5.0
QUIET_CHECK_S = 0.1


class ProxyModes(unittest.IsolatedAsyncioTestCase):
    """Modes of a proxy in front of an echo server."""

    async def asyncSetUp(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                self.received.append(data)
                writer.write(data)
            writer.close()

        self.received: list[bytes] = []
        server = await asyncio.start_server(echo, HOST, 0)
        self.addCleanup(server.close)
        self.proxy = Proxy(SocketAddress(HOST, server.sockets[0].getsockname()[1]))
        await self.proxy.start()
        self.addCleanup(self.proxy.close)

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection through the proxy over which one byte was echoed."""
        address = self.proxy.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.transport.abort)
        writer.write(b"a")
        self.assertEqual(await reader.readexactly(1), b"a")
        return reader, writer

    async def _receives_nothing(self, reader: asyncio.StreamReader) -> bool:
        """Returns whether no byte arrives for a short time."""
        try:
            async with asyncio.timeout(QUIET_CHECK_S):
                await reader.read(1)
        except TimeoutError:
            return True
        return False

    async def test_stalled_bytes_arrive_after_mode_returns_to_pass(self) -> None:
        reader, writer = await self._open()
        self.proxy.set_mode(ProxyMode.STALL)
        writer.write(b"b")
        self.assertTrue(await self._receives_nothing(reader))
        self.assertEqual(self.received, [b"a"])
        self.proxy.set_mode(ProxyMode.PASS)
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            self.assertEqual(await reader.readexactly(1), b"b")

    async def test_only_to_target_passes_requests_and_holds_answers(self) -> None:
        reader, writer = await self._open()
        self.proxy.set_mode(ProxyMode.ONLY_TO_TARGET)
        writer.write(b"b")
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while len(self.received) < 2:
                await asyncio.sleep(0.01)
        self.assertTrue(await self._receives_nothing(reader))

    async def test_reset_aborts_open_and_new_connections(self) -> None:
        reader, _ = await self._open()
        self.proxy.set_mode(ProxyMode.RESET)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self._open()

    async def test_mode_of_one_host_does_not_affect_other_hosts(self) -> None:
        self.proxy.set_mode(ProxyMode.RESET, "127.9.9.9")
        await self._open()


class ResetAfterEnd(unittest.IsolatedAsyncioTestCase):
    # Guards against a soak in which an answer that was reset looks like one that ended.
    async def test_reset_after_the_end_of_the_stream_is_passed_on(self) -> None:
        async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            writer.write_eof()
            await asyncio.sleep(QUIET_CHECK_S)
            reset_connection(writer)

        server = await asyncio.start_server(end, HOST, 0)
        self.addCleanup(server.close)
        proxy = Proxy(SocketAddress(HOST, server.sockets[0].getsockname()[1]))
        await proxy.start()
        self.addCleanup(proxy.close)
        reader, writer = await asyncio.open_connection(proxy.address.host, proxy.address.port)
        writer.write(b"a")
        self.assertEqual(await reader.read(), b"")
        connection = writer.get_extra_info("socket")
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while not connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                await asyncio.sleep(0.01)
        writer.transport.abort()
