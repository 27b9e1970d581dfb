"""The platform's list of VMs: its data classes, its decoder and the adapter that fetches it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol
from urllib.parse import quote

from lycheepin.errors import DECODE_ERRORS
from lycheepin.generated.settings import Address as AddressSetting
from lycheepin.names import Address, QualifiedName, RegionName, Revision, ZoneName
from lycheepin.transport.calls import CallAnswer, HttpClient

__all__ = [
    "EndpointVm",
    "EntryVm",
    "HttpVmListSource",
    "VmList",
    "VmListSource",
    "VmState",
    "decode_vm_list",
]


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class EndpointVm:
    """An endpoint: a VM that serves one service of its fleet."""

    name: QualifiedName
    service: QualifiedName
    address: Address
    port: int
    zone: ZoneName
    region: RegionName
    slots: int
    state: VmState


@dataclass(frozen=True)
class EntryVm:
    """An entry VM: a VM that runs a daemon, to which callers connect."""

    name: QualifiedName
    address: Address
    port: int
    zone: ZoneName
    region: RegionName
    state: VmState


@dataclass(frozen=True)
class VmList:
    """The list of VMs at one revision."""

    revision: Revision
    endpoints: tuple[EndpointVm, ...] = ()
    entries: tuple[EntryVm, ...] = ()


def decode_vm_list(content: bytes) -> VmList:
    """Returns the list encoded in `content`; raises ValueError when it is malformed."""
    try:
        value = json.loads(content)
        endpoints = tuple(_decode_endpoint(item) for item in value["endpoints"])
        entries = tuple(_decode_entry(item) for item in value["entries"])
        return VmList(Revision(int(value["revision"])), endpoints, entries)
    except DECODE_ERRORS as error:
        raise ValueError(f"not a VM list: {error!r}") from error


def _decode_endpoint(item: dict[str, Any]) -> EndpointVm:
    """Returns one endpoint of the list."""
    return EndpointVm(
        name=QualifiedName.parse(item["name"]),
        service=QualifiedName.parse(item["service"]),
        address=Address(item["address"]),
        port=int(item["port"]),
        zone=ZoneName(item["zone"]),
        region=RegionName(item["region"]),
        slots=int(item["slots"]),
        state=VmState(item["state"]),
    )


def _decode_entry(item: dict[str, Any]) -> EntryVm:
    """Returns one entry VM of the list."""
    return EntryVm(
        name=QualifiedName.parse(item["name"]),
        address=Address(item["address"]),
        port=int(item["port"]),
        zone=ZoneName(item["zone"]),
        region=RegionName(item["region"]),
        state=VmState(item["state"]),
    )


class VmListSource(Protocol):
    """Source of the list of VMs."""

    async def fetch(self, region: RegionName, after: Revision) -> bytes | None:
        """Returns the encoded list if it is later than `after`; None if not, or on failure."""


class HttpVmListSource:
    """The platform's list of VMs over HTTP."""

    def __init__(self, http_client: HttpClient, address: AddressSetting) -> None:
        self._http_client = http_client
        self._host = Address(address.host)
        self._port = address.port

    async def fetch(self, region: RegionName, after: Revision) -> bytes | None:
        """Returns the encoded list if it is later than `after`; None if not, or on failure."""
        target = f"/vms?region={quote(region)}&after={after}"
        answer = await self._http_client.call(self._host, self._port, "GET", target)
        match answer:
            case CallAnswer(status=200, body=body):
                return body
        return None
