import pathlib
import tempfile
import unittest

from lycheepin.cluster.wire import decode_envelope, encode_envelope
from lycheepin.generated.messages import Envelope
from standins.lab import Lab
from standins.layouts import LAYOUTS


class Identity(unittest.TestCase):
    def test_daemons_of_two_labs_do_not_believe_each_other(self) -> None:
        layout = next(iter(LAYOUTS.values()))
        with tempfile.TemporaryDirectory() as folder:
            first, second = (
                Lab(layout, pathlib.Path(folder) / name, ["true"], 1) for name in ("a", "b")
            )
        datagram = encode_envelope(Envelope(1, 2), first.peer_key.encode())
        self.assertEqual(decode_envelope(datagram, first.peer_key.encode()).incarnation, 2)
        with self.assertRaises(ValueError):
            decode_envelope(datagram, second.peer_key.encode())
