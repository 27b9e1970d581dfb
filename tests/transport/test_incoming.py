"""Requests that are refused, and answers, while their connection changes."""

import asyncio
import unittest

from lycheepin.transport.incoming import BodyRefused, IncomingRequest
from lycheepin.transport.listener import Listener
from standins.messages import HOST, find_free_address
from tests.gateway.connections import UnusedConnection

TIMEOUT_S = 20.0
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class RefusedBody(unittest.IsolatedAsyncioTestCase):
    # Guards against a body being sent on without the part that was forgotten.
    async def test_what_arrives_after_the_refusal_is_not_read(self) -> None:
        request = IncomingRequest(UnusedConnection(), 0.0)
        reading = asyncio.create_task(request.read_up_to(4))
        await asyncio.sleep(0)
        request.feed_body(b"abc")
        request.refuse_body()
        request.feed_body(b"defgh")
        with self.assertRaises(BodyRefused):
            await reading

    # Guards against the requests behind it, which are forgotten, waiting for an answer.
    async def test_connection_of_a_refused_body_that_has_arrived_whole_is_closed(self) -> None:
        request = IncomingRequest(UnusedConnection(), 0.0)
        request.feed_body(b"abc")
        request.end_body()
        request.refuse_body()
        self.assertFalse(request.keep_alive)


class ClosingAnswer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handled: list[bytes] = []
        self.listener = Listener(self._answer)
        self.address = find_free_address()
        await self.listener.listen(HOST, self.address.port)

    async def asyncTearDown(self) -> None:
        self.listener.stop_listening()
        for connection in list(self.listener.connections):
            connection.abort()

    async def _answer(self, request: IncomingRequest) -> None:
        """Answers in two parts; the listener closes connections only during the first one."""
        self.handled.append(request.target)
        self.listener.closing = True
        request.start_answer(200, [], 1)
        self.listener.closing = False
        await request.send_chunk(b"x")
        request.finish_answer()

    # Guards against a request being run that its caller sends again, since the answer before it
    # says that the connection closes.
    async def test_answer_that_announces_the_end_of_its_connection_ends_it(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.address.port)
        writer.write(GET % 0 + GET % 1)
        async with asyncio.timeout(TIMEOUT_S):
            content = await reader.read()
        self.assertEqual((content.count(b"HTTP/1.1"), self.handled), (1, [b"/0"]))
        writer.close()


class SlowReader(unittest.IsolatedAsyncioTestCase):
    # Guards against the limit of an earlier answer on the connection cutting off a later one.
    async def test_answer_in_parts_has_its_own_limit(self) -> None:
        async def answer(request: IncomingRequest) -> None:
            request.unread_limit_s = 3.0 if request.target == b"/0" else 60.0
            request.start_answer(200, [], None)
            if request.target != b"/0":
                while True:
                    await request.send_chunk(b"x" * 65536)
            request.finish_answer()

        listener = Listener(answer)
        address = find_free_address()
        await listener.listen(HOST, address.port)
        evicted: list[str] = []
        listener.on_evicted = lambda reason, holder: evicted.append(reason)
        _, writer = await asyncio.open_connection(HOST, address.port)
        writer.write(GET % 0 + GET % 1)
        async with asyncio.timeout(TIMEOUT_S):
            while not any(not c._writable.is_set() for c in listener.connections):
                await asyncio.sleep(0.01)
        (connection,) = listener.connections
        now_s = asyncio.get_running_loop().time()
        for later_s, reasons in ((0.0, []), (30.0, []), (90.0, ["unread"])):
            connection.check_progress(now_s + later_s)
            self.assertEqual(evicted, reasons)
        writer.close()
        listener.stop_listening()
