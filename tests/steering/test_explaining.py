"""Explanations of where a request would go: as decided, from a saved copy, and counting nothing."""

from __future__ import annotations

import dataclasses
import json
import random
import unittest

from lycheepin.errors import ErrorKind
from lycheepin.names import DaemonName, EndpointId, RegionName, WorkspaceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, Carriers
from lycheepin.steering.choices import Refusal
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.explaining import RequestDescription, RequestExplanation, explain_request
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.quota_shares import QuotaShares, QuotaTerms
from lycheepin.steering.quotas import QuotaLedger, QuotaRefusal
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.region_shares import RegionShares
from lycheepin.steering.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from lycheepin.steering.saved_state import SteeringState
from lycheepin.steering.workspaces import Workspace, WorkspaceKeys
from tests.steering.builders import OWN, SERVICE, SPEC, build_registry, build_requirements, record

NORTH, SOUTH = RegionName("north"), RegionName("south")
PEER = DaemonName("daemon-2")
OTHER = dataclasses.replace(SPEC, name=type(SERVICE)("files"))


def build_route(name: str = "read", *services: ServiceSpec, **changes: object) -> Route:
    """Returns a route whose requests are split equally over some services."""
    shares = tuple(ServiceShare(spec.name, 1.0) for spec in services or (SPEC,))
    route = Route(
        name, "a.example", f"/{name}/", RequestKind.IDEMPOTENT, 1.5, 0.8, 1, shares, 2, True,
        frozenset(),
    )  # fmt: skip
    return dataclasses.replace(route, **changes)  # type: ignore[arg-type]


ALPHA = Workspace(WorkspaceName("alpha"), 0, 5.0, 10.0)
OMEGA = Workspace(WorkspaceName("omega"), 0, 50.0, 10.0)
TABLE = RoutingTable.from_routes(
    5,
    (
        build_route(),
        build_route("open", is_public=True),
        build_route("split", SPEC, OTHER),
        build_route("south", allowed_regions=frozenset({SOUTH})),
    ),
    {spec.name: spec for spec in (SPEC, OTHER)},
    CallerLimits(),
    WorkspaceKeys.from_keys(
        (
            (ALPHA, ("key-a",)),
            (Workspace(WorkspaceName("north"), allowed_regions=frozenset({NORTH})), ("key-n",)),
        )
    ),
)


class Daemon:
    """A daemon's state with endpoints in both regions, some cold, limited, excluded or missing."""

    def __init__(self, cold: bool = False) -> None:
        records = [record(f"n{n}", "north", cold_s=9.0 if cold else 0.0) for n in range(4)]
        records += [record(f"s{n}", "south", cold_s=9.0 if cold else 0.0) for n in range(2)]
        self.registry = build_registry(*records)
        carriers = Carriers(OWN, lambda: (OWN, PEER), lambda name: NORTH)
        self.rate_limits = RateLimits(OWN, carriers)
        self.dispatcher = Dispatcher(
            self.registry,
            Placement(self.registry, NORTH),
            BudgetLimits(cold_over=1.5, cold_slack=4.0),
            carriers,
            self.rate_limits,
            RegionShares(NORTH, 0.15),
        )
        if not cold:
            self.rate_limits.observe_answer(EndpointId("n0"), 2.0, 0.0, 0.0)

    def capture(self, now_s: float) -> SteeringState:
        """Returns the daemon's state."""
        return SteeringState.capture(
            OWN, TABLE, self.registry, self.dispatcher, now_s, 1e9, 0.5, {}
        )

    def step(self, source: random.Random, now_s: float) -> str:
        """Sends a request or ends one, and returns what was decided."""
        for endpoint in self.registry.all():
            if endpoint.in_flight and source.random() < 0.3:
                endpoint.end_request(now_s, True)
                self.registry.observe_answer(endpoint, now_s, source.random())
                endpoint.observe_load(now_s, source.randrange(6), source.randrange(3))
        requirements = build_requirements(
            str(source.randrange(9)),
            0,
            target_at_s=now_s + 0.8,
            deadline_s=now_s + 2.0,
            workspace=source.choice((ALPHA, ALPHA, ALPHA, OMEGA)),
        )
        choice = self.dispatcher.choose_endpoint(requirements, SPEC, now_s)
        if isinstance(choice, Refusal):
            return choice.kind.value
        choice.endpoint.start_request(now_s)
        if source.random() < 0.05:
            choice.endpoint.observe_failure(now_s, exclude_now=True)
        return choice.endpoint.record.id


