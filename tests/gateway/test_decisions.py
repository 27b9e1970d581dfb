import fcntl
import json
import os
import unittest
from typing import Any

from logbook import Logger

from lycheepin.gateway.decisions import JsonHandler

# Size in bytes of a pipe that a few lines fill.
PIPE_BYTES = 4096


class SlowReaders(unittest.TestCase):
    """Lines written to a pipe that nobody reads for a while."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.handler = JsonHandler(writer)

    def _write(self, count: int) -> None:
        """Writes some lines of different lengths."""
        logger = Logger("d")
        with self.handler:
            for number in range(count):
                logger.info(
                    "line", extra={"number": number, "padding": "x" * (50 + 37 * number % 90)}
                )

    def _read(self) -> list[dict[str, Any]]:
        """Returns the lines in the pipe; a split one fails to parse."""
        content = os.read(self.reader, 2 * PIPE_BYTES)
        return [json.loads(line) for line in content.split(b"\n")[:-1]]

    def test_writing_never_waits_and_lost_lines_are_told_later(self) -> None:
        self._write(200)
        read = len(self._read())
        self.assertLess(read, 200)
        self._write(2)
        lines = self._read()
        self.assertEqual(lines[-1]["number"], 1)
        told = sum(line.get("dropped_before", 0) for line in lines)
        self.assertGreater(told, 0)

    def test_line_that_fits_in_part_is_finished_before_the_next(self) -> None:
        numbers: list[int] = []
        for _ in range(6):
            self._write(100)
            numbers += [line["number"] for line in self._read()]
        self._write(1)
        self.assertEqual(self._read()[-1]["number"], 0)
        self.assertGreater(len(numbers), 6)
