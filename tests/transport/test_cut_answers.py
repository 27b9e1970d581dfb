"""Answers of a server that stops at any byte of them and closes the connection."""

import unittest

from lycheepin.transport.connection import BrokenAnswer
from tests.transport.connections import open_connection

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nX-Note: a:b\r\n"
# Answers, and how many of their bytes are needed before their end can't be told from a whole one.
ANSWERS = {
    "length": (HEAD + b"Content-Length: 12\r\n\r\nabcdefghijkl", 0),
    "length of none": (HEAD + b"Content-Length: 0\r\n\r\n", 0),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 0),
    "after an interim head": (b"HTTP/1.1 103 Hint\r\nLink: x\r\n\r\n" + HEAD + b"\r\nabc", 3),
    "no length": (HEAD + b"\r\nabcdef", 6),
}


async def read_whole(content: bytes) -> bytes:
    """Returns the body of an answer after which the connection is closed.

    Raises BrokenAnswer if it is not whole.
    """
    connection, _ = open_connection()
    if content:
        connection.data_received(content)
    connection.eof_received()
    connection.connection_lost(None)
    await connection.head()
    return b"".join([chunk async for chunk in connection.body()])


class AnswerThatStopsInItsHeadIsTakenForWhole(unittest.IsolatedAsyncioTestCase):
    async def test_answer_is_broken_wherever_it_stops(self) -> None:
        for name, (content, open_ended) in ANSWERS.items():
            for size in range(len(content) - open_ended):
                with self.subTest(name, size=size), self.assertRaises(BrokenAnswer):
                    await read_whole(content[:size])
            await read_whole(content)
