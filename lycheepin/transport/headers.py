"""Headers of messages, and the removal of those that apply to a single connection."""

from __future__ import annotations

__all__ = ["WHITESPACE", "Headers", "strip_hop_by_hop"]

# Names and values in their order.
Headers = list[tuple[bytes, bytes]]

# What may stand behind a value without belonging to it; the parser leaves it there.
WHITESPACE = b" \t"

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
