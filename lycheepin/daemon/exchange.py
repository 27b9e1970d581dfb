"""One attempt to have a request run elsewhere: at an endpoint, or at a peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lycheepin.daemon.caller_request import CallerGone, CallerRequest
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

__all__ = ["Attempt", "Broken", "NotSent", "Opened", "Relayed", "Target", "exchange", "relay"]

GO_AHEAD_TIMEOUT_S = 1.0
SHED_HEADER = b"x-shed"
OUTCOME_HEADER = b"lycheepin-outcome"
ERROR_HEADER = b"lycheepin-error"
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


@dataclass(frozen=True)
class Target:
    """Where an attempt goes, with the headers that it adds.

    `pace_mbit` limits the body's rate in Mbit/s; 0 is no limit.
    """

    address: Address
    port: int
    headers: tuple[tuple[bytes, bytes], ...]
    pace_mbit: int = 0


@dataclass(frozen=True)
class NotSent:
    """The request certainly did not run there."""

    fault: Fault
    shed: bool = False


@dataclass(frozen=True)
class Broken:
    """The request may have run there."""

    fault: Fault


@dataclass(frozen=True)
class Opened:
    """The head of the answer has arrived."""

    target: Target
    connection: Connection
    head: AnswerHead


Attempt = NotSent | Broken | Opened


@dataclass(frozen=True)
class Relayed:
    """How passing an answer on ended; `answer` is kept when it was complete and small."""

    complete: bool
    answer: StoredAnswer | None = None


async def exchange(
    pool: ConnectionPool, target: Target, request: CallerRequest, deadline_s: float
) -> Attempt:
    """Sends a request to a target and returns the attempt when the answer's head is there."""
    try:
        async with asyncio.timeout_at(deadline_s):
            connection = await pool.acquire(target.address, target.port)
    except (OSError, TimeoutError) as error:
        return NotSent(Fault(ErrorKind.ENDPOINT_UNREACHABLE, type(error).__name__))
    try:
        async with asyncio.timeout_at(deadline_s):
            return await _send_and_wait(connection, target, request)
    except BrokenAnswer as error:
        connection.close()
        if not connection.sent:
            return NotSent(Fault(ErrorKind.ENDPOINT_UNREACHABLE, str(error)))
        return Broken(Fault(ErrorKind.ENDPOINT_BROKE, str(error)))
    except TimeoutError:
        connection.close()
        if not connection.sent:
            return NotSent(Fault(ErrorKind.DEADLINE))
        return Broken(Fault(ErrorKind.ENDPOINT_TIMEOUT))
    except BaseException:
        connection.close()
        raise


async def _send_and_wait(connection: Connection, target: Target, request: CallerRequest) -> Attempt:
    """Sends head and body and returns the attempt with the head of the answer."""
    connection.send_request_head(_request_head(target, request), no_body=request.method == "HEAD")
    if request.body is not None:
        if request.body:
            await connection.send_body(request.body)
    else:
        await connection.wait_for_continue(GO_AHEAD_TIMEOUT_S)
        if not connection.head_arrived:
            await _stream_body(connection, target, request)
    head = await connection.head()
    fault = _not_run(head)
    if fault is None:
        return Opened(target, connection, head)
    connection.close()
    return fault


def _not_run(head: AnswerHead) -> NotSent | None:
    """Returns the refusal in an answer by which the request has not begun, or None."""
    headers = {name.lower(): value for name, value in head.headers}
    if head.status == 503 and headers.get(SHED_HEADER) == b"not-begun":
        return NotSent(Fault(ErrorKind.ENDPOINT_SHED), shed=True)
    if headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value.encode():
        kind = headers.get(ERROR_HEADER, b"").decode("latin-1")
        known = {item.value: item for item in ErrorKind}
        return NotSent(Fault(known.get(kind, ErrorKind.NO_CAPACITY)), shed=True)
    return None


def _request_head(target: Target, request: CallerRequest) -> bytes:
    """Returns the head of the request as sent to a target."""
    parts = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
    for name, value in strip_hop_by_hop(request.headers):
        if name != b"content-length" and not name.startswith(b"lycheepin-"):
            parts.append(name + b": " + value)
    parts += [name + b": " + value for name, value in target.headers]
    if request.body is not None:
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            parts.append(b"content-length: " + str(len(request.body)).encode())
    else:
        length = request.length
        framing = b"transfer-encoding: chunked"
        if length is not None:
            framing = b"content-length: " + str(length).encode()
        parts += [framing, b"expect: 100-continue"]
    return b"\r\n".join(parts) + b"\r\n\r\n"


async def _stream_body(connection: Connection, target: Target, request: CallerRequest) -> None:
    """Passes the caller's body on as it arrives, until its end or an early answer."""
    chunked = request.length is None
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    sent = 0
    async for chunk in request.stream():
        if connection.head_arrived:
            return
        framed = b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk
        await connection.send_body(framed)
        sent += len(chunk)
        if target.pace_mbit:
            due_s = sent * BITS_PER_BYTE / (target.pace_mbit * BITS_PER_MBIT)
            await asyncio.sleep(max(0.0, started_s + due_s - loop.time()))
    if chunked:
        await connection.send_body(b"0\r\n\r\n")
    request.watch_caller()


async def relay(
    pool: ConnectionPool, opened: Opened, request: CallerRequest, deadline_s: float, keep: bool
) -> Relayed:
    """Passes an answer on to the caller; a cut is visible to the caller as one.

    With `keep`, a small answer is returned, and reading goes on when the caller leaves.
    """
    headers = strip_hop_by_hop(opened.head.headers)
    stored: list[bytes] | None = [] if keep else None
    size = 0
    try:
        async with asyncio.timeout_at(deadline_s):
            await request.start_answer(opened.head.status, headers)
            async for chunk in opened.connection.body():
                size += len(chunk)
                if stored is not None and size <= MAX_ANSWER_BYTES:
                    stored.append(chunk)
                else:
                    stored = None
                if request.gone.is_set() and not keep:
                    raise CallerGone
                await request.send_body(chunk, more=True)
    except (BrokenAnswer, TimeoutError, CallerGone):
        opened.connection.close()
        return Relayed(complete=False)
    except BaseException:
        opened.connection.close()
        raise
    await request.send_body(b"", more=False)
    pool.release(opened.target.address, opened.target.port, opened.connection)
    answer = None
    if stored is not None:
        answer = StoredAnswer(opened.head.status, tuple(headers), b"".join(stored))
    return Relayed(True, answer)
