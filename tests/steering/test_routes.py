import unittest

from lycheepin.names import ServiceName
from lycheepin.steering.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    TrafficSplitter,
)


def route(name: str, prefix: str, *weights: float) -> Route:
    shares = tuple(
        ServiceShare(ServiceName(f"s{number}"), weight)
        for number, weight in enumerate(weights or (1.0,))
    )
    kind = RequestKind.IDEMPOTENT
    return Route(name, "a.example", prefix, kind, 1.0, 0.5, 1, shares, 2, True, frozenset())


class Matching(unittest.TestCase):
    def test_longest_matching_prefix_is_chosen(self) -> None:
        routes = [route("all", "/"), route("deep", "/x/y/"), route("x", "/x/")]
        table = RoutingTable.from_routes(1, routes, {}, CallerLimits())
        for path, name in (("/x/y/z", "deep"), ("/x/z", "x"), ("/q", "all")):
            found = table.match("a.example", path)
            assert found is not None
            self.assertEqual(found.name, name)
        self.assertIsNone(table.match("b.example", "/x/"))

    def test_prefix_does_not_match_within_a_path_segment(self) -> None:
        table = RoutingTable.from_routes(1, [route("x", "/x/")], {}, CallerLimits())
        self.assertIsNone(table.match("a.example", "/xy"))


class Splitting(unittest.TestCase):
    def test_proportions_are_exact_after_full_rounds(self) -> None:
        splitter = TrafficSplitter()
        split = route("split", "/", 90, 10)
        picks = [splitter.pick_service(split, 1) for _ in range(200)]
        self.assertEqual(picks.count(ServiceName("s1")), 20)

    def test_new_version_starts_with_new_weights(self) -> None:
        splitter = TrafficSplitter()
        splitter.pick_service(route("split", "/", 90, 10), 1)
        picks = [splitter.pick_service(route("split", "/", 50, 50), 2) for _ in range(10)]
        self.assertEqual(picks.count(ServiceName("s1")), 5)
