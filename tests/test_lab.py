import os
import pathlib
import signal
import subprocess
import tempfile
import unittest

from lycheepin.cluster.wire import decode_envelope, encode_envelope
from lycheepin.generated.messages import Envelope
from standins.lab import Lab
from standins.layouts import LAYOUTS


class DaemonEndTest(unittest.TestCase):
    def test_end_of_a_daemon_is_described_by_its_status_or_signal(self) -> None:
        layout = next(iter(LAYOUTS.values()))
        with tempfile.TemporaryDirectory() as folder:
            lab = Lab(layout, pathlib.Path(folder), ["true"], 1)
            for name, arguments in (("f/a", ["false"]), ("f/b", ["sleep", "60"])):
                lab.daemons[name] = subprocess.Popen(arguments, start_new_session=True)
            lab.signal_daemon("f/b", signal.SIGHUP)
            for process in lab.daemons.values():
                process.wait()
            self.assertEqual(
                lab.describe_ended_daemons(),
                ["f/a ended with status 1", "f/b was ended by SIGHUP"],
            )

    def test_daemon_runs_in_a_session_of_its_own(self) -> None:
        layout = next(iter(LAYOUTS.values()))
        with tempfile.TemporaryDirectory() as folder:
            lab = Lab(layout, pathlib.Path(folder), ["tail", "-f", "/dev/null"], 1)
            lab.start_daemon(lab.entry_vms[0])
            (daemon,) = lab.daemons.values()
            self.assertEqual(os.getsid(daemon.pid), daemon.pid)
            daemon.kill()
            daemon.wait()


class PeerKeyTest(unittest.TestCase):
    def test_datagram_of_another_lab_is_rejected(self) -> None:
        layout = next(iter(LAYOUTS.values()))
        with tempfile.TemporaryDirectory() as folder:
            first_lab, second_lab = (
                Lab(layout, pathlib.Path(folder) / name, ["true"], 1) for name in ("a", "b")
            )
        datagram = encode_envelope(Envelope(1, 2), first_lab.peer_key.encode())
        self.assertEqual(decode_envelope(datagram, first_lab.peer_key.encode()).incarnation, 2)
        with self.assertRaises(ValueError):
            decode_envelope(datagram, second_lab.peer_key.encode())
