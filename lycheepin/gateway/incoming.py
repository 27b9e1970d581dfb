"""One request of a caller, and the way to answer it."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import Protocol

from lycheepin.transport.connection import Headers

__all__ = ["REASONS", "IncomingRequest", "RequestConnection"]

# Reason phrase of each status, as bytes.
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_NO_BODY_STATUSES = (204, 304)


class RequestConnection(Protocol):
    """The connection on which a request came, as the request sees it."""

    def write(self, data: bytes) -> None:
        """Hands bytes to the socket."""

    async def drain(self) -> None:
        """Waits while the caller does not read; raises ConnectionError when it has left."""

    def resume_body(self, held: int) -> None:
        """Goes on reading when a request has taken its body in; `held` bytes are left of it."""

    def closes_after(self, request: IncomingRequest) -> bool:
        """Returns whether the connection closes after the answer to a request."""

    def end_answer(self, request: IncomingRequest) -> None:
        """Goes on with the next request, or closes."""

    def abort(self) -> None:
        """Closes at once."""


class IncomingRequest:
    """One request of a caller, and the way to answer it."""

    def __init__(self, connection: RequestConnection, arrival_s: float) -> None:
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._wake = asyncio.Event()
        self.arrival_s = arrival_s
        self.method = b"GET"
        self.target = b""
        self.headers: Headers = []
        self.names: dict[bytes, bytes] = {}
        self.body_complete = False
        self.answered = False
        self.keep_alive = True

    def header(self, name: bytes) -> bytes | None:
        """Returns a header by its lower-case name, or None."""
        return self.names.get(name)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def feed(self, chunk: bytes) -> int:
        """Adds a part of the body; returns the bytes held."""
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._wake.set()
        return self._buffered

    def end_body(self) -> None:
        """Marks the body as complete."""
        self.body_complete = True
        self._wake.set()

    async def read(self) -> bytes:
        """Returns the next part of the body; empty at its end."""
        while not self._chunks:
            if self.body_complete:
                return b""
            self._wake.clear()
            await self._wake.wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        self._connection.resume_body(self._buffered)
        return chunk

    async def read_up_to(self, limit: int) -> bytes:
        """Returns the body, or its first part once that is over `limit` bytes."""
        parts: list[bytes] = []
        size = 0
        while size <= limit:
            chunk = await self.read()
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""
        self.start_answer(status, headers, len(body))
        if self.method != b"HEAD" and body:
            self._connection.write(body)
        self._connection.end_answer(self)

    def start_answer(self, status: int, headers: Headers, length: int | None) -> None:
        """Sends the head of an answer; without a length the body goes in chunks."""
        self.answered = True
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))]
        lines += [name + b": " + value for name, value in headers]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        elif status not in _NO_BODY_STATUSES:
            lines.append(b"Content-Length: %d" % length)
        if self._connection.closes_after(self):
            lines.append(b"Connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def send_chunk(self, data: bytes) -> None:
        """Sends one chunk of an answer without a length, waiting while the caller is slow."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.drain()

    def finish(self) -> None:
        """Ends an answer without a length."""
        self._connection.write(b"0\r\n\r\n")
        self._connection.end_answer(self)

    def abort(self) -> None:
        """Closes the caller's connection, so that an unfinished answer is seen as one."""
        self._connection.abort()
