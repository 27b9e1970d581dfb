"""Removes headers that apply to a single connection before a message is forwarded."""

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
    """Returns the headers that may be forwarded: neither hop-by-hop nor named by `Connection`."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_options
    ]
