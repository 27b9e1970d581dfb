"""Request handling in a daemon: request ids, admission, attempts and the answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lycheepin.cluster.membership import Member
from lycheepin.daemon.active_requests import ActiveRequests
from lycheepin.daemon.caller_request import CallerGone, CallerRequest
from lycheepin.daemon.exchange import (
    AnswerStarted,
    Destination,
    NotRun,
    OutcomeUnknown,
    SendResult,
    relay_answer,
    send_request,
)
from lycheepin.daemon.forwarding import Forwarder
from lycheepin.daemon.node import Node
from lycheepin.daemon.request_parser import (
    FLEET_HEADER,
    HOP_HOLDER,
    HOP_OWNER,
    HOP_SHIFT,
    ID_HEADER,
    SERVICE_HEADER,
    RequestContext,
    RequestParser,
)
from lycheepin.daemon.suspicions import WatchedEndpoint
from lycheepin.errors import ErrorKind, Fault, Outcome
from lycheepin.names import RegionName, RequestKey, ServiceName
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.sources.vms import VmState
from lycheepin.steering.admission import AdmissionRefusal, Shift, Start, Wait
from lycheepin.steering.endpoints import ExchangeResult
from lycheepin.steering.progress import FIRST_FAILURE_STATUS
from lycheepin.steering.request_ids import (
    ForwardToOwner,
    Replay,
    RequestId,
    RequestRefusal,
    Run,
    Running,
    StoredAnswer,
)
from lycheepin.transport.connection import ConnectionPool

__all__ = ["RequestHandler"]

MAX_ATTEMPTS = 3
CANCEL_GRACE_S = 1.0
SHIFT_BACKOFF_S = 0.2


class TruncatedAnswer(Exception):
    """An answer ended early after its head was sent; the caller's connection must be closed."""


