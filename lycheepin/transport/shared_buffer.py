"""Reading of connections through one buffer, so that a connection that waits holds none."""

from __future__ import annotations

import asyncio

__all__ = ["READ_BYTES", "SharedBufferProtocol"]

# Bytes read from a connection at a time.
READ_BYTES = 64 * 1024
_buffer = bytearray(READ_BYTES)


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose connections all read into the same buffer, one after the other."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by asyncio before it reads; returns the buffer."""
        return memoryview(_buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Called by asyncio when bytes were read into the buffer."""
        self.data_received(bytes(memoryview(_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Takes bytes that were read."""
        raise NotImplementedError
