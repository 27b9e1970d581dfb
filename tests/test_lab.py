import pathlib
import tempfile
import unittest

from lycheepin.cluster.wire import decode_envelope, encode_envelope
from lycheepin.generated.messages import Envelope
from standins.lab import Lab
from standins.layouts import LAYOUTS


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
