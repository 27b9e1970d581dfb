"""Entries of the platform's store, decoded into what the core knows.

Key prefixes, fields and words of the platform appear here and nowhere else.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lycheepin.errors import DECODE_ERRORS
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.fleet import EndpointRecord
from lycheepin.steering.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)

__all__ = [
    "DAEMON_PREFIX",
    "HEADER_NAMES",
    "Configured",
    "DaemonListed",
    "EndpointListed",
    "Evacuated",
    "Subject",
    "Unreadable",
    "decode_entry",
    "encode_daemon",
    "subject_of",
]

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
DAEMON_PREFIX = "lycheepin/daemons/"
MS_PER_S = 1000
# Timeout in seconds of a route that names none: longer than any deadline of its callers.
NO_TIMEOUT_S = 60.0
# Attempts for a route that names no limit.
DEFAULT_ATTEMPTS = 1

HEADER_NAMES = HeaderNames(
    request_id=b"request-id",
    time_left=b"deadline-ms",
    object_key=b"affinity-key",
    expected_endpoint=b"target-instance",
    not_run=b"not-executed",
    signature=b"response-signature",
    load=b"server-load",
)

_READY, _DRAINING = "ready", "draining"


@dataclass(frozen=True)
class Configured:
    """A version of the configuration."""

    table: RoutingTable


@dataclass(frozen=True)
class Evacuated:
    """A zone whose endpoints get nothing until the entry is removed."""

    zone: ZoneName


@dataclass(frozen=True)
class EndpointListed:
    """An endpoint's own entry."""

    record: EndpointRecord


@dataclass(frozen=True)
class DaemonListed:
    """A daemon's own entry."""

    record: DaemonRecord


@dataclass(frozen=True)
class Unreadable:
    """An entry that can't be used, and why."""

    reason: str


Subject = Configured | Evacuated | EndpointListed | DaemonListed | Unreadable | None


@dataclass(frozen=True)
class SubjectKey:
    """What a key is about: the kind of entry and the name that it carries."""

    kind: type
    name: str


def subject_of(key: str) -> SubjectKey | None:
    """Returns what a key is about, or None for keys of others."""
    if key == CONFIGURATION_KEY:
        return SubjectKey(Configured, "")
    for prefix, kind in (
        (EVACUATION_PREFIX, Evacuated),
        (ENDPOINT_PREFIX, EndpointListed),
        (DAEMON_PREFIX, DaemonListed),
    ):
        if key.startswith(prefix):
            return SubjectKey(kind, key.removeprefix(prefix))
    return None


def decode_entry(key: str, value: bytes, zones: Mapping[ZoneName, RegionName]) -> Subject:
    """Returns what an entry says; Unreadable for a damaged one, None for keys of others."""
    subject = subject_of(key)
    if subject is None:
        return None
    if subject.kind is Evacuated:
        return Evacuated(ZoneName(subject.name))
    try:
        document = json.loads(value)
        if subject.kind is Configured:
            return Configured(_decode_configuration(document))
        if subject.kind is DaemonListed:
            return DaemonListed(_decode_daemon(subject.name, document))
        return EndpointListed(_decode_endpoint(subject.name, document, zones))
    except DECODE_ERRORS as error:
        return Unreadable(f"{key}: {error!r}")


def _decode_configuration(document: Any) -> RoutingTable:
    """Returns a configuration; `routes` and `services` are tables by name."""
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
    """Returns one route; every kind that isn't known to be idempotent is protected."""
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
        timeout_s=timeout_ms / MS_PER_S if timeout_ms else NO_TIMEOUT_S,
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
    """Returns one endpoint; `born` is the time of its start, and tells incarnations apart."""
    if document["state"] not in (_READY, _DRAINING):
        raise ValueError(f"state {document['state']!r}")
    zone = ZoneName(_text(document["zone"]))
    host, _, port = _text(document["address"]).rpartition(":")
    cold_ms = document["coldRemainingMs"]
    return EndpointRecord(
        id=EndpointId(name),
        service=ServiceName(_text(document["service"])),
        address=Address(host),
        port=int(port),
        zone=zone,
        region=zones[zone],
        slots=_count(document["slots"]),
        draining=document["state"] == _DRAINING,
        cold_s=float(cold_ms) / MS_PER_S,
        started_ms=int(document.get("born", 0)),
    )


def _text(value: Any) -> str:
    """Returns a text; raises TypeError for anything else."""
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value


def _count(value: Any) -> int:
    """Returns a whole number above 0; raises ValueError for anything else."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"not a number above 0: {value!r}")
    return value


def _decode_daemon(name: str, document: Any) -> DaemonRecord:
    """Returns one of our own entries."""
    return DaemonRecord(
        DaemonName(name),
        int(document["incarnation"]),
        ZoneName(document["zone"]),
        RegionName(document["region"]),
        SocketAddress.parse(document["front"]),
        SocketAddress.parse(document["control"]),
        float(document.get("link_mbps", 0.0)),
        float(document.get("processors", 0.0)),
    )


def encode_daemon(record: DaemonRecord) -> bytes:
    """Returns our own entry for the store."""
    return json.dumps(
        {
            "incarnation": record.incarnation,
            "zone": record.zone,
            "region": record.region,
            "front": str(record.front),
            "control": str(record.control),
            "link_mbps": record.link_mbps,
            "processors": record.processors,
        }
    ).encode()
