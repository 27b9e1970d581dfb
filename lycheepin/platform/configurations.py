"""Decodes the platform's configuration.

A field left out means its default, an empty table or list holds nothing, and null is malformed.
"""

from __future__ import annotations

import json

import msgspec
from msgspec import UNSET, Struct, UnsetType

from lycheepin.decoding import Count, PositiveCount, Quantity, Text
from lycheepin.names import RegionName, ServiceName, WorkspaceName
from lycheepin.steering.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from lycheepin.steering.workspaces import Workspace, WorkspaceKeys

__all__ = ["decode_configuration"]

MS_PER_S = 1000
# Timeout in seconds of routes that set none; longer than any deadline of their callers.
DEFAULT_TIMEOUT_S = 60.0

# Kinds of routes whose requests may run more than once.
_KINDS = dict.fromkeys(("idempotent", "download"), RequestKind.IDEMPOTENT)


class _ShareFields(Struct):
    """A service of a route that is split over several."""

    service: ServiceName
    weight: Quantity


class _RouteFields(Struct, rename="camel"):
    """Fields of a route; no timeout or one of 0 is none, and no home regions are all regions."""

    host: str
    prefix: str
    kind: str
    target_latency_ms: Quantity
    service: ServiceName | UnsetType = UNSET
    traffic_split: list[_ShareFields] = []
    timeout_ms: Quantity = 0
    priority: Count = 0
    max_attempts: PositiveCount = 1
    session_affinity: bool = False
    home_regions: frozenset[RegionName] = frozenset()
    public: bool = False


class _ServiceFields(Struct, rename="camel"):
    """Fields of a service."""

    health_path: str
    max_connections: Count
    cold_start_s: Quantity
    cold_per_s: Quantity


class _LimitFields(Struct, rename="camel"):
    """Limits on callers; 0 allows nothing."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Quantity
    idle_timeout_ms: Quantity


class _WorkspaceFields(Struct, rename="camel"):
    """Fields of a workspace: nobody is identified without keys; a rate of 0 is no limit."""

    api_keys: list[str] = []
    priority: Count | UnsetType = UNSET
    rate_per_s: Quantity = 0
    burst: Quantity = 0
    home_regions: frozenset[RegionName] = frozenset()


class _ConfigurationFields(Struct):
    """Fields of a configuration; keys are needed if it has workspaces, be it an empty table."""

    version: Text
    routes: dict[str, _RouteFields]
    services: dict[ServiceName, _ServiceFields]
    limits: _LimitFields
    tenants: dict[WorkspaceName, _WorkspaceFields] | UnsetType = UNSET


def decode_configuration(content: bytes) -> RoutingTable:
    """Returns the routing table; raises one of DECODE_ERRORS for a malformed configuration."""
    fields = msgspec.convert(json.loads(content), _ConfigurationFields)
    services = {
        name: ServiceSpec(name, s.health_path, s.max_connections, s.cold_start_s, s.cold_per_s)
        for name, s in fields.services.items()
    }
    routes = [_build_route(name, route) for name, route in fields.routes.items()]
    limits = CallerLimits(
        fields.limits.max_header_bytes,
        fields.limits.max_body_bytes,
        fields.limits.header_timeout_ms / MS_PER_S,
        fields.limits.idle_timeout_ms / MS_PER_S,
    )
    tenants = fields.tenants
    workspaces = None if isinstance(tenants, UnsetType) else _build_workspaces(tenants)
    return RoutingTable.from_routes(int(fields.version, 16), routes, services, limits, workspaces)


def _build_workspaces(table: dict[WorkspaceName, _WorkspaceFields]) -> WorkspaceKeys:
    """Returns the workspaces with their keys; the table has them by name."""
    return WorkspaceKeys.from_keys(
        (
            Workspace(
                name,
                None if isinstance(fields.priority, UnsetType) else fields.priority,
                fields.rate_per_s,
                fields.burst,
                fields.home_regions,
            ),
            fields.api_keys,
        )
        for name, fields in table.items()
    )


def _build_route(name: str, fields: _RouteFields) -> Route:
    """Returns one route; kinds other than the repeatable ones are treated as protected."""
    shares = tuple(ServiceShare(share.service, share.weight) for share in fields.traffic_split)
    if not shares and not isinstance(fields.service, UnsetType):
        shares = (ServiceShare(fields.service, 1.0),)
    return Route(
        name=name,
        host=fields.host,
        prefix=fields.prefix,
        kind=_KINDS.get(fields.kind, RequestKind.PROTECTED),
        timeout_s=fields.timeout_ms / MS_PER_S or DEFAULT_TIMEOUT_S,
        target_s=fields.target_latency_ms / MS_PER_S,
        priority=fields.priority,
        shares=shares,
        max_attempts=fields.max_attempts,
        sticky=fields.session_affinity,
        allowed_regions=fields.home_regions,
        is_public=fields.public,
    )
