import os
import signal
import subprocess
import sys
import unittest

# Runs the entry point, but blocks the import of the gateway module, so that signals arrive before
# the gateway has installed its own handlers.
_BLOCKED_IMPORT = """
import sys, time
class BlockImport:
    def find_spec(self, name, path=None, target=None):
        if name == "lycheepin.platform.gateway":
            print("loading", flush=True)
            time.sleep(10)
            sys.exit(3)
sys.meta_path.insert(0, BlockImport())
import runpy
runpy.run_module("lycheepin.platform", run_name="__main__")
"""


class SignalsDuringImportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", _BLOCKED_IMPORT], stdout=subprocess.PIPE, env={**os.environ}
        )
        assert self.process.stdout is not None
        self.assertEqual(self.process.stdout.readline(), b"loading\n")
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.kill)

    def test_sighup_is_ignored(self) -> None:
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(20), 0)

    def test_sigterm_exits_with_status_0(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(20), 0)
