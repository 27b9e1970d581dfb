"""Answers whose bytes come without end, in each element of a message, until the reader closes."""

import asyncio
import unittest

from lycheepin.names import Address
from lycheepin.transport import connection as connection_module
from lycheepin.transport.calls import CallFailure, HttpClient
from lycheepin.transport.connection import BrokenAnswer
from lycheepin.transport.progress_limit import SLICE_BYTES
from tests.transport.connections import open_connection

HOST = Address("127.0.0.1")
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The start of an answer, and the bytes that follow it without end.
ENDLESS = {
    "status reason": (b"HTTP/1.1 200 ", b"a" * 64),
    "header name": (HEAD, b"a" * 64),
    "header value": (HEAD + b"X-A: ", b"a" * 64),
    "headers": (HEAD, b"X-A: 1\r\n" * 8),
    "chunk size": (CHUNKED, b"0" * 64),
    "chunk extension": (CHUNKED + b"5;", b"a" * 64),
    "trailer name": (CHUNKED + b"0\r\n", b"a" * 64),
    "trailer value": (CHUNKED + b"0\r\nX-A: ", b"a" * 64),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 8),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim head values": (b"HTTP/1.1 103 Hint\r\nX-A: ", b"a" * 64),
    "no answer": (b"", b"a" * 64),
    "empty lines": (b"", b"\r\n" * 32),
    "after a complete answer": (HEAD + b"Content-Length: 0\r\n\r\n", b"a" * 64),
}
# Bytes that may be taken before the connection is closed: the limits of an element and of a head,
# with what the parser reads beyond them.
MAX_TAKEN_BYTES = (
    connection_module.MAX_ELEMENT_BYTES + 2 * connection_module.MAX_HEADER_BYTES + 2 * SLICE_BYTES
)
PIECE_BYTES = 64 * 1024


class EndlessAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_connection_is_closed_after_a_bounded_number_of_bytes(self) -> None:
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                connection, transport = open_connection()
                connection.data_received(start)
                piece = repeated * (PIECE_BYTES // len(repeated))
                taken = 0
                while not transport.abort.called and taken < 4 * MAX_TAKEN_BYTES:
                    connection.data_received(piece)
                    taken += len(piece)
                self.assertLessEqual(taken, MAX_TAKEN_BYTES + PIECE_BYTES)
                self.assertTrue(transport.abort.called)
                self.assertFalse(connection.reusable)

    async def test_endless_body_of_a_call_fails_it(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\n")
            try:
                while True:
                    writer.write(b"a" * PIECE_BYTES)
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                writer.transport.abort()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        client = HttpClient(HOST)
        self.addCleanup(client.close)
        port = server.sockets[0].getsockname()[1]
        self.assertIsInstance(await client.call(HOST, port, "GET", "/"), CallFailure)


class SmallChunks(unittest.IsolatedAsyncioTestCase):
    # Guards against a body in tiny chunks taking many times its size: a process of 80 MB grew to
    # 171 MB while a store sent chunks of two bytes without end.
    async def test_tiny_parts_of_a_body_are_held_together(self) -> None:
        for size in (1, 2, 100):
            connection, transport = open_connection()
            connection.data_received(CHUNKED)
            chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
            count = connection_module.HIGH_WATER_BYTES // size + 1
            connection.data_received(chunk * count)
            self.assertTrue(transport.pause_reading.called)
            parts = len(connection._chunks)
            self.assertLessEqual(parts, 2 + size * count // connection_module.JOINED_PART_BYTES)
            connection.data_received(b"0\r\n\r\n")
            body = b"".join([part async for part in connection.body()])
            self.assertEqual(body, b"x" * size * count)


class LargeAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_large_body_and_head_within_the_limits_are_taken(self) -> None:
        connection, _ = open_connection()
        headers = b"".join(b"X-%d: %b\r\n" % (n, b"a" * 1000) for n in range(50))
        body = b"b" * 200_000
        connection.data_received(HEAD + headers + b"Content-Length: 200000\r\n\r\n" + body)
        self.assertEqual((await connection.head()).status, 200)
        self.assertEqual(b"".join([chunk async for chunk in connection.body()]), body)
        self.assertTrue(connection.reusable)

    async def test_failed_answer_raises_broken_answer(self) -> None:
        connection, _ = open_connection()
        connection.data_received(HEAD + b"X-A: " + b"a" * 200_000)
        with self.assertRaises(BrokenAnswer):
            await connection.head()
