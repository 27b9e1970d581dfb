"""Limits of the operating system on a process and its connections."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import resource
import socket
import struct
import termios
from asyncio.trsock import TransportSocket

__all__ = [
    "count_undelivered_bytes",
    "has_left",
    "has_unread_bytes",
    "limit_unread_bytes",
    "read_descriptor_limit",
]

# States of a TCP connection that its peer has closed or reset (Linux, tcp_states.h).
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8


def read_descriptor_limit() -> int:
    """Returns how many descriptors the process may open; 0 or less if that is not limited."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def limit_unread_bytes(transport: asyncio.Transport, unread_bytes: int) -> None:
    """Limits what the kernel holds for a connection that is not read; it counts as memory."""
    connection = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # the kernel's own limit holds then
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes)


def has_left(transport: asyncio.Transport) -> bool:
    """Returns whether the peer has closed a connection, which one that isn't read doesn't tell."""
    connection = transport.get_extra_info("socket")
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)


def count_undelivered_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes, of those that were written, the peer's kernel has not confirmed."""
    return transport.get_write_buffer_size() + _read_queue_size(transport, termios.TIOCOUTQ)


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Returns whether bytes have arrived that were not read."""
    return _read_queue_size(transport, termios.FIONREAD) > 0


def _read_queue_size(transport: asyncio.Transport, operation: int) -> int:
    """Returns the bytes in a queue of the kernel; 0 for a transport that is no open socket."""
    connection = transport.get_extra_info("socket")
    if not isinstance(connection, TransportSocket):
        return 0
    try:
        (size,) = struct.unpack("i", fcntl.ioctl(connection.fileno(), operation, bytes(4)))
    except (OSError, ValueError):  # a closed socket has no descriptor
        return 0
    return int(size)
