"""HTTP client for a daemon's own calls, to the platform and to its peers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lycheepin.names import Address
from lycheepin.transport.connection import BrokenAnswer, Connection, ConnectionPool
from lycheepin.transport.headers import Headers

__all__ = ["CallAnswer", "CallFailure", "HttpClient"]

# Largest body of an answer, in bytes, of a process whose machine is not known.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Maximum time in seconds to read the body of an answer: 5 MB over a link of 5 Mbit/s.
MAX_BODY_S = 8.0


class _OversizedAnswer(BrokenAnswer):
    """The body of an answer is larger than the client takes."""


@dataclass(frozen=True)
class CallAnswer:
    """The complete answer to a call."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a lower-case name, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(frozen=True)
class CallFailure:
    """A call without a complete answer; it may have taken effect if `sent` is true.

    `silent_s` is the time in seconds for which the peer had shown no sign of life: all of the
    call's time if it timed out, 0 if the connection was refused or closed. `too_large` is true if
    the answer was larger than the client takes.
    """

    sent: bool
    reason: str
    silent_s: float = 0.0
    too_large: bool = False


class HttpClient:
    """Makes calls over pooled connections. Each call is sent once, without retries.

    The body of an answer may have `max_answer_bytes`.
    """

    def __init__(self, local_address: str, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._pool = ConnectionPool(local_address)
        self._max_answer_bytes = max_answer_bytes

    async def call(
        self,
        address: Address,
        port: int,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float = 2.0,
    ) -> CallAnswer | CallFailure:
        """Returns the answer, or the reason why there is none.

        `timeout_s` limits the time until the head of the answer and then the time between parts
        of its body, so that a long answer over a slow link can take longer in total.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        connection: Connection | None = None
        started_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s) as timer:
                connection = await self._pool.acquire(address, port)
                connection.send_request_head(head + body)
                answer = await connection.head()
                content = await _read_all(connection, timer, timeout_s, self._max_answer_bytes)
                await self._pool.check_end(address, port, connection)
        except (BrokenAnswer, OSError, TimeoutError) as error:
            if connection is not None:
                connection.close()
            elapsed_s = asyncio.get_running_loop().time() - started_s
            silent_s = elapsed_s if isinstance(error, TimeoutError) else 0.0
            too_large = isinstance(error, _OversizedAnswer)
            sent = connection is not None and connection.sent
            return CallFailure(sent, repr(error), silent_s, too_large)
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._pool.release(address, port, connection)
        return CallAnswer(answer.status, answer.headers, content)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


async def _read_all(
    connection: Connection, timer: asyncio.Timeout, chunk_timeout_s: float, max_bytes: int
) -> bytes:
    """Returns the whole body; raises BrokenAnswer when it is incomplete or exceeds `max_bytes`.

    Each chunk extends the timeout to `chunk_timeout_s` from then, up to MAX_BODY_S in total.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + MAX_BODY_S
    content = bytearray()
    async for chunk in connection.body():
        if len(content) + len(chunk) > max_bytes:
            raise _OversizedAnswer(f"body is larger than {max_bytes} bytes")
        content += chunk
        timer.reschedule(min(end_s, loop.time() + chunk_timeout_s))
    return bytes(content)
