"""A small backend of the platform, as its pages describe it; one process, ended by signals.

Usage: python3 backend.py ADDRESS PORT ID LOG

The query of a request says how it is answered: `work` (ms before the head), `size` (bytes of the
body), `first` (bytes that are sent with the head), `pause` (ms before the rest), `length=0` (an
answer without a length, which ends with its connection). Every request that is run is written to
LOG as one JSON line, with its headers.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

PATTERN = b"0123456789abcdef"


def build_body(size: int) -> bytes:
    """Returns the body of an answer."""
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


class Backend:
    """Answers requests, one at a time on a connection."""

    def __init__(self, identifier: str, log_path: str) -> None:
        self.identifier = identifier
        self._log = open(log_path, "a", buffering=1, encoding="utf-8")

    def write_log(self, **fields: object) -> None:
        """Writes one line."""
        line = {"at": round(time.time(), 3), "backend": self.identifier, **fields}
        self._log.write(json.dumps(line) + "\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        pairs = [line.split(":", 1) for line in head[1:] if line]
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await self._read_body(reader, headers)
        request_id = headers.get("request-id", "")
        expected = headers.get("target-instance")
        if not request_id:
            self.write_log(event="refused", status=400, target=target)
            await self._send(writer, "400 Bad Request", [("Not-Executed", "1")], b"")
            return True
        if expected is not None and expected != self.identifier:
            self.write_log(event="refused", status=421, request=request_id)
            fields = [("Request-Id", request_id), ("Instance-Id", self.identifier)]
            await self._send(writer, "421 Misdirected Request", fields, b"")
            return True
        self.write_log(
            event="run", request=request_id, method=method, target=target, headers=headers,
            body_bytes=len(body),
        )
        query = {k: int(v[0]) for k, v in parse_qs(urlsplit(target).query).items()}
        await asyncio.sleep(query.get("work", 0) / 1000)
        content = build_body(query.get("size", 2))
        fields = [("Request-Id", request_id), ("Response-Signature", f"sig-{request_id}")]
        framed = query.get("length", 1) == 1
        first = query.get("first", len(content))
        await self._send(writer, "200 OK", fields, content, first, framed)
        if first < len(content):
            await asyncio.sleep(query.get("pause", 0) / 1000)
            writer.write(content[first:])
            await writer.drain()
        self.write_log(event="answered", request=request_id, bytes=len(content))
        return framed

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
        """Reads a body with a length or in chunks."""
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        parts = []
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readuntil(b"\r\n")
        return b"".join(parts)

    @staticmethod
    async def _send(
        writer: asyncio.StreamWriter,
        status: str,
        fields: list[tuple[str, str]],
        content: bytes,
        first: int | None = None,
        framed: bool = True,
    ) -> None:
        """Sends a head and the first bytes of a body."""
        fields = [*fields, ("Content-Length", str(len(content)))] if framed else list(fields)
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content[:first])
        await writer.drain()


async def main() -> None:
    """Serves until the process is ended."""
    address, port, identifier, log_path = sys.argv[1:5]
    backend = Backend(identifier, log_path)
    server = await asyncio.start_server(backend.serve, address, int(port), backlog=512)
    backend.write_log(event="listening")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
