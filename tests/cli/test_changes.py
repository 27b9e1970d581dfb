"""Tests of the command line: changes of the document, the time line, exit statuses."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from lycheepin.cli.changes import set_targets, start_drain, stop_drain
from lycheepin.cli.commands import EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, main
from lycheepin.cli.timeline import render_html, render_text
from lycheepin.clocks import HybridClock
from lycheepin.events import Event, EventRing, merge_events

DOCUMENT = {
    "services": [{"name": "desk", "classes": [{"name": "browse", "answer_target_ms": 5}]}],
    "drains": [],
}


class FixedClock:
    """A clock that stands still."""

    def __init__(self, wall_ms: int) -> None:
        self._wall_ms = wall_ms

    def monotonic(self) -> float:
        return 0.0

    def wall_ms(self) -> int:
        return self._wall_ms


def run(*arguments: str) -> tuple[int, str]:
    """Returns exit status and all output of the command line."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = main(list(arguments))
    return status, output.getvalue()


class ChangesTest(unittest.TestCase):
    def test_targets_change_one_class_and_not_the_given_document(self) -> None:
        changed = set_targets(DOCUMENT, "desk", "browse", {"answer_target_ms": 9})
        self.assertEqual(changed["services"][0]["classes"][0]["answer_target_ms"], 9)
        self.assertEqual(DOCUMENT["services"][0]["classes"][0]["answer_target_ms"], 5)
        with self.assertRaises(KeyError):
            set_targets(DOCUMENT, "desk", "nothing", {})

    def test_drains_are_idempotent(self) -> None:
        once = start_drain(DOCUMENT, "zone", "Regina")
        self.assertEqual(start_drain(once, "zone", "Regina"), once)
        self.assertEqual(stop_drain(stop_drain(once, "zone", "Regina"), "zone", "Regina"), DOCUMENT)


class CommandTest(unittest.TestCase):
    def test_mistakes_are_printed_with_their_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "c.jsonc"
            file.write_text('{\n"fleets": 3,\n"regions": [], "services": []}')
            status, output = run("config", "check", str(file))
        self.assertEqual(status, EXIT_REFUSED)
        self.assertIn("c.jsonc:2: fleets: given 3; allowed: a list", output)

    def test_exit_statuses(self) -> None:
        self.assertEqual(run("version")[0], EXIT_OK)
        self.assertEqual(run("status", "--daemon", "127.77.0.8:1")[0], EXIT_UNREACHABLE)
        self.assertEqual(run("lookup", "unqualified", "127.0.0.1")[0], EXIT_USAGE)
        self.assertEqual(run("targets", "set", "desk", "browse")[0], EXIT_USAGE)


class TimelineTest(unittest.TestCase):
    def test_an_effect_follows_its_cause_although_its_clock_is_behind(self) -> None:
        ahead, behind = HybridClock(FixedClock(2000)), HybridClock(FixedClock(1000))
        first, second = EventRing("a", ahead), EventRing("b", behind)
        cause = first.record("sent")
        behind.observe(cause.stamp)
        effect = second.record("received")
        self.assertEqual(merge_events([second.since(0), first.since(0)]), [cause, effect])

    def test_ring_is_bounded(self) -> None:
        ring = EventRing("a", HybridClock(FixedClock(1)), size=3)
        for number in range(5):
            ring.record("event", str(number))
        self.assertEqual([event.detail for event in ring.since(0)], ["2", "3", "4"])

    def test_page_escapes_what_it_shows(self) -> None:
        event = Event(1 << 16, "a", "kind", "<script>")
        self.assertNotIn("<script>", render_html([event]))
        self.assertIn("kind", render_text([event]))
