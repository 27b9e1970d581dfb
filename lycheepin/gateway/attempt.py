"""One attempt to have a request run at an endpoint: send it, wait, and say what is certain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lycheepin.errors import ErrorKind
from lycheepin.gateway.header_names import HeaderNames
from lycheepin.gateway.incoming import IncomingRequest
from lycheepin.steering.fleet import Endpoint, EndpointRegistry
from lycheepin.steering.progress import NotRun, OutcomeUnknown
from lycheepin.transport.connection import AnswerHead, BrokenAnswer, Connection, ConnectionPool
from lycheepin.transport.headers import strip_hop_by_hop

__all__ = ["Answered", "Attempt", "Attempts"]

# Bytes of an answer that are held back until it is known to be whole.
HELD_ANSWER_BYTES = 1024 * 1024
# Part of an endpoint's announced idle timeout for which a connection is kept: the rest covers the
# time that a request needs to get there.
IDLE_PART = 0.7
# Idle time in seconds for which a connection is kept when nothing was announced.
DEFAULT_IDLE_S = 4.0
# Seconds between two looks at whether a silent attempt can be made elsewhere.
LOOK_AGAIN_S = 0.1
MS_PER_S = 1000
_BODILESS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


@dataclass(frozen=True)
class Answered:
    """The endpoint's answer; `connection` still delivers the rest of a large body."""

    head: AnswerHead
    body: bytes
    connection: Connection | None = None


Attempt = Answered | NotRun | OutcomeUnknown


