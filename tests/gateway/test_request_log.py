"""Lines that explain why a request is not sent."""

import unittest
from types import SimpleNamespace
from typing import Any, cast

from lycheepin.errors import ErrorKind
from lycheepin.gateway.request_log import RequestLog
from lycheepin.names import RegionName, WorkspaceName
from lycheepin.steering.choices import Claim, Refusal, RefusalRule
from lycheepin.steering.workspaces import Workspace


class NotPlaced(unittest.IsolatedAsyncioTestCase):
    def _write(self, claim: Claim, rule: RefusalRule) -> dict[str, Any]:
        """Returns the fields of the line about a refusal."""
        lines: list[dict[str, Any]] = []
        log = SimpleNamespace(write=lambda event, **fields: lines.append(fields))
        progress = SimpleNamespace(
            arrival_s=0.0,
            waited_s=0.0,
            identifier="r1",
            service="desk",
            priority=2,
            route=SimpleNamespace(name="r", target_s=1.0),
            workspace=Workspace(WorkspaceName("birch")),
        )
        refusal = Refusal(ErrorKind.NO_CAPACITY, 0.5, rule=rule, claim=claim)
        request_log = RequestLog(cast(Any, log), cast(Any, None), cast(Any, None))
        request_log.write_not_placed(cast(Any, progress), refusal)
        return lines[0]

    async def test_workspace_over_its_share_is_logged_with_both_figures(self) -> None:
        claim = Claim(RegionName("north"), 38, 21.46, 0.5, RefusalRule.OVER_SHARE)
        fields = self._write(claim, RefusalRule.OVER_SHARE)
        self.assertEqual(fields["rule"], "over_share")
        self.assertEqual(
            (fields["workspace"], fields["used"], fields["share"]), ("birch", 38, 21.5)
        )

    async def test_room_kept_for_higher_priorities_is_logged(self) -> None:
        claim = Claim(RegionName("north"), kept=0.5, rule=RefusalRule.PRIORITY)
        fields = self._write(claim, RefusalRule.PRIORITY)
        self.assertEqual((fields["rule"], fields["priority"], fields["kept"]), ("priority", 2, 0.5))
        self.assertNotIn("share", fields)
