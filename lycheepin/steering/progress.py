"""One request over its attempts: what was tried, what is certain of it, what may follow.

Answers the load of failures: an attempt that certainly did not run may be made elsewhere, one that
may have run only for idempotent work and within the shared budget of second attempts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from lycheepin.errors import ErrorKind
from lycheepin.names import EndpointId, ServiceName
from lycheepin.steering.budgets import RetryBudgetShare
from lycheepin.steering.dispatch import AttemptRequirements, Dispatcher
from lycheepin.steering.fleet import Endpoint, EndpointRegistry
from lycheepin.steering.routes import RequestKind, Route

__all__ = [
    "OutcomeUnknown",
    "EndpointChange",
    "NotRun",
    "RequestProgress",
    "AttemptResult",
    "Served",
]

# Connections that could not be opened, after which a request is refused.
MAX_UNREACHABLE = 3
# Time left in seconds below which another attempt has no chance.
MIN_ATTEMPT_S = 0.05
# Lowest status of an answer by which the endpoint says that it failed.
FIRST_FAILURE_STATUS = 500
_DRAW_MASK = 0xFFFF


@dataclass(frozen=True)
class Served:
    """The endpoint ran the request and answered with a status."""

    status: int


@dataclass(frozen=True)
class NotRun:
    """The request certainly did not run there; `sent` tells whether it arrived.

    `full` tells that the endpoint had no free slot, as far as it said.
    """

    kind: ErrorKind
    sent: bool
    full: bool = False


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run."""

    kind: ErrorKind


AttemptResult = Served | NotRun | OutcomeUnknown


@dataclass(frozen=True)
class EndpointChange:
    """What a result changed in the beliefs about an endpoint."""

    excluded: bool = False
    replaced: bool = False


@dataclass
class RequestProgress:
    """The account of one request; times are monotonic seconds.

    `waited_s` is how long the caller had waited before this try. `body_buffered` tells whether the
    whole body is at hand, so that it can be sent again.
    """

    route: Route
    service: ServiceName
    arrival_s: float
    deadline_s: float
    identifier: str
    object_key: str
    waited_s: float = 0.0
    body_buffered: bool = True
    sent: int = 0
    unreachable: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    may_have_run: bool = False

    def build_requirements(self, without: EndpointId | None = None) -> AttemptRequirements:
        """Returns what the next attempt needs, `without` an endpoint that is being tried."""
        tried = self.tried if without is None else self.tried | {without}
        return AttemptRequirements(
            self.service,
            self.object_key,
            self.route.priority,
            self.route.allowed_regions,
            self.arrival_s - self.waited_s + self.route.target_s,
            self.deadline_s,
            frozenset(tried),
            (crc32(self.identifier.encode()) & _DRAW_MASK) / _DRAW_MASK,
            self.waited_s > 0.0,
        )

    @property
    def may_resend(self) -> bool:
        """Whether the request may be sent to one more endpoint after the present one."""
        return (
            self.route.kind is RequestKind.IDEMPOTENT
            and self.sent + 1 < self.route.max_attempts
            and self.body_buffered
        )

    def may_abandon_attempt(
        self,
        endpoint: Endpoint,
        dispatcher: Dispatcher,
        allowance: RetryBudgetShare,
        daemons: int,
        now_s: float,
    ) -> bool:
        """Returns whether an attempt may be given up because another one can be made at once.

        Without one the caller would get an error in place of an answer that may still come.
        """
        return (
            self.may_resend
            and now_s + MIN_ATTEMPT_S < self.deadline_s
            and allowance.can_spend(now_s, daemons)
            and dispatcher.has_warm_capacity(
                self.build_requirements(without=endpoint.record.id), now_s
            )
        )

    def is_retryable(self, result: AttemptResult) -> bool:
        """Returns whether another endpoint may do better than what came of an attempt."""
        match result:
            case Served(status=status):
                failed = status >= FIRST_FAILURE_STATUS
                return failed and self.route.kind is RequestKind.IDEMPOTENT
        return True

    def record_result(
        self, result: AttemptResult, endpoint: Endpoint, fleet: EndpointRegistry, now_s: float
    ) -> EndpointChange:
        """Takes in what came of an attempt: into this account, and into what is believed."""
        self.tried.add(endpoint.record.id)
        match result:
            case Served(status=status):
                self.sent += 1
                self.may_have_run = True
                endpoint.observe_success()
                endpoint.observe_outcome(now_s, served=status < FIRST_FAILURE_STATUS)
                return EndpointChange()
            case NotRun(kind=kind, sent=sent, full=full):
                self.sent += sent
                self.unreachable += not sent
                return self._observe_not_run(kind, full, endpoint, fleet, now_s)
            case OutcomeUnknown(kind=kind):
                self.sent += 1
                self.may_have_run = True
                silent = kind is ErrorKind.ENDPOINT_TIMEOUT and fleet.is_silent(endpoint, now_s)
                endpoint.observe_outcome(now_s, served=False)
                return EndpointChange(excluded=endpoint.observe_failure(now_s, at_once=silent))
        raise AssertionError(result)

    @staticmethod
    def _observe_not_run(
        kind: ErrorKind, full: bool, endpoint: Endpoint, fleet: EndpointRegistry, now_s: float
    ) -> EndpointChange:
        """Takes in why an endpoint did not run a request."""
        if kind is ErrorKind.ENDPOINT_REPLACED:
            fleet.mark_gone(endpoint.record.id)
            return EndpointChange(replaced=True)
        if kind is ErrorKind.ENDPOINT_UNREACHABLE:
            return EndpointChange(excluded=endpoint.observe_failure(now_s, at_once=True))
        if kind is ErrorKind.ENDPOINT_SHED:
            endpoint.observe_outcome(now_s, served=False)
            if full:
                endpoint.observe_full(now_s)
        return EndpointChange()

    def try_reserve_attempt(
        self, result: AttemptResult, allowance: RetryBudgetShare, daemons: int, now_s: float
    ) -> bool:
        """Returns whether another attempt may be made; a second one is counted as spent."""
        if not isinstance(result, NotRun) and self.route.kind is not RequestKind.IDEMPOTENT:
            return False
        if not self.body_buffered:
            return False
        if self.sent >= self.route.max_attempts or self.unreachable >= MAX_UNREACHABLE:
            return False
        if now_s + MIN_ATTEMPT_S >= self.deadline_s:
            return False
        return self.sent == 0 or allowance.try_spend(now_s, daemons)

    def final_error_kind(self, kind: ErrorKind, now_s: float) -> ErrorKind:
        """Returns the kind of a final answer: one that says not run only if that is certain."""
        if not self.may_have_run:
            return kind
        late = now_s >= self.deadline_s
        return ErrorKind.ENDPOINT_TIMEOUT if late else ErrorKind.ENDPOINT_BROKE
