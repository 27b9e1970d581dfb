import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2] / "lycheepin"
ADAPTER = ROOT / "platform"
# Fields, headers, keys and calls of the platform's interface; no other package may use them.
WIRE_NAMES = """
nodeName coldRemainingMs trafficSplit homeRegions timeoutMs targetLatencyMs maxAttempts
sessionAffinity healthPath coldStartS coldPerS maxHeaderBytes asOf hasMore tombstone waitMs ttlMs
staleOk precondition createRev ttlS gracePeriodS budgetSlack innerPortRange affinity-key
target-instance not-executed response-signature server-load deadline-ms op/config op/evacuate
servers/ api/ready api/resolve LYCHEEPIN_BOOT
"""
MAX_ADAPTER_LINES = 900


class AdapterBoundaryTest(unittest.TestCase):
    def test_wire_names_occur_only_in_the_adapter(self) -> None:
        names = "|".join(re.escape(name) for name in WIRE_NAMES.split())
        pattern = re.compile(rf"(?<![\w-])({names})(?![\w-])")
        for path in ROOT.rglob("*.py"):
            if ADAPTER not in path.parents:
                self.assertIsNone(pattern.search(path.read_text(encoding="utf-8")), path)

    def test_other_packages_do_not_import_the_adapter(self) -> None:
        # The command line starts the gateway process; no other module may import the adapter.
        command_line = ROOT / "cli" / "commands.py"
        for path in ROOT.rglob("*.py"):
            if ADAPTER not in path.parents and path != command_line:
                text = path.read_text(encoding="utf-8")
                self.assertNotIn("lycheepin.platform", text, path)

    def test_adapter_is_smaller_than_the_line_limit(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in ADAPTER.glob("*.py")
        )
        self.assertLess(lines, MAX_ADAPTER_LINES)

    def test_steering_uses_no_io_clock_or_random_numbers(self) -> None:
        for path in (ROOT / "steering").glob("*.py"):
            text = path.read_text(encoding="utf-8")
            for name in ("import asyncio", "socket.socket(", "time.time(", "random.random("):
                self.assertNotIn(name, text, path)