def ask(path: str = "/read/1", key: str = "7", name: str | None = "alpha") -> RequestDescription:
    """Returns a request that is asked about."""
    return RequestDescription("A.example", path, key, WorkspaceName(name) if name else None)


class Explaining(unittest.TestCase):
    # Guards against an explanation that uses up what requests may use.
    def test_explaining_changes_no_state(self) -> None:
        for cold in (False, True):
            asked, unasked = Daemon(cold), Daemon(cold)
            sources = random.Random(4), random.Random(4)
            seen = set()
            for number in range(600):
                now_s = number * 0.01
                before = asked.capture(now_s)
                for _ in range(3):
                    explain_request(TABLE, asked.dispatcher, ask(key=str(number % 9)), now_s)
                self.assertEqual(asked.capture(now_s), before)
                decided = asked.step(sources[0], now_s)
                self.assertEqual(decided, unasked.step(sources[1], now_s))
                seen.add(decided)
            self.assertGreater(len(seen), 4, seen)
            self.assertEqual(asked.capture(7.0), unasked.capture(7.0))

    def test_explanation_is_what_is_decided_next_also_from_a_saved_copy(self) -> None:
        for cold in (False, True):
            daemon, source = Daemon(cold), random.Random(5)
            for number in range(300):
                now_s = number * 0.01
                content = daemon.capture(now_s).encode()
                saved = SteeringState.decode(content)
                self.assertEqual(saved.encode(), content)
                request = ask(key=str(source.randrange(9)))
                (live,) = explain_request(TABLE, daemon.dispatcher, request, now_s).services
                (copied,) = explain_request(
                    saved.build_table(), saved.build_dispatcher(), request, now_s
                ).services
                self.assertEqual(live, copied)
                requirements = build_requirements(
                    request.object_key,
                    0,
                    target_at_s=now_s + 0.8,
                    deadline_s=now_s + 1.5,
                    workspace=ALPHA,
                )
                choice = daemon.dispatcher.choose_endpoint(requirements, SPEC, now_s)
                if isinstance(choice, Refusal):
                    assert live.refusal is not None
                    self.assertEqual(live.refusal.kind, choice.kind)
                    waited_s = live.refusal.retry_after_s or 0.0
                    self.assertAlmostEqual(waited_s, choice.retry_after_s, delta=0.006)
                else:
                    self.assertEqual(live.endpoint, choice.endpoint.record.id)
                daemon.step(source, now_s)
            if not cold:
                held = [each for each in saved.counts.contention if each.level is not None]
                self.assertGreater(len(held), 0, "no shares are limited")

    def _explain(self, request: RequestDescription) -> RequestExplanation:
        return explain_request(TABLE, Daemon().dispatcher, request, 1.0)

    def test_request_that_is_refused_before_a_choice_says_why(self) -> None:
        for request, kind, status in (
            (ask("/none/1"), ErrorKind.NO_ROUTE, 404),
            (ask(name=None), ErrorKind.UNKNOWN_KEY, 401),
            (ask(name="nobody"), ErrorKind.UNKNOWN_KEY, 401),
            (ask("/south/1", name="north"), ErrorKind.NO_REGION, 503),
        ):
            refusal = self._explain(request).refusal
            assert refusal is not None
            self.assertEqual((refusal.kind, refusal.status), (kind, status))
        early = explain_request(None, Daemon().dispatcher, ask(), 1.0)
        assert early.refusal is not None
        self.assertEqual(early.refusal.kind, ErrorKind.NO_CONFIGURATION)

    def test_rules_of_route_and_workspace_are_named(self) -> None:
        explanation = self._explain(ask())
        self.assertEqual(
            (explanation.version, explanation.route, explanation.priority), (5, "read", 0)
        )
        self.assertEqual((explanation.quota_per_s, explanation.quota_burst), (5.0, 10.0))
        public = self._explain(ask("/open/1", name=None))
        self.assertEqual((public.workspace, public.priority), (None, 1))
        split = self._explain(ask("/split/1"))
        self.assertEqual([each.share for each in split.services], [0.5, 0.5])
        assert split.services[1].refusal is not None
        self.assertEqual(split.services[1].refusal.kind, ErrorKind.NO_CAPACITY)

    def test_quota_is_explained_and_left_as_it_is(self) -> None:
        shares = QuotaShares(OWN, lambda: (OWN,), 0.0)
        ledger = QuotaLedger(shares, QuotaTerms(), 0.0)
        ledger.apply_workspaces((ALPHA,), 0.0)
        self.assertEqual(ledger.find_standings(0.0), {})
        for tenths in range(40):
            ledger.count_tokens(ALPHA.name, tenths / 10)
        left = []
        for _ in range(60):
            is_spent = isinstance(ledger.try_spend(ALPHA.name, 4.0), QuotaRefusal)
            first, second = ledger.find_standings(4.0), ledger.find_standings(4.0)
            self.assertEqual(first, second)
            explanation = explain_request(TABLE, Daemon().dispatcher, ask(), 1.0, first)
            left.append(explanation.quota_left or 0.0)
            self.assertEqual(explanation.quota_left, ledger.count_tokens(ALPHA.name, 4.0))
            if is_spent:
                break
        assert explanation.refusal is not None
        self.assertEqual(
            (explanation.refusal.kind, explanation.refusal.status), (ErrorKind.QUOTA_SPENT, 429)
        )
        self.assertGreater(explanation.refusal.retry_after_s or 0.0, 0.0)
        self.assertGreater(left[0], left[-1])

    def test_obstacles_of_candidates_are_named(self) -> None:
        daemon = Daemon()
        by_name = {endpoint.record.id: endpoint for endpoint in daemon.registry.all()}
        by_name[EndpointId("n1")].observe_crash(1.0)
        daemon.registry.register(record("n2", draining=True), 1.0)
        daemon.registry.register(record("n3", cold_s=5.0), 1.0)
        daemon.registry.evacuated_zones.add(ZoneName("south-1"))
        (service,) = explain_request(TABLE, daemon.dispatcher, ask(), 1.0).services
        obstacles = {each.weighed.id: each.obstacles for each in service.candidates}
        self.assertEqual(obstacles[EndpointId("n1")], ("excluded",))
        self.assertEqual(obstacles[EndpointId("n2")], ("draining",))
        self.assertEqual(obstacles[EndpointId("n3")], ("cold",))
        self.assertEqual(obstacles[EndpointId("s0")], ("zone evacuated",))
        (elsewhere,) = explain_request(
            TABLE, daemon.dispatcher, ask("/read/1", name="north"), 1.0
        ).services
        obstacles = {each.weighed.id: each.obstacles for each in elsewhere.candidates}
        self.assertEqual(obstacles[EndpointId("s0")], ("zone evacuated", "region not allowed"))


