"""Which daemons a caller should connect to: those of its zone, or near it."""

from __future__ import annotations

from dataclasses import dataclass

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, RegionName, ZoneName

__all__ = ["DaemonRecord", "Directory"]

# Daemons named to a caller at the least, so that the loss of one leaves it another.
MIN_NAMED = 2
# Daemons named to a caller at the most: callers read no more.
MAX_NAMED = 64
# Part of the widest link of a place below which a daemon is not named while others can carry the
# load: one large upload holds all other requests of a narrow link up.
NARROW_PART = 0.25
# Part of a place's processors that those others have to have.
ABLE_PROCESSORS = 1 / 3


@dataclass(frozen=True)
class DaemonRecord:
    """One daemon as it registered itself.

    Callers connect to `front`, other daemons to `control`. `link_mbps` is what its VM's link
    carries, in Mbit/s, and `processors` the cores that it may use; 0 when that is not known.
    """

    name: DaemonName
    incarnation: int
    zone: ZoneName
    region: RegionName
    front: SocketAddress
    control: SocketAddress
    link_mbps: float = 0.0
    processors: float = 0.0


class Directory:
    """The daemons that are known to run."""

    def __init__(self) -> None:
        self._daemons: dict[DaemonName, DaemonRecord] = {}

    @property
    def names(self) -> tuple[DaemonName, ...]:
        """The names of all daemons, in order."""
        return tuple(sorted(self._daemons))

    def register(self, record: DaemonRecord) -> bool:
        """Takes in an entry; returns whether it is a new daemon or incarnation."""
        known = self._daemons.get(record.name)
        if known is not None and known.incarnation > record.incarnation:
            return False
        self._daemons[record.name] = record
        return known != record

    def remove(self, name: DaemonName) -> bool:
        """Takes in that a daemon is gone; returns whether it was known."""
        return self._daemons.pop(name, None) is not None

    def missing_from(self, listed: set[DaemonName]) -> list[DaemonName]:
        """Returns the daemons that are known here and not in a complete list."""
        return [name for name in self._daemons if name not in listed]

    def others(self, own: DaemonName) -> list[DaemonRecord]:
        """Returns all daemons but one, by name."""
        return [self._daemons[name] for name in sorted(self._daemons) if name != own]

    def find_addresses(self, zone: ZoneName, region: RegionName) -> list[SocketAddress]:
        """Returns where a caller connects: in its zone, else in its region, else anywhere."""
        daemons = sorted(self._daemons.values(), key=lambda record: record.name)
        in_zone = [record for record in daemons if record.zone == zone]
        in_region = [record for record in daemons if record.region == region]
        found = in_zone if len(in_zone) >= MIN_NAMED else in_region or in_zone or daemons
        return [record.front for record in _choose_able(found)[:MAX_NAMED]]


def _choose_able(daemons: list[DaemonRecord]) -> list[DaemonRecord]:
    """Returns the daemons with wide links if they can carry the load of all, else all."""
    widest = max((record.link_mbps for record in daemons), default=0.0)
    able = [record for record in daemons if record.link_mbps >= NARROW_PART * widest]
    processors = sum(record.processors for record in able)
    enough = processors >= ABLE_PROCESSORS * sum(record.processors for record in daemons)
    return able if len(able) >= MIN_NAMED and enough else daemons
