"""Records the history of each request and reports violated guarantees.

Guarantees that don't depend on the machine's speed are always checked. Those with a time limit are
checked only with `check_time_limits`, and only for intervals without a recent fault.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from soak.daemons import BOUNDS
from soak.workspaces import KeyHistory

__all__ = ["SentRequest", "RequestLedger", "Violation"]

# Statuses which guarantee that a protected request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses of the protocol that end a request.
STATUSES = range(200, 600)
# Maximum attempts per request in the routes of the soak.
MAX_ATTEMPTS = 2
# Time limits: for the last run at a leaving endpoint, for applying a configuration, and for the
# final answer after the route's timeout.
DRAIN_LIMIT_S = 2.5
CONFIGURATION_LIMIT_S = 2.5
ANSWER_MARGIN_S = 0.5
# A request that crashes endpoints: how many crashes make it known, the time until all daemons know
# it, and how often it may run after that.
CRASHES_TO_KNOW = 3
KNOWLEDGE_LIMIT_S = 4.0
MAX_LATE_CRASHES = 3
# Time limits are checked only for intervals without a fault in them or in this time before them.
RECOVERY_MARGIN_S = 4.0


@dataclass(frozen=True)
class Violation:
    """A violated guarantee."""

    guarantee: str
    detail: str


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sent it; `services` are those that may run it.

    `credentials` are its `Authorization` headers; a public route needs none.
    """

    identifier: str
    daemon: str
    method: str
    path: str
    body: bytes
    protected: bool
    services: frozenset[str]
    sent_at_s: float
    credentials: tuple[str, ...] = ()
    is_public: bool = False


@dataclass
class _RequestHistory:
    """One request, the endpoints that ran it, and its final status."""

    sent_request: SentRequest
    arrivals: int = 0
    runs: list[str] = field(default_factory=list)
    endpoint_answered: bool = False
    status: int | None = None
    is_unread: bool = False


