"""Requests in forms that HTTP allows and that few callers send."""

from __future__ import annotations

import random

__all__ = ["BODY_SIZES", "encode_chunked", "vary_head"]

KIB = 1024
# Sizes of bodies around the limits of what is buffered, by both interfaces.
BODY_SIZES = (0, 1, 64 * KIB - 1, 64 * KIB + 1, KIB * KIB - 1, KIB * KIB, KIB * KIB + 1, 1_200_000)
# Longest line of an odd chunk.
MAX_CHUNK_BYTES = 100_000


def encode_chunked(source: random.Random, content: bytes) -> bytes:
    """Returns a request with a length as one whose body comes in chunks of odd sizes."""
    head, _, body = content.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.lower().startswith(b"content-length:")]
    parts = [b"\r\n".join([*lines, b"Transfer-Encoding: chunked"]) + b"\r\n\r\n"]
    while body:
        size = source.randint(1, min(len(body), MAX_CHUNK_BYTES))
        extension = source.choice((b"", b";a=1", b';a="b"'))
        parts.append(b"%x%b\r\n%b\r\n" % (size, extension, body[:size]))
        body = body[size:]
    trailer = source.choice((b"", b"X-Sum: 1\r\n", b"Request-Id: other\r\nHost: other\r\n"))
    return b"".join(parts) + b"0\r\n" + trailer + b"\r\n"


def vary_head(source: random.Random, content: bytes) -> bytes:
    """Returns a request whose head has one of the allowed odd forms."""
    head, _, body = content.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    host = next(x for x in lines if x.startswith(b"Host: "))
    match source.randrange(7):
        case 0:
            lines = [x.replace(b": ", b": \t ", 1) + b" \t" for x in lines]
        case 1:
            lines = [_change_case(source, x) for x in lines]
        case 2:
            method, target, version = first.split(b" ")
            first = b" ".join((method, b"http://" + host.removeprefix(b"Host: ") + target, version))
        case 3:
            lines = [x.upper() if x is host else x for x in lines]
        case 4:
            offer = (b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c", b"HTTP2-Settings: AA")
            lines += offer
        case 5:
            first = b"\r\n" + first
        case 6:
            lines += [b"X-Empty:", b"X-List: 1", b"X-List: 2", b"TE: trailers"]
    return b"\r\n".join([first, *lines]) + b"\r\n\r\n" + body


def _change_case(source: random.Random, line: bytes) -> bytes:
    """Returns a header with its name in lower or upper case."""
    name, colon, value = line.partition(b":")
    return (name.lower() if source.random() < 0.5 else name.upper()) + colon + value
