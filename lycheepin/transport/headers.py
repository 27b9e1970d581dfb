"""Which headers are passed on, and which concern only one connection."""

from __future__ import annotations

from lycheepin.transport.connection import Headers

__all__ = ["strip_hop_by_hop"]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Returns the headers that may be passed on."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]