class SavedStates(unittest.TestCase):
    # Guards against keys of workspaces in a file that is passed around.
    def test_saved_state_has_no_keys(self) -> None:
        content = Daemon().capture(1.0).encode().decode()
        self.assertIn("alpha", content)
        self.assertNotIn("key-", content)

    def test_state_that_is_none_raises_value_error(self) -> None:
        whole = json.loads(Daemon().capture(1.0).encode())
        endpoint = whole["endpoints"][0]
        flawed: list[object] = [None, [], {}, "x", whole | {"form": 99}, whole | {"routes": 1}]
        flawed += [whole | {"endpoints": [endpoint | {"record": {}}]}]
        flawed += [{k: v for k, v in whole.items() if k != "counts"}]
        for value in flawed:
            with self.subTest(str(value)[:60]), self.assertRaises(ValueError):
                SteeringState.decode(json.dumps(value))
        for content in (b"", b"\xff\xfe", b"[" * 100_000, b"{"):
            with self.subTest(content[:9]), self.assertRaises(ValueError):
                SteeringState.decode(content)

    def test_endpoint_that_can_be_none_raises_value_error(self) -> None:
        whole = json.loads(Daemon().capture(1.0).encode())
        first = whole["endpoints"][0]
        for changes in (
            {"record": first["record"] | {"slots": 0}},
            {"observed": first["observed"] | {"record": 1.0}},
        ):
            state = SteeringState.decode(json.dumps(whole | {"endpoints": [first | changes]}))
            with self.subTest(str(changes)[:60]), self.assertRaises(ValueError):
                state.build_dispatcher()

    def test_daemon_without_a_configuration_has_a_state(self) -> None:
        daemon = Daemon()
        state = SteeringState.capture(
            OWN, None, EndpointRegistry(), daemon.dispatcher, 1.0, 1e9, float("inf"), {}
        )
        saved = SteeringState.decode(state.encode())
        self.assertEqual((saved.build_table(), saved.store_age_s), (None, None))
