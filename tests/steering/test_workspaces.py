import unittest

from lycheepin.names import RegionName, WorkspaceName
from lycheepin.steering.workspaces import Workspace, WorkspaceKeys, intersect_regions

ALPHA = Workspace(WorkspaceName("alpha"))
BETA = Workspace(WorkspaceName("beta"))


class WorkspaceKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keys = WorkspaceKeys.from_keys([(ALPHA, ["a1", "a2", ""]), (BETA, ["b1"])])

    def test_each_key_identifies_its_workspace(self) -> None:
        for key, workspace in ((b"a1", ALPHA), (b"a2", ALPHA), (b"b1", BETA)):
            self.assertIs(self.keys.identify([b"Bearer " + key]), workspace)

    def test_scheme_may_have_any_case_and_more_spaces(self) -> None:
        for value in (b"bearer a1", b"BEARER a1", b"Bearer   a1", b" Bearer a1 "):
            self.assertIs(self.keys.identify([value]), ALPHA)

    def test_other_credentials_identify_nobody(self) -> None:
        odd = (b"", b"Bearer", b"Bearer ", b"a1", b"Basic a1", b"Bearera1", b"Bearer A1")
        for value in (*odd, b"Bearer a1 a2", b"Bearer a1,", b'Bearer "a1"', b"Bearer \xff"):
            self.assertIsNone(self.keys.identify([value]), value)

    def test_two_credentials_identify_nobody(self) -> None:
        self.assertIsNone(self.keys.identify([b"Bearer a1", b"Bearer a1"]))
        self.assertIsNone(self.keys.identify([]))

    def test_key_of_two_workspaces_identifies_nobody(self) -> None:
        keys = WorkspaceKeys.from_keys([(ALPHA, ["a", "x"]), (BETA, ["b", "x"])])
        self.assertIsNone(keys.identify([b"Bearer x"]))
        self.assertIs(keys.identify([b"Bearer b"]), BETA)

    def test_key_twice_in_a_workspace_identifies_it(self) -> None:
        keys = WorkspaceKeys.from_keys([(ALPHA, ["a", "a"])])
        self.assertIs(keys.identify([b"Bearer a"]), ALPHA)

    def test_keys_that_no_header_carries_harm_nothing(self) -> None:
        keys = WorkspaceKeys.from_keys([(ALPHA, ["\ud800", "line\nbreak", "a"])])
        self.assertIs(keys.identify([b"Bearer a"]), ALPHA)

    def test_keys_are_not_shown(self) -> None:
        self.assertNotIn("a1", repr(self.keys))


class RegionsTest(unittest.TestCase):
    def test_empty_set_allows_all_regions(self) -> None:
        north, south = (frozenset({RegionName(name)}) for name in ("north", "south"))
        anywhere: frozenset[RegionName] = frozenset()
        self.assertEqual(intersect_regions(anywhere, anywhere), anywhere)
        self.assertEqual(intersect_regions(north, anywhere), north)
        self.assertEqual(intersect_regions(anywhere, south), south)
        self.assertEqual(intersect_regions(north | south, south), south)
        self.assertIsNone(intersect_regions(north, south))
