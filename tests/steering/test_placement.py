import unittest

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
