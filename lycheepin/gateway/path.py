"""The path of one request: route, endpoint, attempts, one final answer."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from zlib import crc32

from lycheepin.errors import ErrorKind, Fault
from lycheepin.gateway.attempt import Answered, Attempt, Attempts, Doubtful, NotRun
from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.dialect import Dialect
from lycheepin.gateway.ingress import IncomingRequest
from lycheepin.metrics import Metrics
from lycheepin.names import EndpointId, ServiceName
from lycheepin.steering.budgets import BudgetTerms, RetryAllowance
from lycheepin.steering.dispatch import MIN_RETRY_AFTER_S, Demand, Dispatcher, Refuse, Send
from lycheepin.steering.fleet import Endpoint, Fleet
from lycheepin.steering.routes import RequestKind, Route, RoutingTable
from lycheepin.transport.connection import BrokenAnswer, Headers
from lycheepin.transport.headers import end_to_end

__all__ = ["RequestPath", "Shares"]

# Bytes of a body that are read before the request is sent, so that it can be sent again.
WHOLE_BODY_BYTES = 1024 * 1024
# Connections that could not be opened, after which a request is refused.
MAX_UNREACHABLE = 3
# Time left in seconds below which another attempt has no chance.
MIN_ATTEMPT_S = 0.05
# Time in seconds after which callers may come back to a daemon that has no configuration yet.
STARTING_RETRY_S = 0.5
MS_PER_S = 1000
_DRAW_MASK = 0xFFFF


class Shares:
    """Splits a route's requests over its services in the proportions of their weights.

    Smooth weighted round robin: each service's credit grows by its weight, the highest is used
    and pays the sum. The parts are exact after every full round.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, int], dict[ServiceName, float]] = {}

    def pick(self, route: Route, version: int) -> ServiceName:
        """Returns the service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, version)
        credits = self._credits.get(key)
        if credits is None:
            self._credits = {k: v for k, v in self._credits.items() if k[1] == version}
            credits = self._credits[key] = {share.service: 0.0 for share in route.shares}
        for share in route.shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(share.weight for share in route.shares)
        return chosen


@dataclass
class _Progress:
    """What has been tried for one request."""

    route: Route
    service: ServiceName
    deadline_s: float
    identifier: str
    body: bytes = b""
    sent: int = 0
    unreachable: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    may_have_run: bool = False


class RequestPath:
    """Handles the requests of all callers of one daemon."""

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        dispatcher: Dispatcher,
        attempts: Attempts,
        terms: BudgetTerms,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._attempts = attempts
        self._log = log
        self._metrics = metrics
        self._shares = Shares()
        self._terms = terms
        self._retries: defaultdict[ServiceName, RetryAllowance] = defaultdict(
            lambda: RetryAllowance(self._terms)
        )
        self.table: RoutingTable | None = None

    def apply_terms(self, terms: BudgetTerms) -> None:
        """Takes over other bounds of the deployment; what was spent stays spent."""
        self._terms = terms
        for allowance in self._retries.values():
            allowance.terms = terms
        self._dispatcher.apply_terms(terms)

    async def handle(self, request: IncomingRequest) -> None:
        """Answers one request, once."""
        table = self.table
        identifier = (request.header(self._dialect.request_id) or b"").decode("latin-1")
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
        service = self._shares.pick(route, table.version)
        progress = _Progress(route, service, self._deadline_s(request, route), identifier)
        self._retries[service].count_request(request.arrival_s)
        try:
            async with asyncio.timeout_at(progress.deadline_s):
                progress.body = await request.read_up_to(WHOLE_BODY_BYTES)
        except TimeoutError:
            self._finish(request, progress, ErrorKind.DEADLINE, None)
            return
        try:
            await self._try_endpoints(request, progress, table)
        except asyncio.CancelledError:
            self._note_caller_left(request, progress)
            raise

    def _note_caller_left(self, request: IncomingRequest, progress: _Progress) -> None:
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

    def _deadline_s(self, request: IncomingRequest, route: Route) -> float:
        """Returns when the final answer is due: by the caller's time left and the route's."""
        value = request.header(self._dialect.time_left) or b""
        left_s = int(value) / MS_PER_S if value.isdigit() else route.timeout_s
        return request.arrival_s + min(left_s, route.timeout_s)

    async def _try_endpoints(
        self, request: IncomingRequest, progress: _Progress, table: RoutingTable
    ) -> None:
        """Makes attempts until one settles the request."""
        loop = asyncio.get_running_loop()
        spec = table.services[progress.service]
        while True:
            choice = self._dispatcher.choose(self._demand(request, progress), spec, loop.time())
            if isinstance(choice, Refuse):
                self._finish(request, progress, choice.kind, choice.retry_after_s)
                return
            attempt = await self._attempt(request, progress, choice)
            if isinstance(attempt, Answered) and not self._is_worth_retry(attempt, progress):
                await self._deliver(request, progress, choice.endpoint, attempt)
                return
            kind = ErrorKind.ENDPOINT_BROKE if isinstance(attempt, Answered) else attempt.kind
            if not self._may_go_on(request, progress, attempt):
                if isinstance(attempt, Answered):
                    await self._deliver(request, progress, choice.endpoint, attempt)
                else:
                    self._finish(request, progress, kind, None)
                return

    def _demand(self, request: IncomingRequest, progress: _Progress) -> Demand:
        """Returns what the next attempt needs."""
        route = progress.route
        key = request.header(self._dialect.object_key) or b"" if route.sticky else b""
        return Demand(
            progress.service,
            key.decode("latin-1") or progress.identifier,
            route.priority,
            route.home_regions,
            request.arrival_s + route.target_s,
            progress.deadline_s,
            frozenset(progress.tried),
            (crc32(progress.identifier.encode()) & _DRAW_MASK) / _DRAW_MASK,
        )

    async def _attempt(
        self, request: IncomingRequest, progress: _Progress, choice: Send
    ) -> Attempt:
        """Makes one attempt and takes in what it shows of the endpoint."""
        loop = asyncio.get_running_loop()
        endpoint = choice.endpoint
        started_s = loop.time()
        attempt = await self._attempts.make(
            request, progress.body, endpoint, progress.deadline_s, self._may_repeat(progress)
        )
        progress.tried.add(endpoint.record.id)
        outcome = self._observe(endpoint, attempt, progress)
        self._log.write(
            "attempt",
            request=progress.identifier,
            route=progress.route.name,
            endpoint=endpoint.record.id,
            rank=choice.rank,
            in_flight=endpoint.in_flight,
            others=round(endpoint.others(started_s), 1),
            slots=endpoint.record.slots,
            key=(request.header(self._dialect.object_key) or b"").decode("latin-1"),
            took_ms=int((loop.time() - started_s) * MS_PER_S),
            outcome=outcome,
        )
        return attempt

    def _observe(self, endpoint: Endpoint, attempt: Attempt, progress: _Progress) -> str:
        """Updates the beliefs about an endpoint and the request's account; returns a word."""
        now_s = asyncio.get_running_loop().time()
        match attempt:
            case Answered(head=head):
                progress.sent += 1
                progress.may_have_run = True
                endpoint.observe_success()
                endpoint.observe_outcome(now_s, served=head.status < 500)
                return str(head.status)
            case NotRun(kind=kind, sent=sent, full=full):
                progress.sent += sent
                progress.unreachable += not sent
                if kind is ErrorKind.ENDPOINT_REPLACED:
                    self._log.write("endpoint_replaced", endpoint=endpoint.record.id)
                    self._fleet.mark_gone(endpoint.record.id)
                elif kind is ErrorKind.ENDPOINT_SHED:
                    endpoint.observe_outcome(now_s, served=False)
                    if full:
                        endpoint.observe_full(now_s)
                elif kind is ErrorKind.ENDPOINT_UNREACHABLE:
                    self._suspect(endpoint, now_s, at_once=True)
                return kind.value
            case Doubtful(kind=kind):
                progress.sent += 1
                progress.may_have_run = True
                silent = kind is ErrorKind.ENDPOINT_TIMEOUT and self._is_silent(endpoint, now_s)
                endpoint.observe_outcome(now_s, served=False)
                self._suspect(endpoint, now_s, at_once=silent)
                return kind.value
        raise AssertionError(attempt)

    def _is_silent(self, endpoint: Endpoint, now_s: float) -> bool:
        """Returns whether an endpoint has fallen silent: its other requests wait as well."""
        return endpoint.silence_s(now_s) >= self._fleet.patience_s(endpoint, now_s)

    @staticmethod
    def _may_repeat(progress: _Progress) -> bool:
        """Returns whether the request may still be sent to one more endpoint."""
        route = progress.route
        return (
            route.kind is RequestKind.IDEMPOTENT
            and progress.sent + 1 < route.max_attempts
            and len(progress.body) <= WHOLE_BODY_BYTES
        )

    def _suspect(self, endpoint: Endpoint, now_s: float, at_once: bool = False) -> None:
        """Counts a failure of an endpoint."""
        if endpoint.observe_failure(now_s, at_once):
            self._log.write(
                "endpoint_excluded",
                endpoint=endpoint.record.id,
                failures=endpoint.failures,
                for_s=endpoint.exclusion_s,
            )

    @staticmethod
    def _is_worth_retry(attempt: Answered, progress: _Progress) -> bool:
        """Returns whether another endpoint may do better than an answer that is there."""
        return attempt.head.status >= 500 and progress.route.kind is RequestKind.IDEMPOTENT

    def _may_go_on(self, request: IncomingRequest, progress: _Progress, attempt: Attempt) -> bool:
        """Returns whether another attempt may be made; counts it against the budget."""
        loop = asyncio.get_running_loop()
        if not isinstance(attempt, NotRun) and progress.route.kind is not RequestKind.IDEMPOTENT:
            return False
        if not request.body_complete or len(progress.body) > WHOLE_BODY_BYTES:
            return False
        if progress.sent >= progress.route.max_attempts or progress.unreachable >= MAX_UNREACHABLE:
            return False
        if loop.time() + MIN_ATTEMPT_S >= progress.deadline_s:
            return False
        if progress.sent == 0:
            return True
        daemons = len(self._dispatcher.daemons)
        return self._retries[progress.service].try_spend(loop.time(), daemons)

    async def _deliver(
        self,
        request: IncomingRequest,
        progress: _Progress,
        endpoint: Endpoint,
        answer: Answered,
    ) -> None:
        """Passes an endpoint's answer on; one that breaks off leaves the caller cut off."""
        headers: Headers = [
            (name, value)
            for name, value in end_to_end(answer.head.headers)
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
        progress: _Progress,
        kind: ErrorKind,
        retry_after_s: float | None,
    ) -> None:
        """Gives a final answer that is not an endpoint's; it says not run only if that is so."""
        if progress.may_have_run:
            late = asyncio.get_running_loop().time() >= progress.deadline_s
            kind = ErrorKind.ENDPOINT_TIMEOUT if late else ErrorKind.ENDPOINT_BROKE
        elif retry_after_s is None:
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
        identifier = request.header(self._dialect.request_id)
        if identifier is not None:
            headers.append((self._dialect.request_id, identifier))
        request.respond(answer.status, headers, answer.message.encode())

    def _count(self, request: IncomingRequest, progress: _Progress, outcome: str) -> None:
        """Counts one final answer."""
        self._metrics.count("answers", outcome)
        seconds = asyncio.get_running_loop().time() - request.arrival_s
        self._metrics.observe(progress.service, seconds)
