"""Answers that a reset ends, and bytes that are no answer, over real sockets."""

from __future__ import annotations

import asyncio
import unittest

from lycheepin.names import Address
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient
from lycheepin.transport.connection import BrokenAnswer, Connection, ConnectionPool
from lycheepin.transport.streaming import stream_body
from standins.servers import Peer, reset_connection
from tests.transport.connections import open_connection

HOST = Address("127.0.0.1")
TIMEOUT_S = 20.0
PAUSE_S = 0.05
PIECE = bytes(64 * 1024)
OPEN_ENDED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"
UPLOAD = b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
START_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 1000 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1  OK",
    b"HTTP/1.1",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"RTSP/1.0 200 OK",
    b"ICY 200 OK",
    b"200 OK",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: h2c",
    b"\r\n".join([b"HTTP/1.1 100 Continue\r\n"] * 40 + [b"HTTP/1.1 200 OK"]),
)


async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Resets at once, beside bytes that arrive."""
    reset_connection(writer)


async def reset_read_part(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Resets after the peer has read the part of the body."""
    await asyncio.sleep(PAUSE_S)
    reset_connection(writer)


async def close_unread(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Closes with bytes that nobody has read, so that the kernel resets the connection."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()
    await asyncio.sleep(PAUSE_S)
    transport.abort()


async def end_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Ends the answer's stream, and then resets."""
    writer.write_eof()
    await asyncio.sleep(PAUSE_S)
    reset_connection(writer)


async def read_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads some of the upload between the part and the reset."""
    await reader.readexactly(1000)
    reset_connection(writer)


async def end_and_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Ends the answer's stream and reads the upload on until the peer closes."""
    writer.write_eof()
    while await reader.read(len(PIECE)):
        pass


ENDS: tuple[Peer, ...] = (reset, reset_read_part, close_unread, end_and_reset, read_and_reset)


class BrokenAnswers(unittest.IsolatedAsyncioTestCase):
    async def _listen(self, peer: Peer) -> int:
        """Returns the port of a server that reads a head and then does as `peer`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await reader.readuntil(b"\r\n\r\n")
                await peer(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # the client has left, or the test has ended
            finally:
                writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _upload(self, end: Peer, part: bytes, pieces: int) -> bytes:
        """Returns the body of an answer of a part without length that `end` ends early.

        The sender stops after some pieces of its body, with the rest still to come.
        """

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(OPEN_ENDED + part)
            await writer.drain()
            await end(reader, writer)

        left = pieces

        async def read_chunk() -> bytes:
            nonlocal left
            if left == 0:
                await asyncio.Event().wait()
            left -= 1
            return PIECE

        pool = ConnectionPool(HOST, TIMEOUT_S)
        port = await self._listen(answer)
        connection = await pool.acquire(HOST, port)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                connection.send_request_head(UPLOAD)
                await stream_body(connection, read_chunk, is_chunked=False)
                await connection.head()
                body = b"".join([chunk async for chunk in connection.body()])
                await pool.check_end(HOST, port, connection)
                return body
        finally:
            pool.release(HOST, port, connection)
            pool.close()

    # Guards against the part that arrived before a reset being taken for the whole answer.
    async def test_reset_within_an_upload_breaks_an_answer_without_a_length(self) -> None:
        for end in ENDS:
            for part in (b"", b"a part", bytes(300_000), bytes(2_000_000)):
                for pieces in (1, 400):
                    with (
                        self.subTest(end.__name__, part=len(part), pieces=pieces),
                        self.assertRaises(BrokenAnswer),
                    ):
                        await self._upload(end, part, pieces)

    async def test_reset_beside_an_upload_that_was_handed_over_breaks_the_answer(self) -> None:
        """The server has the whole upload in its buffers, and reads none of it."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            transport = writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.pause_reading()
            writer.write(OPEN_ENDED + b"a part")
            await end(reader, writer)

        for end in ENDS:
            if end is read_and_reset:
                continue
            with self.subTest(end.__name__), self.assertRaises(BrokenAnswer):
                connection = await ConnectionPool(HOST, TIMEOUT_S).acquire(
                    HOST, await self._listen(answer)
                )
                body = bytes(200_000)
                head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
                try:
                    connection.send_request_head(head + body)
                    async with asyncio.timeout(TIMEOUT_S):
                        async for _ in connection.body():
                            pass
                finally:
                    connection.close()

    async def test_answer_whose_endpoint_reads_on_is_whole(self) -> None:
        for part in (b"", b"a part", bytes(300_000)):
            for pieces in (1, 400):
                with self.subTest(part=len(part), pieces=pieces):
                    self.assertEqual(await self._upload(end_and_read, part, pieces), part)

    # Guards against a request being answered with what is no answer: a status of 000 was.
    async def test_start_line_that_is_none_breaks_the_answer(self) -> None:
        for line in START_LINES:
            with self.subTest(line[:60]):
                connection, transport = open_connection()
                connection.data_received(line + b"\r\nContent-Length: 2\r\n\r\nok")
                with self.assertRaises(BrokenAnswer):
                    await connection.head()
                self.assertFalse(connection.reusable)
                transport.abort.assert_called()

    async def test_statuses_of_the_protocol_are_answers(self) -> None:
        for status in (200, 299, 300, 404, 418, 499, 500, 599):
            connection, _ = open_connection()
            connection.data_received(b"HTTP/1.0 %d\r\nContent-Length: 0\r\n\r\n" % status)
            self.assertEqual((await connection.head()).status, status)

    async def _call(self, content: bytes, end: Peer) -> CallAnswer | CallFailure:
        """Returns the result of a short call that is answered with some bytes."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(content)
            await writer.drain()
            await end(reader, writer)

        port = await self._listen(answer)
        client = HttpClient(HOST)
        self.addCleanup(client.close)
        return await client.call(HOST, port, "POST", "/", bytes(8_000_000), timeout_s=TIMEOUT_S)

    async def test_short_call_without_a_whole_answer_fails(self) -> None:
        for end in ENDS:
            with self.subTest(end.__name__):
                result = await self._call(OPEN_ENDED + b"a part", end)
                self.assertIsInstance(result, CallFailure)
        for line in START_LINES:
            with self.subTest(line[:60]):
                result = await self._call(line + b"\r\nContent-Length: 2\r\n\r\nok", end_and_read)
                self.assertIsInstance(result, CallFailure)
                assert isinstance(result, CallFailure)
                self.assertTrue(result.sent)

    # Guards against a part of an answer being used when the server ends with it.
    async def test_short_call_to_a_server_that_ends_within_its_answer_fails(self) -> None:
        servers: list[asyncio.Server] = []

        async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            servers[0].close()
            writer.write(OPEN_ENDED + b"a part")
            writer.close()

        servers.append(await asyncio.start_server(end, HOST, 0))
        client = HttpClient(HOST)
        self.addCleanup(client.close)
        port = servers[0].sockets[0].getsockname()[1]
        result = await client.call(HOST, port, "GET", "/", timeout_s=TIMEOUT_S)
        self.assertIsInstance(result, CallFailure)


class UnreadBodyPaused(unittest.IsolatedAsyncioTestCase):
    # Guards against bytes that were read before a reset passing for the end of the answer.
    async def test_lost_connection_with_buffered_bytes_breaks_the_answer(self) -> None:
        for error in (ConnectionResetError(), BrokenPipeError(), None):
            connection: Connection
            connection, transport = open_connection()
            connection.sending_body = True
            connection.data_received(OPEN_ENDED + bytes(300_000))
            connection.eof_received()
            connection.connection_lost(error)
            with self.subTest(repr(error)), self.assertRaises(BrokenAnswer):
                async for _ in connection.body():
                    pass
