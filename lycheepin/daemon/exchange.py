"""HTTP exchange of one attempt with an endpoint or with another daemon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lycheepin.daemon.caller_request import CallerGone, CallerRequest
from lycheepin.daemon.request_parser import DEADLINE_HEADER
from lycheepin.errors import ErrorKind, Fault, Outcome
from lycheepin.names import Address
from lycheepin.steering.request_ids import MAX_ANSWER_BYTES, StoredAnswer
from lycheepin.transport.connection import (
    AnswerHead,
    BrokenAnswer,
    Connection,
    ConnectionPool,
)
from lycheepin.transport.headers import strip_hop_by_hop
from lycheepin.transport.streaming import stream_body

__all__ = [
    "SendResult",
    "OutcomeUnknown",
    "NotRun",
    "AnswerStarted",
    "RelayResult",
    "Destination",
    "send_request",
    "relay_answer",
]

CONTINUE_TIMEOUT_S = 1.0
SHED_HEADER = b"x-shed"
OUTCOME_HEADER = b"lycheepin-outcome"
ERROR_HEADER = b"lycheepin-error"
BITS_PER_BYTE = 8
MS_PER_S = 1000
BITS_PER_MBIT = 1_000_000


@dataclass(frozen=True)
class Destination:
    """Address to which an attempt is sent, and the headers added to the request.

    `rate_limit_mbit` limits the rate of the request body in Mbit/s; 0 means no limit. `is_leaving`
    is true for an endpoint that ends as planned, and may do so after a whole answer.
    """

    address: Address
    port: int
    headers: tuple[tuple[bytes, bytes], ...]
    rate_limit_mbit: int = 0
    is_leaving: bool = False


@dataclass(frozen=True)
class NotRun:
    """The request did not run.

    `refused` is true for a refusal, and false when the connection failed or the deadline passed
    before the request was sent.
    """

    fault: Fault
    refused: bool = False


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run."""

    fault: Fault


@dataclass(frozen=True)
class AnswerStarted:
    """The head of the answer has arrived."""

    destination: Destination
    connection: Connection
    head: AnswerHead


# Result of sending a request up to the head of the answer; the body is relayed later.
SendResult = NotRun | OutcomeUnknown | AnswerStarted


@dataclass(frozen=True)
class RelayResult:
    """Result of relaying an answer; `stored_answer` is set when it was kept for repeats."""

    complete: bool
    stored_answer: StoredAnswer | None = None


async def send_request(
    connection_pool: ConnectionPool,
    destination: Destination,
    request: CallerRequest,
    deadline_s: float,
) -> SendResult:
    """Sends a request; returns the start of its answer, or why there is none."""
    try:
        async with asyncio.timeout_at(deadline_s):
            connection = await connection_pool.acquire(destination.address, destination.port)
    except (OSError, TimeoutError) as error:
        return NotRun(Fault(ErrorKind.ENDPOINT_UNREACHABLE, type(error).__name__))
    try:
        async with asyncio.timeout_at(deadline_s):
            return await _send_and_await_head(connection, destination, request, deadline_s)
    except BrokenAnswer as error:
        connection.close()
        if not connection.sent:
            return NotRun(Fault(ErrorKind.ENDPOINT_UNREACHABLE, str(error)))
        return OutcomeUnknown(Fault(ErrorKind.ENDPOINT_BROKE, str(error)))
    except TimeoutError:
        connection.close()
        if not connection.sent:
            return NotRun(Fault(ErrorKind.DEADLINE))
        return OutcomeUnknown(Fault(ErrorKind.ENDPOINT_TIMEOUT))
    except BaseException:
        connection.close()
        raise


async def _send_and_await_head(
    connection: Connection, destination: Destination, request: CallerRequest, deadline_s: float
) -> SendResult:
    """Sends head and body, then returns the answer's head or the refusal in it."""
    left_s = deadline_s - asyncio.get_running_loop().time()
    head = _build_request_head(destination, request, left_s)
    connection.send_request_head(head, no_body=request.method == "HEAD")
    if request.body is not None:
        if request.body:
            await connection.send_body(request.body)
    else:
        await connection.wait_for_continue(CONTINUE_TIMEOUT_S)
        is_chunked = request.content_length is None
        pace = _Pace(destination.rate_limit_mbit) if destination.rate_limit_mbit else None
        await stream_body(connection, request.read_chunk, is_chunked, pace)
    answer = await connection.head()
    refusal = _parse_refusal(answer)
    if refusal is None:
        return AnswerStarted(destination, connection, answer)
    connection.close()
    return refusal


