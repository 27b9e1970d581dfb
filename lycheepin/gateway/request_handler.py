"""Handling of one caller's request: routing, endpoint selection, attempts and the answer."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from lycheepin.decoding import parse_count
from lycheepin.errors import ErrorKind, Fault
from lycheepin.gateway.attempt import AttemptRunner, EndpointAnswer
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.gateway.hedged_attempt import RequestAttempts
from lycheepin.gateway.identification import identify_caller
from lycheepin.gateway.quota_exchange import QuotaExchange
from lycheepin.gateway.request_log import RequestLog
from lycheepin.metrics import Metrics
from lycheepin.names import ServiceName
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.quarantine.fingerprints import fingerprint_request
from lycheepin.steering.budgets import BudgetLimits, Carriers, RetryBudgetShare
from lycheepin.steering.choices import Refusal
from lycheepin.steering.dispatch import NO_REGION_RETRY_AFTER_S, Dispatcher
from lycheepin.steering.draining import DrainSchedule
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.holdings import Holdings
from lycheepin.steering.progress import (
    FIRST_FAILURE_STATUS,
    RequestProgress,
)
from lycheepin.steering.return_times import MIN_RETRY_AFTER_S
from lycheepin.steering.returns import CallerRetries
from lycheepin.steering.routes import RequestKind, Route, RoutingTable, TrafficSplitter
from lycheepin.steering.suspects import Quarantined
from lycheepin.transport.connection import BrokenAnswer
from lycheepin.transport.headers import Headers, strip_hop_by_hop
from lycheepin.transport.incoming import (
    MAX_BUFFERED_BODY_BYTES,
    BodyRefused,
    IncomingRequest,
    RequestBody,
    WholeBody,
)

__all__ = ["RequestHandler"]

# Retry-After, in seconds, of a daemon that has no configuration yet.
STARTING_RETRY_AFTER_S = 0.5
MS_PER_S = 1000
# Statuses of the daemon's own answers that tell when to come again.
RETRY_LATER = frozenset((429, 503))
# Statuses with which a daemon promises that a request has not run and will not.
PROMISES = frozenset((408, 421, 429, 503))


class RequestHandler:
    """Handles the requests of all callers of one daemon.

    Requests are refused until `table` is set. While the daemon drains, `drain` has the times of the
    drain; attempts at unresponsive endpoints are then not abandoned.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        registry: EndpointRegistry,
        dispatcher: Dispatcher,
        attempt_runner: AttemptRunner,
        budget_limits: BudgetLimits,
        carriers: Carriers,
        suspicions: SuspicionExchange,
        log: RequestLog,
        metrics: Metrics,
        holdings: Holdings,
        quotas: QuotaExchange,
    ) -> None:
        self._holdings = holdings
        self._header_names = header_names
        self._registry = registry
        self._dispatcher = dispatcher
        self._attempt_runner = attempt_runner
        self._suspicions = suspicions
        self._log = log
        self._metrics = metrics
        self._quotas = quotas
        self._traffic_splitter = TrafficSplitter()
        self._caller_retries = CallerRetries()
        self._budget_limits = budget_limits
        self._carriers = carriers
        self._retry_shares: defaultdict[ServiceName, RetryBudgetShare] = defaultdict(
            lambda: RetryBudgetShare(self._budget_limits)
        )
        self._attempts = RequestAttempts(
            attempt_runner,
            registry,
            dispatcher,
            self._retry_shares,
            carriers,
            suspicions,
            lambda: self.drain is not None,
            quotas.admit_copy,
            log,
            metrics,
        )
        self.table: RoutingTable | None = None
        self.drain: DrainSchedule | None = None

    def apply_budget_limits(self, budget_limits: BudgetLimits) -> None:
        """Applies changed budget settings; retries already used still count."""
        self._budget_limits = budget_limits
        for retry_share in self._retry_shares.values():
            retry_share.limits = budget_limits
        self._dispatcher.apply_budget_limits(budget_limits)

    async def handle_request(self, request: IncomingRequest) -> None:
        """Sends exactly one answer to a request."""
        table = self.table
        identifier = (request.header(self._header_names.request_id) or b"").decode("latin-1")
        if table is None:
            await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
            self._refuse_request(
                request, identifier, ErrorKind.NO_CONFIGURATION, STARTING_RETRY_AFTER_S
            )
            return
        route = table.match(request.host, request.path)
        if route is None:
            await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
            self._log.write_no_route(request, identifier, table.version)
            self._send_error(request, ErrorKind.NO_ROUTE, None)
            return
        workspace = None
        if table.workspaces is not None:
            identified = identify_caller(request, route, table.workspaces, self._header_names)
            if isinstance(identified, ErrorKind):
                await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
                self._refuse_request(request, identifier, identified, None)
                return
            workspace = identified
        service = self._traffic_splitter.pick_service(route, table.version)
        if service not in table.services:
            await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
            self._refuse_request(request, identifier, ErrorKind.NO_CAPACITY, MIN_RETRY_AFTER_S)
            return
        time_left_s = self._read_time_left_s(request, route)
        progress = RequestProgress(
            route,
            service,
            request.arrival_s,
            request.arrival_s + min(time_left_s, route.timeout_s),
            identifier,
            self._read_object_key(request, route) or identifier,
            self._caller_retries.estimate_waited_s(
                route, time_left_s, request.arrival_s, workspace.name if workspace else None
            ),
            workspace=workspace,
        )
        if progress.allowed_regions is None:
            await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
            self._finish_with_error(request, progress, ErrorKind.NO_REGION, NO_REGION_RETRY_AFTER_S)
            return
        self._retry_shares[service].count_request(request.arrival_s)
        try:
            async with asyncio.timeout_at(progress.deadline_s):
                body = await request.read_up_to(MAX_BUFFERED_BODY_BYTES)
        except TimeoutError:
            self._finish_with_error(request, progress, ErrorKind.DEADLINE, None)
            return
        except BodyRefused:
            self._finish_with_error(request, progress, ErrorKind.NO_MEMORY, None)
            return
        if not await self._attempt_runner.wait_for_socket(progress.deadline_s):
            self._refuse_without_socket(request, progress)
            return
        progress.body_buffered = isinstance(body, WholeBody)
        progress.fingerprint = fingerprint_request(
            request,
            body.content,
            (self._header_names.object_key,),
            workspace.name if workspace else None,
        )
        quota_retry_after_s = self._quotas.admit(progress)
        if quota_retry_after_s is not None:
            self._finish_with_error(request, progress, ErrorKind.QUOTA_SPENT, quota_retry_after_s)
            return
        try:
            await self._try_endpoints(request, body, progress, table)
            self._quotas.settle(progress)
        except asyncio.CancelledError:
            self._metrics.count("callers_left")
            self._log.write_caller_left(request, progress)
            raise

    def _refuse_without_socket(self, request: IncomingRequest, progress: RequestProgress) -> None:
        """Refuses a request that no socket is left for; a reader that stopped gives up its own."""
        now_s = asyncio.get_running_loop().time()
        for holder in self._holdings.choose_stopped_readers(now_s):
            holder.evict("sockets")
        self._finish_with_error(request, progress, ErrorKind.NO_MEMORY, None)

    def _read_object_key(self, request: IncomingRequest, route: Route) -> str:
        """Returns the key of the requested object, or "" if the route has no session affinity."""
        key = request.header(self._header_names.object_key) or b"" if route.sticky else b""
        return key.decode("latin-1")

    def _read_time_left_s(self, request: IncomingRequest, route: Route) -> float:
        """Returns the time to the caller's deadline, in seconds; by default the route's timeout."""
        left_ms = parse_count(request.header(self._header_names.time_left) or b"")
        return left_ms / MS_PER_S if left_ms is not None else route.timeout_s

    async def _try_endpoints(
        self,
        request: IncomingRequest,
        body: RequestBody,
        progress: RequestProgress,
        table: RoutingTable,
    ) -> None:
        """Makes attempts until the request can be answered."""
        loop = asyncio.get_running_loop()
        spec = table.services[progress.service]
        retry_share = self._retry_shares[progress.service]
        while True:
            quarantined = self._suspicions.find_quarantine(progress.fingerprint)
            if quarantined is not None:
                self._refuse_quarantined(request, progress, quarantined)
                return
            if not self._prepare_while_draining(progress, loop.time()):
                self._finish_with_error(request, progress, ErrorKind.DRAINING, None)
                return
            choice = self._dispatcher.choose_endpoint(
                progress.build_requirements(), spec, loop.time()
            )
            self._attempts.observe_choice(progress.service, isinstance(choice, Refusal))
            if isinstance(choice, Refusal):
                self._metrics.count("refusals", (choice.rule or choice.kind).value)
                self._log.write_not_placed(progress, choice)
                self._finish_with_error(request, progress, choice.kind, choice.retry_after_s)
                return
            ended = await self._attempts.make_attempt(request, body, progress, choice, spec)
            outcome, result = ended.outcome, ended.result
            if (
                progress.is_retryable(result)
                and self._suspicions.may_resend(progress.fingerprint)
                and progress.try_reserve_attempt(
                    result, retry_share, self._carriers.slack_fraction(loop.time()), loop.time()
                )
                and (not progress.may_have_run or self._quotas.admit_copy(progress))
            ):
                if isinstance(outcome, EndpointAnswer) and outcome.connection is not None:
                    outcome.connection.close()
                continue
            if isinstance(outcome, EndpointAnswer):
                await self._forward_answer(request, progress, ended.choice.endpoint, outcome)
            else:
                self._finish_with_error(request, progress, outcome.kind, None)
            return

    def _prepare_while_draining(self, progress: RequestProgress, now_s: float) -> bool:
        """Returns whether an attempt may start; while draining, limits the request's deadline."""
        if self.drain is None:
            return True
        processing_s = self._registry.mean_processing_s(progress.service)
        if not self.drain.allows_attempt(now_s, progress.deadline_s, processing_s):
            return False
        progress.deadline_s = min(progress.deadline_s, self.drain.answers_until_s)
        return True

    def _refuse_quarantined(
        self, request: IncomingRequest, progress: RequestProgress, quarantined: Quarantined
    ) -> None:
        """Logs and refuses a request under which endpoints crashed."""
        self._metrics.count("requests_quarantined")
        self._log.write_quarantine(request, progress, quarantined)
        self._finish_with_error(request, progress, ErrorKind.QUARANTINED, quarantined.retry_after_s)

    async def _forward_answer(
        self,
        request: IncomingRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
        answer: EndpointAnswer,
    ) -> None:
        """Forwards an endpoint's answer; aborts the caller's connection if it is incomplete.

        The endpoint has run the request, so a status that would promise the caller of protected
        work that it has not is replaced.
        """
        if answer.head.status in PROMISES and progress.route.kind is RequestKind.PROTECTED:
            if answer.connection is not None:
                answer.connection.close()
            self._finish_with_error(request, progress, ErrorKind.ENDPOINT_BROKE, None)
            return
        headers: Headers = [
            (name, value)
            for name, value in strip_hop_by_hop(answer.head.headers)
            if name.lower() != b"content-length" or request.method == b"HEAD"
        ]
        self._count_answer(request, progress, str(answer.head.status))
        request.unread_limit_s = progress.route.timeout_s
        if answer.connection is None:
            self._observe_served(progress, answer.head.status)
            request.respond(answer.head.status, headers, answer.body)
            return
        request.start_answer(answer.head.status, headers, answer.head.content_length)
        try:
            async with asyncio.timeout_at(progress.deadline_s):
                buffered = answer.buffered_bytes
                async for chunk in answer.connection.body():
                    await request.send_chunk(chunk)
                    request.hold(-min(len(chunk), buffered))
                    buffered -= min(len(chunk), buffered)
                await self._attempt_runner.check_end(endpoint, answer.connection)
        except (BrokenAnswer, TimeoutError) as error:
            self._log.write_cut_answer(progress, error)
            if isinstance(error, BrokenAnswer):
                self._suspicions.detector.observe_break(endpoint, progress.fingerprint)
            answer.connection.close()
            request.abort()
            return
        except BaseException:
            answer.connection.close()
            raise
        request.finish_answer()
        self._observe_served(progress, answer.head.status)
        self._attempt_runner.release_connection(endpoint, answer.connection)

    def _observe_served(self, progress: RequestProgress, status: int) -> None:
        """Records a complete answer of an endpoint, unless it reports a failure."""
        if status < FIRST_FAILURE_STATUS:
            self._suspicions.observe_served(progress.fingerprint)

    def _finish_with_error(
        self,
        request: IncomingRequest,
        progress: RequestProgress,
        kind: ErrorKind,
        retry_after_s: float | None,
    ) -> None:
        """Answers a request with an error.

        The answer states that the request was not run only if no attempt may have run it.
        """
        kind = progress.final_error_kind(kind, asyncio.get_running_loop().time())
        if not progress.may_have_run and retry_after_s is None:
            retry_after_s = MIN_RETRY_AFTER_S
        self._count_answer(request, progress, kind.value)
        self._refuse_request(request, progress.identifier, kind, retry_after_s)

    def _refuse_request(
        self,
        request: IncomingRequest,
        identifier: str,
        kind: ErrorKind,
        retry_after_s: float | None,
    ) -> None:
        """Logs a refused request and answers it."""
        version = self.table.version if self.table is not None else None
        self._log.write_refusal(identifier, kind, retry_after_s, version)
        self._send_error(request, kind, retry_after_s)

    def _send_error(
        self, request: IncomingRequest, kind: ErrorKind, retry_after_s: float | None
    ) -> None:
        """Sends the answer that belongs to an error kind."""
        answer = Fault(kind).answer
        headers: Headers = []
        if retry_after_s is not None and answer.status in RETRY_LATER:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        identifier = request.header(self._header_names.request_id)
        if identifier is not None:
            headers.append((self._header_names.request_id, identifier))
        request.respond(answer.status, headers, answer.message.encode())

    def _count_answer(
        self, request: IncomingRequest, progress: RequestProgress, outcome: str
    ) -> None:
        """Counts an answer and records its duration in the metrics."""
        self._metrics.count("answers", outcome)
        seconds = asyncio.get_running_loop().time() - request.arrival_s
        self._metrics.observe(progress.service, seconds)
