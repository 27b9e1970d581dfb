"""Table that maps blocks of caller addresses to regions by longest prefix, in compact arrays."""

from __future__ import annotations

import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from lycheepin.names import RegionName

__all__ = ["AddressBlockTable"]

ADDRESS_BITS = 32

_NO_REGION = 0xFFFF


class AddressBlockTable:
    """IPv4 address blocks as sorted starts of intervals, each with the index of a region."""

    def __init__(
        self, regions: tuple[RegionName, ...], starts: array[int], values: array[int]
    ) -> None:
        self._regions = regions
        self._starts = starts
        self._values = values

    @classmethod
    def from_blocks(cls, blocks: Iterable[tuple[str, RegionName]]) -> AddressBlockTable:
        """Returns the table of CIDR blocks; a longer prefix takes precedence over a shorter one.

        Raises ValueError for a block that is not `address/length`.
        """
        networks = []
        names: dict[RegionName, int] = {}
        for block, region in blocks:
            address, _, length = block.partition("/")
            index = names.setdefault(region, len(names))
            first = _to_number(address)
            size = 1 << (ADDRESS_BITS - int(length))
            networks.append((first, int(length), first + size, index))
        starts, values = _flatten(sorted(networks))
        return cls(tuple(names), starts, values)

    def __len__(self) -> int:
        """Returns the number of intervals."""
        return len(self._starts)

    def region_of(self, address: str) -> RegionName | None:
        """Returns the region of an address, or None for an IPv6 address or one in no block.

        Raises ValueError for text that is not an address.
        """
        if ":" in address:
            return None
        value = self._values[bisect_right(self._starts, _to_number(address)) - 1]
        return None if value == _NO_REGION else self._regions[value]


def _to_number(address: str) -> int:
    """Returns an IPv4 address as a number; raises ValueError for text that is not one."""
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, address))
    except OSError as error:
        raise ValueError(f"not an IPv4 address: {address[:40]!r}") from error


def _flatten(networks: list[tuple[int, int, int, int]]) -> tuple[array[int], array[int]]:
    """Returns the starts and region indexes of intervals for nested networks in address order."""
    starts = array("Q", [0])
    values = array("H", [_NO_REGION])
    enclosing: list[tuple[int, int]] = []

    def add_interval(start: int, value: int) -> None:
        if starts[-1] == start:
            values[-1] = value
        elif values[-1] != value:
            starts.append(start)
            values.append(value)

    def close_networks_before(limit: int) -> None:
        while enclosing and enclosing[-1][0] <= limit:
            end, _ = enclosing.pop()
            add_interval(end, enclosing[-1][1] if enclosing else _NO_REGION)

    for first, _, end, index in networks:
        close_networks_before(first)
        add_interval(first, index)
        enclosing.append((end, index))
    close_networks_before(1 << ADDRESS_BITS)
    return starts, values
