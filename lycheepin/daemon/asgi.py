"""Runs an ASGI application behind the daemon's own HTTP server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

from lycheepin.transport.headers import Headers
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["AsgiApplication", "answer_with_application"]

Event = dict[str, Any]
AsgiApplication = Callable[
    [Event, Callable[[], Awaitable[Event]], Callable[[Event], Awaitable[None]]], Awaitable[None]
]


async def answer_with_application(application: AsgiApplication, request: IncomingRequest) -> None:
    """Lets an application answer a request; the answer is sent when it is complete."""
    status = 500
    headers: Headers = []
    parts: list[bytes] = []

    async def receive() -> Event:
        chunk = await request.read_chunk()
        return {"type": "http.request", "body": chunk, "more_body": bool(chunk)}

    async def send(event: Event) -> None:
        nonlocal status, headers
        if event["type"] == "http.response.start":
            status = event["status"]
            headers = [(n, v) for n, v in event["headers"] if n.lower() != b"content-length"]
        else:
            parts.append(event.get("body", b""))

    await application(_build_scope(request), receive, send)
    request.respond(status, headers, b"".join(parts))


def _build_scope(request: IncomingRequest) -> Event:
    """Returns what ASGI says of a request."""
    raw_path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": request.method.decode("latin-1"),
        "scheme": "http",
        "path": unquote(raw_path.decode("latin-1")),
        "raw_path": raw_path,
        "query_string": query,
        "root_path": "",
        "headers": [(name.lower(), value) for name, value in request.headers],
        "client": (request.caller_host, 0),
        "server": None,
    }
