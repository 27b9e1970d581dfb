import unittest

from lycheepin.names import RegionName
from lycheepin.steering.placement import Placement
from tests.steering.builders import SERVICE, build_fleet, record

KEYS = [str(number) for number in range(300)]


class Order(unittest.TestCase):
    def _homes(self, placement: Placement) -> dict[str, str]:
        """Returns the first endpoint of each object."""
        return {key: placement.order_endpoints(SERVICE, key)[0].record.id for key in KEYS}

    def test_two_daemons_agree_without_talking(self) -> None:
        records = [record(f"e{number}") for number in range(10)]
        first = Placement(build_fleet(*records), RegionName("north"))
        second = Placement(build_fleet(*reversed(records)), RegionName("north"))
        self.assertEqual(self._homes(first), self._homes(second))

    def test_only_objects_of_an_endpoint_that_left_move(self) -> None:
        fleet = build_fleet(*(record(f"e{number}") for number in range(10)))
        placement = Placement(fleet, RegionName("north"))
        before = self._homes(placement)
        fleet.remove(record("e3").id, 1.0)
        after = self._homes(placement)
        for key in KEYS:
            if before[key] != "e3":
                self.assertEqual(after[key], before[key])
            else:
                self.assertNotEqual(after[key], "e3")

    def test_objects_follow_the_slots(self) -> None:
        fleet = build_fleet(record("large", slots=12), record("small", slots=4))
        homes = self._homes(Placement(fleet, RegionName("north")))
        share = sum(home == "large" for home in homes.values()) / len(KEYS)
        self.assertAlmostEqual(share, 0.75, delta=0.1)
