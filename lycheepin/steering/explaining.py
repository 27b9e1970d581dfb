"""Where a request would go now, and why, without sending it.

Load addressed: an operator's question in the middle of an overload, about one request among
thousands. The answer comes from the code that decides, and counts nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import EndpointId, RegionName, ServiceName, WorkspaceName
from lycheepin.steering.choices import Candidate, Refusal
from lycheepin.steering.dispatch import NO_REGION_RETRY_AFTER_S, Dispatcher
from lycheepin.steering.progress import RequestProgress
from lycheepin.steering.quota_bucket import ROUNDING
from lycheepin.steering.quotas import QuotaRefusal
from lycheepin.steering.return_times import MIN_RETRY_AFTER_S
from lycheepin.steering.routes import Route, RoutingTable
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "RequestDescription",
    "RequestExplanation",
    "RequestRefusal",
    "ServiceExplanation",
    "explain_request",
]


# The retries of callers are spread around the time that belongs to this number from 0 to 1.
MEAN_JITTER = 0.5


@dataclass(frozen=True)
class RequestDescription:
    """A request that is asked about.

    `workspace` is the name of its caller's, None for a caller without a valid key. `time_left_s` is
    how long the caller would wait, None if it names no limit.
    """

    host: str
    path: str
    object_key: str = ""
    workspace: WorkspaceName | None = None
    time_left_s: float | None = None


@dataclass(frozen=True)
class RequestRefusal:
    """Why a request would be refused; `retry_after_s` is None if the answer names no time."""

    kind: ErrorKind
    status: int
    retry_after_s: float | None

    @classmethod
    def from_kind(cls, kind: ErrorKind, retry_after_s: float | None = None) -> RequestRefusal:
        """Returns the refusal that belongs to a kind of errors."""
        status = Fault(kind).answer.status
        return cls(kind, status, round(retry_after_s, 2) if retry_after_s is not None else None)


@dataclass(frozen=True)
class ServiceExplanation:
    """Where a request would go if it is for one of its route's services.

    `share` is the part of the route's requests that the service gets, from 0 to 1. Either
    `endpoint` is set, with its `rank` among the candidates that count, or `refusal`. `candidates`
    are in the order of preference for the request's object.
    """

    service: ServiceName
    share: float
    endpoint: EndpointId | None
    rank: int | None
    answer_s: float | None
    refusal: RequestRefusal | None
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True)
class RequestExplanation:
    """The rules for a request, and where it would go; the rules are None before they are known.

    `quota_per_s` is the limit of the workspace, 0 for none, and `quota_left` how many requests the
    daemon may let run now, None if none has come lately. Times are in seconds.
    """

    version: int | None
    route: str | None = None
    kind: str | None = None
    workspace: WorkspaceName | None = None
    priority: int | None = None
    allowed_regions: tuple[RegionName, ...] = ()
    target_s: float | None = None
    time_left_s: float | None = None
    quota_per_s: float = 0.0
    quota_burst: float = 0.0
    quota_left: float | None = None
    refusal: RequestRefusal | None = None
    services: tuple[ServiceExplanation, ...] = ()


def explain_request(
    table: RoutingTable | None,
    dispatcher: Dispatcher,
    request: RequestDescription,
    now_s: float,
    quotas: Mapping[WorkspaceName, QuotaRefusal] = MappingProxyType({}),
) -> RequestExplanation:
    """Returns where a request that arrives now would go; the state stays as it is.

    `quotas` has what is left for workspaces, as the refusal that a request without a token gets.
    """
    if table is None:
        refusal = RequestRefusal.from_kind(ErrorKind.NO_CONFIGURATION)
        return RequestExplanation(None, refusal=refusal)
    route = table.match(request.host.lower(), request.path)
    if route is None:
        refusal = RequestRefusal.from_kind(ErrorKind.NO_ROUTE)
        return RequestExplanation(table.version, refusal=refusal)
    workspace = None
    if table.workspaces is not None:
        if request.workspace is not None:
            workspace = table.workspaces.by_name.get(request.workspace)
        if workspace is None and not route.is_public:
            refusal = RequestRefusal.from_kind(ErrorKind.UNKNOWN_KEY)
            return RequestExplanation(table.version, route.name, route.kind.value, refusal=refusal)
    quota = quotas.get(workspace.name) if workspace is not None else None
    return _explain_routed(table, dispatcher, request, route, workspace, quota, now_s)


def _explain_routed(
    table: RoutingTable,
    dispatcher: Dispatcher,
    request: RequestDescription,
    route: Route,
    workspace: Workspace | None,
    quota: QuotaRefusal | None,
    now_s: float,
) -> RequestExplanation:
    """Returns where a request of a known route and caller would go."""
    time_left_s = route.timeout_s
    if request.time_left_s is not None:
        time_left_s = min(time_left_s, request.time_left_s)
    object_key = request.object_key if route.sticky else ""
    requests = {
        share.service: RequestProgress(
            route,
            share.service,
            now_s,
            now_s + time_left_s,
            request.object_key,
            object_key,
            workspace=workspace,
        )
        for share in route.shares
    }
    first = next(iter(requests.values()))
    regions = first.allowed_regions
    refusal = None
    services: tuple[ServiceExplanation, ...] = ()
    if regions is None:
        refusal = RequestRefusal.from_kind(ErrorKind.NO_REGION, NO_REGION_RETRY_AFTER_S)
    elif quota is not None and quota.tokens < 1.0 - ROUNDING:
        refusal = RequestRefusal.from_kind(ErrorKind.QUOTA_SPENT, quota.retry_after_s)
    elif requests.keys().isdisjoint(table.services):
        refusal = RequestRefusal.from_kind(ErrorKind.NO_CAPACITY, MIN_RETRY_AFTER_S)
    else:
        total = sum(share.weight for share in route.shares)
        services = tuple(
            _explain_service(
                table, dispatcher, requests[share.service], share.weight / total, now_s
            )
            for share in route.shares
            if share.weight > 0 and share.service in table.services
        )
    return RequestExplanation(
        table.version,
        route.name,
        route.kind.value,
        workspace.name if workspace is not None else None,
        first.priority,
        tuple(sorted(regions or ())),
        route.target_s,
        time_left_s,
        workspace.rate_per_s if workspace is not None else 0.0,
        workspace.burst if workspace is not None else 0.0,
        quota.tokens if quota is not None else None,
        refusal,
        services,
    )


def _explain_service(
    table: RoutingTable,
    dispatcher: Dispatcher,
    progress: RequestProgress,
    share: float,
    now_s: float,
) -> ServiceExplanation:
    """Returns where a request for a service would go."""
    requirements = replace(progress.build_requirements(), jitter=MEAN_JITTER)
    choice, candidates = dispatcher.explain(requirements, table.services[progress.service], now_s)
    if isinstance(choice, Refusal):
        refusal = RequestRefusal.from_kind(choice.kind, choice.retry_after_s)
        return ServiceExplanation(progress.service, share, None, None, None, refusal, candidates)
    chosen = choice.endpoint.record.id
    answer_s = next(each.weighed.answer_s for each in candidates if each.weighed.id == chosen)
    return ServiceExplanation(
        progress.service, share, chosen, choice.rank, answer_s, None, candidates
    )
