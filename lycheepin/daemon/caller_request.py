"""A request as received from a caller or from another daemon."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from urllib.parse import unquote

from lycheepin.errors import Fault
from lycheepin.quarantine.fingerprints import fingerprint_request
from lycheepin.steering.suspects import Fingerprint
from lycheepin.transport.headers import Headers
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["CallerGone", "CallerRequest"]

BUFFERED_BODY_BYTES = 64 * 1024


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


class CallerRequest:
    """A request from a caller or another daemon, and the channel for its answer.

    Unlike the task of its connection it outlives its caller: a protected request runs to its end.
    """

    def __init__(self, incoming: IncomingRequest) -> None:
        self._incoming = incoming
        self.method = incoming.method.decode("latin-1")
        self.path = unquote(incoming.path)
        self.headers: Headers = [(name.lower(), value) for name, value in incoming.headers]
        self.caller_address = incoming.caller_host
        self.target = incoming.target
        self.body: bytes | None = None
        self.body_consumed = False
        self.answer_started = False
        self.answer_ended = False
        self.caller_gone = asyncio.Event()

    def header(self, name: bytes) -> str | None:
        """Returns the last value of a header by its lower-case name, or None."""
        found = self._incoming.header(name)
        return found.decode("latin-1") if found is not None else None

    @property
    def content_length(self) -> int | None:
        """The declared length of the body in bytes, or None when the body is chunked."""
        if self.header(b"transfer-encoding") is not None:
            return None
        return int(self.header(b"content-length") or 0)

    def fingerprint(self, identifying: Iterable[bytes]) -> Fingerprint:
        """Returns what identifies equal requests; of a body that is not buffered, its length."""
        return fingerprint_request(
            self._incoming, self.body or b"", (*identifying, b"content-length")
        )

    @property
    def replayable(self) -> bool:
        """Whether the request can still be sent from the start of its body."""
        return self.body is not None or not self.body_consumed

    async def read_small_body(self) -> None:
        """Buffers a body of at most BUFFERED_BODY_BYTES; any other body is streamed later.

        Raises BodyRefused if memory is short.
        """
        content_length = self.content_length
        if content_length == 0:
            self.body = b""
        elif content_length is not None and content_length <= BUFFERED_BODY_BYTES:
            parts = []
            self._incoming.awaits_body = True
            try:
                while chunk := await self.read_chunk():
                    parts.append(chunk)
            finally:
                self._incoming.awaits_body = False
            self.body = b"".join(parts)
            self._incoming.hold(len(self.body))

    async def read_chunk(self) -> bytes:
        """Returns the next part of the body, empty at its end.

        Raises CallerGone when the caller disconnects before.
        """
        self.body_consumed = True
        reading = asyncio.ensure_future(self._incoming.read_chunk())
        gone = asyncio.ensure_future(self.caller_gone.wait())
        try:
            await asyncio.wait((reading, gone), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                raise CallerGone
            return reading.result()
        finally:
            reading.cancel()
            gone.cancel()

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Sends the head of the answer; the body is sent in chunks unless it has a length."""
        self.answer_started = True
        length: int | None = None
        kept: Headers = []
        for name, value in headers:
            if name.lower() == b"content-length":
                length = int(value)
            if name.lower() != b"content-length" or self._incoming.method == b"HEAD":
                kept.append((name, value))
        if not self.caller_gone.is_set():
            self._incoming.start_answer(status, kept, length)

    async def send_body(self, data: bytes, more: bool) -> None:
        """Sends a part of the answer's body, waiting while the send buffer is full."""
        if self.caller_gone.is_set():
            return
        try:
            if data and self._incoming.method != b"HEAD":
                await self._incoming.send_chunk(data)
        except ConnectionError:
            self.caller_gone.set()
            return
        if not more:
            self.answer_ended = True
            self._incoming.finish_answer()

    async def send_fault(self, fault: Fault) -> None:
        """Sends a fault as the answer."""
        body = json.dumps(fault.body()).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"lycheepin-outcome", fault.answer.outcome.value.encode()),
            (b"lycheepin-error", fault.kind.value.encode()),
        ]
        await self.start_answer(fault.answer.status, headers)
        await self.send_body(body, more=False)
