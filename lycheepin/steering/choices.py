"""What one attempt requires of its endpoint, and what was chosen for it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from lycheepin.errors import ErrorKind
from lycheepin.names import EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "AttemptRequirements",
    "Candidate",
    "Choice",
    "Claim",
    "Refusal",
    "RefusalRule",
    "SelectedEndpoint",
    "WeighedEndpoint",
]


@dataclass(frozen=True)
class AttemptRequirements:
    """The requirements of one attempt on its endpoint.

    `target_at_s` and `deadline_s` are monotonic times in seconds. `allowed_regions` is empty when
    any region may serve the request. `jitter` is a number from 0 to 1, fixed for each request,
    that spreads the retries of callers. `is_caller_retry` is true when the caller repeats a request
    that was refused or failed. `workspace` is the one that the caller belongs to, or None.
    """

    service: ServiceName
    object_key: str
    priority: int
    allowed_regions: frozenset[RegionName]
    target_at_s: float
    deadline_s: float
    tried: frozenset[EndpointId] = frozenset()
    jitter: float = 0.5
    is_caller_retry: bool = False
    workspace: Workspace | None = None


@dataclass(frozen=True)
class SelectedEndpoint:
    """The endpoint for an attempt; `rank` is its index among the candidates for the object."""

    endpoint: Endpoint
    rank: int


@dataclass(frozen=True)
class WeighedEndpoint:
    """An endpoint that was considered for a refused attempt, with what decided; times in seconds.

    `other_requests` is the estimate of other daemons' requests there, `report_age_s` the age of the
    last report that it is based on, and `answer_s` the expected time to an answer.
    `is_own_region` is true for an endpoint in the daemon's region.
    """

    id: EndpointId
    slots: int
    in_flight: int
    other_requests: float
    report_age_s: float | None
    answer_s: float
    is_own_region: bool = False


class RefusalRule(Enum):
    """What decides that warm endpoints don't get an attempt."""

    FULL = "full"
    LATE = "late"
    LATE_RETRY = "late_retry"
    HOPELESS = "hopeless"
    OVER_SHARE = "over_share"
    PRIORITY = "priority"


@dataclass(frozen=True)
class Claim:
    """What an attempt may take of the endpoints of a region under contention.

    `used` is what its workspace has been given in the last seconds, in requests, and `share` what
    it may be given. With a `rule`, which holds it back, it may not wait at an endpoint, and `kept`
    is the part of the slots that it may not use either.
    """

    region: RegionName
    used: float = 0.0
    share: float = inf
    kept: float = 0.0
    rule: RefusalRule | None = None


@dataclass(frozen=True)
class Candidate:
    """An endpoint of a service as an explanation lists it.

    `weight` is that in the order of preference, `slowness` the factor by which its machine is slow.
    `obstacles` are the reasons for which it is passed over, and `limit_per_s` is the limit that it
    has named, in requests per second.
    """

    weighed: WeighedEndpoint
    zone: ZoneName
    region: RegionName
    weight: float
    slowness: float
    obstacles: tuple[str, ...]
    limit_per_s: float | None


@dataclass(frozen=True)
class Refusal:
    """No endpoint can take the attempt; capacity is expected in `retry_after_s` seconds.

    `weighed` has the preferred endpoints; it is empty if none was usable, or all were cold, or none
    of them takes a request of this daemon now. `rule` and `claim` tell why preferred endpoints
    don't get the attempt.
    """

    kind: ErrorKind
    retry_after_s: float
    weighed: tuple[WeighedEndpoint, ...] = ()
    rule: RefusalRule | None = None
    claim: Claim | None = None


Choice = SelectedEndpoint | Refusal
