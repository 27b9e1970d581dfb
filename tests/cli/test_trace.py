import json
import unittest

from lycheepin.cli.trace import trace_request


def line(time: float, event: str, **fields: object) -> str:
    return json.dumps({"time": time, "event": event, "daemon": "d1", **fields})


class Trace(unittest.TestCase):
    def test_story_has_the_request_and_what_was_believed_before(self) -> None:
        lines = [
            "not json",
            line(1.0, "store_lost", reason="TimeoutError()"),
            line(2.0, "endpoint", endpoint="other", draining=True),
            line(2.5, "endpoint_excluded", endpoint="e1", failures=3),
            "  3.1 daemon " + line(3.0, "attempt", request="r1", endpoint="e1", outcome="503"),
            line(3.1, "attempt", request="r2", endpoint="e1", outcome="200"),
            line(3.2, "refused", request="r1", kind="no_capacity"),
            line(9.0, "store_answers"),
        ]
        story = trace_request("r1", lines)
        self.assertEqual(
            [text.split()[3] for text in story],
            ["store_lost", "endpoint_excluded", "attempt", "refused"],
        )
        self.assertIn("kind=no_capacity", story[-1])

    def test_unknown_request_has_no_story(self) -> None:
        self.assertEqual(trace_request("r9", [line(1.0, "start")]), [])
