"""The platform's list of VMs: its data classes, its decoder and the adapter that fetches it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar
from urllib.parse import quote

from msgspec import Struct

from lycheepin.decoding import (
    Count,
    Port,
    SlotCount,
    Text,
    create_decoder,
    require_ipv4,
    split_lists,
)
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


V = TypeVar("V")


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
    """The list of VMs at one revision, and the reasons why others in it could not be read."""

    revision: Revision
    endpoints: tuple[EndpointVm, ...] = ()
    entries: tuple[EntryVm, ...] = ()
    unreadable: tuple[str, ...] = ()


class _EntryVmFields(Struct):
    """Fields of an entry VM in the platform's list."""

    name: Text
    address: Text
    port: Port
    zone: Text
    region: Text
    state: VmState


class _EndpointVmFields(_EntryVmFields):
    """Fields of an endpoint in the platform's list."""

    service: Text
    slots: SlotCount


class _VmListFields(Struct):
    """Fields of the platform's list without its VMs, which are decoded one by one."""

    revision: Count
    endpoints: list[None]
    entries: list[None]


_decode_list_fields = create_decoder(_VmListFields)
_decode_endpoint_fields = create_decoder(_EndpointVmFields)
_decode_entry_fields = create_decoder(_EntryVmFields)


def decode_vm_list(content: bytes) -> VmList:
    """Returns the list encoded in `content`; raises ValueError when it is malformed.

    A malformed VM is left out; `unreadable` has the reason.
    """
    emptied, lists = split_lists(content)
    fields = _decode_list_fields(emptied)
    unreadable: list[str] = []
    endpoints = _decode_each(lists.get(b'"endpoints"', []), _decode_endpoint, unreadable)
    entries = _decode_each(lists.get(b'"entries"', []), _decode_entry, unreadable)
    return VmList(Revision(fields.revision), endpoints, entries, tuple(unreadable))


def _decode_each(
    items: list[bytes], decode: Callable[[bytes], V], unreadable: list[str]
) -> tuple[V, ...]:
    """Returns the VMs that can be decoded, and adds the reasons for the others."""
    vms: list[V] = []
    for item in items:
        try:
            vms.append(decode(item))
        except ValueError as error:
            unreadable.append(str(error))
    return tuple(vms)


def _decode_endpoint(content: bytes) -> EndpointVm:
    """Returns one endpoint of the list; raises ValueError when it is malformed."""
    fields = _decode_endpoint_fields(content)
    return EndpointVm(
        name=QualifiedName.parse(fields.name),
        service=QualifiedName.parse(fields.service),
        address=Address(require_ipv4(fields.address)),
        port=fields.port,
        zone=ZoneName(fields.zone),
        region=RegionName(fields.region),
        slots=fields.slots,
        state=fields.state,
    )


def _decode_entry(content: bytes) -> EntryVm:
    """Returns one entry VM of the list; raises ValueError when it is malformed."""
    fields = _decode_entry_fields(content)
    return EntryVm(
        name=QualifiedName.parse(fields.name),
        address=Address(require_ipv4(fields.address)),
        port=fields.port,
        zone=ZoneName(fields.zone),
        region=RegionName(fields.region),
        state=fields.state,
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
