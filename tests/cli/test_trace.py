"""Tests of the trace of one request from log lines."""

import json
import unittest

from lycheepin.cli.trace import trace_request


def make_log_line(time: float, event: str, **fields: object) -> str:
    return json.dumps({"time": time, "event": event, "daemon": "d1", **fields})


class TraceTest(unittest.TestCase):
    def test_trace_includes_earlier_state_changes_of_the_request_endpoints(self) -> None:
        log_lines = [
            "not json",
            make_log_line(1.0, "store_lost", reason="TimeoutError()"),
            make_log_line(2.0, "endpoint", endpoint="other", draining=True),
            make_log_line(2.5, "endpoint_excluded", endpoint="e1", failures=3),
            "  3.1 daemon "
            + make_log_line(3.0, "attempt", request="r1", endpoint="e1", outcome="503"),
            make_log_line(3.1, "attempt", request="r2", endpoint="e1", outcome="200"),
            make_log_line(3.2, "refused", request="r1", kind="no_capacity"),
            make_log_line(9.0, "store_answers"),
        ]
        trace_lines = trace_request("r1", log_lines)
        self.assertEqual(
            [trace_line.split()[3] for trace_line in trace_lines],
            ["store_lost", "endpoint_excluded", "attempt", "refused"],
        )
        self.assertIn("kind=no_capacity", trace_lines[-1])

    def test_unknown_request_has_an_empty_trace(self) -> None:
        self.assertEqual(trace_request("r9", [make_log_line(1.0, "start")]), [])
