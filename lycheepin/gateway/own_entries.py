"""Entries that daemons write to the store for each other: about themselves, and of suspicions."""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec import Struct

from lycheepin.decoding import Count, Quantity, Text, create_decoder
from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, EndpointId, RegionName, ZoneName
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import Fingerprint, Suspicion

__all__ = [
    "DAEMON_PREFIX",
    "SUSPICION_PREFIX",
    "decode_daemon",
    "decode_suspicion",
    "encode_daemon",
    "encode_suspicion",
]

DAEMON_PREFIX = "lycheepin/daemons/"
SUSPICION_PREFIX = "lycheepin/suspicions/"
SUSPICION_DIGEST_BYTES = 16


class _DaemonFields(Struct):
    """Fields of a daemon's entry."""

    incarnation: Count
    zone: Text
    region: Text
    front: Text
    control: Text
    link_mbps: Quantity = 0.0
    processors: Quantity = 0.0
    era: Count | None = None


class _SuspicionFields(Struct):
    """Fields of an entry about a request under which an endpoint crashed."""

    fingerprint: Text
    endpoint: Text
    started_ms: Count
    refuted: bool


_decode_daemon_fields = create_decoder(_DaemonFields)
_decode_suspicion_fields = create_decoder(_SuspicionFields)


def decode_daemon(name: str, value: bytes) -> DaemonRecord:
    """Returns one daemon, as `encode_daemon` wrote it; raises ValueError otherwise."""
    fields = _decode_daemon_fields(value)
    return DaemonRecord(
        DaemonName(name),
        fields.incarnation,
        ZoneName(fields.zone),
        RegionName(fields.region),
        SocketAddress.parse_ipv4(fields.front),
        SocketAddress.parse_ipv4(fields.control),
        fields.link_mbps,
        fields.processors,
        fields.era,
    )


def encode_daemon(record: DaemonRecord, era: int | None = None) -> bytes:
    """Returns the value of a daemon's entry, written in an era of the store."""
    return msgspec.json.encode(
        _DaemonFields(
            record.incarnation,
            record.zone,
            record.region,
            str(record.front),
            str(record.control),
            record.link_mbps,
            record.processors,
            era,
        )
    )


def decode_suspicion(value: bytes) -> Suspicion:
    """Returns a suspicion; raises ValueError when it is malformed."""
    fields = _decode_suspicion_fields(value)
    process = EndpointProcess(EndpointId(fields.endpoint), fields.started_ms)
    return Suspicion(Fingerprint(fields.fingerprint), process, fields.refuted)


def encode_suspicion(suspicion: Suspicion) -> tuple[str, bytes]:
    """Returns the key and the value of a suspicion; all daemons use the same key for it."""
    fields: dict[str, Any] = {"fingerprint": suspicion.fingerprint}
    fields |= {"endpoint": suspicion.process.id, "started_ms": suspicion.process.started_ms}
    name = blake2b(json.dumps(fields).encode(), digest_size=SUSPICION_DIGEST_BYTES).hexdigest()
    return SUSPICION_PREFIX + name, json.dumps(fields | {"refuted": suspicion.refuted}).encode()
