import pathlib
import tempfile
import unittest

from soak.__main__ import soak

SEED = 7
SECONDS = 5.0
DAEMONS = 3


class ShortRun(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_without_a_clock_is_broken(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ledger = await soak(SEED, SECONDS, DAEMONS, pathlib.Path(folder), timed=False)
        self.assertEqual(ledger.violations, [])
        self.assertGreater(ledger.served, 0)
