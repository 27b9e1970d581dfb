"""One attempt at a request: sends it to an endpoint and returns the answer or the failure."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lycheepin.decoding import parse_count
from lycheepin.errors import ErrorKind
from lycheepin.gateway.answer_matcher import AnswerMatcher
from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.load_report import LoadReport, decode_load_report
from lycheepin.gateway.response_watchdog import ResponseWatchdog
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.holdings import Holdings
from lycheepin.steering.idle_connections import IdleConnectionLimits
from lycheepin.steering.progress import NotRun, OutcomeUnknown
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.transport.connection import AnswerHead, BrokenAnswer, Connection, ConnectionPool
from lycheepin.transport.headers import strip_hop_by_hop
from lycheepin.transport.incoming import BodyStart, IncomingRequest, RequestBody, WholeBody
from lycheepin.transport.shared_buffer import READ_BYTES
from lycheepin.transport.streaming import stream_body

__all__ = ["AttemptOutcome", "AttemptRunner", "EndpointAnswer"]

# Answer bodies up to this size are forwarded only once they are complete, so that a truncated one
# never reaches the caller.
MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
# The same when memory is short.
SMALL_ANSWER_BYTES = 64 * 1024
# Buffered bytes of a larger answer at which reading from the endpoint pauses.
STREAM_HIGH_WATER_BYTES = 32 * 1024
# What may have arrived of an answer before its first part is read.
FIRST_PART_BYTES = 2 * READ_BYTES
# Longest time in seconds for which a request waits for a socket when all are in use.
SOCKET_WAIT_S = 0.5
# Time in seconds before an endpoint's announced idle timeout from which a connection is not reused:
# a request could arrive after the endpoint has closed it. At least IDLE_TIMEOUT_FRACTION of the
# timeout is used.
IDLE_TIMEOUT_MARGIN_S = 1.5
IDLE_TIMEOUT_FRACTION = 0.7
# Idle time in seconds for which a connection is reused if the endpoint announces no timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
MS_PER_S = 1000
_BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")
# A limit on requests per second: digits, with a fraction or without.
_RATE_LIMIT = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


@dataclass(frozen=True)
class EndpointAnswer:
    """An endpoint's answer; a large body is still to be read from `connection`.

    `buffered_bytes` is the part of it that has arrived.
    """

    head: AnswerHead
    body: bytes
    connection: Connection | None = None
    buffered_bytes: int = 0


# Result of one attempt with the answer to send on; AttemptResult has only its status.
AttemptOutcome = EndpointAnswer | NotRun | OutcomeUnknown


class NoSocket(Exception):
    """No socket for an attempt has become free in time."""


class AttemptRunner:
    """Makes attempts over pooled connections and reports their results to the registry."""

    def __init__(
        self,
        registry: EndpointRegistry,
        pool: ConnectionPool,
        header_names: HeaderNames,
        rate_limits: RateLimits,
        log: DecisionLog,
        holdings: Holdings,
    ) -> None:
        self._holdings = holdings
        pool.on_lost = self._wake_waiter
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._registry = registry
        self._pool = pool
        self._header_names = header_names
        self._rate_limits = rate_limits
        self._log = log
        self._idle_limits = IdleConnectionLimits()

    async def make_attempt(
        self,
        request: IncomingRequest,
        body: RequestBody,
        endpoint: Endpoint,
        deadline_s: float,
        may_abandon: Callable[[], bool],
        on_head: Callable[[], None] = lambda: None,
    ) -> AttemptOutcome:
        """Sends a request to an endpoint and returns the outcome.

        `on_head` is called when the head of the answer has arrived.

        If the endpoint becomes unresponsive, the attempt ends early once `may_abandon` returns
        true. If the task is cancelled, because the caller has left, the connection is closed.
        """
        loop = asyncio.get_running_loop()
        record = endpoint.record
        endpoint.start_request(loop.time())
        connection: Connection | None = None
        started_s = loop.time()
        outcome: AttemptOutcome | None = None
        watchdog: ResponseWatchdog | None = None
        try:
            async with asyncio.timeout_at(deadline_s) as timer:
                if not await self.wait_for_socket(deadline_s):
                    raise NoSocket
                max_rest_s = self._idle_limits.max_rest_s(record.service, loop.time())
                connection = await self._pool.acquire(record.address, record.port, max_rest_s)
                started_s = loop.time()
                watchdog = ResponseWatchdog(self._registry, endpoint, timer, may_abandon)
                matcher = self._create_matcher(
                    connection, request, endpoint, timer, watchdog.limit_s
                )
                outcome = await self._send_request(
                    connection, request, body, endpoint, deadline_s, matcher, on_head
                )
            if isinstance(outcome, EndpointAnswer):
                report = self._decode_load(outcome.head)
                slowness = report.slowness if report is not None else None
                self._registry.observe_answer(
                    endpoint, loop.time(), loop.time() - started_s, slowness or 1.0
                )
        except (BrokenAnswer, OSError, TimeoutError) as error:
            outcome = self._classify_error(connection, error, loop.time() >= deadline_s)
            if connection is not None and connection.sent and not connection.answer_begun:
                self._idle_limits.observe_break(
                    record.service, connection.rested_s, loop.time() - started_s, loop.time()
                )
        except NoSocket:
            outcome = NotRun(ErrorKind.NO_MEMORY, False)
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        finally:
            responded = isinstance(outcome, EndpointAnswer) or (
                isinstance(outcome, NotRun) and outcome.sent
            )
            endpoint.end_request(loop.time(), responded)
            if watchdog is not None:
                watchdog.cancel()
        if connection is not None and not _is_streaming(outcome):
            self._pool.release(record.address, record.port, connection)
        self._wake_waiter()
        return outcome

    async def wait_for_socket(self, deadline_s: float) -> bool:
        """Waits for a socket for an attempt, in the order of requests.

        Returns False if none is free within SOCKET_WAIT_S and before the deadline. The socket isn't
        kept: the attempt has to open its connection at once.
        """
        if self._holdings.admits_attempt and not self._waiters:
            return True
        waits_until_s = asyncio.get_running_loop().time() + SOCKET_WAIT_S
        try:
            async with asyncio.timeout_at(min(waits_until_s, deadline_s)):
                await self._wait_in_turn()
            return True
        except TimeoutError:
            return False
        finally:
            self._wake_waiter()

    async def _wait_in_turn(self) -> None:
        """Waits until there is a socket and no other request has waited longer for it."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wake_waiter()
        try:
            await waiter
            while not self._holdings.admits_attempt:
                waiter = asyncio.get_running_loop().create_future()
                self._waiters.appendleft(waiter)
                await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake_waiter(self) -> None:
        """Lets the request that has waited longest for a socket make its attempt."""
        while self._waiters and self._holdings.admits_attempt:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def release_connection(self, endpoint: Endpoint, connection: Connection) -> None:
        """Lets the pool keep or close a connection whose answer has been read to the end."""
        self._pool.release(endpoint.record.address, endpoint.record.port, connection)
        self._wake_waiter()

    @staticmethod
    def _classify_error(
        connection: Connection | None, error: Exception, expired: bool
    ) -> AttemptOutcome:
        """Returns the outcome of an attempt that raised an error."""
        sent = connection is not None and connection.sent
        if connection is not None:
            connection.close()
        if not sent:
            return NotRun(ErrorKind.DEADLINE if expired else ErrorKind.ENDPOINT_UNREACHABLE, False)
        if expired or isinstance(error, TimeoutError):
            return OutcomeUnknown(ErrorKind.ENDPOINT_TIMEOUT)
        return OutcomeUnknown(ErrorKind.ENDPOINT_BROKE, str(error))

    async def _send_request(
        self,
        connection: Connection,
        request: IncomingRequest,
        body: RequestBody,
        endpoint: Endpoint,
        deadline_s: float,
        matcher: AnswerMatcher,
        on_head: Callable[[], None],
    ) -> AttemptOutcome:
        """Sends the request and returns the answer, or that the request did not run."""
        sent_s = asyncio.get_running_loop().time()
        left_s = deadline_s - sent_s
        connection.send_request_head(
            self._build_head(request, body, endpoint, left_s) + body.content,
            no_body=request.method == b"HEAD",
            accept=matcher.accept,
        )
        if isinstance(body, BodyStart):
            is_chunked = request.header(b"content-length") is None
            if is_chunked:
                await connection.send_body(b"\r\n")
            await stream_body(connection, request.read_chunk, is_chunked)
        head = await connection.head()
        on_head()
        connection.idle_limit_s = _read_idle_limit_s(head)
        if head.header(self._header_names.request_id) is None:
            # A copy of it could not be told from the answer to a later request.
            connection.close_after_use = True
        all_slots_used = self._observe_load(endpoint, head)
        self._observe_rate_limit(endpoint, head, sent_s)
        if head.header(self._header_names.not_run) is not None or head.status == 421:
            await _drain_body(connection)
            kind = ErrorKind.ENDPOINT_REPLACED if head.status == 421 else ErrorKind.ENDPOINT_SHED
            return NotRun(kind, True, all_slots_used)
        if head.status < 300 and head.header(self._header_names.signature) is None:
            raise BrokenAnswer("success without a signature")
        answer = await _read_answer(connection, head, request, self._holdings)
        if answer.connection is None:
            await self.check_end(endpoint, connection)
        return answer

    def _create_matcher(
        self,
        connection: Connection,
        request: IncomingRequest,
        endpoint: Endpoint,
        timer: asyncio.Timeout,
        limit_s: float,
    ) -> AnswerMatcher:
        """Returns what tells the answer to a request from others on its connection.

        `limit_s` is the time in seconds for which the endpoint may be silent.
        """
        id_name = self._header_names.request_id

        def log_skipped(head: AnswerHead) -> None:
            self._log.write("answer_without_id", endpoint=endpoint.record.id, status=head.status)

        return AnswerMatcher(
            connection, id_name, request.header(id_name), timer, limit_s, log_skipped
        )

    async def check_end(self, endpoint: Endpoint, connection: Connection) -> None:
        """Raises BrokenAnswer if an answer without a length ended because its endpoint did.

        One that leaves as planned may end after a whole answer.
        """
        if not endpoint.is_leaving:
            await self._pool.check_end(endpoint.address, endpoint.port, connection)

    def _observe_load(self, endpoint: Endpoint, head: AnswerHead) -> bool:
        """Records the load that an answer reports; returns whether all slots were in use.

        Also returns true if the report is missing or malformed: free slots are then unknown.
        """
        report = self._decode_load(head)
        if report is None:
            return True
        now_s = asyncio.get_running_loop().time()
        endpoint.observe_load(now_s, report.running, report.waiting)
        if report.slowness is not None:
            endpoint.observe_slowness(now_s, report.slowness)
        return report.is_full

    def _decode_load(self, head: AnswerHead) -> LoadReport | None:
        """Returns the load that an answer reports; None if it is missing or malformed."""
        value = head.header(self._header_names.load)
        return decode_load_report(value) if value is not None else None

    def _observe_rate_limit(self, endpoint: Endpoint, head: AnswerHead, sent_s: float) -> None:
        """Records the limit that an answer names, or that it names none, and logs a change.

        Of several limits the lowest one counts. Answers that another endpoint gave at the same
        address, or whose limits are all malformed, say nothing.
        """
        values = head.headers_named(self._header_names.rate_limit)
        if head.status == 421:
            return
        readable = [float(value) for value in values if _RATE_LIMIT.fullmatch(value.strip())]
        if len(readable) < len(values):
            self._log.write("limit_unreadable", endpoint=endpoint.record.id, values=repr(values))
            if not readable:
                return
        identifier = endpoint.record.id
        before = self._rate_limits.find_limit(identifier)
        per_s = min(readable, default=None)
        now_s = asyncio.get_running_loop().time()
        if self._rate_limits.observe_answer(identifier, per_s, sent_s, now_s):
            self._log.write("endpoint_limit", endpoint=identifier, per_s=per_s, before=before)

    def _build_head(
        self, request: IncomingRequest, body: RequestBody, endpoint: Endpoint, left_s: float
    ) -> bytes:
        """Returns the head of the request to an endpoint.

        For a chunked body, the size line of the first chunk is included.
        """
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
        match body:
            case WholeBody(content=content):
                if content or request.method not in _BODILESS_METHODS:
                    lines.append(b"content-length: %d" % len(content))
            case BodyStart(content=content):
                length = request.header(b"content-length")
                if not length:
                    lines.append(b"transfer-encoding: chunked")
                    return b"\r\n".join(lines) + b"\r\n\r\n%x\r\n" % len(content)
                lines.append(b"content-length: " + length)
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _is_streaming(outcome: AttemptOutcome | None) -> bool:
    """Returns whether the body of an answer is still being read from its connection."""
    return isinstance(outcome, EndpointAnswer) and outcome.connection is not None


