"""Limits of the operating system on a process and its connections."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket

__all__ = ["limit_unread_bytes", "read_descriptor_limit"]


def read_descriptor_limit() -> int:
    """Returns how many descriptors the process may open; 0 or less if that is not limited."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def limit_unread_bytes(transport: asyncio.Transport, unread_bytes: int) -> None:
    """Limits what the kernel holds for a connection that is not read; it counts as memory."""
    connection = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # the kernel's own limit holds then
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes)