class RequestHandler:
    """Handles requests of callers and requests forwarded by other daemons."""

    def __init__(
        self, node: Node, connection_pool: ConnectionPool, suspicions: SuspicionExchange
    ) -> None:
        self._node = node
        self._suspicions = suspicions
        self._connection_pool = connection_pool
        self._pending_admissions: dict[int, asyncio.Future[Start | AdmissionRefusal]] = {}
        self._run_ended: dict[RequestKey, asyncio.Event] = {}
        self._forwarder = Forwarder(node)
        self._parser = RequestParser(node)
        self.active_requests = ActiveRequests()
        self._shift_blocked_until_s: dict[tuple[ServiceName, RegionName], float] = {}
        node.on_capacity_change = self.poll_admission

    async def handle(self, request: CallerRequest) -> None:
        """Handles one request and sends its answer."""
        node = self._node
        node.in_flight += 1
        node.metrics.count("requests")
        context = self._parser.parse_request(request)
        try:
            if isinstance(context, Fault):
                await self._refuse_request(request, context)
                return
            self.active_requests.add(context.active_request)
            await request.read_small_body()
            context.fingerprint = request.fingerprint((FLEET_HEADER, SERVICE_HEADER))
            if (
                context.work_class.protected
                and context.request_id
                and context.hop in ("", HOP_OWNER)
            ):
                await self._serve_protected_request(context, context.request_id)
            else:
                await self._serve_request(context)
        except CallerGone:
            node.metrics.count("callers_gone")
        except TruncatedAnswer:
            # The server ends the connection when this returns before the answer is complete.
            node.metrics.count("answers_cut")
        finally:
            node.in_flight -= 1
            if isinstance(context, RequestContext):
                self.active_requests.remove(context.active_request)

    async def _refuse_request(self, request: CallerRequest, fault: Fault) -> None:
        """Counts a fault and sends it unless the caller has disconnected."""
        self._node.metrics.count("refused", fault.kind.value)
        if not request.caller_gone.is_set():
            await request.send_fault(fault)

    # Protected requests

    async def _serve_protected_request(
        self, context: RequestContext, request_id: RequestId
    ) -> None:
        """Handles a request with an id, which runs at most once."""
        request_table = self._node.request_table
        while True:
            decision = request_table.begin(request_id, self._node.clock.wall_ms())
            match decision:
                case Run():
                    await self._run_as_owner(context, request_id.key)
                    return
                case Running():
                    self._node.metrics.count("repeats_waited")
                    await self._run_ended[request_id.key].wait()
                case Replay(answer):
                    self._node.metrics.count("repeats_replayed")
                    await self._replay(context.request, answer)
                    return
                case RequestRefusal(fault):
                    await self._refuse_request(context.request, fault)
                    return
                case ForwardToOwner(address, incarnation):
                    await self._forward_to_owner(context, address, incarnation)
                    return

    async def _run_as_owner(self, context: RequestContext, request_key: RequestKey) -> None:
        """Runs a request and records its outcome in the request table."""
        request_table = self._node.request_table
        self._run_ended[request_key] = asyncio.Event()
        context.keep_answer = True
        completed = False
        try:
            outcome = await self._serve_request(context, request_key)
            completed = True
            if outcome is Outcome.NOT_RUN:
                request_table.not_run(request_key)
        finally:
            if not completed and context.sent:
                request_table.unknown(request_key)
            elif not completed:
                request_table.not_run(request_key)
            self._run_ended.pop(request_key).set()

    async def _replay(self, request: CallerRequest, answer: StoredAnswer) -> None:
        """Sends a stored answer."""
        await request.start_answer(answer.status, list(answer.headers))
        await request.send_body(answer.body, more=False)

    async def _forward_to_owner(
        self, context: RequestContext, address: str, incarnation: int
    ) -> None:
        """Forwards a request to the owner of its id.

        Refuses it when the owner is not a known member, or when another daemon forwarded it here
        as the owner.
        """
        member = next((m for m in self._node.membership.members() if m.address == address), None)
        if context.hop == HOP_OWNER or member is None or member.incarnation != incarnation:
            await self._refuse_request(context.request, Fault(ErrorKind.HOME_GONE))
            return
        self._node.metrics.count("passed_home")
        send_result = await self._send_to_peer(context, member, HOP_OWNER)
        match send_result:
            case AnswerStarted():
                await relay_answer(
                    self._connection_pool,
                    send_result,
                    context.request,
                    context.ticket.deadline_s,
                    keep_answer=False,
                )
            case NotRun(fault, refused=True):
                await self._refuse_request(context.request, fault)
            case NotRun() | OutcomeUnknown():
                await self._refuse_request(context.request, Fault(ErrorKind.HOME_UNREACHABLE))

    # Running

    async def _serve_request(
        self, context: RequestContext, request_key: RequestKey | None = None
    ) -> Outcome | None:
        """Runs a request with retries and answers it.

        Returns None after an answer of an endpoint, otherwise the outcome of the fault sent.
        `request_key` is the entry of the request table to update before the answer is complete.
        """
        started_s = self._node.clock.monotonic()
        self._node.retry_budget.record_request()
        last_fault: Fault = Fault(ErrorKind.NO_CAPACITY)
        unknown_fault: Fault | None = None
        for _ in range(MAX_ATTEMPTS):
            if self._suspicions.find_quarantine(context.fingerprint) is not None:
                last_fault = Fault(ErrorKind.QUARANTINED)
                break
            result = await self._make_attempt(context, request_key)
            match result:
                case None:
                    elapsed_s = self._node.clock.monotonic() - started_s
                    self._node.metrics.observe(context.ticket.work_class_key, elapsed_s)
                    return None
                case NotRun(fault, refused=True) if fault.kind is not ErrorKind.ENDPOINT_SHED:
                    last_fault = fault
                    break
                case NotRun(fault):
                    last_fault = fault
                    if not context.request.replayable:
                        break
                case OutcomeUnknown(fault):
                    unknown_fault = fault
                    if context.work_class.protected or not self._may_retry(context):
                        break
                    if not self._suspicions.may_resend(context.fingerprint):
                        break
            if self._node.clock.monotonic() >= context.ticket.deadline_s:
                break
            self._node.metrics.count("retries")
        # A later refusal does not change the unknown outcome of an earlier attempt.
        last_fault = unknown_fault or last_fault
        if last_fault.answer.outcome is Outcome.OUTCOME_UNKNOWN and request_key is not None:
            self._node.request_table.unknown(request_key)
        if not context.request.answer_started:
            await self._refuse_request(context.request, last_fault)
        return last_fault.answer.outcome

    def _may_retry(self, context: RequestContext) -> bool:
        """Returns whether an idempotent request may be retried, and spends retry budget if so."""
        if context.request.answer_started or context.request.caller_gone.is_set():
            return False
        return context.request.replayable and self._node.retry_budget.try_spend()

    async def _make_attempt(
        self, context: RequestContext, request_key: RequestKey | None
    ) -> NotRun | OutcomeUnknown | None:
        """Makes one attempt; returns None when the request was answered, otherwise the failure."""
        holder = self._forwarder.pick_holder(context)
        if holder is not None:
            result = await self._run_at_peer(context, holder, HOP_HOLDER, request_key)
            if not isinstance(result, NotRun) or not context.request.replayable:
                return result
        decision = await self._await_admission(context)
        if isinstance(decision, Shift):
            shift_result = await self._run_in_other_region(context, request_key)
            if not isinstance(shift_result, NotRun):
                return shift_result
            context.ticket = replace(context.ticket, may_shift=False)
            decision = await self._await_admission(context)
        match decision:
            case Start():
                return await self._run_at_endpoint(context, decision, request_key)
            case AdmissionRefusal(fault=fault):
                return NotRun(fault, refused=True)
        return NotRun(Fault(ErrorKind.NO_CAPACITY), refused=True)

    async def _await_admission(self, context: RequestContext) -> Start | AdmissionRefusal | Shift:
        """Submits a request to admission and returns the decision, waiting while it is queued."""
        node = self._node
        decision = node.admission.submit(context.ticket, node.clock.monotonic())
        if not isinstance(decision, Wait):
            return decision
        future: asyncio.Future[Start | AdmissionRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_admissions[id(context.ticket)] = future
        caller_gone = asyncio.ensure_future(context.request.caller_gone.wait())
        try:
            await asyncio.wait((future, caller_gone), return_when=asyncio.FIRST_COMPLETED)
            if future.done():
                return future.result()
            node.admission.cancel_waiting(context.ticket)
            raise CallerGone
        finally:
            caller_gone.cancel()
            self._pending_admissions.pop(id(context.ticket), None)

    def poll_admission(self) -> None:
        """Delivers the decisions on waiting requests that can start or can't meet their deadline.

        A start whose request is no longer waiting is cancelled.
        """
        node = self._node
        for decision in node.admission.poll(node.clock.monotonic()):
            future = self._pending_admissions.get(id(decision.ticket))
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Start):
                self._finish_attempt(decision, ExchangeResult.CANCELLED, 0.0)

    def _finish_attempt(self, start: Start, result: ExchangeResult, elapsed_s: float) -> None:
        """Releases the tokens of an attempt and polls admission for waiting requests."""
        node = self._node
        node.admission.finish(start, result, elapsed_s, node.clock.monotonic())
        self.poll_admission()

    def _finish_attempt_later(self, start: Start, result: ExchangeResult, elapsed_s: float) -> None:
        """Releases the tokens of an attempt after CANCEL_GRACE_S.

        The delay gives the endpoint time to detect that the request was cancelled.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_GRACE_S, self._finish_attempt, start, result, elapsed_s)

    async def _run_at_endpoint(
        self, context: RequestContext, start: Start, request_key: RequestKey | None
    ) -> NotRun | OutcomeUnknown | None:
        """Runs a request at the endpoint of its token; returns None when it was answered."""
        node = self._node
        endpoint = node.endpoints[start.endpoint]
        watched = WatchedEndpoint(endpoint, node.clock.wall_ms())
        context.active_request.endpoint = start.endpoint
        started_s = node.clock.monotonic()
        headers: list[tuple[bytes, bytes]] = []
        if context.request_id is not None:
            headers.append((ID_HEADER, str(context.request_id).encode()))
        destination = Destination(
            endpoint.address,
            endpoint.port,
            tuple(headers),
            start.link_mbit,
            is_leaving=endpoint.state is VmState.LEAVING,
        )
        result, may_still_run = ExchangeResult.CANCELLED, True
        try:
            send_result = await self._send_request(context, destination)
            match send_result:
                case NotRun(refused=refused):
                    result, may_still_run = (
                        ExchangeResult.SHED if refused else ExchangeResult.FAILED
                    ), False
                    node.metrics.count("sheds" if refused else "connect_failures")
                    return send_result
                case OutcomeUnknown(fault):
                    result = ExchangeResult.FAILED
                    if fault.kind is ErrorKind.ENDPOINT_BROKE:
                        self._suspicions.detector.observe_break(watched, context.fingerprint)
                    return send_result
                case AnswerStarted(head=head):
                    await self._relay_answer(context, send_result, request_key)
                    result, may_still_run = ExchangeResult.ANSWERED, False
                    if head.status < FIRST_FAILURE_STATUS:
                        self._suspicions.observe_served(context.fingerprint)
                    return None
        except TruncatedAnswer:
            if context.request.caller_gone.is_set():
                result = ExchangeResult.CANCELLED
            else:
                result = ExchangeResult.FAILED
                self._suspicions.detector.observe_break(watched, context.fingerprint)
            raise
        finally:
            elapsed_s = node.clock.monotonic() - started_s
            finish = self._finish_attempt_later if may_still_run else self._finish_attempt
            finish(start, result, elapsed_s)

    async def _send_request(self, context: RequestContext, destination: Destination) -> SendResult:
        """Sends a request and returns the result.

        An idempotent request with a buffered body is cancelled when the caller disconnects.
        """
        request = context.request
        context.sent = True
        if context.work_class.protected or request.body is None:
            return await send_request(
                self._connection_pool, destination, request, context.ticket.deadline_s
            )
        send_task = asyncio.ensure_future(
            send_request(self._connection_pool, destination, request, context.ticket.deadline_s)
        )
        caller_gone = asyncio.ensure_future(request.caller_gone.wait())
        try:
            await asyncio.wait((send_task, caller_gone), return_when=asyncio.FIRST_COMPLETED)
            if send_task.done():
                return send_task.result()
            raise CallerGone
        finally:
            caller_gone.cancel()
            send_task.cancel()

    async def _relay_answer(
        self, context: RequestContext, answer: AnswerStarted, request_key: RequestKey | None
    ) -> None:
        """Relays an answer and updates the request table.

        Raises TruncatedAnswer when the answer is incomplete.
        """
        deadline_s = context.ticket.deadline_s
        relay_result = await relay_answer(
            self._connection_pool, answer, context.request, deadline_s, context.keep_answer
        )
        if request_key is not None and relay_result.complete:
            self._node.request_table.answered(request_key, relay_result.stored_answer)
        if relay_result.complete:
            return
        if request_key is not None:
            self._node.request_table.unknown(request_key)
        raise TruncatedAnswer

    # Other daemons

    async def _run_in_other_region(
        self, context: RequestContext, request_key: RequestKey | None
    ) -> NotRun | OutcomeUnknown | None:
        """Tries the fallback regions in order; returns None when the request was answered.

        A region in which a request did not run is skipped for SHIFT_BACKOFF_S.
        """
        now_s = self._node.clock.monotonic()
        assert self._node.view is not None
        for region in self._node.view.fallback_regions(self._node.region):
            shift_key = (context.ticket.service, region)
            if self._shift_blocked_until_s.get(shift_key, 0.0) > now_s:
                continue
            member = self._forwarder.pick_member(region)
            if member is None:
                continue
            result = await self._run_at_peer(context, member, HOP_SHIFT, request_key)
            if not isinstance(result, NotRun) or not context.request.replayable:
                return result
            self._shift_blocked_until_s[shift_key] = now_s + SHIFT_BACKOFF_S
        return NotRun(Fault(ErrorKind.NO_CAPACITY), refused=True)

    async def _run_at_peer(
        self, context: RequestContext, member: Member, hop: str, request_key: RequestKey | None
    ) -> NotRun | OutcomeUnknown | None:
        """Runs a request at another daemon; returns None when the request was answered."""
        self._node.metrics.count("forwarded", hop)
        send_result = await self._send_to_peer(context, member, hop)
        match send_result:
            case AnswerStarted():
                await self._relay_answer(context, send_result, request_key)
                return None
            case NotRun() | OutcomeUnknown():
                return send_result

    async def _send_to_peer(self, context: RequestContext, member: Member, hop: str) -> SendResult:
        """Sends a request to another daemon."""
        return await self._send_request(
            context, self._forwarder.build_destination(context, member, hop)
        )
