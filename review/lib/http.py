"""Minimal HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

MAX_LINE_BYTES = 64 * 1024
# Names of headers in the platform's pages.
REQUEST_ID = "request-id"


@dataclass
class Message:
    """A request or an answer; the names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    start = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            return start, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Returns the body of a message that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts: list[bytes] = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if not size:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Returns the next message."""
    start, headers = await read_head(reader)
    return Message(start, headers, await read_body(reader, headers))


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message whose body has a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
