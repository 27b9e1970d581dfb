import asyncio
import unittest

from lycheepin.names import Address
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient

HOST = Address("127.0.0.1")
TIMEOUT_S = 0.6
PART_S = 0.25


class SlowBodies(unittest.IsolatedAsyncioTestCase):
    """Answers whose body comes in parts, with a pause before each."""

    async def _call(self, parts: int, sent: int) -> CallAnswer | CallFailure:
        """Returns the outcome of a call whose answer has some parts, of which some are sent."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % parts)
            for _ in range(sent):
                await asyncio.sleep(PART_S)
                writer.write(b"x")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        http_client = HttpClient(HOST)
        self.addCleanup(http_client.close)
        port = server.sockets[0].getsockname()[1]
        return await http_client.call(HOST, port, "GET", "/", timeout_s=TIMEOUT_S)

    async def test_body_that_keeps_coming_may_take_longer_than_the_timeout(self) -> None:
        self.assertGreater(4 * PART_S, TIMEOUT_S)
        answer = await self._call(parts=4, sent=4)
        assert isinstance(answer, CallAnswer)
        self.assertEqual(answer.body, b"xxxx")

    async def test_body_that_falls_silent_fails_the_call(self) -> None:
        answer = await self._call(parts=4, sent=1)
        self.assertIsInstance(answer, CallFailure)
