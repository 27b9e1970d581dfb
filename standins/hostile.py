"""Stand-in of an endpoint that does what the platform's pages allow, as its switches say."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.messages import read_body, read_head
from standins.servers import (
    EndpointStandIn,
    ReceivedRequest,
    Script,
    answer_ok,
    build_answer,
    reset_connection,
)
from standins.switches import SwitchBoard

__all__ = ["HostileEndpoint"]

# Bodies that an endpoint may answer before it has read them.
EARLY_BYTES = 65_536
# Longest time in seconds from an answer to an extra one.
EXTRA_DELAY_S = 0.1
# Size of the pieces of what has no end, and the pause after each in seconds.
ENDLESS_BYTES = 4096
ENDLESS_PAUSE_S = 0.005
# Size of an answer whose end comes with its connection, up to which it is sent in one piece.
PART_BYTES = 300
UNLIMITED = 1_000_000
# Start lines of bytes that are no answer.
START_LINES = (
    b"\x00\x01 not an answer",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 2000 OK",
)
ODD_HEADERS = (
    b"Server-Load: -1,zz",
    b"Server-Load: 1,%s,4" % (b"9" * 400),
    b"Keep-Alive: timeout=%s" % (b"9" * 30),
    b"Keep-Alive: max, timeout",
    b"Server-Limit: nan",
    b"X-Odd:  \xff\xfe \t",
)
# Reports of load with too few and too many numbers, with odd ones, and of machines at any speed.
LOAD_REPORTS = (
    b"1,0",
    b"2,1,4",
    b"2,1,4,100",
    b" 2 , 1 , 4 , 700 ",
    b"2,1,4,0",
    b"2,1,4,-50",
    b"2,1,4,1e9",
    b"2,1,4," + b"9" * 30,
    b"2,1,4,",
    b"2,1,4,100,3",
    b"2,1,4,100,,x",
)
INTERIM_HEADS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\nRequest-Id: other\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nNot-Executed: 1\r\n\r\n",
)


class HostileEndpoint(EndpointStandIn):
    """An endpoint whose answers are sent in the ways that its board's switches say.

    `on_whole` is called with each request whose answer was sent to its end.
    """

    def __init__(
        self,
        host: str,
        board: SwitchBoard,
        script: Script = answer_ok,
        on_whole: Callable[[ReceivedRequest], None] = lambda received: None,
    ) -> None:
        super().__init__(host, script)
        self.board = board
        self.on_whole = on_whole
        self._random = random.Random(host)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection, one at a time."""
        self.accepted_connections += 1
        try:
            if len(self.open_connections) >= self.board.count(
                "endpoint.max-connections", UNLIMITED
            ):
                return
            self.open_connections.add(writer)
            while await self._exchange(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, TimeoutError, asyncio.CancelledError):
            return  # the peer has closed the connection, it was idle, or the stand-in is closed
        finally:
            self.open_connections.discard(writer)
            writer.transport.abort()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers the next request; returns whether the connection stays open."""
        idle_s = self.board.dose("endpoint.hidden-idle") or self.board.dose("endpoint.keep-alive")
        async with asyncio.timeout(idle_s or None):
            start_line, headers = await read_head(reader)
        method, target, _ = start_line.split(" ")
        number = len(self.received_requests)
        received = ReceivedRequest(method, target, headers, b"", number, writer, False)
        is_long = int(headers.get("content-length", "0")) > EARLY_BYTES
        if is_long and self.board.happens("endpoint.early"):
            self.received_requests.append(received)
            await self._deliver(received, await self.script(received))
            await read_body(reader, headers)
            return True
        received.body, received.body_read = await read_body(reader, headers), True
        self.received_requests.append(received)
        content = await self._run_script(received, reader)
        return bool(content) and await self._deliver(received, content)

    async def _deliver(self, received: ReceivedRequest, content: bytes) -> bool:
        """Sends an answer in one of the allowed ways; returns whether the connection stays open.

        What the script has added behind the answer is sent as it is.
        """
        board, writer = self.board, received.writer
        head, _, body = content.partition(b"\r\n\r\n")
        length = _read_length(head)
        body, added = body[:length], body[length:]
        if not content.startswith(b"HTTP/"):
            writer.write(content)
            return False
        if board.happens("endpoint.garbage"):
            writer.write(self._random.choice(START_LINES) + content[content.index(b"\r\n") :])
            return False
        if board.happens("endpoint.endless"):
            await self._send_without_end(writer, head)
            return False
        if board.happens("endpoint.truncate"):
            writer.write(content[: self._random.randrange(len(content))])
            await writer.drain()
            return False
        if board.happens("endpoint.interim"):
            writer.write(b"".join(self._random.choices(INTERIM_HEADS, k=3)))
        if board.happens("endpoint.odd-headers"):
            head += b"\r\n" + self._random.choice(ODD_HEADERS)
        if board.happens("endpoint.load-reports"):
            head = _remove_header(head, b"server-load:")
            head += b"\r\nServer-Load: " + self._random.choice(LOAD_REPORTS)
        if timeout_s := board.dose("endpoint.keep-alive"):
            head += b"\r\nKeep-Alive: timeout=%d" % timeout_s
        resets = board.happens("endpoint.reset-no-length")
        if resets or board.happens("endpoint.no-length"):
            return await self._end_with_connection(received, head, body, resets)
        closes = board.happens("endpoint.close")
        if closes:
            head += b"\r\nConnection: close"
        if board.happens("endpoint.chunks"):
            content = _remove_length(head) + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
            content += self._encode_chunks(body)
        else:
            content = head + b"\r\n\r\n" + body
        writer.write(content + added)
        try:
            async with asyncio.timeout(board.dose("endpoint.cut-unread") or None):
                await writer.drain()
        except TimeoutError:
            return False
        self.on_whole(received)
        if board.happens("endpoint.extra-answers"):
            extra = self._build_extra(received, content)
            delay_s = EXTRA_DELAY_S * self._random.random()
            asyncio.get_running_loop().call_later(delay_s, writer.write, extra)
        return not closes

    async def _end_with_connection(
        self, received: ReceivedRequest, head: bytes, body: bytes, resets: bool
    ) -> bool:
        """Sends an answer without a length, whole or reset in its middle; returns False.

        Beside a body that was not read, the stream may end before the reset.
        """
        writer = received.writer
        writer.write(_remove_length(head) + b"\r\n\r\n")
        if resets:
            writer.write(body[:PART_BYTES])
            if not received.body_read and self._random.random() < 0.5:
                writer.write_eof()
            await asyncio.sleep(EXTRA_DELAY_S)
            reset_connection(writer)
            return False
        writer.write(body)
        writer.write_eof()
        await writer.drain()
        self.on_whole(received)
        await asyncio.sleep(EXTRA_DELAY_S)
        return False

    async def _send_without_end(self, writer: asyncio.StreamWriter, head: bytes) -> None:
        """Sends a head or a trailer that never ends, until the peer closes the connection."""
        if self._random.random() < 0.5:
            head = _remove_length(head) + b"\r\nTransfer-Encoding: chunked\r\n\r\n0"
        writer.write(head)
        while not writer.transport.is_closing():
            writer.write(b"\r\nX-More: " + b"x" * ENDLESS_BYTES)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    def _encode_chunks(self, body: bytes) -> bytes:
        """Returns a chunked body with chunks of odd sizes, an extension and trailers."""
        parts = []
        while body:
            size = self._random.randint(1, max(1, len(body) // 2))
            parts.append(b"%x;note=1\r\n%b\r\n" % (size, body[:size]))
            body = body[size:]
        return b"".join(parts) + b"0\r\nNot-Executed: 1\r\nRequest-Id: other\r\n\r\n"

    def _build_extra(self, received: ReceivedRequest, content: bytes) -> bytes:
        """Returns an answer that belongs to no request."""
        return self._random.choice(
            (
                content,
                build_answer(received, 503, b"", Not_Executed="1", Request_Id=""),
                build_answer(received, 503, b"", Not_Executed="1"),
                build_answer(received, 200, b"other", Request_Id="other"),
            )
        )


def _read_length(head: bytes) -> int:
    """Returns the length of the body that a head names."""
    names = (line.partition(b":") for line in head.split(b"\r\n"))
    return next((int(v) for n, _, v in names if n.lower() == b"content-length"), 0)


def _remove_length(head: bytes) -> bytes:
    """Returns a head without the length of the body."""
    return _remove_header(head, b"content-length:")


def _remove_header(head: bytes, start: bytes) -> bytes:
    """Returns a head without the lines that begin with a name in lower case and a colon."""
    lines = head.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(start))
