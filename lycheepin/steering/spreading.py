"""Spreads what many daemons would otherwise do at the same moment."""

from __future__ import annotations

from zlib import crc32

from lycheepin.names import DaemonName

__all__ = ["spread_fraction"]

_HASH_RANGE = 1 << 32


def spread_fraction(own: DaemonName, key: str) -> float:
    """Returns a number from 0 to below 1 that is fixed for a daemon and what it is about to do."""
    return crc32(f"{key}\0{own}".encode()) / _HASH_RANGE
