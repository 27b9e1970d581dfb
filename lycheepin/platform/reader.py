"""Reads the entries of the platform's store into the beliefs of a gateway."""

from __future__ import annotations

from collections.abc import Mapping

from lycheepin.gateway.deployment_state import DeploymentState
from lycheepin.gateway.storage import Item
from lycheepin.names import DaemonName, EndpointId, RegionName, ZoneName
from lycheepin.platform.entries import (
    Configured,
    DaemonListed,
    EndpointListed,
    Evacuated,
    Unreadable,
    decode_entry,
    subject_of,
)

__all__ = ["PlatformReader"]


class PlatformReader:
    """Tells the beliefs what entries say; a damaged one is logged and names nothing."""

    def __init__(self, state: DeploymentState, zones: Mapping[ZoneName, RegionName]) -> None:
        self._state = state
        self.zones = zones

    def apply_entry(self, item: Item) -> None:
        """Takes in one entry."""
        match decode_entry(item.key, item.value, self.zones):
            case Configured(table=table):
                self._state.apply_configuration(table)
            case Evacuated(zone=zone):
                self._state.set_evacuation(zone, True)
            case EndpointListed(record=record):
                self._state.update_endpoint(record)
            case DaemonListed(record=daemon):
                self._state.update_daemon(daemon)
            case Unreadable(reason=reason):
                self._state.log_unreadable_entry(reason)
                self.remove_entry(item.key)

    def remove_entry(self, key: str) -> None:
        """Takes in that a key has no usable value."""
        subject = subject_of(key)
        if subject is None:
            return
        if subject.kind is Evacuated:
            self._state.set_evacuation(ZoneName(subject.name), False)
        elif subject.kind is EndpointListed:
            self._state.remove_endpoint(EndpointId(subject.name))
        elif subject.kind is DaemonListed:
            self._state.remove_daemon(DaemonName(subject.name))

    def remove_missing_entries(self, items: tuple[Item, ...]) -> None:
        """Drops what is known here and missing from a complete listing."""
        names: dict[type, set[str]] = {Evacuated: set(), EndpointListed: set(), DaemonListed: set()}
        for item in items:
            subject = subject_of(item.key)
            if subject is not None and subject.kind in names:
                names[subject.kind].add(subject.name)
        state = self._state
        for zone in state.registry.evacuated_zones - {ZoneName(name) for name in names[Evacuated]}:
            state.set_evacuation(zone, False)
        listed = [EndpointId(name) for name in names[EndpointListed]]
        for endpoint_id in state.registry.missing_from(listed):
            state.remove_endpoint(endpoint_id)
        daemons = {DaemonName(name) for name in names[DaemonListed]}
        for daemon in state.directory.missing_from(daemons):
            state.remove_daemon(daemon)
