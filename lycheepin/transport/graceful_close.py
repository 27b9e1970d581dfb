"""The end of a connection: its peer gets all that was sent before it is closed.

Load addressed: planned stops, refusals and shortages, which end connections while their peers still
send, or read slowly. Closing a socket that has unread bytes resets the connection, and so does a
byte that arrives later; the kernel then drops what the peer has not taken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheepin.transport.process_limits import count_undelivered_bytes

__all__ = ["GracefulClose"]

# Interval in seconds of the checks of what the peer has taken.
CHECK_S = 0.25
# Time in seconds for which the peer may keep the connection open after it has taken everything.
LINGER_S = 5.0
# Bytes behind the last request, other than its body, that are read and dropped.
MAX_DROPPED_BYTES = 32 * 1024


class GracefulClose:
    """Closes a connection once its peer has taken everything and has closed its side.

    The stream to the peer ends at once; what still arrives is dropped. A peer that takes nothing
    for `unread_limit_s` seconds is cut off, after a call of `on_unread`; `on_progress` is called
    when it has taken something. If a body `is_receiving`, all of it is read: its sender may not
    read the answer before it has sent the body.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        unread_limit_s: float,
        is_receiving: bool,
        on_unread: Callable[[], None],
        on_progress: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._unread_limit_s = unread_limit_s
        self._droppable_bytes = None if is_receiving else MAX_DROPPED_BYTES
        self._on_unread = on_unread
        self._on_progress = on_progress
        self._loop = asyncio.get_running_loop()
        self._progress_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self.undelivered_bytes = count_undelivered_bytes(transport)
        try:
            transport.write_eof()
        except OSError:  # the peer has reset the connection
            transport.abort()
            return
        transport.resume_reading()
        self._timer = self._loop.call_later(CHECK_S, self._check)

    def drop(self, data: bytes) -> None:
        """Drops bytes that have arrived; of too many, no more are read."""
        if self._droppable_bytes is None:
            return
        self._droppable_bytes -= len(data)
        if self._droppable_bytes >= 0:
            return
        if count_undelivered_bytes(self._transport):
            self._transport.pause_reading()
        else:
            self._transport.close()

    def cancel(self) -> None:
        """Ends the checks; called when the connection is gone."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Closes the connection if the peer has taken everything, or has stopped taking it."""
        if self._transport.is_closing():
            return
        undelivered_bytes, now_s = count_undelivered_bytes(self._transport), self._loop.time()
        if undelivered_bytes != self.undelivered_bytes:
            self.undelivered_bytes, self._progress_s = undelivered_bytes, now_s
            self._on_progress()
        idle_s = now_s - self._progress_s
        if undelivered_bytes and idle_s > self._unread_limit_s:
            self._on_unread()
            self._transport.abort()
        elif not undelivered_bytes and (idle_s > LINGER_S or self._has_dropped_too_much):
            self._transport.close()
        else:
            self._timer = self._loop.call_later(CHECK_S, self._check)

    @property
    def _has_dropped_too_much(self) -> bool:
        """Whether more bytes have arrived than are dropped; reading has ended then."""
        return self._droppable_bytes is not None and self._droppable_bytes < 0
