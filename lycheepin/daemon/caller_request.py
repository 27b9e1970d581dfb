"""A request as received from an ASGI server."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from lycheepin.errors import Fault
from lycheepin.transport.headers import Headers

__all__ = ["CallerGone", "CallerRequest"]

BUFFERED_BODY_BYTES = 64 * 1024

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


class CallerRequest:
    """A request from a caller or another daemon, and the channel for its answer."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: SendEvent) -> None:
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers: Headers = list(scope["headers"])
        self.caller_address: str = scope["client"][0] if scope.get("client") else ""
        query: bytes = scope.get("query_string", b"")
        raw_path: bytes = scope.get("raw_path") or self.path.encode()
        self.target = raw_path + (b"?" + query if query else b"")
        self.body: bytes | None = None
        self.body_consumed = False
        self.answer_started = False
        self.caller_gone = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None

    def header(self, name: bytes) -> str | None:
        """Returns the last value of a header by its lower-case name, or None."""
        found = None
        for key, value in self.headers:
            if key == name:
                found = value
        return found.decode("latin-1") if found is not None else None

    @property
    def content_length(self) -> int | None:
        """The declared length of the body in bytes, or None when the body is chunked."""
        if self.header(b"transfer-encoding") is not None:
            return None
        return int(self.header(b"content-length") or 0)

    @property
    def replayable(self) -> bool:
        """Whether the request can still be sent from the start of its body."""
        return self.body is not None or not self.body_consumed

    async def read_small_body(self) -> None:
        """Buffers a body of at most BUFFERED_BODY_BYTES; any other body is streamed later."""
        content_length = self.content_length
        if content_length == 0:
            self.body = b""
        elif content_length is not None and content_length <= BUFFERED_BODY_BYTES:
            self.body = b"".join([chunk async for chunk in self.stream_body()])
        if self.body is not None:
            self._watch_task = asyncio.get_running_loop().create_task(self._watch_caller())

    async def stream_body(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body; raises CallerGone when the caller disconnects."""
        self.body_consumed = True
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self.caller_gone.set()
                raise CallerGone
            if event["body"]:
                yield event["body"]
            if not event.get("more_body"):
                return

    def watch_caller(self) -> None:
        """Starts to watch for a disconnect of the caller; the body must have been read."""
        if self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._watch_caller())

    async def _watch_caller(self) -> None:
        """Sets `caller_gone` when the caller closes its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.caller_gone.set()

    def close(self) -> None:
        """Stops watching for a disconnect of the caller."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Sends the head of the answer."""
        self.answer_started = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_body(self, data: bytes, more: bool) -> None:
        """Sends a chunk of the answer's body, waiting while the send buffer is full."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def send_fault(self, fault: Fault) -> None:
        """Sends a fault as the answer; closes the connection if a part of the body is unread."""
        body = json.dumps(fault.body()).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"lycheepin-outcome", fault.answer.outcome.value.encode()),
            (b"lycheepin-error", fault.kind.value.encode()),
        ]
        if not self.replayable and not self._is_body_read():
            headers.append((b"connection", b"close"))
        await self.start_answer(fault.answer.status, headers)
        await self.send_body(body, more=False)

    def _is_body_read(self) -> bool:
        """Returns whether the whole body has been received."""
        return self.body is not None or self._watch_task is not None
