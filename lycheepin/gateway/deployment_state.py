"""A gateway's view of its deployment: configuration, endpoints, daemons, store availability."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import isfinite

from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.gateway.storage import Position
from lycheepin.names import DaemonName, EndpointId, ZoneName
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.routes import RoutingTable
from lycheepin.steering.suspects import Suspicion

__all__ = ["DeploymentState"]


class DeploymentState:
    """Applies updates of the store to the configuration, the endpoint registry and the directory.

    Every change is logged. Within the life of a process the configuration version never decreases.
    The `on_*` callbacks are called after a change; they do nothing by default.
    """

    def __init__(self, registry: EndpointRegistry, directory: Directory, log: DecisionLog) -> None:
        self.registry = registry
        self.directory = directory
        self.table: RoutingTable | None = None
        self.store_answers = False
        self._unlisted_daemons: set[DaemonName] = set()
        self._log = log
        self.on_configuration: Callable[[RoutingTable], None] = lambda table: None
        self.on_daemon_removed: Callable[[DaemonName], None] = lambda name: None
        self.on_suspicion: Callable[[Suspicion], None] = lambda suspicion: None
        self.on_suspicion_removed: Callable[[str], None] = lambda key: None
        self.on_suspicions_listed: Callable[[frozenset[str]], None] = lambda keys: None

    def apply_configuration(self, table: RoutingTable) -> None:
        """Puts a configuration in force; ignored unless its version is later.

        The log line has the number of workspaces, or null where requests need no keys.
        """
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        routes = sum(len(host_routes) for host_routes in table.by_host.values())
        workspaces = len(table.workspaces.by_name) if table.workspaces is not None else None
        self._log.write(
            "configuration", version=table.version, routes=routes, workspaces=workspaces
        )
        self.on_configuration(table)

    def set_evacuation(self, zone: ZoneName, active: bool) -> None:
        """Starts or ends the evacuation of a zone."""
        before = zone in self.registry.evacuated_zones
        if not before and not active:
            return
        self.registry.evacuate(zone, active, self._now_s(), self._cold_start_s())
        if before != active:
            self._log.write("evacuation", zone=zone, active=active)

    def unlist_evacuation(self, zone: ZoneName) -> None:
        """Ends an evacuation that a listing lacks, unless it may be written again."""
        self.registry.unlist_evacuation(zone, self._now_s(), self._cold_start_s())
        if zone not in self.registry.evacuated_zones:
            self._log.write("evacuation", zone=zone, active=False)

    def _cold_start_s(self) -> float:
        """Returns the longest time for which endpoints are cold after a start, in seconds."""
        services = self.table.services.values() if self.table else ()
        return max((service.cold_start_s for service in services), default=0.0)

    def update_endpoint(self, record: EndpointRecord) -> None:
        """Adds or updates an endpoint."""
        if self.registry.register(record, self._now_s()):
            self._log.write(
                "endpoint",
                endpoint=record.id,
                service=record.service,
                zone=record.zone,
                draining=record.draining,
                cold_s=record.cold_s,
            )

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes an endpoint whose entry is missing.

        After a store outage the registry keeps it for a while; the log line then has `gone` false.
        """
        if self.registry.get(endpoint_id) is not None:
            gone = self.registry.remove(endpoint_id, self._now_s())
            self._log.write("endpoint_missing", endpoint=endpoint_id, gone=gone)

    def update_daemon(self, record: DaemonRecord) -> None:
        """Adds or updates a daemon."""
        self._unlisted_daemons.discard(record.name)
        if self.directory.register(record):
            self._log.write("daemon", peer=record.name, incarnation=record.incarnation)

    def remove_daemon(self, name: DaemonName) -> None:
        """Removes a daemon whose entry was removed."""
        self._unlisted_daemons.discard(name)
        if self.directory.remove(name):
            self._log.write("daemon_gone", peer=name)
        self.on_daemon_removed(name)

    def unlist_daemon(self, name: DaemonName) -> None:
        """Removes a daemon that a listing lacks, at once or when it could register again."""
        if self.registry.contact.may_lack_entries(self._now_s()):
            self._unlisted_daemons.add(name)
            self.on_daemon_removed(name)
        else:
            self.remove_daemon(name)

    def log_unreadable_entry(self, reason: str) -> None:
        """Logs a malformed entry."""
        self._log.write("entry_unreadable", reason=reason)

    def log_refused_peer(self, peer: str, reason: str) -> None:
        """Logs that another daemon sent no usable answer."""
        self._log.write("peer_refused", peer=peer, reason=reason)

    def log_outdated_updates(self, peer: str, as_of: Position, known: Position) -> None:
        """Logs that another daemon's updates are older than what is known."""
        self._log.write(
            "updates_outdated",
            peer=peer,
            era=as_of.era,
            revision=as_of.revision,
            known_era=known.era,
            known_revision=known.revision,
        )

    def log_lost_history(self, after: Position, as_of: Position) -> None:
        """Logs that the store did not have the changes after a position and was listed again."""
        self._log.write(
            "history_lost",
            known_era=after.era,
            known_revision=after.revision,
            era=as_of.era,
            revision=as_of.revision,
        )

    def mark_store_lost(self, reason: str, silent_s: float) -> None:
        """Records that the store does not answer, and for how many seconds it has been silent.

        Missing endpoints are kept meanwhile.
        """
        self.registry.contact.observe_failure(self._now_s() - silent_s)
        if self.store_answers:
            self.store_answers = False
            self._log.write("store_lost", reason=reason, silent_s=_round_s(silent_s))

    def mark_store_available(self, position: Position, age_s: float | None = None) -> None:
        """Records that the store was at a position when it answered.

        That was `age_s` seconds ago if it answered another daemon.
        """
        contact, now_s = self.registry.contact, self._now_s()
        outage_s = contact.observe_answer(now_s, age_s or 0.0, relayed=age_s is not None)
        if not self.store_answers:
            self.store_answers = True
            self._log.write(
                "store_answers",
                era=position.era,
                revision=position.revision,
                outage_s=_round_s(outage_s),
                removals_believed=contact.believes_removals(now_s),
            )

    def observe_restored_store(self, position: Position) -> None:
        """Records that the store has come back from a copy, in a new era."""
        self.registry.observe_restored_store(self._now_s())
        self.directory.observe_restored_store(position.era)
        self._log.write("store_restored", era=position.era, revision=position.revision)

    def expire_missing_entries(self) -> None:
        """Applies the removal of entries that have not reappeared after a store outage."""
        for zone in self.registry.expire_evacuations(self._now_s()):
            self._log.write("evacuation", zone=zone, active=False)
        if not self.registry.contact.may_lack_entries(self._now_s()):
            for name in [*self._unlisted_daemons]:
                self.remove_daemon(name)
        for endpoint_id in self.registry.expire_missing(self._now_s()):
            self._log.write("endpoint_missing", endpoint=endpoint_id, gone=True)

    @staticmethod
    def _now_s() -> float:
        """Returns the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()


def _round_s(seconds: float | None) -> float | None:
    """Returns a time in seconds for a log line; None if it is unknown or unlimited."""
    return round(seconds, 3) if seconds is not None and isfinite(seconds) else None
