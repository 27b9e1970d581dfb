"""Decodes entries of the platform's store, and encodes the entry of this daemon.

The key prefixes, field names and header names of the platform's interface are defined only here.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from lycheepin.decoding import require_int
from lycheepin.errors import DECODE_ERRORS
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.endpoint import EndpointProcess, EndpointRecord
from lycheepin.steering.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from lycheepin.steering.suspects import Fingerprint, Suspicion

__all__ = [
    "DAEMON_PREFIX",
    "HEADER_NAMES",
    "ConfigurationEntry",
    "DaemonEntry",
    "DecodedEntry",
    "EndpointEntry",
    "EvacuationEntry",
    "UnreadableEntry",
    "decode_entry",
    "encode_daemon",
    "encode_suspicion",
    "parse_key",
]

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
DAEMON_PREFIX = "lycheepin/daemons/"
SUSPICION_PREFIX = "lycheepin/suspicions/"
SUSPICION_DIGEST_BYTES = 16
MS_PER_S = 1000
# Timeout in seconds of routes that set none; longer than any deadline of their callers.
DEFAULT_TIMEOUT_S = 60.0
# Maximum number of attempts of routes that set none.
DEFAULT_ATTEMPTS = 1

HEADER_NAMES = HeaderNames(
    request_id=b"request-id",
    time_left=b"deadline-ms",
    object_key=b"affinity-key",
    expected_endpoint=b"target-instance",
    not_run=b"not-executed",
    signature=b"response-signature",
    load=b"server-load",
    rate_limit=b"server-limit",
)

_READY, _DRAINING = "ready", "draining"


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
        document = json.loads(value)
        if entry_key.kind is ConfigurationEntry:
            return ConfigurationEntry(_decode_configuration(document))
        if entry_key.kind is DaemonEntry:
            return DaemonEntry(_decode_daemon(entry_key.name, document))
        if entry_key.kind is Suspicion:
            return _decode_suspicion(document)
        return EndpointEntry(_decode_endpoint(entry_key.name, document, zones))
    except DECODE_ERRORS as error:
        return UnreadableEntry(f"{key}: {error!r}")


def _decode_configuration(document: Any) -> RoutingTable:
    """Returns the routing table; `routes` and `services` are objects keyed by name."""
    services = {
        ServiceName(name): ServiceSpec(
            ServiceName(name),
            str(service["healthPath"]),
            int(service["maxConnections"]),
            float(service["coldStartS"]),
            float(service["coldPerS"]),
        )
        for name, service in document["services"].items()
    }
    routes = [_decode_route(name, route) for name, route in document["routes"].items()]
    limits = document["limits"]
    return RoutingTable.from_routes(
        int(document["version"], 16),
        routes,
        services,
        CallerLimits(
            int(limits["maxHeaderBytes"]),
            int(limits["maxBodyBytes"]),
            limits["headerTimeoutMs"] / MS_PER_S,
            limits["idleTimeoutMs"] / MS_PER_S,
        ),
    )


def _decode_route(name: str, route: Any) -> Route:
    """Returns one route; any kind other than the idempotent one is treated as protected."""
    split = route.get("trafficSplit")
    if split:
        shares = tuple(
            ServiceShare(ServiceName(part["service"]), float(part["weight"])) for part in split
        )
    else:
        shares = (ServiceShare(ServiceName(route["service"]), 1.0),)
    idempotent = route["kind"] == RequestKind.IDEMPOTENT.value
    timeout_ms = route.get("timeoutMs")
    return Route(
        name=name,
        host=str(route["host"]),
        prefix=str(route["prefix"]),
        kind=RequestKind.IDEMPOTENT if idempotent else RequestKind.PROTECTED,
        timeout_s=timeout_ms / MS_PER_S if timeout_ms else DEFAULT_TIMEOUT_S,
        target_s=route["targetLatencyMs"] / MS_PER_S,
        priority=int(route.get("priority", 0)),
        shares=shares,
        max_attempts=int(route.get("maxAttempts") or DEFAULT_ATTEMPTS),
        sticky=bool(route.get("sessionAffinity")),
        allowed_regions=frozenset(RegionName(region) for region in route.get("homeRegions") or ()),
    )


def _decode_endpoint(
    name: str, document: Any, zones: Mapping[ZoneName, RegionName]
) -> EndpointRecord:
    """Returns one endpoint.

    `born` is the time at which the endpoint started; it distinguishes incarnations of one name.
    """
    if document["state"] not in (_READY, _DRAINING):
        raise ValueError(f"unknown state: {document['state']!r}")
    zone = ZoneName(_require_string(document["zone"]))
    address = SocketAddress.parse(_require_string(document["address"]))
    cold_ms = document["coldRemainingMs"]
    return EndpointRecord(
        id=EndpointId(name),
        service=ServiceName(_require_string(document["service"])),
        address=address.host,
        port=address.port,
        zone=zone,
        region=zones[zone],
        slots=require_int(document["slots"], 1),
        draining=document["state"] == _DRAINING,
        cold_s=float(cold_ms) / MS_PER_S,
        started_ms=int(document.get("born", 0)),
        sequence=require_int(document["sequence"], 0),
    )


def _require_string(value: Any) -> str:
    """Returns `value` if it is a string; raises TypeError otherwise."""
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def _decode_daemon(name: str, document: Any) -> DaemonRecord:
    """Returns one daemon, as `encode_daemon` wrote it."""
    return DaemonRecord(
        DaemonName(name),
        int(document["incarnation"]),
        ZoneName(document["zone"]),
        RegionName(document["region"]),
        SocketAddress.parse(document["front"]),
        SocketAddress.parse(document["control"]),
        float(document.get("link_mbps", 0.0)),
        float(document.get("processors", 0.0)),
        None if document.get("era") is None else int(document["era"]),
    )


def encode_daemon(record: DaemonRecord, era: int | None = None) -> bytes:
    """Returns the value of a daemon's entry, written in an era of the store."""
    return json.dumps(
        {
            "incarnation": record.incarnation,
            "zone": record.zone,
            "region": record.region,
            "front": str(record.front),
            "control": str(record.control),
            "link_mbps": record.link_mbps,
            "processors": record.processors,
            "era": era,
        }
    ).encode()


def encode_suspicion(suspicion: Suspicion) -> tuple[str, bytes]:
    """Returns the key and the value of a suspicion; all daemons use the same key for it."""
    fields: dict[str, Any] = {"fingerprint": suspicion.fingerprint}
    fields |= {"endpoint": suspicion.process.id, "started_ms": suspicion.process.started_ms}
    name = blake2b(json.dumps(fields).encode(), digest_size=SUSPICION_DIGEST_BYTES).hexdigest()
    return SUSPICION_PREFIX + name, json.dumps(fields | {"refuted": suspicion.refuted}).encode()


def _decode_suspicion(document: Any) -> Suspicion:
    """Returns a suspicion; raises ValueError when it is malformed."""
    match document:
        case {"fingerprint": str(name), "endpoint": str(endpoint), "started_ms": int(started_ms)}:
            process = EndpointProcess(EndpointId(endpoint), started_ms)
            return Suspicion(Fingerprint(name), process, document["refuted"] is True)
    raise ValueError(f"not a suspicion: {document!r}")
