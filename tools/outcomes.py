"""A nose2 plugin that collects the outcome of each test."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin

__all__ = ["Outcomes"]


class Outcomes(Plugin):
    """Ids of tests by outcome."""

    alwaysOn = True  # noqa: N815 - nose2's name
    passed: list[str] = []
    failed: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802 - nose2's name
        """Called by nose2."""
        test = event.test.id()
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.exc_info is not None or not event.expected:
            Outcomes.failed.append(test)
        elif event.outcome == "passed":
            Outcomes.passed.append(test)
