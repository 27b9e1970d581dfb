"""Configurations whose fields are missing, null, empty or 0."""

from __future__ import annotations

import json
import unittest
from typing import Any

from lycheepin.errors import DECODE_ERRORS
from lycheepin.names import RegionName
from lycheepin.platform.configurations import DEFAULT_TIMEOUT_S, decode_configuration
from lycheepin.steering.routes import Route, RoutingTable
from lycheepin.steering.workspaces import Workspace
from standins.messages import configuration

ABSENT = object()


def decode(document: dict[str, Any]) -> RoutingTable:
    return decode_configuration(json.dumps(document).encode())


def build(path: str, value: Any) -> dict[str, Any]:
    """Returns a configuration with one workspace and one field, named by its path, replaced."""
    document = configuration() | {"tenants": {"alpha": {"apiKeys": ["a1"]}}}
    *parents, name = path.split(".")
    place = document
    for parent in parents:
        place = place[parent]
    if value is ABSENT:
        place.pop(name, None)
    else:
        place[name] = value
    return document


def find_route(table: RoutingTable) -> Route:
    route = table.match("a.example", "/read/1")
    assert route is not None
    return route


def find_workspace(table: RoutingTable) -> Workspace:
    assert table.workspaces is not None
    (workspace,) = table.workspaces.by_name.values()
    return workspace


class MissingAndEmptyFields(unittest.TestCase):
    # Guards against the removal of the last workspace being taken for a deployment without
    # workspaces: requests with any key were served (review/8).
    def test_only_a_missing_table_of_workspaces_means_that_no_keys_are_needed(self) -> None:
        self.assertIsNone(decode(build("tenants", ABSENT)).workspaces)
        workspaces = decode(build("tenants", {})).workspaces
        assert workspaces is not None
        self.assertEqual(workspaces.by_name, {})
        self.assertIsNone(workspaces.identify([b"Bearer a1"]))

    def test_workspace_without_keys_identifies_nobody(self) -> None:
        for value in (ABSENT, [], [""]):
            workspaces = decode(build("tenants.alpha.apiKeys", value)).workspaces
            assert workspaces is not None
            for credentials in (b"", b"Bearer", b"Bearer ", b"Bearer a1"):
                self.assertIsNone(workspaces.identify([credentials]), value)

    def test_limits_of_a_workspace_that_are_0_or_missing_are_none(self) -> None:
        for field in ("ratePerS", "burst"):
            for value in (ABSENT, 0):
                workspace = find_workspace(decode(build(f"tenants.alpha.{field}", value)))
                self.assertEqual((workspace.rate_per_s, workspace.burst), (0.0, 0.0))
        for value, expected in ((ABSENT, None), (0, 0)):
            workspace = find_workspace(decode(build("tenants.alpha.priority", value)))
            self.assertEqual(workspace.priority, expected)

    def test_no_home_regions_are_all_regions(self) -> None:
        for value in (ABSENT, []):
            table = decode(build("routes.read.homeRegions", value))
            self.assertEqual(find_route(table).allowed_regions, frozenset())
            table = decode(build("tenants.alpha.homeRegions", value))
            self.assertEqual(find_workspace(table).allowed_regions, frozenset())
        table = decode(build("routes.read.homeRegions", ["north"]))
        self.assertEqual(find_route(table).allowed_regions, {RegionName("north")})

    def test_route_needs_a_key_unless_it_says_that_it_is_public(self) -> None:
        for value, expected in ((ABSENT, False), (False, False), (True, True)):
            table = decode(build("routes.read.public", value))
            self.assertIs(find_route(table).is_public, expected)

    def test_timeout_that_is_0_or_missing_is_the_default(self) -> None:
        for value in (ABSENT, 0):
            table = decode(build("routes.read.timeoutMs", value))
            self.assertEqual(find_route(table).timeout_s, DEFAULT_TIMEOUT_S)

    def test_route_without_a_split_goes_to_its_service(self) -> None:
        for value in (ABSENT, []):
            (share,) = find_route(decode(build("routes.read.trafficSplit", value))).shares
            self.assertEqual((share.service, share.weight), ("desk", 1.0))

    # Guards against requests going to a service that has no weight.
    def test_route_that_goes_nowhere_is_refused(self) -> None:
        for weights in ([], [0], [0, 0.0]):
            document = build("routes.read.service", ABSENT)
            document["routes"]["read"]["trafficSplit"] = [
                {"service": "desk", "weight": weight} for weight in weights
            ]
            with self.assertRaises(DECODE_ERRORS):
                decode(document)

    def test_empty_tables_and_limits_of_0_allow_nothing(self) -> None:
        table = decode(build("routes", {}))
        self.assertIsNone(table.match("a.example", "/read/1"))
        self.assertEqual(decode(build("services", {})).services, {})
        for name in ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"):
            decode(build(f"limits.{name}", 0))

    # Guards against a null or a value of another type opening what was closed.
    def test_nulls_and_values_of_another_type_are_refused(self) -> None:
        wrong: dict[str, tuple[Any, ...]] = {
            "tenants": (None, [], "", 0, False),
            "tenants.alpha": (None, [], ""),
            "tenants.alpha.apiKeys": (None, {}, "a1", [None], [7]),
            "tenants.alpha.homeRegions": (None, {}, "north", [None]),
            "tenants.alpha.ratePerS": (None, "", [], False, -1),
            "tenants.alpha.burst": (None, "", [], False, -1),
            "tenants.alpha.priority": (None, "", [], False, -1),
            "routes": (None, []),
            "routes.read.public": (None, 0, 1, "", "true"),
            "routes.read.homeRegions": (None, {}, "north"),
            "routes.read.trafficSplit": (None, {}, ""),
            "routes.read.timeoutMs": (None, "", -1, False),
            "routes.read.maxAttempts": (None, 0, -1, "", False),
            "routes.read.kind": (None, 0, []),
            "routes.read.service": (None, 0, []),
            "services": (None, []),
            "limits": (None, [], ABSENT),
            "limits.maxBodyBytes": (None, -1, "", ABSENT),
            "version": (None, 0, "", ABSENT),
        }
        for path, values in wrong.items():
            for value in values:
                with self.subTest(path=path, value=value), self.assertRaises(DECODE_ERRORS):
                    decode(build(path, value))
