"""Decodes entries of the platform's store.

The key prefixes, field names and header names of the platform's interface are defined only here.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from lycheepin.decoding import (
    MAX_REASON,
    Count,
    Milliseconds,
    OptionalText,
    SlotCount,
    Text,
    create_decoder,
)
from lycheepin.errors import DECODE_ERRORS
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.own_entries import (
    DAEMON_PREFIX,
    SUSPICION_PREFIX,
    decode_daemon,
    decode_suspicion,
)
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.store_entries import (
    ConfigurationEntry,
    DaemonEntry,
    DecodedEntry,
    EndpointEntry,
    EvacuationEntry,
    UnreadableEntry,
)
from lycheepin.names import EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.platform.configurations import decode_configuration
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.steering.suspects import Suspicion

__all__ = ["HEADER_NAMES", "decode_entry", "parse_key"]

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
MS_PER_S = 1000

HEADER_NAMES = HeaderNames(
    request_id=b"request-id",
    time_left=b"deadline-ms",
    object_key=b"affinity-key",
    expected_endpoint=b"target-instance",
    not_run=b"not-executed",
    signature=b"response-signature",
    load=b"server-load",
    rate_limit=b"server-limit",
    workspace=b"tenant",
)

_ENDPOINT_NAME = re.compile(r"[!-~]{1,200}")


class _EndpointState(Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


class _EndpointFields(Struct, rename="camel"):
    """Fields of an endpoint's entry; `born` distinguishes the processes under one name."""

    service: Text
    address: Text
    zone: Text
    version: OptionalText
    slots: SlotCount
    state: _EndpointState
    cold_remaining_ms: Milliseconds
    sequence: Count
    born: Count = 0


_decode_endpoint_fields = create_decoder(_EndpointFields)


@dataclass(frozen=True)
class EntryKey:
    """A parsed key: the type of its entry, and the name after the key's prefix."""

    kind: type
    name: str


def parse_key(key: str) -> EntryKey | None:
    """Returns the parsed key, or None for keys that gateways don't use."""
    if key == CONFIGURATION_KEY:
        return EntryKey(ConfigurationEntry, "")
    for prefix, kind in (
        (EVACUATION_PREFIX, EvacuationEntry),
        (ENDPOINT_PREFIX, EndpointEntry),
        (DAEMON_PREFIX, DaemonEntry),
        (SUSPICION_PREFIX, Suspicion),
    ):
        if key.startswith(prefix):
            return EntryKey(kind, key.removeprefix(prefix))
    return None


def decode_entry(key: str, value: bytes, zones: Mapping[ZoneName, RegionName]) -> DecodedEntry:
    """Returns the decoded entry, or None for keys that gateways don't use.

    A malformed value gives an UnreadableEntry; nothing is raised.
    """
    entry_key = parse_key(key)
    if entry_key is None:
        return None
    if entry_key.kind is EvacuationEntry:
        return EvacuationEntry(ZoneName(entry_key.name))
    try:
        if entry_key.kind is ConfigurationEntry:
            return ConfigurationEntry(decode_configuration(value))
        if entry_key.kind is DaemonEntry:
            return DaemonEntry(decode_daemon(entry_key.name, value))
        if entry_key.kind is Suspicion:
            return decode_suspicion(value)
        return EndpointEntry(_decode_endpoint(entry_key.name, value, zones))
    except DECODE_ERRORS as error:
        return UnreadableEntry(f"{key}: {error!r}"[:MAX_REASON])


def _decode_endpoint(
    name: str, value: bytes, zones: Mapping[ZoneName, RegionName]
) -> EndpointRecord:
    """Returns one endpoint; raises ValueError or KeyError when its entry is malformed.

    Its name is sent in a header, so it may have no other characters than one.
    """
    if not _ENDPOINT_NAME.fullmatch(name):
        raise ValueError(f"not a name: {name!r}")
    fields = _decode_endpoint_fields(value)
    address = SocketAddress.parse_ipv4(fields.address)
    zone = ZoneName(fields.zone)
    return EndpointRecord(
        id=EndpointId(name),
        service=ServiceName(fields.service),
        address=address.host,
        port=address.port,
        zone=zone,
        region=zones[zone],
        slots=fields.slots,
        draining=fields.state is _EndpointState.DRAINING,
        cold_s=fields.cold_remaining_ms / MS_PER_S,
        started_ms=fields.born,
        sequence=fields.sequence,
    )
