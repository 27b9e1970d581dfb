"""Clients with small windows that read late and slowly."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from standins.messages import HOST

__all__ = ["Reader", "open_client", "read_answers"]

# Segments of a network: the kernel takes whole answers into those of the loopback device.
SEGMENT_BYTES = 1400


@dataclass
class Reader:
    """How a client reads its answer, and what it sends behind its request.

    It pauses each time that it has read `piece_bytes`.
    """

    delay_s: float = 0.0
    piece_bytes: int = 65536
    pause_s: float = 0.0
    window_bytes: int = 32 * 1024
    behind: bytes = b""
    behind_after_s: float = 0.0


async def open_client(port: int, window_bytes: int) -> socket.socket:
    """Returns a connection with a small window and small segments."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (HOST, port))
    return client


async def read_answers(client: socket.socket, reader: Reader) -> bytes:
    """Reads until the server ends the stream; raises ConnectionError if it resets it."""
    received, paused_at = bytearray(), 0
    await asyncio.sleep(reader.delay_s)
    while chunk := await asyncio.get_running_loop().sock_recv(client, reader.piece_bytes):
        received += chunk
        if len(received) - paused_at >= reader.piece_bytes:
            paused_at = len(received)
            await asyncio.sleep(reader.pause_s)
    return bytes(received)