class _Pace:
    """Limits the rate of a body in Mbit/s."""

    def __init__(self, rate_mbit: int) -> None:
        self._rate_mbit = rate_mbit
        self._started_s = asyncio.get_running_loop().time()
        self._sent_bytes = 0

    async def __call__(self, size: int) -> None:
        """Waits until the next part may follow one of `size` bytes."""
        self._sent_bytes += size
        due_s = self._sent_bytes * BITS_PER_BYTE / (self._rate_mbit * BITS_PER_MBIT)
        await asyncio.sleep(max(0.0, self._started_s + due_s - asyncio.get_running_loop().time()))


def _parse_refusal(head: AnswerHead) -> NotRun | None:
    """Returns the refusal when the answer states that the request did not run, or None."""
    headers = {name.lower(): value for name, value in head.headers}
    if head.status == 503 and headers.get(SHED_HEADER) == b"not-begun":
        return NotRun(Fault(ErrorKind.ENDPOINT_SHED), refused=True)
    if headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value.encode():
        kind = headers.get(ERROR_HEADER, b"").decode("latin-1")
        kinds_by_value = {item.value: item for item in ErrorKind}
        return NotRun(Fault(kinds_by_value.get(kind, ErrorKind.NO_CAPACITY)), refused=True)
    return None


def _build_request_head(destination: Destination, request: CallerRequest, left_s: float) -> bytes:
    """Returns the request head to send to a destination, `left_s` seconds before its deadline."""
    parts = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
    for name, value in strip_hop_by_hop(request.headers):
        if name != b"content-length" and not name.startswith(b"lycheepin-"):
            parts.append(name + b": " + value)
    parts += [name + b": " + value for name, value in destination.headers]
    parts.append(DEADLINE_HEADER + b": %d" % max(1, int(left_s * MS_PER_S)))
    if request.body is not None:
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            parts.append(b"content-length: " + str(len(request.body)).encode())
    else:
        content_length = request.content_length
        framing = b"transfer-encoding: chunked"
        if content_length is not None:
            framing = b"content-length: " + str(content_length).encode()
        parts += [framing, b"expect: 100-continue"]
    return b"\r\n".join(parts) + b"\r\n\r\n"


async def relay_answer(
    connection_pool: ConnectionPool,
    answer: AnswerStarted,
    request: CallerRequest,
    deadline_s: float,
    keep_answer: bool,
) -> RelayResult:
    """Relays an answer to the caller; a truncated answer stays truncated for the caller.

    With `keep_answer`, an answer of at most MAX_ANSWER_BYTES is returned, and reading continues
    after the caller disconnects.
    """
    headers = strip_hop_by_hop(answer.head.headers)
    kept_chunks: list[bytes] | None = [] if keep_answer else None
    received_bytes = 0
    destination = answer.destination
    try:
        async with asyncio.timeout_at(deadline_s):
            await request.start_answer(answer.head.status, headers)
            async for chunk in answer.connection.body():
                received_bytes += len(chunk)
                if kept_chunks is not None and received_bytes <= MAX_ANSWER_BYTES:
                    kept_chunks.append(chunk)
                else:
                    kept_chunks = None
                if request.caller_gone.is_set() and not keep_answer:
                    raise CallerGone
                await request.send_body(chunk, more=True)
            if not destination.is_leaving:
                await connection_pool.check_end(
                    destination.address, destination.port, answer.connection
                )
    except (BrokenAnswer, TimeoutError, CallerGone):
        answer.connection.close()
        return RelayResult(complete=False)
    except BaseException:
        answer.connection.close()
        raise
    await request.send_body(b"", more=False)
    connection_pool.release(destination.address, destination.port, answer.connection)
    stored_answer = None
    if kept_chunks is not None:
        stored_answer = StoredAnswer(answer.head.status, tuple(headers), b"".join(kept_chunks))
    return RelayResult(True, stored_answer)
