"""Tests of the client block table and of look-up order."""

import ipaddress
import random
import unittest
from collections import Counter

from lycheepin.names import Address, Incarnation, RegionName
from lycheepin.steering.address_blocks import AddressBlockTable
from lycheepin.steering.lookup import Candidate, LookupTable


class BlockTableTest(unittest.TestCase):
    def test_agrees_with_a_search_of_all_blocks(self) -> None:
        source = random.Random(5)
        blocks = {}
        for _ in range(300):
            length = source.randrange(4, 29)
            network = ipaddress.ip_network((source.getrandbits(32), length), strict=False)
            blocks[network] = RegionName(f"r{source.randrange(9)}")
        table = AddressBlockTable.from_blocks((str(block), name) for block, name in blocks.items())
        for _ in range(2000):
            address = ipaddress.ip_address(source.getrandbits(32))
            holding = [block for block in blocks if address in block]
            longest = max(holding, key=lambda block: block.prefixlen, default=None)
            expected = blocks[longest] if longest is not None else None
            self.assertEqual(table.region_of(str(address)), expected)

    def test_ipv6_callers_are_in_no_block(self) -> None:
        table = AddressBlockTable.from_blocks([("0.0.0.0/0", RegionName("a"))])
        self.assertIsNone(table.region_of("::1"))

    def test_text_that_is_no_address_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            AddressBlockTable.from_blocks(()).region_of("nonsense")


class OrderTest(unittest.TestCase):
    def make(self, host: int, region: str, tokens: int) -> Candidate:
        return Candidate(
            Address(f"127.0.0.{host}"), 8400, Incarnation(host), RegionName(region), tokens
        )

    def test_first_in_proportion_to_tokens_and_nearest_region_first(self) -> None:
        candidates = [self.make(1, "a", 30), self.make(2, "a", 10), self.make(3, "a", 0)]
        candidates.append(self.make(4, "b", 90))
        regions = [RegionName("a"), RegionName("b")]
        first: Counter[str] = Counter()
        table = LookupTable(candidates)
        source = random.Random(3)
        for _ in range(4000):
            ordered = table.draw(regions, source)
            first[ordered[0].address] += 1
            self.assertEqual([c.region for c in ordered], ["a", "a", "b"])
            self.assertGreater(ordered[0].tokens, 0)
            self.assertEqual(len(set(ordered)), 3)
        self.assertAlmostEqual(first["127.0.0.1"] / 4000, 0.75, delta=0.03)
