import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2] / "lycheepin"
ADAPTER = ROOT / "platform"
# Names of the platform's fields, headers, keys and calls that mean nothing in the core.
WIRE_NAMES = """
nodeName coldRemainingMs trafficSplit homeRegions timeoutMs targetLatencyMs maxAttempts
sessionAffinity healthPath coldStartS coldPerS maxHeaderBytes asOf hasMore tombstone waitMs ttlMs
staleOk precondition createRev ttlS gracePeriodS budgetSlack innerPortRange affinity-key
target-instance not-executed response-signature server-load deadline-ms op/config op/evacuate
servers/ api/ready api/resolve LYCHEEPIN_BOOT
"""
MAX_ADAPTER_LINES = 900


class Boundaries(unittest.TestCase):
    def test_wire_names_stay_in_the_adapter(self) -> None:
        names = "|".join(re.escape(name) for name in WIRE_NAMES.split())
        pattern = re.compile(rf"(?<![\w-])({names})(?![\w-])")
        for path in ROOT.rglob("*.py"):
            if ADAPTER not in path.parents:
                self.assertIsNone(pattern.search(path.read_text(encoding="utf-8")), path)

    def test_core_does_not_import_the_adapter(self) -> None:
        # The command line starts either program; nothing else may know the adapter.
        starter = ROOT / "cli" / "commands.py"
        for path in ROOT.rglob("*.py"):
            if ADAPTER not in path.parents and path != starter:
                text = path.read_text(encoding="utf-8")
                self.assertNotIn("lycheepin.platform", text, path)

    def test_adapter_stays_small(self) -> None:
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in ADAPTER.glob("*.py")
        )
        self.assertLess(lines, MAX_ADAPTER_LINES)

    def test_decisions_do_no_input_or_output(self) -> None:
        for path in (ROOT / "steering").glob("*.py"):
            text = path.read_text(encoding="utf-8")
            for name in ("import asyncio", "socket.socket(", "time.time(", "random.random("):
                self.assertNotIn(name, text, path)
