"""Entries of the store that come from another writer, and name no endpoint to use."""

from __future__ import annotations

import json
import random
from typing import Any

__all__ = ["build_odd_entry"]

ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    1.5,
    10**30,
    10**400,
    1e999,
    float("nan"),
    "",
    "7",
    "\ud800",
    "x" * 3000,
    [],
    {},
    "host:80",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "bad..name:80",
)
NESTING = 3000
# Part of the odd entries that are whole but for one field.
MISSING_FRACTION = 0.5


def build_odd_entry(source: random.Random, entry: dict[str, Any]) -> bytes:
    """Returns an entry of which something is missing, of another type or out of range."""
    entry = dict(entry)
    required = ("service", "address", "zone", "version", "slots", "state", "coldRemainingMs")
    if source.random() < MISSING_FRACTION:
        del entry[source.choice(required)]
        return json.dumps(entry).encode()
    match source.randrange(1, 6):
        case 1 | 2:
            name = source.choice((*required, "sequence", "born"))
            odd = [value for value in ODD_VALUES if (name, value) != ("version", "")]
            if name == "version":
                odd = [value for value in odd if not isinstance(value, str) or len(value) > 200]
            if name in ("service", "zone"):
                odd = [value for value in odd if not isinstance(value, str) or value in ("",)]
            if name == "coldRemainingMs":
                odd = [value for value in odd if value != 1.5]
            entry[name] = source.choice(odd)
        case 3:
            return b"[" * NESTING + b"]" * NESTING
        case 4:
            return source.randbytes(source.randrange(60))
        case 5:
            return json.dumps(entry).encode()[:-1]
    return json.dumps(entry).encode()
