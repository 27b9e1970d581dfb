"""Limit on bytes that an HTTP parser takes without completing any element of a message.

The parser hands an element on only when it ends, and holds its bytes until then. A peer that sends
an element without end would otherwise take memory, or keep the parser busy, until a timeout.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["EndlessElement", "ProgressLimit"]

# Bytes passed to the parser at a time; elements within them are seen to end.
SLICE_BYTES = 16 * 1024


class EndlessElement(Exception):
    """An element of a message, such as a header or a chunk's size, exceeds the limit."""


class ProgressLimit:
    """Counts the bytes passed to a parser since it last completed an element.

    `limit_bytes` is exceeded by at most SLICE_BYTES.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._pending_bytes = 0

    def record_progress(self) -> None:
        """Records that the parser has completed an element, or passed on a part of a body."""
        self._pending_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """The bytes that the parser may hold of an element that has not ended."""
        return self._pending_bytes

    def feed(self, parse: Callable[[memoryview], None], data: bytes | memoryview) -> None:
        """Passes data to a parser in slices; raises EndlessElement beyond the limit."""
        view = memoryview(data)
        for start in range(0, len(view), SLICE_BYTES):
            piece = view[start : start + SLICE_BYTES]
            self._pending_bytes += len(piece)
            parse(piece)
            if self._pending_bytes > self.limit_bytes:
                raise EndlessElement(f"no element ended within {self._pending_bytes} bytes")
