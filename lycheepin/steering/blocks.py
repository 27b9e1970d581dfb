"""The table from client block to region, by longest prefix, in compact arrays."""

from __future__ import annotations

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from lycheepin.names import RegionName

__all__ = ["BlockTable"]

_NO_REGION = 0xFFFF


class BlockTable:
    """IPv4 client blocks as sorted interval starts with the index of a region."""

    def __init__(
        self, regions: tuple[RegionName, ...], starts: array[int], values: array[int]
    ) -> None:
        self._regions = regions
        self._starts = starts
        self._values = values

    @classmethod
    def from_blocks(cls, blocks: Iterable[tuple[str, RegionName]]) -> BlockTable:
        """Returns the table of CIDR blocks; a longer prefix goes before a shorter one."""
        networks = []
        names: dict[RegionName, int] = {}
        for block, region in blocks:
            network = ipaddress.IPv4Network(block)
            index = names.setdefault(region, len(names))
            first = int(network.network_address)
            networks.append((first, network.prefixlen, first + network.num_addresses, index))
        starts, values = _flatten(sorted(networks))
        return cls(tuple(names), starts, values)

    def __len__(self) -> int:
        """Returns the number of intervals."""
        return len(self._starts)

    def region_of(self, address: str) -> RegionName | None:
        """Returns the region of an address, or None; raises ValueError for other text.

        No IPv6 address is in any block.
        """
        if ":" in address:
            ipaddress.IPv6Address(address)
            return None
        number = int(ipaddress.IPv4Address(address))
        value = self._values[bisect_right(self._starts, number) - 1]
        return None if value == _NO_REGION else self._regions[value]


def _flatten(networks: list[tuple[int, int, int, int]]) -> tuple[array[int], array[int]]:
    """Returns interval starts and region indexes of nested networks in address order."""
    starts = array("Q", [0])
    values = array("H", [_NO_REGION])
    enclosing: list[tuple[int, int]] = []

    def emit(start: int, value: int) -> None:
        if starts[-1] == start:
            values[-1] = value
        elif values[-1] != value:
            starts.append(start)
            values.append(value)

    def close_before(limit: int) -> None:
        while enclosing and enclosing[-1][0] <= limit:
            end, _ = enclosing.pop()
            emit(end, enclosing[-1][1] if enclosing else _NO_REGION)

    for first, _, end, index in networks:
        close_before(first)
        emit(first, index)
        enclosing.append((end, index))
    close_before(1 << 32)
    return starts, values
