"""Limits of the operating system on a process and its connections."""

from __future__ import annotations

import contextlib
import resource
import socket

from lycheepin.steering.holdings import Machine

__all__ = ["limit_unread_bytes", "read_descriptor_limit"]


def read_descriptor_limit() -> int:
    """Returns how many descriptors the process may open; 0 or less if that is not limited."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def limit_unread_bytes(connection: socket.socket, machine: Machine) -> None:
    """Limits what a connection, or each one that a listening socket accepts, may keep unread.

    Bytes that have arrived and wait in the kernel count as memory of the process.
    """
    if machine.limits_unread:
        with contextlib.suppress(OSError):  # the kernel's own limit holds then
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, machine.unread_bytes)
