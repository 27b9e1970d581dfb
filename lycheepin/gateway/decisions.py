"""Structured log lines: one JSON object for each decision, bounded and never blocking."""

from __future__ import annotations

import json
import os
from typing import Any

from logbook import INFO, Handler, Logger, LogRecord

__all__ = ["DecisionLog", "JsonHandler"]

# Lines of one kind in a second, beyond which lines are counted instead: 11 kinds of lines at
# 200 bytes stay under 100 KB/s a process.
LINES_PER_S = 40


class JsonHandler(Handler):  # type: ignore[misc]
    """Writes records as JSON lines to a descriptor that is never waited for.

    A line that fits only in part is finished before the next one, so that no line is split.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__(level=INFO)
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Writes one record; counts it, and says so later, when the reader is too slow."""
        line = {"time": record.time.timestamp(), "event": record.message, **record.extra}
        if self.dropped:
            line["dropped_before"] = self.dropped
        content = json.dumps(line, default=str).encode() + b"\n"
        if self._write(self._rest) and not self._rest and self._write(content):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write(self, content: bytes) -> bool:
        """Writes what fits, keeps the rest for later; returns False when nothing fits."""
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            return False
        self._rest = content[written:]
        return True


class DecisionLog:
    """Counts every decision and writes the first of each second and kind."""

    def __init__(self, name: str, clock: Any) -> None:
        self._logger = Logger(name)
        self._name = name
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self.counts: dict[str, int] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line of an event, or counts it as left out."""
        self.counts[event] = self.counts.get(event, 0) + 1
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
            omitted, self._omitted = self._omitted, {}
            if omitted:
                self._emit("lines_omitted", omitted)
        written = self._written.get(event, 0)
        if written >= LINES_PER_S:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._written[event] = written + 1
        self._emit(event, fields)

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        """Hands one line to the handler."""
        self._logger.info(event, extra={"daemon": self._name, **fields})
