import fcntl
import json
import os
import unittest
from typing import Any

from logbook import Logger

from lycheepin.gateway.decisions import JsonHandler

# Capacity of the pipe; a few lines fill it.
PIPE_BYTES = 4096


class SlowReader(unittest.TestCase):
    """The handler writes to a pipe that is not read for a while."""

    def setUp(self) -> None:
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.handler = JsonHandler(write_end)

    def _write_lines(self, count: int) -> None:
        """Writes `count` lines of different lengths."""
        logger = Logger("d")
        with self.handler:
            for number in range(count):
                logger.info(
                    "line", extra={"number": number, "padding": "x" * (50 + 37 * number % 90)}
                )

    def _read_lines(self) -> list[dict[str, Any]]:
        """Returns the lines in the pipe; parsing raises an error if one is not whole."""
        content = os.read(self.read_end, 2 * PIPE_BYTES)
        return [json.loads(line) for line in content.split(b"\n")[:-1]]

    def test_full_pipe_drops_lines_and_a_later_line_reports_their_number(self) -> None:
        self._write_lines(200)
        line_count = len(self._read_lines())
        self.assertLess(line_count, 200)
        self._write_lines(2)
        lines = self._read_lines()
        self.assertEqual(lines[-1]["number"], 1)
        dropped = sum(line.get("dropped_before", 0) for line in lines)
        self.assertGreater(dropped, 0)

    def test_partly_written_line_is_completed_before_the_next(self) -> None:
        numbers: list[int] = []
        for _ in range(6):
            self._write_lines(100)
            numbers += [line["number"] for line in self._read_lines()]
        self._write_lines(1)
        self.assertEqual(self._read_lines()[-1]["number"], 0)
        self.assertGreater(len(numbers), 6)