def _read_idle_limit_s(head: AnswerHead) -> float:
    """Returns the longest idle time, in seconds, after which the connection is reused."""
    value = head.header(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        timeout_s = parse_count(number)
        if name == b"timeout" and timeout_s is not None:
            return max(timeout_s - IDLE_TIMEOUT_MARGIN_S, IDLE_TIMEOUT_FRACTION * timeout_s)
    return DEFAULT_IDLE_LIMIT_S


async def _drain_body(connection: Connection) -> None:
    """Reads and discards a body, so that the connection can be reused."""
    async for _ in connection.body():
        pass


async def _read_answer(
    connection: Connection, head: AnswerHead, request: IncomingRequest, holdings: Holdings
) -> EndpointAnswer:
    """Returns a complete answer, or for a large one the connection to read it from.

    The less memory is left, the smaller is a large one; SMALL_ANSWER_BYTES are never too large.
    """
    length = head.content_length
    expected = FIRST_PART_BYTES if length is None else min(length, FIRST_PART_BYTES)
    request.hold(expected)
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in connection.body():
            parts.append(chunk)
            size += len(chunk)
            if size > expected:
                request.hold(size - expected)
                expected = size
            if size > min(MAX_BUFFERED_ANSWER_BYTES, max(SMALL_ANSWER_BYTES, holdings.whole_bytes)):
                unread_bytes = holdings.machine.unread_bytes
                connection.put_back(
                    parts, STREAM_HIGH_WATER_BYTES, unread_bytes if holdings.is_short else 0
                )
                request.hold(STREAM_HIGH_WATER_BYTES + READ_BYTES + unread_bytes)
                return EndpointAnswer(head, b"", connection, size)
    except BaseException:
        request.hold(-expected)
        raise
    return EndpointAnswer(head, b"".join(parts))
