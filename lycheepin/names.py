"""Distinct types for identifiers, and names qualified by their fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

__all__ = [
    "Address",
    "ClassName",
    "DaemonName",
    "EndpointId",
    "FleetName",
    "Incarnation",
    "QualifiedName",
    "RegionName",
    "RequestKey",
    "Resource",
    "Revision",
    "ServiceName",
    "WorkspaceName",
    "ZoneName",
]

DaemonName = NewType("DaemonName", str)
EndpointId = NewType("EndpointId", str)
FleetName = NewType("FleetName", str)
ServiceName = NewType("ServiceName", str)
ClassName = NewType("ClassName", str)
RegionName = NewType("RegionName", str)
ZoneName = NewType("ZoneName", str)
WorkspaceName = NewType("WorkspaceName", str)
Address = NewType("Address", str)
Incarnation = NewType("Incarnation", int)
Revision = NewType("Revision", int)
RequestKey = NewType("RequestKey", str)
Resource = NewType("Resource", str)


@dataclass(frozen=True, order=True)
class QualifiedName:
    """The name of a VM or service, qualified by the fleet that it belongs to."""

    fleet: FleetName
    name: str

    @classmethod
    def parse(cls, text: str) -> QualifiedName:
        """Parses `fleet/name`; raises ValueError for any other form."""
        fleet, separator, name = text.partition("/")
        if not fleet or not separator or not name:
            raise ValueError(f"not of the form fleet/name: {text!r}")
        return cls(FleetName(fleet), name)

    def __str__(self) -> str:
        """Returns `fleet/name`."""
        return f"{self.fleet}/{self.name}"
