"""State of one request over its attempts, and the rules for further attempts.

An attempt that certainly did not run may be repeated at another endpoint. One that may have run
is repeated only for idempotent requests and within the retry budget that all daemons share, so
that failures don't multiply the load.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from lycheepin.errors import ErrorKind
from lycheepin.names import EndpointId, RegionName, ServiceName
from lycheepin.steering.budgets import RetryBudgetShare
from lycheepin.steering.choices import AttemptRequirements
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.pace import Paces
from lycheepin.steering.quotas import Spend
from lycheepin.steering.routes import RequestKind, Route
from lycheepin.steering.suspects import Fingerprint
from lycheepin.steering.workspaces import Workspace, intersect_regions

__all__ = [
    "FIRST_FAILURE_STATUS",
    "AttemptResult",
    "EndpointChange",
    "NotRun",
    "OutcomeUnknown",
    "RequestProgress",
    "Served",
]

# Failed connections after which a request is refused.
MAX_UNREACHABLE = 3
# Time in seconds before the deadline within which no further attempt is started: it could not be
# answered in time.
MIN_ATTEMPT_S = 0.05
# Lowest status of an answer that reports a failure of the endpoint.
FIRST_FAILURE_STATUS = 500
_JITTER_MASK = 0xFFFF


@dataclass(frozen=True)
class Served:
    """The endpoint ran the request and answered with a status."""

    status: int


@dataclass(frozen=True)
class NotRun:
    """The request certainly did not run at the endpoint.

    `sent` is true when the endpoint received it. `full` is true when the endpoint had no free
    slot according to its answer.
    """

    kind: ErrorKind
    sent: bool
    full: bool = False


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; `detail` says for the log what was seen."""

    kind: ErrorKind
    detail: str = ""


# Result of one attempt without the answer; decides whether the request may be retried.
AttemptResult = Served | NotRun | OutcomeUnknown


@dataclass(frozen=True)
class EndpointChange:
    """How an attempt's result changed the recorded state of its endpoint."""

    excluded: bool = False
    replaced: bool = False


