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


@dataclass(frozen=True)
class DaemonRecord:
    """One daemon as it registered itself.

    Callers connect to `front`, other daemons to `control`. `link_mbps` is what its VM's link
    carries, in Mbit/s; 0 when that is not known.
    """

    name: DaemonName
    incarnation: int
    zone: ZoneName
    region: RegionName
    front: SocketAddress
    control: SocketAddress
    link_mbps: float = 0.0


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

    def near(self, zone: ZoneName, region: RegionName) -> list[SocketAddress]:
        """Returns where a caller connects: in its zone, else in its region, else anywhere."""
        daemons = sorted(self._daemons.values(), key=lambda record: record.name)
        in_zone = [record for record in daemons if record.zone == zone]
        if len(in_zone) >= MIN_NAMED:
            return [record.front for record in in_zone[:MAX_NAMED]]
        in_region = [record for record in daemons if record.region == region]
        return [record.front for record in (in_region or in_zone or daemons)[:MAX_NAMED]]
