"""A request from a caller, whose body may still be arriving, and its answer."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from lycheepin.transport.headers import Headers

__all__ = [
    "MAX_BUFFERED_BODY_BYTES",
    "REASONS",
    "BodyStart",
    "IncomingRequest",
    "RequestBody",
    "RequestConnection",
    "WholeBody",
]

# Longest body that is buffered before the request is sent, so that it can be sent again.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024
# Reason phrase of each HTTP status.
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_NO_BODY_STATUSES = (204, 304)
# Scheme and host of a target that names them, as requests to a proxy do.
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?]*)", re.IGNORECASE)


@dataclass(frozen=True)
class WholeBody:
    """A body that has arrived to its end."""

    content: bytes


@dataclass(frozen=True)
class BodyStart:
    """The first part of a body; the rest, which may be empty, is read from its request."""

    content: bytes


RequestBody = WholeBody | BodyStart


class RequestConnection(Protocol):
    """The connection on which a request was received."""

    @property
    def caller_host(self) -> str:
        """The network address of the caller, without its port."""

    def write(self, data: bytes) -> None:
        """Writes bytes to the caller."""

    async def drain(self) -> None:
        """Waits while the write buffer is full; raises ConnectionError if the caller has left."""

    def resume_reading(self, buffered: int) -> None:
        """Resumes reading if only a few bytes of the body are buffered."""

    def closes_after(self, request: IncomingRequest) -> bool:
        """Returns whether the connection is closed after the answer to a request."""

    def end_answer(self, request: IncomingRequest) -> None:
        """Ends an answer; closes the connection unless it is kept alive."""

    def abort(self) -> None:
        """Closes the connection immediately."""


class IncomingRequest:
    """A request from a caller, whose body may still be arriving, and its answer."""

    def __init__(self, connection: RequestConnection, arrival_s: float) -> None:
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._body_changed = asyncio.Event()
        self.arrival_s = arrival_s
        self.method = b"GET"
        self.target = b""
        self.headers: Headers = []
        self.headers_by_name: dict[bytes, bytes] = {}
        self.body_complete = False
        self.answered = False
        self.keep_alive = True
        self.awaits_continue = False
        self._chunked = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its lower-case name, or None."""
        return self.headers_by_name.get(name)

    @property
    def caller_host(self) -> str:
        """The network address of the caller, without its port."""
        return self._connection.caller_host

    @property
    def host(self) -> str:
        """The host that the request names, in lower case and without its port."""
        host = (self.header(b"host") or b"").decode("latin-1")
        return host.partition(":")[0].rstrip(".").lower()

    @property
    def path(self) -> str:
        """The path of the target, without its query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def remove_host_from_target(self) -> None:
        """Moves the host of a target that names one, as requests to a proxy do, to its header."""
        absolute = _ABSOLUTE_FORM.match(self.target)
        if absolute is None:
            return
        rest = self.target[absolute.end() :]
        self.target = rest if rest.startswith(b"/") else b"/" + rest
        self.headers = [(n, v) for n, v in self.headers if n.lower() != b"host"]
        self.headers.insert(0, (b"Host", absolute[1]))
        self.headers_by_name[b"host"] = absolute[1]

    def feed_body(self, chunk: bytes) -> int:
        """Adds a part of the body; returns the number of buffered bytes."""
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._body_changed.set()
        return self._buffered

    def end_body(self) -> None:
        """Marks the body as complete."""
        self.body_complete = True
        self._body_changed.set()

    async def read_chunk(self) -> bytes:
        """Returns the next part of the body; empty at the end of the body.

        A caller that waits to be asked for the body is asked when it is first needed.
        """
        while not self._chunks:
            if self.body_complete:
                return b""
            if self.awaits_continue:
                self.awaits_continue = False
                self._connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._body_changed.clear()
            await self._body_changed.wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        self._connection.resume_reading(self._buffered)
        return chunk

    async def read_up_to(self, limit: int) -> RequestBody:
        """Returns the whole body, or if it exceeds `limit` bytes, a first part that exceeds it."""
        parts: list[bytes] = []
        size = 0
        while size <= limit:
            chunk = await self.read_chunk()
            if not chunk:
                return WholeBody(b"".join(parts))
            parts.append(chunk)
            size += len(chunk)
        return BodyStart(b"".join(parts))

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer."""
        self.start_answer(status, headers, len(body))
        if self.method != b"HEAD" and body:
            self._connection.write(body)
        self._connection.end_answer(self)

    def start_answer(self, status: int, headers: Headers, length: int | None) -> None:
        """Sends the head of an answer; if `length` is None, the body is sent in chunks.

        The answer to HEAD has no body, and its headers may name the length of the one for GET.
        """
        self.answered = True
        has_body = self.method != b"HEAD" and status not in _NO_BODY_STATUSES
        self._chunked = has_body and length is None
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))]
        lines += [name + b": " + value for name, value in headers]
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif has_body:
            lines.append(b"Content-Length: %d" % (length or 0))
        if self._connection.closes_after(self):
            lines.append(b"Connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of an answer's body; waits while the caller reads slowly."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        await self._connection.drain()

    def finish_answer(self) -> None:
        """Ends an answer that was sent in parts."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._connection.end_answer(self)

    def abort(self) -> None:
        """Closes the connection, so that the caller sees that the answer is incomplete."""
        self._connection.abort()
