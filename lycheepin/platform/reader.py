"""Applies entries of the platform's store to the deployment state of a gateway."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.own_entries import SUSPICION_PREFIX
from lycheepin.gateway.storage import Item
from lycheepin.gateway.store_entries import (
    ConfigurationEntry,
    DaemonEntry,
    EndpointEntry,
    EvacuationEntry,
    UnreadableEntry,
)
from lycheepin.names import DaemonName, EndpointId, RegionName, ZoneName
from lycheepin.platform.entries import decode_entry, parse_key
from lycheepin.steering.suspects import Suspicion

__all__ = ["PlatformReader"]


class PlatformReader:
    """Applies entries to the deployment state; a malformed one is logged and counts as removed."""

    def __init__(self, state: DeploymentState, zones: Mapping[ZoneName, RegionName]) -> None:
        self._state = state
        self._zones = zones

    def change_zones(self, zones: Mapping[ZoneName, RegionName], items: Iterable[Item]) -> None:
        """Replaces the zones; reads the endpoints among the items again, as theirs may be new."""
        if zones == self._zones:
            return
        self._zones = zones
        for item in items:
            entry_key = parse_key(item.key)
            if entry_key is not None and entry_key.kind is EndpointEntry:
                self.apply_entry(item)

    def apply_entry(self, item: Item) -> None:
        """Applies a new or changed entry."""
        match decode_entry(item.key, item.value, self._zones):
            case ConfigurationEntry(table=table):
                self._state.apply_configuration(table)
            case EvacuationEntry(zone=zone):
                self._state.set_evacuation(zone, True)
            case EndpointEntry(record=record):
                self._state.update_endpoint(record)
            case DaemonEntry(record=daemon):
                self._state.update_daemon(daemon)
            case Suspicion() as suspicion:
                self._state.on_suspicion(suspicion)
            case UnreadableEntry(reason=reason):
                self._state.log_unreadable_entry(reason)
                self.remove_entry(item.key)

    def remove_entry(self, key: str) -> None:
        """Removes the evacuation, endpoint or daemon that a key named; a configuration stays.

        A suspicion stays as well: its lease may have run out while the store was away.
        """
        entry_key = parse_key(key)
        if entry_key is None:
            return
        if entry_key.kind is EvacuationEntry:
            self._state.set_evacuation(ZoneName(entry_key.name), False)
        elif entry_key.kind is EndpointEntry:
            self._state.remove_endpoint(EndpointId(entry_key.name))
        elif entry_key.kind is DaemonEntry:
            self._state.remove_daemon(DaemonName(entry_key.name))
        elif entry_key.kind is Suspicion:
            self._state.on_suspicion_removed(key)

    def remove_missing_entries(self, items: tuple[Item, ...]) -> None:
        """Removes evacuations, endpoints and daemons that a complete listing doesn't contain.

        The configuration and suspicions stay.
        """
        names: dict[type, set[str]] = {
            EvacuationEntry: set(),
            EndpointEntry: set(),
            DaemonEntry: set(),
        }
        for item in items:
            entry_key = parse_key(item.key)
            if entry_key is not None and entry_key.kind in names:
                names[entry_key.kind].add(entry_key.name)
        state = self._state
        for zone in state.registry.evacuated_zones - {
            ZoneName(name) for name in names[EvacuationEntry]
        }:
            state.unlist_evacuation(zone)
        listed = [EndpointId(name) for name in names[EndpointEntry]]
        for endpoint_id in state.registry.missing_from(listed):
            state.remove_endpoint(endpoint_id)
        daemons = {DaemonName(name) for name in names[DaemonEntry]}
        for daemon in state.directory.missing_from(daemons):
            state.unlist_daemon(daemon)
        state.on_suspicions_listed(
            frozenset(item.key for item in items if item.key.startswith(SUSPICION_PREFIX))
        )
