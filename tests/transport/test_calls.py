import asyncio
import unittest

from lycheepin.names import Address
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient

HOST = Address("127.0.0.1")
TIMEOUT_S = 0.6
PAUSE_S = 0.25


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """Calls whose answer sends its body in parts, with a pause of PAUSE_S before each."""

    async def _call(self, parts: int, sent: int) -> CallAnswer | CallFailure:
        """Returns the result of a call whose answer announces `parts` bytes and sends `sent`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % parts)
            for _ in range(sent):
                await asyncio.sleep(PAUSE_S)
                writer.write(b"x")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        http_client = HttpClient(HOST)
        self.addCleanup(http_client.close)
        port = server.sockets[0].getsockname()[1]
        return await http_client.call(HOST, port, "GET", "/", timeout_s=TIMEOUT_S)

    async def test_whole_body_may_take_longer_than_the_timeout(self) -> None:
        self.assertGreater(4 * PAUSE_S, TIMEOUT_S)
        answer = await self._call(parts=4, sent=4)
        assert isinstance(answer, CallAnswer)
        self.assertEqual(answer.body, b"xxxx")

    async def test_call_fails_when_the_body_stalls(self) -> None:
        answer = await self._call(parts=4, sent=1)
        self.assertIsInstance(answer, CallFailure)
