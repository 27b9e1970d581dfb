"""Checks of single fields of messages that other programs sent."""

from __future__ import annotations

from typing import Any

__all__ = ["MAX_INT", "require_int"]

# Largest whole number that messages between daemons carry.
MAX_INT = 2**63 - 1


def require_int(value: Any, minimum: int = 0, maximum: int = MAX_INT) -> int:
    """Returns `value` if it is an integer within the bounds; raises ValueError otherwise."""
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}: {value!r}")
    return value
