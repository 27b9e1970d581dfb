"""The path of one request: route, endpoint, attempts, one final answer."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from lycheepin.errors import ErrorKind, Fault
from lycheepin.gateway.attempt import Answered, Attempt, Attempts
from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.header_names import HeaderNames
from lycheepin.gateway.incoming import IncomingRequest
from lycheepin.metrics import Metrics
from lycheepin.names import ServiceName
from lycheepin.steering.budgets import BudgetLimits, RetryBudgetShare
from lycheepin.steering.dispatch import MIN_RETRY_AFTER_S, Dispatcher, Refusal, SelectedEndpoint
from lycheepin.steering.fleet import Endpoint, EndpointRegistry
from lycheepin.steering.progress import AttemptResult, EndpointChange, RequestProgress, Served
from lycheepin.steering.returns import CallerRetries
from lycheepin.steering.routes import Route, RoutingTable, TrafficSplitter
from lycheepin.transport.connection import BrokenAnswer, Headers
from lycheepin.transport.headers import strip_hop_by_hop

__all__ = ["RequestHandler"]

# Bytes of a body that are read before the request is sent, so that it can be sent again.
WHOLE_BODY_BYTES = 1024 * 1024
# Time in seconds after which callers may come back to a daemon that has no configuration yet.
STARTING_RETRY_S = 0.5
MS_PER_S = 1000


class RequestHandler:
    """Handles the requests of all callers of one daemon."""

    def __init__(
        self,
        header_names: HeaderNames,
        fleet: EndpointRegistry,
        dispatcher: Dispatcher,
        attempts: Attempts,
        terms: BudgetLimits,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._header_names = header_names
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._attempts = attempts
        self._log = log
        self._metrics = metrics
        self._shares = TrafficSplitter()
        self._returns = CallerRetries()
        self._terms = terms
        self._retries: defaultdict[ServiceName, RetryBudgetShare] = defaultdict(
            lambda: RetryBudgetShare(self._terms)
        )
        self.table: RoutingTable | None = None
        self.draining = False

    def apply_budget_limits(self, terms: BudgetLimits) -> None:
        """Takes over other bounds of the deployment; what was spent stays spent."""
        self._terms = terms
        for allowance in self._retries.values():
            allowance.limits = terms
        self._dispatcher.apply_budget_limits(terms)

    async def handle(self, request: IncomingRequest) -> None:
        """Answers one request, once."""
        table = self.table
        identifier = (request.header(self._header_names.request_id) or b"").decode("latin-1")
        if table is None:
            await request.read_up_to(WHOLE_BODY_BYTES)
            self._refuse(request, identifier, ErrorKind.NO_CONFIGURATION, STARTING_RETRY_S)
            return
        host = (request.header(b"host") or b"").decode("latin-1").partition(":")[0]
        route = table.match(host, request.path)
        if route is None:
            await request.read_up_to(WHOLE_BODY_BYTES)
            self._log.write("no_route", request=identifier, host=host, version=table.version)
            self._answer_fault(request, ErrorKind.NO_ROUTE, None)
            return
        service = self._shares.pick_service(route, table.version)
        left_s = self._left_s(request, route)
        progress = RequestProgress(
            route,
            service,
            request.arrival_s,
            request.arrival_s + min(left_s, route.timeout_s),
            identifier,
            self._object_key(request, route) or identifier,
            self._returns.estimate_waited_s(route, left_s, request.arrival_s),
        )
        self._retries[service].count_request(request.arrival_s)
        try:
            async with asyncio.timeout_at(progress.deadline_s):
                body = await request.read_up_to(WHOLE_BODY_BYTES)
        except TimeoutError:
            self._finish(request, progress, ErrorKind.DEADLINE, None)
            return
        progress.body_buffered = len(body) <= WHOLE_BODY_BYTES
        try:
            await self._try_endpoints(request, body, progress, table)
        except asyncio.CancelledError:
            self._note_caller_left(request, progress)
            raise

    def _note_caller_left(self, request: IncomingRequest, progress: RequestProgress) -> None:
        """Logs that a caller left before its answer."""
        self._metrics.count("callers_left")
        waited_s = asyncio.get_running_loop().time() - request.arrival_s
        self._log.write(
            "caller_left",
            request=progress.identifier,
            route=progress.route.name,
            waited_ms=int(waited_s * MS_PER_S),
            sent=progress.sent,
        )

    def _object_key(self, request: IncomingRequest, route: Route) -> str:
        """Returns the object that a request is about; empty where its place does not matter."""
        key = request.header(self._header_names.object_key) or b"" if route.sticky else b""
        return key.decode("latin-1")

    def _left_s(self, request: IncomingRequest, route: Route) -> float:
        """Returns the time that the caller still grants, in seconds."""
        value = request.header(self._header_names.time_left) or b""
        return int(value) / MS_PER_S if value.isdigit() else route.timeout_s

    async def _try_endpoints(
        self, request: IncomingRequest, body: bytes, progress: RequestProgress, table: RoutingTable
    ) -> None:
        """Makes attempts until one settles the request."""
        loop = asyncio.get_running_loop()
        spec = table.services[progress.service]
        allowance = self._retries[progress.service]
        while True:
            choice = self._dispatcher.choose_endpoint(
                progress.build_requirements(), spec, loop.time()
            )
            if isinstance(choice, Refusal):
                self._finish(request, progress, choice.kind, choice.retry_after_s)
                return
            attempt, result = await self._attempt(request, body, progress, choice)
            daemons = len(self._dispatcher.daemons)
            if progress.is_retryable(result) and progress.try_reserve_attempt(
                result, allowance, daemons, loop.time()
            ):
                continue
            if isinstance(attempt, Answered):
                await self._deliver(request, progress, choice.endpoint, attempt)
            else:
                self._finish(request, progress, attempt.kind, None)
            return

    async def _attempt(
        self,
        request: IncomingRequest,
        body: bytes,
        progress: RequestProgress,
        choice: SelectedEndpoint,
    ) -> tuple[Attempt, AttemptResult]:
        """Makes one attempt and takes in what it shows of the endpoint."""
        loop = asyncio.get_running_loop()
        endpoint = choice.endpoint
        started_s = loop.time()
        attempt = await self._attempts.make(
            request,
            body,
            endpoint,
            progress.deadline_s,
            lambda: self._may_leave(progress, endpoint),
        )
        result = Served(attempt.head.status) if isinstance(attempt, Answered) else attempt
        progress.body_buffered = request.body_complete and len(body) <= WHOLE_BODY_BYTES
        effect = progress.record_result(result, endpoint, self._fleet, loop.time())
        self._log_effect(effect, endpoint)
        self._log.write(
            "attempt",
            request=progress.identifier,
            route=progress.route.name,
            endpoint=endpoint.record.id,
            rank=choice.rank,
            in_flight=endpoint.in_flight,
            others=round(endpoint.other_requests(started_s), 1),
            slots=endpoint.record.slots,
            key=(request.header(self._header_names.object_key) or b"").decode("latin-1"),
            took_ms=int((loop.time() - started_s) * MS_PER_S),
            outcome=str(result.status) if isinstance(result, Served) else result.kind.value,
        )
        return attempt, result

    def _may_leave(self, progress: RequestProgress, endpoint: Endpoint) -> bool:
        """Returns whether a silent attempt may be given up; never while the daemon drains."""
        allowance = self._retries[progress.service]
        daemons = len(self._dispatcher.daemons)
        now_s = asyncio.get_running_loop().time()
        return not self.draining and progress.may_abandon_attempt(
            endpoint, self._dispatcher, allowance, daemons, now_s
        )

    def _log_effect(self, effect: EndpointChange, endpoint: Endpoint) -> None:
        """Logs what a result changed in the beliefs about an endpoint."""
        if effect.replaced:
            self._log.write("endpoint_replaced", endpoint=endpoint.record.id)
        if effect.excluded:
            self._log.write(
                "endpoint_excluded",
                endpoint=endpoint.record.id,
                failures=endpoint.failures,
                for_s=endpoint.exclusion_s,
            )

    async def _deliver(
        self,
        request: IncomingRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
        answer: Answered,
    ) -> None:
        """Passes an endpoint's answer on; one that breaks off leaves the caller cut off."""
        headers: Headers = [
            (name, value)
            for name, value in strip_hop_by_hop(answer.head.headers)
            if name.lower() != b"content-length"
        ]
        self._count(request, progress, str(answer.head.status))
        if answer.connection is None:
            request.respond(answer.head.status, headers, answer.body)
            return
        request.start_answer(answer.head.status, headers, None)
        try:
            async with asyncio.timeout_at(progress.deadline_s):
                await request.send_chunk(answer.body)
                async for chunk in answer.connection.body():
                    await request.send_chunk(chunk)
        except (BrokenAnswer, TimeoutError) as error:
            self._log.write("answer_cut", request=progress.identifier, reason=repr(error))
            answer.connection.close()
            request.abort()
            return
        except BaseException:
            answer.connection.close()
            raise
        request.finish()
        self._attempts.release(endpoint, answer.connection)

    def _finish(
        self,
        request: IncomingRequest,
        progress: RequestProgress,
        kind: ErrorKind,
        retry_after_s: float | None,
    ) -> None:
        """Gives a final answer that is not an endpoint's; it says not run only if that is so."""
        kind = progress.final_error_kind(kind, asyncio.get_running_loop().time())
        if not progress.may_have_run and retry_after_s is None:
            retry_after_s = MIN_RETRY_AFTER_S
        self._count(request, progress, kind.value)
        self._refuse(request, progress.identifier, kind, retry_after_s)

    def _refuse(
        self,
        request: IncomingRequest,
        identifier: str,
        kind: ErrorKind,
        retry_after_s: float | None,
    ) -> None:
        """Logs a refusal and answers it."""
        self._log.write(
            "refused",
            request=identifier,
            status=Fault(kind).answer.status,
            kind=kind.value,
            retry_after_s=retry_after_s,
            version=self.table.version if self.table else None,
        )
        self._answer_fault(request, kind, retry_after_s)

    def _answer_fault(
        self, request: IncomingRequest, kind: ErrorKind, retry_after_s: float | None
    ) -> None:
        """Sends the answer of the table of errors."""
        answer = Fault(kind).answer
        headers: Headers = []
        if retry_after_s is not None and answer.status == 503:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        identifier = request.header(self._header_names.request_id)
        if identifier is not None:
            headers.append((self._header_names.request_id, identifier))
        request.respond(answer.status, headers, answer.message.encode())

    def _count(self, request: IncomingRequest, progress: RequestProgress, outcome: str) -> None:
        """Counts one final answer."""
        self._metrics.count("answers", outcome)
        seconds = asyncio.get_running_loop().time() - request.arrival_s
        self._metrics.observe(progress.service, seconds)
