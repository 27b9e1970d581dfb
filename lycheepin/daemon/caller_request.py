"""One request of a caller as an ASGI server delivers it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from lycheepin.errors import Fault
from lycheepin.transport.connection import Headers

__all__ = ["CallerGone", "CallerRequest"]

BUFFERED_BODY_BYTES = 64 * 1024

Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]


class CallerGone(Exception):
    """The caller closed its connection."""


class CallerRequest:
    """Method, target, headers and body of a request, and the way to answer it."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: SendEvent) -> None:
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers: Headers = list(scope["headers"])
        self.client: str = scope["client"][0] if scope.get("client") else ""
        query: bytes = scope.get("query_string", b"")
        raw_path: bytes = scope.get("raw_path") or self.path.encode()
        self.target = raw_path + (b"?" + query if query else b"")
        self.body: bytes | None = None
        self.consumed = False
        self.answered = False
        self.gone = asyncio.Event()
        self._watch: asyncio.Task[None] | None = None

    def header(self, name: bytes) -> str | None:
        """Returns the last value of a header by its lower-case name, or None."""
        found = None
        for key, value in self.headers:
            if key == name:
                found = value
        return found.decode("latin-1") if found is not None else None

    @property
    def length(self) -> int | None:
        """The declared length of the body in bytes; None when it is chunked."""
        if self.header(b"transfer-encoding") is not None:
            return None
        return int(self.header(b"content-length") or 0)

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self.body is not None or not self.consumed

    async def read_small_body(self) -> None:
        """Reads a short body whole; a longer one is left to be streamed."""
        length = self.length
        if length == 0:
            self.body = b""
        elif length is not None and length <= BUFFERED_BODY_BYTES:
            self.body = b"".join([chunk async for chunk in self.stream()])
        if self.body is not None:
            self._watch = asyncio.get_running_loop().create_task(self._watch_caller())

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields the body; raises CallerGone when the caller leaves before its end."""
        self.consumed = True
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self.gone.set()
                raise CallerGone
            if event["body"]:
                yield event["body"]
            if not event.get("more_body"):
                return

    def watch_caller(self) -> None:
        """Starts to notice when the caller leaves; the body has been read."""
        if self._watch is None:
            self._watch = asyncio.get_running_loop().create_task(self._watch_caller())

    async def _watch_caller(self) -> None:
        """Sets `gone` when the caller closes its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.gone.set()

    def close(self) -> None:
        """Ends the watch of the caller."""
        if self._watch is not None:
            self._watch.cancel()

    async def start_answer(self, status: int, headers: Headers) -> None:
        """Sends the head of the answer."""
        self.answered = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_body(self, data: bytes, more: bool) -> None:
        """Sends a part of the body, waiting while the socket is full."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def refuse(self, fault: Fault) -> None:
        """Answers with a fault."""
        body = json.dumps(fault.body()).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"lycheepin-outcome", fault.answer.outcome.value.encode()),
            (b"lycheepin-error", fault.kind.value.encode()),
        ]
        if not self.replayable and not self._fully_read():
            headers.append((b"connection", b"close"))
        await self.start_answer(fault.answer.status, headers)
        await self.send_body(body, more=False)

    def _fully_read(self) -> bool:
        """Returns whether nothing of the body is left in the socket."""
        return self.body is not None or self._watch is not None