class RequestLedger:
    """Records observations of callers, endpoints and operators; times are monotonic seconds."""

    def __init__(self, check_time_limits: bool = True) -> None:
        self._check_time_limits = check_time_limits
        self._histories: dict[str, _RequestHistory] = {}
        self._leaving_times_s: dict[str, float] = {}
        self._fault_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self._stop_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self._request_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self._retry_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self._highest_versions: defaultdict[tuple[str, int], int] = defaultdict(int)
        self._configuration_times_s: dict[int, float] = {}
        self._crash_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self._late_crashes: Counter[str] = Counter()
        self._run_times_s: defaultdict[str, list[float]] = defaultdict(list)
        self.key_history = KeyHistory()
        self.violations: list[Violation] = []
        self.request_count = 0
        self.outcomes: Counter[str] = Counter()

    @property
    def success_count(self) -> int:
        """Number of requests that were answered with status 200."""
        return self.outcomes["200"]

    def record_request(self, sent_request: SentRequest, is_probe: bool = False) -> None:
        """Records that a caller, or a probe of the configuration, sends a request."""
        self._histories[sent_request.identifier] = _RequestHistory(sent_request)
        self.request_count += not is_probe
        for service in sent_request.services:
            self._request_times_s[service].append(sent_request.sent_at_s)

    def record_arrival(self, identifier: str, service: str, now_s: float) -> None:
        """Records that a request reaches an endpoint, whether it runs there or not."""
        history = self._histories.get(identifier)
        if history is None:
            return
        history.arrivals += 1
        if history.arrivals > 1:
            self._retry_times_s[service].append(now_s)

    def record_run(
        self,
        identifier: str,
        endpoint: str,
        service: str,
        received: tuple[str, str, bytes] | None,
        now_s: float,
    ) -> None:
        """Records that an endpoint starts to run a request.

        `received` are the method, the path and the body that reached the endpoint, None if it
        answered before it had read the body.
        """
        history = self._histories.get(identifier)
        if history is None:
            self._report_violation(
                "unasked", f"{identifier}, which no caller sent, ran at {endpoint}"
            )
            return
        sent_request = history.sent_request
        history.runs.append(endpoint)
        sent = (sent_request.method, sent_request.path, sent_request.body)
        if received is not None and received != sent:
            self._report_violation(
                "unchanged", f"{identifier} was received by {endpoint} as {received[:2]}"
            )
        if service not in sent_request.services:
            self._report_violation("route", f"{identifier} ran at {service} ({endpoint})")
        if sent_request.protected and len(history.runs) > 1:
            self._report_violation("at most once", f"{identifier} ran at {history.runs}")
        if sent_request.protected and history.is_unread:
            self._report_violation("unread", f"{identifier} ran though it counts as not read")
        if len(history.runs) > MAX_ATTEMPTS:
            self._report_violation("attempts", f"{identifier} ran at {history.runs}")
        if sent_request.protected and history.status in NOT_RUN_STATUSES:
            self._report_violation("not run", f"{identifier} ran after answer {history.status}")
        leaving_s = self._leaving_times_s.get(endpoint)
        if (
            leaving_s is not None
            and now_s > leaving_s + DRAIN_LIMIT_S
            and self._is_operating_normally(sent_request.daemon, leaving_s, now_s)
        ):
            self._report_time_limit_violation(
                "drain", f"{identifier} ran at {endpoint} {now_s - leaving_s:.2f} s after it left"
            )

    def record_identity(
        self, identifier: str, region: str, headers: Mapping[str, str], now_s: float
    ) -> None:
        """Records as whose an endpoint in a region runs a request, by the headers it got."""
        history = self._histories.get(identifier)
        if history is None or self.key_history.is_empty:
            return
        sent_request = history.sent_request
        name = headers.get("tenant", "")
        schemes = [part.split()[:1] for part in headers.get("authorization", "").split(",")]
        if ["bearer"] in [[word.lower() for word in scheme] for scheme in schemes]:
            self._report_violation("key passed on", f"{identifier} reached an endpoint with a key")
        holders = self.key_history.find_holders(sent_request.credentials)
        names = frozenset[str]().union(*holders)
        if sent_request.is_public and (not name or name in names):
            return
        if not names:
            self._report_violation("key", f"{identifier} ran without the key of a workspace")
        elif name not in names:
            self._report_violation("name", f"{identifier} of {sorted(names)} ran as {name!r}")
        homes = self.key_history.find_homes(name)
        if homes is not None and name in names and region not in homes:
            self._report_violation("home", f"{identifier} of {name} ran in {region}")
        self._run_times_s[name].append(now_s)
        since_s = sent_request.sent_at_s - CONFIGURATION_LIMIT_S
        recent = self.key_history.find_holders(sent_request.credentials, since_s)
        if not any(name in held for held in recent) and self._is_operating_normally(
            sent_request.daemon, since_s, now_s
        ):
            self._report_time_limit_violation(
                "withdrawn key", f"{identifier} ran as {name} at {sent_request.daemon}"
            )

    def _check_key_refusal(self, sent_request: SentRequest, now_s: float) -> None:
        """Reports a refusal of a key that all versions that may be in force know."""
        history = self.key_history
        ever = history.find_holders(sent_request.credentials)
        if sent_request.is_public or (ever and all(len(held) == 1 for held in ever)):
            self._report_violation(
                "known key", f"{sent_request.identifier} got 401 at {sent_request.daemon}"
            )
            return
        since_s = sent_request.sent_at_s - CONFIGURATION_LIMIT_S
        recent = history.find_holders(sent_request.credentials, since_s)
        if all(len(held) == 1 for held in recent) and self._is_operating_normally(
            sent_request.daemon, since_s, now_s
        ):
            self._report_time_limit_violation(
                "new key", f"{sent_request.identifier} got 401 at {sent_request.daemon}"
            )

    def record_unread(self, identifiers: Iterable[str], after: str) -> None:
        """Records requests that count as not read, if the one before them was answered.

        Its answer was the last one on their connection; their caller sends them elsewhere.
        """
        if self._histories[after].status is None:
            return
        for history in (self._histories[identifier] for identifier in identifiers):
            history.is_unread = True
            if history.sent_request.protected and history.runs:
                self._report_violation(
                    "unread", f"{history.sent_request.identifier} ran behind the end of {after}"
                )

    def record_crash(self, identifier: str, now_s: float) -> None:
        """Records that a request has crashed the endpoint that began to run it."""
        sent_request = self._histories[identifier].sent_request
        path = sent_request.path
        self._crash_times_s[path].append(now_s)
        known_s = self._crash_times_s[path][:CRASHES_TO_KNOW][-1] + KNOWLEDGE_LIMIT_S
        if now_s <= known_s or self._had_fault((sent_request.daemon, "store"), known_s, now_s):
            return
        self._late_crashes[path] += 1
        if self._late_crashes[path] > MAX_LATE_CRASHES:
            self._report_time_limit_violation(
                "deadly", f"{path} crashed {len(self._crash_times_s[path])} endpoints"
            )

    def record_complete_answer(self, identifier: str) -> None:
        """Records that an endpoint has sent a complete answer."""
        history = self._histories.get(identifier)
        if history is not None:
            history.endpoint_answered = True

    def record_answer(
        self,
        identifier: str,
        status: int,
        matches_request: bool,
        now_s: float,
        detail: str = "",
    ) -> None:
        """Records the answer that a caller received.

        `matches_request` is true when it is complete and belongs to this request; `detail` says for
        a violation what it was.
        """
        history = self._histories[identifier]
        sent_request = history.sent_request
        history.status = status
        self.outcomes[str(status)] += 1
        if status == 200:
            if not matches_request:
                self._report_violation("own whole answer", f"{identifier} {detail}".strip())
            if not history.runs:
                self._report_violation("success without a run", identifier)
        if status not in STATUSES:
            self._report_violation("no answer", f"{identifier} got status {status:03}")
        if status == 401:
            self._check_key_refusal(sent_request, now_s)
        if status == 404:
            self._report_violation(
                "known route", f"{identifier} got status 404 for {sent_request.path}"
            )
        if sent_request.protected and status in NOT_RUN_STATUSES and history.runs:
            self._report_violation(
                "not run", f"{identifier} was answered {status} but ran at {history.runs}"
            )

    def record_wait(
        self, identifier: str, waited_s: float, route_timeout_s: float, now_s: float
    ) -> None:
        """Records how long a caller waited, which the route's timeout limits."""
        sent_request = self._histories[identifier].sent_request
        if waited_s > route_timeout_s + ANSWER_MARGIN_S and self._is_operating_normally(
            sent_request.daemon, sent_request.sent_at_s, now_s
        ):
            self._report_time_limit_violation(
                "timeout", f"{identifier} waited {waited_s:.2f} s at {sent_request.daemon}"
            )

    def record_cut_connection(self, identifier: str, now_s: float) -> None:
        """Records that a connection ended without an answer to a sent request."""
        self.outcomes["cut"] += 1
        history = self._histories[identifier]
        sent_request = history.sent_request
        if history.endpoint_answered and self._is_undisturbed(
            sent_request.daemon, sent_request.sent_at_s, now_s
        ):
            self._report_violation(
                "cut",
                f"{identifier} unanswered at {sent_request.daemon}, though {history.runs} answered",
            )

    def record_probe_result(
        self, daemon: str, incarnation: int, version: int, has_version: bool, sent_at_s: float
    ) -> None:
        """Records whether an incarnation of a daemon has applied a configuration version."""
        highest_version = self._highest_versions[daemon, incarnation]
        if has_version:
            self._highest_versions[daemon, incarnation] = max(highest_version, version)
            return
        if version <= highest_version:
            self._report_violation(
                "configuration", f"{daemon} reverted from {highest_version} to before {version}"
            )
        written_s = self._configuration_times_s[version]
        if sent_at_s > written_s + CONFIGURATION_LIMIT_S and self._is_operating_normally(
            daemon, written_s, sent_at_s
        ):
            self._report_time_limit_violation(
                "in force",
                f"{daemon} has not applied {version} after {sent_at_s - written_s:.2f} s",
            )

    def record_configuration(self, version: int, now_s: float) -> None:
        """Records that the store has acknowledged a configuration version."""
        self._configuration_times_s[version] = now_s

    def record_endpoint_leaving(self, endpoint: str, now_s: float) -> None:
        """Records that the store has acknowledged that an endpoint leaves."""
        self._leaving_times_s.setdefault(endpoint, now_s)

    def record_fault(self, scope: str, now_s: float) -> None:
        """Records a fault of a daemon, or of "store" or "endpoints", which affects all daemons."""
        self._fault_times_s[scope].append(now_s)

    def record_stop_request(self, daemon: str, now_s: float) -> None:
        """Records that a daemon is asked to stop.

        It may exceed time limits from then on, but must not cut connections.
        """
        self._stop_times_s[daemon].append(now_s)

    def record_exit(self, daemon: str, exit_status: int, exit_expected: bool) -> None:
        """Records that a daemon's process has ended."""
        if not exit_expected:
            self._report_violation(
                "runs on", f"{daemon} ended unexpectedly with status {exit_status}"
            )
        elif exit_status not in (0, -9):
            self._report_violation("clean end", f"{daemon} ended with status {exit_status}")

    def check_retry_budgets(self) -> None:
        """Checks each service's shared retry budget in all windows that start with a retry."""
        window_s = BOUNDS["budgetWindowS"]
        for service, retry_times_s in self._retry_times_s.items():
            request_times_s = self._request_times_s[service]
            for index, start_s in enumerate(retry_times_s):
                retry_count = sum(time_s < start_s + window_s for time_s in retry_times_s[index:])
                request_count = sum(
                    start_s - window_s <= time_s < start_s + window_s for time_s in request_times_s
                )
                allowed_retries = BOUNDS["retryBudgetRatio"] * request_count + BOUNDS["budgetSlack"]
                if retry_count > allowed_retries:
                    self._report_violation(
                        "budget", f"{service}: {retry_count} retries, {allowed_retries:.0f} allowed"
                    )
                    break

    def check_quotas(self) -> None:
        """Checks the quota of each workspace that had the same one in all versions."""
        window_s = BOUNDS["quotaWindowS"]
        for name, quota in self.key_history.find_quotas():
            allowed = quota.rate_per_s * window_s + quota.burst
            allowed = allowed * (1 + BOUNDS["quotaOver"]) + BOUNDS["quotaSlack"]
            times_s = sorted(self._run_times_s[name])
            for index, start_s in enumerate(times_s):
                runs = bisect_left(times_s, start_s + window_s) - index
                if runs > allowed:
                    self._report_violation("quota", f"{name}: {runs} runs, {allowed:.0f} allowed")
                    break

    def check_recovery(self, served_ratio: float, min_ratio: float) -> None:
        """Checks the ratio of requests that were served after the last fault."""
        if served_ratio == 0:
            self._report_violation("served at all", "no request was served after the last fault")
        elif served_ratio < min_ratio:
            self._report_time_limit_violation(
                "recovery", f"{served_ratio:.2f} of the requests were served after the last fault"
            )

    def _is_undisturbed(self, daemon: str, since_s: float, until_s: float) -> bool:
        """Returns whether no fault affected a daemon during an interval or shortly before it."""
        return not self._had_fault((daemon, "store", "endpoints"), since_s, until_s)

    def _had_fault(self, scopes: Iterable[str], since_s: float, until_s: float) -> bool:
        """Returns whether a fault of some scopes occurred in an interval or shortly before it."""
        return any(
            since_s - RECOVERY_MARGIN_S <= fault_s <= until_s
            for scope in scopes
            for fault_s in self._fault_times_s[scope]
        )

    def _is_operating_normally(self, daemon: str, since_s: float, until_s: float) -> bool:
        """Returns whether a daemon was undisturbed and also had no stop request in that time."""
        stopped = any(
            since_s - RECOVERY_MARGIN_S <= stop_s <= until_s
            for stop_s in self._stop_times_s[daemon]
        )
        return not stopped and self._is_undisturbed(daemon, since_s, until_s)

    def _report_time_limit_violation(self, guarantee: str, detail: str) -> None:
        """Adds a violation of a guarantee with a time limit, if these are checked."""
        if self._check_time_limits:
            self._report_violation(guarantee, detail)

    def _report_violation(self, guarantee: str, detail: str) -> None:
        """Adds a violation."""
        self.violations.append(Violation(guarantee, detail))
