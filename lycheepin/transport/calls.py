"""Short HTTP calls of a daemon: to the platform and to its peers. A call is sent once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lycheepin.names import Address
from lycheepin.transport.connection import BrokenAnswer, Connection, ConnectionPool, Headers

__all__ = ["CallAnswer", "CallFailure", "HttpClient"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Longest time in seconds that the body of an answer may take: 5 MB over a link of 5 Mbit/s.
LONGEST_BODY_S = 8.0


@dataclass(frozen=True)
class CallAnswer:
    """A complete answer."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Returns a header by its lower-case name, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@dataclass(frozen=True)
class CallFailure:
    """No complete answer; `sent` tells whether the call may have taken effect."""

    sent: bool
    reason: str


class HttpClient:
    """Makes calls over pooled connections."""

    def __init__(self, local_address: str) -> None:
        self._pool = ConnectionPool(local_address)

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
        """Returns the answer, or why there is none.

        `timeout_s` bounds the time to the head of the answer, and then each silence in its body:
        a long answer over a narrow link takes its time.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s) as timer:
                connection = await self._pool.acquire(address, port)
                connection.send_request_head(head + body)
                answer = await connection.head()
                content = await _read_all(connection, timer, timeout_s)
        except (BrokenAnswer, OSError, TimeoutError) as error:
            if connection is not None:
                connection.close()
            return CallFailure(connection is not None and connection.sent, repr(error))
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._pool.release(address, port, connection)
        return CallAnswer(answer.status, answer.headers, content)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


async def _read_all(connection: Connection, timer: asyncio.Timeout, silence_s: float) -> bytes:
    """Returns a whole body; raises BrokenAnswer when it is cut short or too large.

    Each part of the body moves the timer on to `silence_s` from then, within LONGEST_BODY_S.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LONGEST_BODY_S
    parts: list[bytes] = []
    size = 0
    async for chunk in connection.body():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise BrokenAnswer(f"answer over {MAX_ANSWER_BYTES} bytes")
        parts.append(chunk)
        timer.reschedule(min(end_s, loop.time() + silence_s))
    return b"".join(parts)
