"""Watches a file that may be replaced without a signal, such as the settings file."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

__all__ = ["watch_file"]

# Interval in seconds of the checks; below the 2.5 s within which changes must be in force.
POLL_S = 1.0


async def watch_file(path: str, on_change: Callable[[], None]) -> None:
    """Calls `on_change` when the modification time of a file changes; runs until cancelled."""
    last_mtime_ns = _read_mtime_ns(path)
    while True:
        await asyncio.sleep(POLL_S)
        mtime_ns = _read_mtime_ns(path)
        if mtime_ns != last_mtime_ns:
            last_mtime_ns = mtime_ns
            on_change()


def _read_mtime_ns(path: str) -> int | None:
    """Returns the modification time of a file in nanoseconds; None without a file."""
    try:
        return os.stat(path).st_mtime_ns  # noqa: PTH116 - importing pathlib adds 10 ms to startup
    except OSError:
        return None  # the file is being replaced, or a test has none; checked again later
