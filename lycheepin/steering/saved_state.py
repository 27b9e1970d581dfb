"""The state that decides about requests, as a value that can be saved and decided on elsewhere.

Load addressed: a question about decisions in the middle of an overload. It is answered from a copy
by the code that decides about requests, so that answering counts and changes nothing.
"""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass

import msgspec

from lycheepin.names import DaemonName, RegionName, ServiceName, WorkspaceName, ZoneName
from lycheepin.steering.dispatch import Dispatcher, DispatcherCounts
from lycheepin.steering.endpoint import Endpoint, EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.quotas import QuotaRefusal
from lycheepin.steering.routes import CallerLimits, Route, RoutingTable, ServiceSpec
from lycheepin.steering.workspaces import Workspace, WorkspaceKeys

__all__ = ["SavedEndpoint", "SteeringState"]

# Number of the form of a saved state; one with another number is not read.
FORM = 1
# What is saved of an endpoint beside its record.
_OBSERVED = frozenset(
    item.name for item in dataclasses.fields(Endpoint) if item.init and item.name != "record"
)


@dataclass(frozen=True)
class SavedEndpoint:
    """An endpoint and what was observed of it: the fields of Endpoint, None where it is unset."""

    record: EndpointRecord
    observed: dict[str, float | None]

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint) -> SavedEndpoint:
        """Returns an endpoint as it is now."""
        observed: dict[str, float | None] = {}
        for name in sorted(_OBSERVED):
            value = getattr(endpoint, name)
            observed[name] = float(value) if value is not None and math.isfinite(value) else None
        return cls(endpoint.record, observed)

    def restore(self) -> Endpoint:
        """Returns the endpoint; raises ValueError if it can't have been one."""
        if self.record.slots < 1:
            raise ValueError(f"endpoint {self.record.id!r} has {self.record.slots} slots")
        unknown = sorted(self.observed.keys() - _OBSERVED)
        if unknown:
            raise ValueError(f"endpoint {self.record.id!r} has unknown fields {unknown}")
        endpoint = Endpoint(self.record)
        for name, value in self.observed.items():
            if value is not None:
                whole = isinstance(getattr(endpoint, name), int)
                setattr(endpoint, name, int(value) if whole else value)
        return endpoint


@dataclass(frozen=True)
class SteeringState:
    """All that a daemon decides on, without the keys of workspaces.

    `taken_at_s` is its monotonic time in seconds, to which all times in it refer, and `unix_s` the
    time of day. `store_age_s` is the age of what it knows of the store, None before it knows any.
    `version` is None before the first configuration. `quotas` has what is left for workspaces that
    have asked lately, as the refusal without a token.
    """

    form: int
    daemon: DaemonName
    region: RegionName
    taken_at_s: float
    unix_s: float
    store_age_s: float | None
    version: int | None
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[Workspace, ...] | None
    endpoints: tuple[SavedEndpoint, ...]
    evacuated_zones: frozenset[ZoneName]
    mean_processing_s: dict[ServiceName, float]
    counts: DispatcherCounts
    quotas: dict[WorkspaceName, QuotaRefusal]

    @classmethod
    def capture(
        cls,
        daemon: DaemonName,
        table: RoutingTable | None,
        registry: EndpointRegistry,
        dispatcher: Dispatcher,
        now_s: float,
        unix_s: float,
        store_age_s: float,
        quotas: dict[WorkspaceName, QuotaRefusal],
    ) -> SteeringState:
        """Returns the state of a daemon as it is now."""
        by_host = table.by_host.values() if table is not None else ()
        workspaces = table.workspaces if table is not None else None
        return cls(
            FORM,
            daemon,
            dispatcher.own_region,
            now_s,
            unix_s,
            store_age_s if math.isfinite(store_age_s) else None,
            table.version if table is not None else None,
            tuple(route for routes in by_host for route in routes),
            tuple(table.services.values()) if table is not None else (),
            tuple(workspaces.by_name.values()) if workspaces is not None else None,
            tuple(SavedEndpoint.from_endpoint(endpoint) for endpoint in registry.all()),
            frozenset(registry.evacuated_zones),
            registry.mean_processing_times_s(),
            dispatcher.copy_counts(now_s),
            quotas,
        )

    @classmethod
    def decode(cls, content: bytes | str) -> SteeringState:
        """Returns the state in JSON; raises ValueError if it is none of this form."""
        try:
            state = msgspec.json.decode(content, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise ValueError(f"not a saved state: {error}") from error
        if state.form != FORM:
            raise ValueError(f"saved state of form {state.form}, {FORM} is read")
        return state

    def encode(self) -> bytes:
        """Returns the state as JSON."""
        return msgspec.json.encode(self)

    def build_table(self) -> RoutingTable | None:
        """Returns the routing table, in which workspaces have no keys."""
        if self.version is None:
            return None
        workspaces = None
        if self.workspaces is not None:
            workspaces = WorkspaceKeys.from_keys((each, ()) for each in self.workspaces)
        services = {spec.name: spec for spec in self.services}
        return RoutingTable.from_routes(
            self.version, self.routes, services, CallerLimits(), workspaces
        )

    def build_dispatcher(self) -> Dispatcher:
        """Returns a dispatcher that decides as the daemon's did; raises ValueError if it can't."""
        registry = EndpointRegistry()
        registry.restore((saved.restore() for saved in self.endpoints), self.mean_processing_s)
        registry.evacuated_zones.update(self.evacuated_zones)
        return Dispatcher.from_counts(self.daemon, registry, self.region, self.counts)
