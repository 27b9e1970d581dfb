"""Tests of the address block table and of the order of look-up answers."""

import ipaddress
import random
import unittest
from collections import Counter

from lycheepin.names import Address, Incarnation, RegionName
from lycheepin.steering.address_blocks import AddressBlockTable
from lycheepin.steering.lookup import Candidate, LookupTable


class BlockTableTest(unittest.TestCase):
    def test_region_is_that_of_the_longest_prefix(self) -> None:
        rng = random.Random(5)
        blocks = {}
        for _ in range(300):
            length = rng.randrange(4, 29)
            network = ipaddress.ip_network((rng.getrandbits(32), length), strict=False)
            blocks[network] = RegionName(f"r{rng.randrange(9)}")
        table = AddressBlockTable.from_blocks((str(block), name) for block, name in blocks.items())
        for _ in range(2000):
            address = ipaddress.ip_address(rng.getrandbits(32))
            containing = [block for block in blocks if address in block]
            longest = max(containing, key=lambda block: block.prefixlen, default=None)
            expected = blocks[longest] if longest is not None else None
            self.assertEqual(table.region_of(str(address)), expected)

    def test_ipv6_address_is_in_no_block(self) -> None:
        table = AddressBlockTable.from_blocks([("0.0.0.0/0", RegionName("a"))])
        self.assertIsNone(table.region_of("::1"))

    def test_text_that_is_not_an_address_raises_value_error(self) -> None:
        with self.assertRaises(ValueError):
            AddressBlockTable.from_blocks(()).region_of("nonsense")


class LookupTableTest(unittest.TestCase):
    def make_candidate(self, host: int, region: str, tokens: int) -> Candidate:
        return Candidate(
            Address(f"127.0.0.{host}"), 8400, Incarnation(host), RegionName(region), tokens
        )

    def test_first_entry_is_drawn_by_tokens_and_regions_keep_their_order(self) -> None:
        candidates = [
            self.make_candidate(1, "a", 30),
            self.make_candidate(2, "a", 10),
            self.make_candidate(3, "a", 0),
        ]
        candidates.append(self.make_candidate(4, "b", 90))
        regions = [RegionName("a"), RegionName("b")]
        first: Counter[str] = Counter()
        table = LookupTable(candidates)
        rng = random.Random(3)
        for _ in range(4000):
            ordered = table.draw(regions, rng)
            first[ordered[0].address] += 1
            self.assertEqual([c.region for c in ordered], ["a", "a", "b"])
            self.assertGreater(ordered[0].tokens, 0)
            self.assertEqual(len(set(ordered)), 3)
        self.assertAlmostEqual(first["127.0.0.1"] / 4000, 0.75, delta=0.03)