class Attempts:
    """Makes attempts over pooled connections."""

    def __init__(
        self, fleet: EndpointRegistry, pool: ConnectionPool, header_names: HeaderNames
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._header_names = header_names

    async def make(
        self,
        request: IncomingRequest,
        body: bytes,
        endpoint: Endpoint,
        deadline_s: float,
        may_give_up: Callable[[], bool],
    ) -> Attempt:
        """Returns how an attempt ended; its connection is closed when the caller leaves.

        An attempt at an endpoint that has fallen silent ends early if `may_give_up` says so then.
        """
        loop = asyncio.get_running_loop()
        record = endpoint.record
        endpoint.start_request(loop.time())
        connection: Connection | None = None
        attempt: Attempt | None = None
        watch: _SilenceWatch | None = None
        try:
            async with asyncio.timeout_at(deadline_s) as timer:
                connection = await self._pool.acquire(record.address, record.port)
                started_s = loop.time()
                watch = _SilenceWatch(self._fleet, endpoint, timer, may_give_up)
                attempt = await self._run(connection, request, body, endpoint, deadline_s)
            if isinstance(attempt, Answered):
                self._fleet.observe_answer(endpoint, loop.time(), loop.time() - started_s)
        except (BrokenAnswer, OSError, TimeoutError) as error:
            attempt = self._classify(connection, error, loop.time() >= deadline_s)
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        finally:
            heard = isinstance(attempt, Answered) or (isinstance(attempt, NotRun) and attempt.sent)
            endpoint.end_request(loop.time(), heard)
            if watch is not None:
                watch.cancel()
        if connection is not None and not _streams(attempt):
            self._pool.release(record.address, record.port, connection)
        return attempt

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keeps or closes the connection of an answer that has been read to its end."""
        self._pool.release(endpoint.record.address, endpoint.record.port, connection)

    @staticmethod
    def _classify(connection: Connection | None, error: Exception, expired: bool) -> Attempt:
        """Returns what is certain after an error."""
        sent = connection is not None and connection.sent
        if connection is not None:
            connection.close()
        if not sent:
            return NotRun(ErrorKind.DEADLINE if expired else ErrorKind.ENDPOINT_UNREACHABLE, False)
        if expired or isinstance(error, TimeoutError):
            return OutcomeUnknown(ErrorKind.ENDPOINT_TIMEOUT)
        return OutcomeUnknown(ErrorKind.ENDPOINT_BROKE)

    async def _run(
        self,
        connection: Connection,
        request: IncomingRequest,
        body: bytes,
        endpoint: Endpoint,
        deadline_s: float,
    ) -> Attempt:
        """Sends the request and returns the answer, or that it did not run."""
        identifier = request.header(self._header_names.request_id)
        left_s = deadline_s - asyncio.get_running_loop().time()
        connection.send_request_head(
            self._head(request, body, endpoint, left_s) + body,
            no_body=request.method == b"HEAD",
            accept=lambda head: self._is_own(head, identifier),
        )
        if not request.body_complete:
            await _stream_body(connection, request)
        head = await connection.head()
        connection.idle_limit_s = _idle_limit_s(head)
        full = self._observe_load(endpoint, head)
        if head.header(self._header_names.not_run) is not None or head.status == 421:
            await _drain_body(connection)
            kind = ErrorKind.ENDPOINT_REPLACED if head.status == 421 else ErrorKind.ENDPOINT_SHED
            return NotRun(kind, True, full)
        if head.status < 300 and head.header(self._header_names.signature) is None:
            raise BrokenAnswer("success without a signature")
        return await _read_answer(connection, head)

    def _is_own(self, head: AnswerHead, identifier: bytes | None) -> bool:
        """Returns whether an answer belongs to the request that was sent last."""
        echoed = head.header(self._header_names.request_id)
        return echoed is None or identifier is None or echoed == identifier

    def _observe_load(self, endpoint: Endpoint, head: AnswerHead) -> bool:
        """Takes in the load that an answer reports; returns whether all slots were in use.

        An answer without a report, or with a malformed one, tells nothing of free slots.
        """
        value = head.header(self._header_names.load)
        parts = value.split(b",") if value is not None else []
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return True
        running, waiting, slots = (int(part) for part in parts)
        now_s = asyncio.get_running_loop().time()
        endpoint.observe_load(now_s, running, waiting)
        return running + waiting >= slots

    def _head(
        self, request: IncomingRequest, body: bytes, endpoint: Endpoint, left_s: float
    ) -> bytes:
        """Returns the head of the request as sent to an endpoint."""
        header_names = self._header_names
        replaced = (b"content-length", header_names.time_left, header_names.expected_endpoint)
        lines = [request.method + b" " + request.target + b" HTTP/1.1"]
        lines += [
            name + b": " + value
            for name, value in strip_hop_by_hop(request.headers)
            if name.lower() not in replaced
        ]
        lines.append(header_names.time_left + b": %d" % max(1, int(left_s * MS_PER_S)))
        lines.append(header_names.expected_endpoint + b": " + endpoint.record.id.encode())
        if request.body_complete:
            if body or request.method not in _BODILESS:
                lines.append(b"content-length: %d" % len(body))
        else:
            length = request.header(b"content-length")
            lines.append(b"content-length: " + length if length else b"transfer-encoding: chunked")
            if not length:
                return b"\r\n".join(lines) + b"\r\n\r\n%x\r\n" % len(body)
        return b"\r\n".join(lines) + b"\r\n\r\n"


class _SilenceWatch:
    """Ends an attempt when nothing at all is heard from its endpoint."""

    def __init__(
        self,
        fleet: EndpointRegistry,
        endpoint: Endpoint,
        timer: asyncio.Timeout,
        may_give_up: Callable[[], bool],
    ) -> None:
        self._endpoint = endpoint
        self._may_give_up = may_give_up
        self._timer = timer
        self._loop = asyncio.get_running_loop()
        self._patience_s = fleet.unresponsive_limit_s(endpoint, self._loop.time())
        self._started_s = self._loop.time()
        self._handle = self._loop.call_later(self._patience_s, self._check)

    def cancel(self) -> None:
        """Ends the watch."""
        self._handle.cancel()

    def _check(self) -> None:
        """Ends the attempt if the endpoint has been silent since it began, else looks again."""
        now_s = self._loop.time()
        waited_s = min(now_s - self._started_s, self._endpoint.unresponsive_s(now_s))
        if waited_s >= self._patience_s and self._may_give_up():
            self._timer.reschedule(now_s)
        else:
            left_s = max(LOOK_AGAIN_S, self._patience_s - waited_s)
            self._handle = self._loop.call_later(left_s, self._check)


def _streams(attempt: Attempt | None) -> bool:
    """Returns whether the connection of an attempt still delivers its answer."""
    return isinstance(attempt, Answered) and attempt.connection is not None


def _idle_limit_s(head: AnswerHead) -> float:
    """Returns for how long the endpoint's connection may be kept idle, in seconds."""
    value = head.header(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.isdigit():
            return IDLE_PART * int(number)
    return DEFAULT_IDLE_S


async def _stream_body(connection: Connection, request: IncomingRequest) -> None:
    """Passes the rest of a long body on, until its end or an early answer."""
    chunked = request.header(b"content-length") is None
    if chunked:
        await connection.send_body(b"\r\n")
    while not connection.head_arrived:
        chunk = await request.read()
        if not chunk:
            if chunked:
                await connection.send_body(b"0\r\n\r\n")
            return
        await connection.send_body(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
    connection.close_after_use = True


async def _drain_body(connection: Connection) -> None:
    """Reads a body that nobody needs, so that the connection can be used again."""
    async for _ in connection.body():
        pass


async def _read_answer(connection: Connection, head: AnswerHead) -> Answered:
    """Returns a whole answer, or its first part with the connection when it is large."""
    parts: list[bytes] = []
    size = 0
    async for chunk in connection.body():
        parts.append(chunk)
        size += len(chunk)
        if size > HELD_ANSWER_BYTES:
            return Answered(head, b"".join(parts), connection)
    return Answered(head, b"".join(parts))
