"""An interface for clocks, the system's clock, and a hybrid logical clock for event stamps."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "HybridClock", "Stamp", "SystemClock", "format_stamp"]

Stamp = int

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
_MS_PER_S = 1000


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds; it never goes back."""

    def wall_ms(self) -> int:
        """Returns the wall-clock time in milliseconds since the epoch."""


class SystemClock:
    """The machine's clocks. Wall time is read once and then advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def monotonic(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Returns wall time in milliseconds; it never goes back within a process."""
        return int((self._offset_s + time.monotonic()) * _MS_PER_S)


class HybridClock:
    """Hybrid logical clock; a stamp has 48 bits of milliseconds and a 16-bit counter."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last: Stamp = 0

    def stamp(self) -> Stamp:
        """Returns a stamp later than all stamps returned or observed before."""
        self._last = max(self._last + 1, self._clock.wall_ms() << _COUNTER_BITS)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Advances the clock to a stamp from another process, so that its next stamp is later."""
        self._last = max(self._last, stamp)


def format_stamp(stamp: Stamp) -> str:
    """Returns a stamp as UTC time with milliseconds and counter."""
    wall_ms = stamp >> _COUNTER_BITS
    seconds, milliseconds = divmod(wall_ms, _MS_PER_S)
    text = time.strftime("%H:%M:%S", time.gmtime(seconds))
    return f"{text}.{milliseconds:03d}+{stamp & _COUNTER_MASK}"
