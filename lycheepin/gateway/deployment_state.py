"""What a gateway believes about its deployment, and the one place where that changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.names import DaemonName, EndpointId, ZoneName
from lycheepin.steering.fleet import EndpointRecord, EndpointRegistry
from lycheepin.steering.routes import RoutingTable

__all__ = ["DeploymentState"]


class DeploymentState:
    """Takes in what the platform tells, logs each change, and informs the rest.

    A version of the configuration never goes back within the life of a process.
    """

    def __init__(self, fleet: EndpointRegistry, directory: Directory, log: DecisionLog) -> None:
        self.fleet = fleet
        self.directory = directory
        self.table: RoutingTable | None = None
        self.store_answers = False
        self._log = log
        self.on_table: Callable[[RoutingTable], None] = lambda table: None
        self.on_daemons: Callable[[tuple[DaemonName, ...]], None] = lambda names: None
        self.on_daemon_removed: Callable[[DaemonName], None] = lambda name: None

    def apply_configuration(self, table: RoutingTable) -> None:
        """Puts a later configuration in force; an older one is left out."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        routes = sum(len(found) for found in table.by_host.values())
        self._log.write("configuration", version=table.version, routes=routes)
        self.on_table(table)

    def evacuate(self, zone: ZoneName, active: bool) -> None:
        """Starts or ends the evacuation of a zone."""
        if (zone in self.fleet.evacuated_zones) == active:
            return
        services = self.table.services.values() if self.table else ()
        cold_s = max((service.cold_start_s for service in services), default=0.0)
        self.fleet.evacuate(zone, active, self._now_s(), cold_s)
        self._log.write("evacuation", zone=zone, active=active)

    def update_endpoint(self, record: EndpointRecord) -> None:
        """Takes in an endpoint's entry."""
        if self.fleet.register(record, self._now_s()):
            self._log.write(
                "endpoint",
                endpoint=record.id,
                service=record.service,
                zone=record.zone,
                draining=record.draining,
                cold_s=record.cold_s,
            )

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Takes in that an endpoint's entry is missing."""
        if self.fleet.get(endpoint_id) is not None:
            gone = self.fleet.remove(endpoint_id, self._now_s())
            self._log.write("endpoint_missing", endpoint=endpoint_id, gone=gone)

    def update_daemon(self, record: DaemonRecord) -> None:
        """Takes in a daemon's entry."""
        if self.directory.register(record):
            self._log.write("daemon", peer=record.name, incarnation=record.incarnation)
            self.on_daemons(self.directory.names)

    def remove_daemon(self, name: DaemonName) -> None:
        """Takes in that a daemon's entry is missing."""
        if self.directory.remove(name):
            self._log.write("daemon_gone", peer=name)
            self.on_daemons(self.directory.names)
        self.on_daemon_removed(name)

    def log_unreadable_entry(self, reason: str) -> None:
        """Notes an entry that can't be used."""
        self._log.write("entry_unreadable", reason=reason)

    def doubt_peer(self, peer: str, reason: str) -> None:
        """Notes that another daemon told nothing of use."""
        self._log.write("peer_refused", peer=peer, reason=reason)

    def lose_store(self, reason: str) -> None:
        """Notes that the store does not answer."""
        self.fleet.observe_store_outage()
        if self.store_answers:
            self.store_answers = False
            self._log.write("store_lost", reason=reason)

    def regain_store(self, revision: int) -> None:
        """Notes that the store answers."""
        self.fleet.observe_store_recovery(self._now_s())
        if not self.store_answers:
            self.store_answers = True
            self._log.write("store_answers", revision=revision)

    def expire_missing(self) -> None:
        """Drops endpoints whose entries did not come back after an outage."""
        for endpoint_id in self.fleet.expire_missing(self._now_s()):
            self._log.write("endpoint_missing", endpoint=endpoint_id, gone=True)

    @staticmethod
    def _now_s() -> float:
        """Returns the time of the running loop."""
        return asyncio.get_running_loop().time()
