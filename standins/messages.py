"""Messages of the gateway's platform for tests and the soak: configurations, requests, answers."""

from __future__ import annotations

import asyncio
import ipaddress
import itertools
import os
from typing import Any

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address

__all__ = [
    "HOST",
    "configuration",
    "find_free_address",
    "read_answer",
    "read_body",
    "read_final_answer",
    "read_head",
    "read_message",
    "request",
]

# A loopback address of this process's own, so that runs beside each other don't share ports.
HOST = Address(str(ipaddress.IPv4Address("127.64.0.1") + os.getpid() % (1 << 22)))
# Ports below the range from which the system takes the local ports of outgoing connections.
_PORTS = itertools.count(12_000)


def find_free_address() -> SocketAddress:
    """Returns an address of this process with a TCP port that no call has returned before."""
    return SocketAddress(HOST, next(_PORTS))


def configuration(version: int = 1, routes: int = 2, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with one service and at least two routes.

    `read` is idempotent, `order` is protected; with `routes` above 2 there are idempotent routes in
    addition. `changes` are fields that replace those of each route.
    """

    def build_route(prefix: str, kind: str) -> dict[str, Any]:
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
            "read": build_route("/read/", "idempotent"),
            "order": build_route("/order/", "non_idempotent"),
        }
        | {f"more-{n}": build_route(f"/more-{n}/", "idempotent") for n in range(routes - 2)},
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
    **headers: str,
) -> bytes:
    """Returns the bytes of a request.

    `headers` are added or replace the default ones; an underscore in a name stands for a hyphen.
    """
    fields = {
        "Host": "a.example",
        "Request-Id": identifier,
        "Affinity-Key": "7",
        "Deadline-Ms": "4000",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads the next answer and returns its status, headers and body."""
    start_line, headers, body = await read_message(reader)
    return int(start_line.split(" ")[1]), headers, body


async def read_final_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Reads the next answer that is not interim; returns its status, headers and body."""
    while True:
        status, headers, body = await read_answer(reader)
        if status >= 200:
            return status, headers, body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads a request or answer and returns its start line, headers and body.

    Raises `asyncio.IncompleteReadError` when the connection ends early.
    """
    start_line, headers = await read_head(reader)
    return start_line, headers, await read_body(reader, headers)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of a message; returns its start line and headers, names in lower case.

    Different values of one name are joined.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for name, value in (line.split(":", 1) for line in head[1:] if line):
        text = value.strip(" \t")
        earlier = headers.get(name.lower(), text)
        headers[name.lower()] = text if earlier == text else f"{earlier}, {text}"
    return head[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body that has a `Content-Length` or is chunked without trailers."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    parts = []
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readexactly(2)
    return b"".join(parts)
