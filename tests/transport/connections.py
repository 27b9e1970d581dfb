"""Connections to a server without a network, for tests of what they read."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

from lycheepin.transport.connection import Connection

__all__ = ["open_connection"]


def open_connection() -> tuple[Connection, Mock]:
    """Returns a connection that has sent a request, and its transport."""
    connection = Connection()
    transport = Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    connection.send_request_head(b"GET / HTTP/1.1\r\n\r\n")
    return connection, transport
