"""Workspaces of a soak: which keys they hold in each version, and who may run what with a key."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["KeyHistory", "Quota", "Workspaces", "read_key"]

REGIONS = ("r0", "r1")
# Prefix of all keys, by which a key is known wherever it appears.
KEY_PREFIX = "key-"
KEYS_PER_WORKSPACE = 2


@dataclass(frozen=True)
class Quota:
    """A limit on the requests of a workspace, over all daemons together."""

    rate_per_s: float
    burst: float


class Workspaces:
    """The workspaces of a deployment, as the next version of the configuration has them.

    The first `homes` of them, as a fraction, have a home region. With a `quota` each has that.
    """

    def __init__(
        self, source: random.Random, count: int, homes: float, quota: Quota | None
    ) -> None:
        self._random = source
        self._quota = quota
        self._key_count = 0
        self.keys: dict[str, list[str]] = {}
        self.homes: dict[str, str] = {}
        for number in range(count):
            name = f"w{number}"
            self.keys[name] = [self._create_key() for _ in range(KEYS_PER_WORKSPACE)]
            if number < homes * count:
                self.homes[name] = REGIONS[number % len(REGIONS)]
        self.old_keys = [self._create_key()]
        self.is_emptied = False

    def _create_key(self) -> str:
        """Returns a key that no workspace has held."""
        self._key_count += 1
        return f"{KEY_PREFIX}{self._key_count}"

    def build_table(self) -> dict[str, Any]:
        """Returns the workspaces as a configuration has them; none while `is_emptied` is set."""
        table: dict[str, Any] = {}
        if self.is_emptied:
            return table
        for number, (name, keys) in enumerate(self.keys.items()):
            table[name] = {"apiKeys": list(keys)}
            if number % 2:
                table[name]["priority"] = number % 3
            if name in self.homes:
                table[name]["homeRegions"] = [self.homes[name]]
            if self._quota is not None:
                table[name] |= {"ratePerS": self._quota.rate_per_s, "burst": self._quota.burst}
        return table

    def change_keys(self) -> None:
        """Adds, withdraws, moves, empties or shares a key; the first workspace's keys stay."""
        source = self._random
        names = sorted(self.keys)[1:]
        name, other = source.choice(names), source.choice(names)
        keys = self.keys[name]
        key = source.choice(keys) if keys else self._create_key()
        match source.choice(("add", "withdraw", "move", "empty", "share")):
            case "withdraw" | "empty" if len(keys) > 1:
                keys.remove(key)
                self.old_keys.append(key)
            case "move" if keys and other != name:
                keys.remove(key)
                self.keys[other].append(key)
            case "empty":
                keys.append("")
            case "share":
                self.keys[other].append(key)
            case _:
                keys.append(self._create_key())

    def draw_credentials(self) -> tuple[str, ...]:
        """Returns the credentials of a caller with a key that one workspace holds."""
        held = [key for keys in self.keys.values() for key in keys if key]
        own = [key for key in held if held.count(key) == 1]
        scheme = self._random.choice(("Bearer ", "Bearer ", "bearer ", "BEARER  "))
        return (scheme + self._random.choice(own),)

    def draw_odd_credentials(self) -> tuple[str, ...]:
        """Returns missing, unknown, withdrawn, shared, doubled or odd credentials."""
        (good,) = self.draw_credentials()
        any_key = self._random.choice([key for keys in self.keys.values() for key in keys])
        key = good.split(" ")[-1]
        return self._random.choice(
            (
                (),
                ("",),
                ("Bearer",),
                ("Bearer ",),
                (key,),
                (f"Basic {key}",),
                (f"Bearer{key}",),
                (f"Bearer {key.upper()}",),
                (f"Bearer {key}x",),
                (f"Bearer {KEY_PREFIX}nobody",),
                (f"Bearer {self._random.choice(self.old_keys)}",),
                (f"Bearer {any_key}",),
                (good, good),
                (good, f"Bearer {KEY_PREFIX}nobody"),
            )
        )


class KeyHistory:
    """The workspaces of each version of the configuration, with the times of the writes."""

    def __init__(self) -> None:
        self._times_s: list[float] = []
        self._tables: list[dict[str, Any]] = []

    def record_version(self, table: dict[str, Any], now_s: float) -> None:
        """Records the workspaces of a version that the store has acknowledged."""
        self._times_s.append(now_s)
        self._tables.append(table)

    @property
    def is_empty(self) -> bool:
        """Whether no version had workspaces, so that callers need no key."""
        return not self._tables

    def find_holders(
        self, credentials: Sequence[str], since_s: float | None = None
    ) -> list[frozenset[str]]:
        """Returns the workspaces that hold the key of a caller, for each version.

        Versions that a later one had replaced at `since_s` are left out.
        """
        key = read_key(credentials)
        first = 0 if since_s is None else max(0, bisect_right(self._times_s, since_s) - 1)
        return [
            frozenset(n for n, fields in table.items() if key and key in fields["apiKeys"])
            for table in self._tables[first:]
        ]

    def find_homes(self, name: str) -> frozenset[str] | None:
        """Returns the regions that any version lets serve a workspace; None if one allows all."""
        homes = [table[name].get("homeRegions") for table in self._tables if name in table]
        if not all(homes):
            return None
        return frozenset(region for regions in homes for region in regions)

    def find_quotas(self) -> Iterator[tuple[str, Quota]]:
        """Yields the workspaces that have the same quota in all versions."""
        for name in self._tables[0] if self._tables else ():
            rates = {table.get(name, {}).get("ratePerS", 0) for table in self._tables}
            if len(rates) == 1 and all(rates):
                fields = self._tables[0][name]
                yield name, Quota(fields["ratePerS"], fields["burst"])


def read_key(credentials: Sequence[str]) -> str | None:
    """Returns the key that a caller's credentials carry; None for none, several and odd ones."""
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(" ")
    return key.strip() or None if scheme.lower() == "bearer" else None
