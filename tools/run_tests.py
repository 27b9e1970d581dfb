"""Runs the test suite with nose2.

Failures of tests that are listed in KNOWN-RED.txt are printed but don't change the exit status.
"""

from __future__ import annotations

import pathlib
import sys

import nose2

from tools.outcomes import OutcomeCollector

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> set[str]:
    """Returns the test ids in KNOWN-RED.txt, from the lines that start with `test: `."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def main() -> int:
    """Runs the tests, prints the counts and returns the exit status.

    Arguments of the command line are passed on to nose2.
    """
    arguments = ["nose2", "-s", str(ROOT), "-t", str(ROOT), *sys.argv[1:]]
    nose2.discover(argv=arguments, exit=False, plugins=["tools.outcomes"])
    failed = OutcomeCollector.failed
    known_failures = read_known_failures()
    for test_id in failed:
        if test_id in known_failures:
            print(f"known failure (KNOWN-RED.txt): {test_id}")
    unexpected = [test_id for test_id in failed if test_id not in known_failures]
    for test_id in known_failures - set(failed):
        print(f"listed in KNOWN-RED.txt but did not fail, remove it: {test_id}")
    print(f"{len(OutcomeCollector.passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not OutcomeCollector.passed else 0


if __name__ == "__main__":
    sys.exit(main())
