import os
import signal
import subprocess
import sys
import unittest

# Runs the entry point, but stands still where its first module of the gateway would be loaded.
_HALTED = """
import sys, time
class Halt:
    def find_spec(self, name, path=None, target=None):
        if name == "lycheepin.platform.gateway":
            print("loading", flush=True)
            time.sleep(10)
            sys.exit(3)
sys.meta_path.insert(0, Halt())
import runpy
runpy.run_module("lycheepin.platform", run_name="__main__")
"""


class SignalsWhileLoading(unittest.TestCase):
    def setUp(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", _HALTED], stdout=subprocess.PIPE, env={**os.environ}
        )
        assert self.process.stdout is not None
        self.assertEqual(self.process.stdout.readline(), b"loading\n")
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.kill)

    def test_hup_does_not_end_the_process(self) -> None:
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(20), 0)

    def test_term_ends_it_with_status_0(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(20), 0)
