import random
import unittest
from unittest.mock import patch

from lycheepin.names import RegionName
from lycheepin.steering.placement import Placement
from tests.steering.builders import SERVICE, build_registry, record

KEYS = [str(number) for number in range(300)]


class EndpointOrder(unittest.TestCase):
    def _first_endpoints(self, placement: Placement) -> dict[str, str]:
        """Returns the first endpoint of each object."""
        return {key: placement.order_endpoints(SERVICE, key)[0].record.id for key in KEYS}

    def test_two_daemons_compute_the_same_order(self) -> None:
        records = [record(f"e{number}") for number in range(10)]
        first = Placement(build_registry(*records), RegionName("north"))
        second = Placement(build_registry(*reversed(records)), RegionName("north"))
        self.assertEqual(self._first_endpoints(first), self._first_endpoints(second))

    def test_removal_of_an_endpoint_moves_only_its_objects(self) -> None:
        registry = build_registry(*(record(f"e{number}") for number in range(10)))
        placement = Placement(registry, RegionName("north"))
        before = self._first_endpoints(placement)
        registry.remove(record("e3").id, 1.0)
        after = self._first_endpoints(placement)
        for key in KEYS:
            if before[key] != "e3":
                self.assertEqual(after[key], before[key])
            else:
                self.assertNotEqual(after[key], "e3")

    def test_objects_are_spread_in_proportion_to_slots(self) -> None:
        registry = build_registry(record("large", slots=12), record("small", slots=4))
        first = self._first_endpoints(Placement(registry, RegionName("north")))
        share = sum(endpoint == "large" for endpoint in first.values()) / len(KEYS)
        self.assertAlmostEqual(share, 0.75, delta=0.1)

    def test_order_in_some_regions_is_the_whole_order_without_the_others(self) -> None:
        rng = random.Random(5)
        regions = ("north", "south", "west")
        registry = build_registry(*(record(f"e{n}", regions[n % 3]) for n in range(120)))
        placement = Placement(registry, RegionName("north"))
        some = frozenset([RegionName("south"), RegionName("west")])
        for number in range(200):
            change = record(f"e{rng.randrange(120)}", rng.choice(regions), rng.choice((2, 4)))
            if rng.random() < 0.3:
                registry.remove(change.id, 1.0)
            else:
                registry.register(change, 1.0)
            key = str(number % 10)
            expected = [
                e for e in placement.order_endpoints(SERVICE, key) if e.record.region in some
            ]
            self.assertEqual(placement.order_endpoints(SERVICE, key, some), expected)

    def test_first_endpoints_of_another_region_are_kept(self) -> None:
        """Guards against a computation over all endpoints for each request with homes elsewhere."""
        regions = ("north", "south", "west", "east")
        registry = build_registry(*(record(f"e{n}", regions[n % 4]) for n in range(400)))
        placement = Placement(registry, RegionName("north"))
        south = frozenset([RegionName("south")])
        ranked = []
        rank = placement._rank
        with patch.object(placement, "_rank", lambda *args: ranked.append(args) or rank(*args)):
            for _ in range(5):
                endpoints = placement.iterate_endpoints(SERVICE, "7", south)
                first, second = next(endpoints), next(endpoints)
                self.assertEqual((first.record.region, second.record.region), ("south", "south"))
        self.assertEqual(len(ranked), 1)
