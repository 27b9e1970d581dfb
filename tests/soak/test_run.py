import pathlib
import tempfile
import unittest

from soak.__main__ import soak

SEED = 7
SECONDS = 5.0
DAEMON_COUNT = 3


class ShortRun(unittest.IsolatedAsyncioTestCase):
    async def test_short_soak_without_time_limits_reports_no_violation(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ledger = await soak(
                SEED, SECONDS, DAEMON_COUNT, pathlib.Path(folder), check_time_limits=False
            )
        self.assertEqual(ledger.violations, [])
        self.assertGreater(ledger.success_count, 0)