@dataclass
class RequestProgress:
    """The attempts of one request; times are monotonic seconds.

    `waited_s` is how long the caller had waited before this request, 0 unless it is a caller
    retry. `body_buffered` is true while the whole body is buffered, so that it can be sent again.
    `sent` counts the attempts that reached an endpoint, `unreachable` the failed connections and
    `running` the attempts that have not ended.
    `fingerprint` is the same for all requests like it. `workspace` is that of the
    caller, None if it needs none; `spends` are the tokens of its quota that the request holds.
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
    running: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    may_have_run: bool = False
    fingerprint: Fingerprint = Fingerprint("")
    workspace: Workspace | None = None
    spends: list[Spend] = field(default_factory=list)

    def build_requirements(self, excluding: EndpointId | None = None) -> AttemptRequirements:
        """Returns the requirements of the next attempt, without tried endpoints.

        `excluding` is one more endpoint to leave out, as an attempt there is in progress.
        """
        tried = self.tried if excluding is None else self.tried | {excluding}
        return AttemptRequirements(
            self.service,
            self.object_key,
            self.priority,
            self.allowed_regions or frozenset(),
            self.arrival_s - self.waited_s + self.route.target_s,
            self.deadline_s,
            frozenset(tried),
            (crc32(self.identifier.encode()) & _JITTER_MASK) / _JITTER_MASK,
            self.waited_s > 0.0,
            self.workspace,
        )

    @property
    def priority(self) -> int:
        """The priority of the request; that of its workspace precedes that of its route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def allowed_regions(self) -> frozenset[RegionName] | None:
        """The regions that may serve the request; empty for any, None if none may."""
        if self.workspace is None:
            return self.route.allowed_regions
        return intersect_regions(self.route.allowed_regions, self.workspace.allowed_regions)

    @property
    def may_resend(self) -> bool:
        """Whether the request may be sent to another endpoint besides the present attempts."""
        return (
            self.route.kind is RequestKind.IDEMPOTENT
            and self.sent + max(1, self.running) < self.route.max_attempts
            and self.body_buffered
        )

    def may_abandon_attempt(
        self,
        endpoint: Endpoint,
        dispatcher: Dispatcher,
        retry_budget: RetryBudgetShare,
        slack_fraction: float,
        now_s: float,
    ) -> bool:
        """Returns whether the attempt at an unresponsive endpoint may be abandoned.

        That requires another endpoint with capacity now: otherwise the caller would get an error
        instead of an answer that may still arrive. Of two attempts that run, none is abandoned.
        """
        return (
            self.running <= 1
            and self.may_resend
            and now_s + MIN_ATTEMPT_S < self.deadline_s
            and retry_budget.can_spend(now_s, slack_fraction)
            and dispatcher.has_warm_capacity(
                self.build_requirements(excluding=endpoint.record.id), now_s
            )
        )

    def record_pace(
        self,
        result: AttemptResult,
        endpoint: Endpoint,
        paces: Paces,
        started_s: float,
        now_s: float,
    ) -> None:
        """Applies the result of an attempt to the pace of an endpoint that has just returned."""
        match result:
            case Served(status=status) if status < FIRST_FAILURE_STATUS:
                paces.observe_answer(endpoint, started_s, self.route.target_s, now_s)
            case _:
                paces.observe_failure(endpoint, started_s, now_s)

    def record_loss(
        self, endpoint: Endpoint, registry: EndpointRegistry, waited_s: float, now_s: float
    ) -> EndpointChange:
        """Updates this request and an endpoint when another one answered first.

        The endpoint had not answered after `waited_s` seconds.
        """
        self.tried.add(endpoint.record.id)
        self.sent += 1
        self.may_have_run = True
        return EndpointChange(excluded=registry.observe_silence(endpoint, now_s, waited_s))

    def is_retryable(self, result: AttemptResult) -> bool:
        """Returns whether another endpoint may give a better result.

        An answer is final unless it reports a failure of an idempotent request.
        """
        match result:
            case Served(status=status):
                failed = status >= FIRST_FAILURE_STATUS
                return failed and self.route.kind is RequestKind.IDEMPOTENT
        return True

    def record_result(
        self, result: AttemptResult, endpoint: Endpoint, registry: EndpointRegistry, now_s: float
    ) -> EndpointChange:
        """Updates this request, its endpoint and the registry with the result of an attempt."""
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
                return self._observe_not_run(kind, full, endpoint, registry, now_s)
            case OutcomeUnknown(kind=kind):
                self.sent += 1
                self.may_have_run = True
                unresponsive = kind is ErrorKind.ENDPOINT_TIMEOUT and registry.is_unresponsive(
                    endpoint, now_s
                )
                endpoint.observe_outcome(now_s, served=False)
                return EndpointChange(
                    excluded=endpoint.observe_failure(now_s, exclude_now=unresponsive)
                )
        raise AssertionError(result)

    @staticmethod
    def _observe_not_run(
        kind: ErrorKind, full: bool, endpoint: Endpoint, registry: EndpointRegistry, now_s: float
    ) -> EndpointChange:
        """Updates an endpoint and the registry after an attempt that did not run."""
        if kind is ErrorKind.ENDPOINT_REPLACED:
            registry.remove_replaced(endpoint.record.id)
            return EndpointChange(replaced=True)
        if kind is ErrorKind.ENDPOINT_UNREACHABLE:
            return EndpointChange(excluded=endpoint.observe_failure(now_s, exclude_now=True))
        if kind is ErrorKind.ENDPOINT_SHED:
            endpoint.observe_outcome(now_s, served=False)
            if full:
                endpoint.observe_full(now_s)
        return EndpointChange()

    def try_reserve_attempt(
        self,
        result: AttemptResult,
        retry_budget: RetryBudgetShare,
        slack_fraction: float,
        now_s: float,
    ) -> bool:
        """Returns whether another attempt may follow a result.

        Counts the attempt against the retry budget if the request was sent before.
        """
        if not isinstance(result, NotRun) and self.route.kind is not RequestKind.IDEMPOTENT:
            return False
        if not self.body_buffered:
            return False
        if self.sent >= self.route.max_attempts or self.unreachable >= MAX_UNREACHABLE:
            return False
        if now_s + MIN_ATTEMPT_S >= self.deadline_s:
            return False
        return self.sent == 0 or retry_budget.try_spend(now_s, slack_fraction)

    def final_error_kind(self, kind: ErrorKind, now_s: float) -> ErrorKind:
        """Returns the error for the caller when the last attempt ended with `kind`.

        Returns `kind`, which may state that the request did not run, only when no attempt may
        have run.
        """
        if not self.may_have_run:
            return kind
        late = now_s >= self.deadline_s
        return ErrorKind.ENDPOINT_TIMEOUT if late else ErrorKind.ENDPOINT_BROKE
