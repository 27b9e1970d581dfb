"""Messages of the users' platform for tests and the soak: configurations, requests, answers."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address

__all__ = ["HOST", "configuration", "find_free_address", "read_answer", "read_message", "request"]

HOST = Address("127.0.0.1")


def find_free_address() -> SocketAddress:
    """Returns an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return SocketAddress(HOST, probe.getsockname()[1])


def configuration(version: int = 1, routes: int = 2, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with an idempotent and a protected route, and more of the first."""

    def route(prefix: str, kind: str) -> dict[str, Any]:
        return {
            "host": "a.example",
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": 1500,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": "desk",
            "maxAttempts": 2,
            "sessionAffinity": True,
            "homeRegions": [],
        } | changes

    service = {
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 5.0,
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "read": route("/read/", "idempotent"),
            "order": route("/order/", "non_idempotent"),
        }
        | {f"more-{n}": route(f"/more-{n}/", "idempotent") for n in range(routes - 2)},
        "services": {"desk": service},
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 1 << 22,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def request(
    path: str = "/read/1",
    method: str = "GET",
    identifier: str = "r1",
    body: bytes = b"",
    **more: str,
) -> bytes:
    """Returns the bytes of a request."""
    fields = {
        "Host": "a.example",
        "Request-Id": identifier,
        "Affinity-Key": "7",
        "Deadline-Ms": "4000",
    } | {name.replace("_", "-"): value for name, value in more.items()}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of the next answer."""
    first, headers, body = await read_message(reader)
    return int(first.split(" ")[1]), headers, body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns first line, headers by lower-case name, and body of a request or answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in head[1:] if line)}
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    return head[0], headers, body
