"""Decoded entries of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from lycheepin.gateway.directory import DaemonRecord
from lycheepin.names import ZoneName
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.routes import RoutingTable
from lycheepin.steering.suspects import Suspicion

__all__ = [
    "ConfigurationEntry",
    "DaemonEntry",
    "DecodedEntry",
    "EndpointEntry",
    "EvacuationEntry",
    "UnreadableEntry",
]


@dataclass(frozen=True)
class ConfigurationEntry:
    """One version of the configuration."""

    table: RoutingTable


@dataclass(frozen=True)
class EvacuationEntry:
    """An evacuated zone: its endpoints get no requests until the entry is removed."""

    zone: ZoneName


@dataclass(frozen=True)
class EndpointEntry:
    """The entry that an endpoint keeps about itself."""

    record: EndpointRecord


@dataclass(frozen=True)
class DaemonEntry:
    """The entry that a daemon keeps about itself."""

    record: DaemonRecord


@dataclass(frozen=True)
class UnreadableEntry:
    """A malformed entry and the reason why it can't be decoded."""

    reason: str


DecodedEntry = (
    ConfigurationEntry
    | EvacuationEntry
    | EndpointEntry
    | DaemonEntry
    | Suspicion
    | UnreadableEntry
    | None
)
