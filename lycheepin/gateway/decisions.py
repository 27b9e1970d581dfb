"""Structured log: one JSON line for each decision, rate-limited and non-blocking."""

from __future__ import annotations

import json
import os
from typing import Any

from logbook import INFO, Handler, Logger, LogRecord

__all__ = ["DecisionLog", "JsonHandler"]

# Most lines of one event per second; further ones are only counted. With 11 kinds of events and
# 200 bytes per line, a process writes less than 100 KB/s.
MAX_LINES_PER_S = 40


class JsonHandler(Handler):  # type: ignore[misc]
    """Writes records as JSON lines to a file descriptor without blocking.

    Lines that can't be written are dropped. A line that is written in part is completed before the
    next one, so that every line is whole.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__(level=INFO)
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Writes a record or drops it; a later line reports the number of dropped records."""
        line = {"time": record.time.timestamp(), "event": record.message, **record.extra}
        if self.dropped:
            line["dropped_before"] = self.dropped
        content = json.dumps(line, default=str).encode() + b"\n"
        if (
            self._write_bytes(self._unwritten)
            and not self._unwritten
            and self._write_bytes(content)
        ):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write_bytes(self, content: bytes) -> bool:
        """Writes as much as possible and keeps the rest; returns False if nothing was written."""
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            return False
        self._unwritten = content[written:]
        return True


class DecisionLog:
    """Counts all events; writes the first `MAX_LINES_PER_S` lines of each event in each second."""

    def __init__(self, name: str, clock: Any) -> None:
        self._logger = Logger(name)
        self._name = name
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self.counts: dict[str, int] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line for an event, or counts it as omitted if there are too many."""
        self.counts[event] = self.counts.get(event, 0) + 1
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
            omitted, self._omitted = self._omitted, {}
            if omitted:
                self._emit_line("lines_omitted", omitted)
        written = self._written.get(event, 0)
        if written >= MAX_LINES_PER_S:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._written[event] = written + 1
        self._emit_line(event, fields)

    def _emit_line(self, event: str, fields: dict[str, Any]) -> None:
        """Passes a line to the log handlers."""
        self._logger.info(event, extra={"daemon": self._name, **fields})
