import pathlib
import tempfile
import unittest
from collections.abc import Sequence

from soak.__main__ import soak
from soak.switching import ActiveSwitch

SEED = 7
SECONDS = 5.0
DAEMON_COUNT = 3
# Switches of all parties, with their doses.
SWITCHES_ON = (
    ("store.cut-watches", 0.5),
    ("store.high-numbers", 2.0**40),
    ("writer.odd-entries", 20.0),
    ("endpoint.extra-answers", 0.3),
    ("endpoint.chunks", 0.3),
    ("endpoint.early", 1.0),
    ("caller.odd-heads", 1.0),
    ("caller.bodies", 0.1),
    ("caller.pipeline", 0.1),
)


class ShortRun(unittest.IsolatedAsyncioTestCase):
    async def _check_run(self, switches: Sequence[ActiveSwitch]) -> None:
        """Checks that a short soak without time limits reports no violation."""
        with tempfile.TemporaryDirectory() as folder:
            ledger = await soak(
                SEED,
                SECONDS,
                DAEMON_COUNT,
                pathlib.Path(folder),
                check_time_limits=False,
                switches=switches,
            )
        self.assertEqual(ledger.violations, [])
        self.assertGreater(ledger.success_count, 0)

    async def test_short_soak_reports_no_violation(self) -> None:
        await self._check_run(())

    async def test_short_soak_with_hostile_stand_ins_reports_no_violation(self) -> None:
        await self._check_run([ActiveSwitch(*switch, 0.0, SECONDS) for switch in SWITCHES_ON])
