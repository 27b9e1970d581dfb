"""A request from a caller, whose body may still be arriving, and its answer."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from http import HTTPStatus
from itertools import islice
from typing import Protocol

from lycheepin.transport.headers import Headers

__all__ = [
    "MAX_BUFFERED_BODY_BYTES",
    "REASONS",
    "BodyRefused",
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
# Memory in bytes of a request without headers, and of a header beside its name and value. A name is
# kept twice.
REQUEST_BYTES = 2048
HEADER_BYTES = 300
# Headers that a request whose body is refused keeps.
MAX_REFUSED_HEADERS = 32
# How often a whole body is in memory while it is sent on.
BODY_COPIES = 2
_NO_BODY_STATUSES = (204, 304)
# Scheme and host of a target that names them, as requests to a proxy do.
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?]*)", re.IGNORECASE)


class BodyRefused(Exception):
    """The body is not read to its end, because memory is short; the request hasn't been sent."""


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

    def observe_held(self) -> None:
        """Notes that a request holds more or less memory."""

    def closes_after(self, request: IncomingRequest) -> bool:
        """Returns whether the connection is closed after the answer to a request."""

    def end_answer(self, request: IncomingRequest) -> None:
        """Ends an answer; closes the connection unless it is kept alive."""

    def abort(self) -> None:
        """Closes the connection immediately."""


class IncomingRequest:
    """A request from a caller, whose body may still be arriving, and its answer.

    `awaits_body` is true before the request is handled, and while it waits for its body and has not
    been sent anywhere; `body_refused` once it has been told that its body is not read.
    `held_bytes` is the memory that it takes. Its caller is cut off when it reads nothing of the
    answer for `unread_limit_s`, if that is set.
    """

    def __init__(self, connection: RequestConnection, arrival_s: float) -> None:
        self._connection = connection
        self._content = bytearray()
        self._body_waiter: asyncio.Future[None] | None = None
        self.body_refused = False
        self.held_bytes = REQUEST_BYTES
        self.awaits_body = True
        self.unread_limit_s: float | None = None
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

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; the last one of a name is found by it."""
        self.headers.append((name, value))
        self.headers_by_name[name.lower()] = value
        self.held_bytes += HEADER_BYTES + 2 * len(name) + len(value)

    @property
    def buffered_bytes(self) -> int:
        """The bytes of the body that have arrived and were not read."""
        return len(self._content)

    def release(self) -> None:
        """Forgets headers and body of a request that has been handled."""
        self.headers = []
        self.headers_by_name = {}
        self._content.clear()
        self.held_bytes = REQUEST_BYTES

    def hold(self, size: int) -> None:
        """Counts bytes that are held for the request until it has been handled."""
        self.held_bytes += size
        self._connection.observe_held()

    def feed_body(self, chunk: bytes) -> int:
        """Adds a part of the body; returns the number of buffered bytes."""
        self._content += chunk
        self.held_bytes += len(chunk)
        self._wake_reader()
        return len(self._content)

    def end_body(self) -> None:
        """Marks the body as complete."""
        self.body_complete = True
        self._wake_reader()

    def refuse_body(self) -> None:
        """Ends the wait for the body with BodyRefused, and forgets what has arrived.

        The refusal may need some of the headers. Requests behind it are forgotten with it, so the
        connection is closed after the answer.
        """
        self.body_refused = True
        self.keep_alive = False
        needed = dict(islice(self.headers_by_name.items(), MAX_REFUSED_HEADERS))
        self.release()
        self.headers_by_name = needed
        self._wake_reader()

    def _wake_reader(self) -> None:
        """Wakes the task that waits for the body."""
        if self._body_waiter is not None and not self._body_waiter.done():
            self._body_waiter.set_result(None)

    async def read_chunk(self) -> bytes:
        """Returns the next part of the body; empty at the end of the body.

        A caller that waits to be asked for the body is asked when it is first needed. Raises
        BodyRefused if the body is refused.
        """
        while self.body_refused or not self._content:
            if self.body_refused:
                raise BodyRefused
            if self.body_complete:
                return b""
            if self.awaits_continue:
                self.awaits_continue = False
                self._connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._body_waiter = asyncio.get_running_loop().create_future()
            await self._body_waiter
        chunk = bytes(self._content)
        self._content = bytearray()
        self.held_bytes -= len(chunk)
        self._connection.resume_reading(0)
        return chunk

    async def read_up_to(self, limit: int) -> RequestBody:
        """Returns the whole body, or if it exceeds `limit` bytes, a first part that exceeds it.

        Raises BodyRefused if the body is refused.
        """
        content = bytearray()
        self.awaits_body = True
        try:
            while len(content) <= limit:
                chunk = await self.read_chunk()
                if not chunk:
                    self.hold((BODY_COPIES - 1) * len(content))
                    return WholeBody(bytes(content))
                content += chunk
                self.hold(len(chunk))
            return BodyStart(bytes(content))
        finally:
            self.awaits_body = False

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
            self.keep_alive = False
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
