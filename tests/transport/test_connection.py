import asyncio
import unittest

from lycheepin.names import Address
from lycheepin.transport.connection import BrokenAnswer, Connection, ConnectionPool
from tests.transport.connections import open_connection

HOST = Address("127.0.0.1")


class AnswerEndTest(unittest.IsolatedAsyncioTestCase):
    """Answers of a server that sends some bytes and then closes or resets the connection."""

    async def _exchange(self, content: bytes, reset: bool = False) -> tuple[Connection, bytes]:
        """Returns the connection after one request, and the body of the answer."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(content)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.05)
                writer.transport.abort()
            else:
                writer.write_eof()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(HOST)
        connection = await pool.acquire(HOST, port)
        self.addCleanup(connection.close)
        connection.send_request_head(
            b"GET / HTTP/1.1\r\n\r\n", accept=lambda head: head.header(b"x-id") != b"old"
        )
        await connection.head()
        return connection, b"".join([chunk async for chunk in connection.body()])

    async def test_answer_without_length_is_complete_when_the_connection_closes(self) -> None:
        connection, body = await self._exchange(b"HTTP/1.1 200 OK\r\n\r\nall")
        self.assertEqual(body, b"all")
        self.assertFalse(connection.reusable)

    async def test_answer_with_length_is_incomplete_when_the_connection_closes_early(self) -> None:
        with self.assertRaises(BrokenAnswer):
            await self._exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall")

    async def test_chunked_answer_is_incomplete_without_the_last_chunk(self) -> None:
        with self.assertRaises(BrokenAnswer):
            await self._exchange(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n"
            )

    async def test_rejected_answer_is_skipped_and_the_connection_not_reused(self) -> None:
        connection, body = await self._exchange(
            b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nstale"
            b"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 4\r\n\r\nmine"
        )
        self.assertEqual(body, b"mine")
        self.assertFalse(connection.reusable)


class SkippedAnswerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an extra answer lending its trailers to the answer behind it.
    async def test_trailers_of_a_skipped_answer_are_no_headers_of_the_next_one(self) -> None:
        connection, _ = open_connection()
        connection.close_after_use = False
        connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        connection.send_request_head(
            b"GET / HTTP/1.1\r\n\r\n", accept=lambda head: head.header(b"extra") is None
        )
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nExtra: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nno\r\n0\r\nNot-Executed: 1\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        head = await connection.head()
        self.assertEqual(head.headers, [(b"Content-Length", b"2")])


class PoolRestTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_that_rested_longer_than_allowed_is_closed(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(HOST)
        self.addCleanup(pool.close)
        first = await pool.acquire(HOST, port)
        pool.release(HOST, port, first)
        self.assertIs(await pool.acquire(HOST, port, max_rest_s=60.0), first)
        self.assertGreater(first.rested_s, 0.0)
        pool.release(HOST, port, first)
        second = await pool.acquire(HOST, port, max_rest_s=0.0)
        self.assertIsNot(second, first)
        self.assertEqual(second.rested_s, 0.0)
        self.assertFalse(first.reusable)
        pool.release(HOST, port, second)

    # Guards against room for sockets being counted on that ending them wouldn't give.
    async def test_connection_that_its_endpoint_has_closed_is_not_counted_as_idle(self) -> None:
        async def close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await may_close.wait()
            writer.close()

        may_close = asyncio.Event()
        server = await asyncio.start_server(close, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(HOST)
        pool.release(HOST, port, await pool.open(HOST, port))
        self.assertEqual((pool.open_count, pool.idle_count), (1, 1))
        may_close.set()
        async with asyncio.timeout(20.0):
            while pool.open_count:
                await asyncio.sleep(0.01)
        self.assertEqual(pool.idle_count, 0)
        server.close()
