"""Switches of the stand-ins: what the platform's pages allow a party to do, each with doses.

A stand-in asks the board whether a switch takes effect now; without a dose none does.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

__all__ = ["SWITCHES", "Party", "Switch", "SwitchBoard"]


class Party(Enum):
    """Who does what a switch says."""

    STORE = "store"
    WRITER = "writer"
    ENDPOINT = "endpoint"
    CALLER = "caller"
    PLATFORM = "platform"


@dataclass(frozen=True)
class Switch:
    """One thing that a party may do.

    `doses` are the values that a soak draws from; `unit` says what they are. A switch that
    `disturbs` excuses what takes longer meanwhile. One that is `from_start` can't change later.
    `needs` is a switch that is on from the start, at its last dose, wherever this one is.
    """

    name: str
    doses: tuple[float, ...]
    unit: str
    disturbs: bool = False
    from_start: bool = False
    needs: str = ""

    @property
    def party(self) -> Party:
        """Who does it."""
        return Party(self.name.partition(".")[0])


FRACTION = "fraction"
SECONDS = "seconds"
COUNT = "count"
PER_SECOND = "a second"
TIMES = "times as long"

_WORKSPACES = "platform.workspaces"
_ALL = (
    Switch("store.cut-watches", (0.05, 0.5, 2.0), SECONDS),
    Switch("store.high-numbers", (2.0**31 - 50, 2.0**40, 2.0**53 - 10**6), COUNT, from_start=True),
    Switch("store.small-pages", (1, 3), COUNT),
    Switch("store.changing-pages", (0.3, 1.0), FRACTION),
    Switch("store.short-history", (0, 2, 20), COUNT),
    Switch("store.few-events", (1, 3), COUNT),
    Switch("store.lose-answers", (0.05, 0.3), FRACTION, disturbs=True),
    Switch("store.slow", (0.02, 0.15), SECONDS, disturbs=True),
    Switch("store.late-writes", (0.1, 0.5), FRACTION, disturbs=True),
    Switch("store.reject", (0.05, 0.4), FRACTION, disturbs=True),
    Switch("store.short-leases", (1.0, 2.0), SECONDS),
    Switch("store.pause-leases", (1.0,), FRACTION),
    Switch("writer.odd-entries", (5.0, 40.0), PER_SECOND),
    Switch("endpoint.extra-answers", (0.03, 0.3), FRACTION),
    Switch("endpoint.truncate", (0.02, 0.2), FRACTION),
    Switch("endpoint.garbage", (0.02, 0.2), FRACTION),
    Switch("endpoint.endless", (0.02, 0.1), FRACTION),
    Switch("endpoint.no-length", (0.1, 0.5), FRACTION),
    Switch("endpoint.reset-no-length", (0.05, 0.2), FRACTION, needs="endpoint.early"),
    Switch("endpoint.early", (0.3, 1.0), FRACTION),
    Switch("endpoint.close", (0.1, 0.5), FRACTION),
    Switch("endpoint.keep-alive", (1.0, 2.0), SECONDS),
    Switch("endpoint.hidden-idle", (0.2, 0.8), SECONDS),
    Switch("endpoint.max-connections", (2, 6), COUNT),
    Switch("endpoint.refuse", (0.1, 0.4), FRACTION),
    Switch("endpoint.fail", (0.05, 0.3), FRACTION),
    Switch("endpoint.interim", (0.2, 1.0), FRACTION),
    Switch("endpoint.chunks", (0.3, 1.0), FRACTION),
    Switch("endpoint.odd-headers", (0.1, 0.5), FRACTION),
    Switch("endpoint.large-answers", (0.05, 0.2), FRACTION),
    Switch("endpoint.cut-unread", (0.3, 1.0), SECONDS),
    Switch("endpoint.load-reports", (0.2, 1.0), FRACTION),
    Switch("endpoint.slow-machine", (2.0, 6.0), TIMES, disturbs=True),
    Switch("endpoint.same-id", (1.0, 3.0), SECONDS),
    Switch("endpoint.cold-again", (0.5, 2.0), SECONDS),
    Switch("endpoint.silent-connections", (1.0, 3.0), SECONDS, disturbs=True),
    Switch("caller.pipeline", (0.1, 0.5), FRACTION),
    Switch("caller.expect", (0.2, 1.0), FRACTION),
    Switch("caller.odd-heads", (0.2, 1.0), FRACTION),
    Switch("caller.bodies", (0.1, 0.4), FRACTION),
    Switch("caller.stop-half-way", (0.1, 0.3), FRACTION),
    Switch("caller.leave", (0.1, 0.3), FRACTION),
    Switch("caller.slow-read", (0.05, 0.2), FRACTION),
    Switch("caller.slow-send", (0.05, 0.2), FRACTION),
    Switch("caller.too-large", (0.05, 0.2), FRACTION),
    Switch("caller.pipeline-reads", (0.1, 0.5), FRACTION),
    Switch("caller.downloads", (0.1, 0.3), FRACTION),
    Switch("caller.stop-reading", (0.05, 0.2), FRACTION, needs="caller.downloads"),
    Switch("caller.small-window", (0.1, 0.5), FRACTION, needs="caller.downloads"),
    Switch("caller.send-behind", (0.1, 0.5), FRACTION, needs="caller.small-window"),
    Switch("caller.odd-keys", (0.1, 0.5), FRACTION, needs=_WORKSPACES),
    Switch("caller.forged-names", (0.1, 0.5), FRACTION, needs=_WORKSPACES),
    Switch("platform.new-settings", (1.0,), FRACTION, from_start=True),
    Switch("platform.dead-seeds", (1.0,), FRACTION, from_start=True),
    Switch(_WORKSPACES, (3, 40), COUNT, from_start=True),
    Switch("platform.change-keys", (0.5, 2.0), SECONDS, needs=_WORKSPACES),
    Switch("platform.no-workspaces", (1.0, 3.0), SECONDS, needs=_WORKSPACES),
    Switch("platform.homes", (0.3, 1.0), FRACTION, from_start=True, needs=_WORKSPACES),
    Switch("platform.quotas", (2.0, 10.0), PER_SECOND, from_start=True, needs=_WORKSPACES),
)
# All switches by their names.
SWITCHES: Mapping[str, Switch] = {switch.name: switch for switch in _ALL}


class SwitchBoard:
    """The doses that are in effect."""

    def __init__(self, seed: int = 0) -> None:
        self._doses: dict[str, float] = {}
        self._random = random.Random(seed)

    def set_dose(self, name: str, dose: float) -> None:
        """Sets a dose; 0 turns a switch off that counts nothing."""
        assert name in SWITCHES, name
        self._doses.pop(name, None)
        if dose or SWITCHES[name].unit == COUNT:
            self._doses[name] = dose

    def turn_off(self, name: str) -> None:
        """Turns a switch off."""
        self._doses.pop(name, None)

    def dose(self, name: str) -> float:
        """Returns the dose of a switch, 0 if it is off."""
        return self._doses.get(name, 0.0)

    def count(self, name: str, default: int) -> int:
        """Returns the dose of a switch as a number, `default` if it is off."""
        return int(self._doses[name]) if name in self._doses else default

    def happens(self, name: str) -> bool:
        """Returns whether something that happens to a fraction of all happens now."""
        dose = self._doses.get(name, 0.0)
        return dose > 0 and self._random.random() < dose
