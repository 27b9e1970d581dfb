"""Shares and claims of workspaces and priorities at the endpoints of one service and region."""

import unittest
from math import inf

from lycheepin.names import RegionName, WorkspaceName
from lycheepin.steering.choices import AttemptRequirements, Claim, Refusal, RefusalRule
from lycheepin.steering.contention import WINDOW_S, Contention, find_level
from lycheepin.steering.workspaces import Workspace
from tests.steering.builders import (
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
    record,
)

NORTH, SOUTH = RegionName("north"), RegionName("south")
HOT, OTHER = Workspace(WorkspaceName("hot")), Workspace(WorkspaceName("other"))


def find_requirements(workspace: Workspace | None, priority: int = 1) -> AttemptRequirements:
    return build_requirements(priority=priority, workspace=workspace)


class Level(unittest.TestCase):
    def test_what_one_does_not_use_the_others_may(self) -> None:
        self.assertEqual(find_level([(2, 1), (20, 1), (30, 1)], 22), 10)
        self.assertEqual(find_level([(2, 1), (90, 1), (90, 2)], 32), 10)
        self.assertEqual(find_level([(2, 1), (20, 1)], 22), inf)
        self.assertEqual(find_level([(5, 1)], 0), 0)


class Claims(unittest.TestCase):
    def setUp(self) -> None:
        self.contention = Contention()

    def _count(
        self, workspace: Workspace | None, sent: int, refused: int, priority: int = 1
    ) -> None:
        """Counts requests of a workspace at time 0, of which some found no room."""
        for number in range(sent + refused):
            is_sent = number < sent
            self.contention.count_request(
                find_requirements(workspace, priority), NORTH, is_sent, not is_sent, 0.0
            )

    def _find_claim(
        self,
        workspace: Workspace | None,
        priority: int = 1,
        region: RegionName = NORTH,
        now_s: float = 0.5,
    ) -> Claim:
        return self.contention.find_claim(find_requirements(workspace, priority), region, now_s)

    def test_only_the_workspace_beyond_its_share_is_held_back_while_room_lacks(self) -> None:
        self._count(HOT, 40, 40)
        self._count(OTHER, 8, 2)
        claim = self._find_claim(HOT)
        self.assertEqual((claim.rule, claim.used, claim.share), (RefusalRule.OVER_SHARE, 40, 38))
        self.assertIsNone(self._find_claim(OTHER).rule)
        self.assertIsNone(self._find_claim(HOT, region=SOUTH).rule)
        self.assertIsNone(self._find_claim(HOT, now_s=WINDOW_S + 0.5).rule)

    def test_nobody_is_held_back_while_nothing_is_refused(self) -> None:
        self._count(HOT, 80, 0)
        self._count(OTHER, 8, 0)
        self.assertEqual(self._find_claim(HOT), Claim(NORTH))

    def test_shares_follow_quotas(self) -> None:
        large = Workspace(WorkspaceName("large"), rate_per_s=90.0)
        small = Workspace(WorkspaceName("small"), rate_per_s=10.0)
        self._count(large, 40, 20)
        self._count(small, 20, 40)
        self.assertIsNone(self._find_claim(large).rule)
        self.assertIs(self._find_claim(small).rule, RefusalRule.OVER_SHARE)

    def test_large_workspace_gets_half_of_what_all_are_served_whatever_its_share(self) -> None:
        self._count(HOT, 10, 190)
        for number in range(9):
            self._count(Workspace(WorkspaceName(f"small-{number}")), 10, 10)
        self.assertIsNone(self._find_claim(HOT).rule)

    def test_in_a_share_higher_priorities_come_first(self) -> None:
        self._count(HOT, 38, 60, priority=2)
        self._count(HOT, 2, 0, priority=0)
        self._count(OTHER, 8, 2)
        self.assertIs(self._find_claim(HOT, priority=2).rule, RefusalRule.OVER_SHARE)
        self.assertIsNone(self._find_claim(HOT, priority=0).rule)

    def test_room_is_kept_for_a_higher_priority_that_lacks_it(self) -> None:
        for workspace in (HOT, OTHER):
            self._count(workspace, 6, 6, priority=0)
            self._count(workspace, 4, 6, priority=2)
        claim = self._find_claim(Workspace(WorkspaceName("new")), priority=2)
        self.assertIs(claim.rule, RefusalRule.PRIORITY)
        self.assertGreater(claim.kept, 0.0)
        self.assertIsNone(self._find_claim(Workspace(WorkspaceName("new")), priority=0).rule)

    def test_without_workspaces_only_the_order_of_priorities_holds_back(self) -> None:
        self._count(None, 20, 20, priority=1)
        self._count(None, 20, 30, priority=2)
        self.assertEqual(self._find_claim(None, priority=2), Claim(NORTH))
        self._count(None, 30, 0, priority=2)
        self.assertIs(self._find_claim(None, priority=2, now_s=0.9).rule, RefusalRule.PRIORITY)

    def test_counts_are_dropped_with_their_window(self) -> None:
        for number in range(1000):
            workspace = Workspace(WorkspaceName(f"w{number}"))
            now_s = number / 100
            self.contention.count_request(find_requirements(workspace), NORTH, True, False, now_s)
        window = self.contention._windows[find_requirements(None).service, NORTH]
        self.assertLessEqual(len(window.counts.workspaces), 100 * WINDOW_S)
        self.assertEqual(window.counts.total.demand, len(window.counts.workspaces))


class HeldBack(unittest.TestCase):
    """The dispatcher's choice between workspaces at endpoints whose slots are in use."""

    def test_workspace_beyond_its_share_is_refused_where_another_one_may_wait(self) -> None:
        registry = build_registry(*(record(f"e{number}", slots=10) for number in range(4)))
        dispatcher = build_dispatcher(registry)
        for endpoint in registry.all():
            endpoint.in_flight = 9
            for _ in range(200):
                registry.observe_answer(endpoint, 0.0, 0.1)
        for _ in range(30):
            dispatcher.choose_endpoint(find_requirements(HOT), SPEC, 0.0)
        for endpoint in registry.all():
            endpoint.in_flight = 30
        for workspace in [HOT] * 30 + [OTHER] * 10:
            dispatcher.choose_endpoint(find_requirements(workspace), SPEC, 0.0)
        for endpoint in registry.all():
            endpoint.in_flight = 10
        refusal = dispatcher.choose_endpoint(find_requirements(HOT), SPEC, 0.3)
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.rule, RefusalRule.OVER_SHARE)
        self.assertNotIsInstance(
            dispatcher.choose_endpoint(find_requirements(OTHER), SPEC, 0.3), Refusal
        )
        for endpoint in registry.all():
            endpoint.in_flight = 5
        self.assertNotIsInstance(
            dispatcher.choose_endpoint(find_requirements(HOT), SPEC, 0.3), Refusal
        )
