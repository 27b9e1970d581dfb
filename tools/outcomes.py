"""A nose2 plugin that records which tests passed and which failed."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin

__all__ = ["OutcomeCollector"]


class OutcomeCollector(Plugin):
    """Collects the ids of passed and failed tests; skipped tests are in neither list.

    The lists belong to the class because nose2 creates the instance.
    """

    alwaysOn = True  # noqa: N815 - nose2's name
    passed: list[str] = []
    failed: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802 - nose2's name
        """Records the outcome of a test or of a failed subtest."""
        test_id = event.test.id()
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.exc_info is not None or not event.expected:
            OutcomeCollector.failed.append(test_id)
        elif event.outcome == "passed":
            OutcomeCollector.passed.append(test_id)
