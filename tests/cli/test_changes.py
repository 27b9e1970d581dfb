"""Tests of the command line: configuration changes, exit statuses and the timeline."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

from lycheepin.cli.changes import set_targets, start_drain, stop_drain
from lycheepin.cli.client import ClientError, DaemonClient
from lycheepin.cli.commands import EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, main
from lycheepin.cli.timeline import render_html, render_text
from lycheepin.clocks import HybridClock
from lycheepin.events import Event, EventRing, merge_events

DOCUMENT = {
    "services": [{"name": "desk", "classes": [{"name": "browse", "answer_target_ms": 5}]}],
    "drains": [],
}


class FixedClock:
    """A clock with a constant time."""

    def __init__(self, wall_ms: int) -> None:
        self._wall_ms = wall_ms

    def monotonic(self) -> float:
        return 0.0

    def wall_ms(self) -> int:
        return self._wall_ms


def run_command(*arguments: str) -> tuple[int, str]:
    """Returns the exit status of the command line and its output on stdout and stderr."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = main(list(arguments))
    return status, output.getvalue()


class ChangesTest(unittest.TestCase):
    def test_set_targets_changes_one_class_in_a_copy_of_the_document(self) -> None:
        changed = set_targets(DOCUMENT, "desk", "browse", {"answer_target_ms": 9})
        self.assertEqual(changed["services"][0]["classes"][0]["answer_target_ms"], 9)
        self.assertEqual(DOCUMENT["services"][0]["classes"][0]["answer_target_ms"], 5)
        with self.assertRaises(KeyError):
            set_targets(DOCUMENT, "desk", "nothing", {})

    def test_starting_or_stopping_a_drain_twice_equals_once(self) -> None:
        drained = start_drain(DOCUMENT, "zone", "Regina")
        self.assertEqual(start_drain(drained, "zone", "Regina"), drained)
        self.assertEqual(
            stop_drain(stop_drain(drained, "zone", "Regina"), "zone", "Regina"), DOCUMENT
        )


class CommandTest(unittest.TestCase):
    def test_config_check_prints_problems_with_line_numbers(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "c.jsonc"
            file.write_text('{\n"fleets": 3,\n"regions": [], "services": []}')
            status, output = run_command("config", "check", str(file))
        self.assertEqual(status, EXIT_REFUSED)
        self.assertIn("c.jsonc:2: fleets: given 3; allowed: a list", output)

    def test_exit_statuses_of_success_unreachable_daemon_and_wrong_usage(self) -> None:
        self.assertEqual(run_command("version")[0], EXIT_OK)
        self.assertEqual(run_command("status", "--daemon", "127.77.0.8:1")[0], EXIT_UNREACHABLE)
        self.assertEqual(run_command("lookup", "unqualified", "127.0.0.1")[0], EXIT_USAGE)
        self.assertEqual(run_command("targets", "set", "desk", "browse")[0], EXIT_USAGE)

    def test_error_answer_without_an_object_is_reported_as_an_error(self) -> None:
        class Answer(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                self.send_response(500)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"[]")

            def log_message(self, *arguments: object) -> None:
                pass

        with HTTPServer(("127.77.0.11", 0), Answer) as server:
            thread = Thread(target=server.handle_request)
            thread.start()
            result = DaemonClient(f"127.77.0.11:{server.server_port}").get("status")
            thread.join()
        self.assertIsInstance(result, ClientError)
        self.assertEqual(result.kind, "error")

    def test_trace_reads_a_log_with_bytes_that_are_not_utf_8(self) -> None:
        event = {"time": 1.0, "event": "refused", "daemon": "d", "request": "r1"}
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "d.log"
            file.write_bytes(b"\xff\xfe\n" + json.dumps(event).encode() + b"\n")
            status, output = run_command("trace", "r1", str(file))
        self.assertEqual(status, EXIT_OK)
        self.assertIn("refused", output)


class TimelineTest(unittest.TestCase):
    def test_merged_events_have_cause_before_effect_despite_clock_skew(self) -> None:
        ahead_clock, lagging_clock = HybridClock(FixedClock(2000)), HybridClock(FixedClock(1000))
        first_ring, second_ring = EventRing("a", ahead_clock), EventRing("b", lagging_clock)
        cause = first_ring.record("sent")
        lagging_clock.observe(cause.stamp)
        effect = second_ring.record("received")
        self.assertEqual(merge_events([second_ring.since(0), first_ring.since(0)]), [cause, effect])

    def test_full_ring_drops_its_oldest_events(self) -> None:
        ring = EventRing("a", HybridClock(FixedClock(1)), size=3)
        for number in range(5):
            ring.record("event", str(number))
        self.assertEqual([event.detail for event in ring.since(0)], ["2", "3", "4"])

    def test_html_page_escapes_event_details(self) -> None:
        event = Event(1 << 16, "a", "kind", "<script>")
        self.assertNotIn("<script>", render_html([event]))
        self.assertIn("kind", render_text([event]))
