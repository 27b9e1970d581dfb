"""Requests whose bytes come without end, in each element, until the daemon closes."""

import asyncio
import unittest
from unittest.mock import Mock

from lycheepin.transport.caller_connection import ELEMENT_MARGIN_BYTES, CallerConnection
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener
from lycheepin.transport.progress_limit import SLICE_BYTES

START = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
# The start of a request, and the bytes that follow it without end.
ENDLESS = {
    "method": (b"", b"A" * 64),
    "target": (b"GET /", b"a" * 64),
    "header name": (START, b"a" * 64),
    "header value": (START + b"X-A: ", b"a" * 64),
    "headers": (START, b"X-A: 1\r\n" * 8),
    "chunk size": (CHUNKED, b"0" * 64),
    "chunk extension": (CHUNKED + b"5;", b"a" * 64),
    "trailer": (CHUNKED + b"0\r\nX-A: ", b"a" * 64),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 8),
    "empty lines": (b"", b"\r\n" * 32),
}
PIECE_BYTES = 64 * 1024


class EndlessRequest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_is_closed_after_a_bounded_number_of_bytes(self) -> None:
        async def handle(request: IncomingRequest) -> None:
            await request.read_up_to(PIECE_BYTES)
            await asyncio.Event().wait()

        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                listener = Listener(handle)
                limit = listener.limits.max_header_bytes + ELEMENT_MARGIN_BYTES + SLICE_BYTES
                transport = Mock(spec=asyncio.Transport)
                transport.is_closing.return_value = False
                transport.get_write_buffer_size.return_value = 0
                connection = CallerConnection(listener)
                connection.connection_made(transport)
                connection.data_received(start)
                piece = repeated * (PIECE_BYTES // len(repeated))
                taken = 0
                while not transport.close.called and taken < 4 * limit + PIECE_BYTES:
                    connection.data_received(piece)
                    await asyncio.sleep(0)
                    taken += len(piece)
                self.assertLessEqual(taken, 2 * limit + PIECE_BYTES)
                self.assertTrue(transport.close.called)
                connection.connection_lost(None)
                await asyncio.sleep(0)
