"""Directory of daemons: which ones a caller should connect to, depending on its zone."""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, RegionName, ZoneName

__all__ = ["DaemonRecord", "Directory"]

# Minimum number of daemons in a look-up's answer, if that many exist: if one fails, the caller can
# use another.
MIN_LISTED = 2
# Maximum number of daemons in a look-up's answer; callers read no more.
MAX_LISTED = 64
# Number of removed daemons that are remembered.
MAX_REMOVED = 4096
# A link below this fraction of the widest one is narrow. Daemons with narrow links are left out if
# the others can carry the load, since one large upload delays all other requests on such a link.
NARROW_LINK_FRACTION = 0.25
# Fraction of all processors that daemons with wide links need in order to carry the load.
MIN_PROCESSOR_FRACTION = 1 / 3


@dataclass(frozen=True)
class DaemonRecord:
    """The entry of a daemon, as it registered itself.

    Callers connect to `front`, other daemons to `control`. `link_mbps` is the bandwidth of the
    VM's link in Mbit/s and `processors` the number of cores the daemon may use; 0 if unknown. `era`
    is the era of the store in which the entry was written, None if it doesn't say.
    """

    name: DaemonName
    incarnation: int
    zone: ZoneName
    region: RegionName
    front: SocketAddress
    control: SocketAddress
    link_mbps: float = 0.0
    processors: float = 0.0
    era: int | None = field(default=None, compare=False)


class Directory:
    """The registered daemons; `change_count` is the number of changes among them."""

    def __init__(self) -> None:
        self._daemons: dict[DaemonName, DaemonRecord] = {}
        self._carriers: tuple[DaemonName, ...] | None = None
        self._removed: dict[DaemonName, int] = {}
        self._removed_before_copy: dict[DaemonName, int] = {}
        self._era = 0
        self.change_count = 0

    @property
    def names(self) -> tuple[DaemonName, ...]:
        """The names of all daemons, sorted."""
        return tuple(sorted(self._daemons))

    def register(self, record: DaemonRecord) -> bool:
        """Adds or updates a daemon; returns whether its record changed.

        A record of an earlier incarnation is ignored, and one from a restored copy of the store if
        the daemon had been removed before.
        """
        current = self._daemons.get(record.name)
        if current is not None and current.incarnation > record.incarnation:
            return False
        if self._had_left(record):
            return False
        self._daemons[record.name] = record
        self._removed.pop(record.name, None)
        if current != record:
            self._observe_change()
        return current != record

    def find(self, name: DaemonName) -> DaemonRecord | None:
        """Returns the entry of a daemon, or None if it is not registered."""
        return self._daemons.get(name)

    def find_region(self, name: DaemonName) -> RegionName | None:
        """Returns the region of a daemon, or None if it is not registered."""
        record = self._daemons.get(name)
        return record.region if record is not None else None

    def remove(self, name: DaemonName) -> bool:
        """Removes a daemon; returns whether it was registered."""
        record = self._daemons.pop(name, None)
        if record is None:
            return False
        self._removed[name] = record.incarnation
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._observe_change()
        return True

    def observe_restored_store(self, era: int) -> None:
        """Records that the store has come back from a copy, in a new era."""
        self._era = era
        self._removed_before_copy = dict(self._removed)

    def _had_left(self, record: DaemonRecord) -> bool:
        """Returns whether a record of an earlier era is of a daemon that was removed meanwhile."""
        removed = self._removed_before_copy.get(record.name, -1)
        return removed >= record.incarnation and record.era is not None and record.era < self._era

    def _observe_change(self) -> None:
        """Counts a change, and forgets what was derived from the daemons before it."""
        self._carriers = None
        self.change_count += 1

    def missing_from(self, listed: set[DaemonName]) -> list[DaemonName]:
        """Returns the registered daemons that are not in a complete list."""
        return [name for name in self._daemons if name not in listed]

    def list_peers(self, own: DaemonName) -> list[DaemonRecord]:
        """Returns all daemons except `own`, sorted by name."""
        return [self._daemons[name] for name in sorted(self._daemons) if name != own]

    def list_region(self, region: RegionName) -> list[DaemonRecord]:
        """Returns all daemons of a region."""
        return [record for record in self._daemons.values() if record.region == region]

    @property
    def carriers(self) -> tuple[DaemonName, ...]:
        """The daemons that callers in any known zone are sent to, sorted by name."""
        if self._carriers is None:
            zones = {(record.zone, record.region) for record in self._daemons.values()}
            found = {r.name for zone in zones for r in self._find_daemons(*zone)}
            self._carriers = tuple(sorted(found))
        return self._carriers

    def find_addresses(self, zone: ZoneName, region: RegionName) -> list[SocketAddress]:
        """Returns the addresses that a caller in a zone should connect to."""
        return [record.front for record in self._find_daemons(zone, region)]

    def _find_daemons(self, zone: ZoneName, region: RegionName) -> list[DaemonRecord]:
        """Returns the daemons that a caller in a zone should connect to.

        They are those of its zone if it has at least MIN_LISTED daemons, else those of its region,
        else those of all daemons.
        """
        daemons = sorted(self._daemons.values(), key=lambda record: record.name)
        in_zone = [record for record in daemons if record.zone == zone]
        in_region = [record for record in daemons if record.region == region]
        candidates = in_zone if len(in_zone) >= MIN_LISTED else in_region or in_zone or daemons
        return _select_by_link(candidates)[:MAX_LISTED]


def _select_by_link(daemons: list[DaemonRecord]) -> list[DaemonRecord]:
    """Returns the daemons with wide links if they can carry the whole load, else all."""
    widest = max((record.link_mbps for record in daemons), default=0.0)
    wide = [record for record in daemons if record.link_mbps >= NARROW_LINK_FRACTION * widest]
    processors = sum(record.processors for record in wide)
    enough = processors >= MIN_PROCESSOR_FRACTION * sum(record.processors for record in daemons)
    return wide if len(wide) >= MIN_LISTED and enough else daemons
