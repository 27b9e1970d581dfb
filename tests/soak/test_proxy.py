import asyncio
import unittest

from lycheepin.gateway.settings import SocketAddress
from soak.proxy import Proxy, Way
from standins.messages import HOST

PATIENCE_S = 5.0
SHORT_S = 0.1


class Ways(unittest.IsolatedAsyncioTestCase):
    """A proxy before a server that sends back what it gets."""

    async def asyncSetUp(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                self.heard.append(data)
                writer.write(data)
            writer.close()

        self.heard: list[bytes] = []
        server = await asyncio.start_server(echo, HOST, 0)
        self.addCleanup(server.close)
        self.proxy = Proxy(SocketAddress(HOST, server.sockets[0].getsockname()[1]))
        await self.proxy.start()
        self.addCleanup(self.proxy.close)

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection through the proxy that has carried one exchange."""
        address = self.proxy.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.transport.abort)
        writer.write(b"a")
        self.assertEqual(await reader.readexactly(1), b"a")
        return reader, writer

    async def _is_quiet(self, reader: asyncio.StreamReader) -> bool:
        """Returns whether nothing comes for a short time."""
        try:
            async with asyncio.timeout(SHORT_S):
                await reader.read(1)
        except TimeoutError:
            return True
        return False

    async def test_bytes_held_back_arrive_after_the_silence(self) -> None:
        reader, writer = await self._open()
        self.proxy.set_way(Way.SILENT)
        writer.write(b"b")
        self.assertTrue(await self._is_quiet(reader))
        self.assertEqual(self.heard, [b"a"])
        self.proxy.set_way(Way.PASS)
        async with asyncio.timeout(PATIENCE_S):
            self.assertEqual(await reader.readexactly(1), b"b")

    async def test_one_way_lets_requests_through_and_no_answers(self) -> None:
        reader, writer = await self._open()
        self.proxy.set_way(Way.ONLY_OUT)
        writer.write(b"b")
        async with asyncio.timeout(PATIENCE_S):
            while len(self.heard) < 2:
                await asyncio.sleep(0.01)
        self.assertTrue(await self._is_quiet(reader))

    async def test_reset_ends_open_connections_and_new_ones(self) -> None:
        reader, _ = await self._open()
        self.proxy.set_way(Way.RESET)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self._open()

    async def test_other_hosts_are_not_disturbed(self) -> None:
        self.proxy.set_way(Way.RESET, "127.9.9.9")
        await self._open()
