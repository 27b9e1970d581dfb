"""The path of a request through a daemon: class, home, admission, attempts, answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lycheepin.cluster.membership import Member
from lycheepin.daemon.active_requests import ActiveRequests
from lycheepin.daemon.caller_request import CallerGone, CallerRequest
from lycheepin.daemon.exchange import Attempt, Broken, NotSent, Opened, Target, exchange, relay
from lycheepin.daemon.forwarding import Forwarder
from lycheepin.daemon.node import Node
from lycheepin.daemon.request_parser import (
    DEADLINE_HEADER,
    HOP_HOLDER,
    HOP_HOME,
    HOP_SHIFT,
    ID_HEADER,
    Call,
    Intake,
)
from lycheepin.errors import ErrorKind, Fault, Outcome
from lycheepin.names import RegionName, RequestKey, ServiceName
from lycheepin.steering.admission import Refuse, Shift, Start, Wait
from lycheepin.steering.endpoints import ExchangeResult
from lycheepin.steering.request_ids import (
    ForwardToOwner,
    Rejected,
    Replay,
    RequestId,
    Run,
    Running,
    StoredAnswer,
)
from lycheepin.transport.connection import ConnectionPool

__all__ = ["RequestHandler"]

MAX_ATTEMPTS = 3
LINGER_S = 1.0
MS_PER_S = 1000
SHIFT_BACKOFF_S = 0.2


class AnswerCut(Exception):
    """An answer broke after its head was passed on: the caller's connection is closed."""


class RequestHandler:
    """Serves callers' requests."""

    def __init__(self, node: Node, pool: ConnectionPool) -> None:
        self._node = node
        self._pool = pool
        self._waiting: dict[int, asyncio.Future[Start | Refuse]] = {}
        self._running: dict[RequestKey, asyncio.Event] = {}
        self._forwarder = Forwarder(node)
        self._intake = Intake(node)
        self.active = ActiveRequests()
        self._shift_closed_s: dict[tuple[ServiceName, RegionName], float] = {}
        node.on_capacity = self.poll

    async def handle(self, request: CallerRequest) -> None:
        """Answers one request."""
        node = self._node
        node.in_flight += 1
        node.metrics.count("requests")
        call = self._intake.read(request)
        try:
            if isinstance(call, Fault):
                await self._refuse(request, call)
                return
            self.active.add(call.active)
            await request.read_small_body()
            if call.work.protected and call.request_id and call.hop in ("", HOP_HOME):
                await self._serve_protected(call, call.request_id)
            else:
                await self._serve(call)
        except CallerGone:
            node.metrics.count("callers_gone")
        except AnswerCut:
            # Returning without the rest of the answer makes the server close the connection.
            node.metrics.count("answers_cut")
        finally:
            request.close()
            node.in_flight -= 1
            if isinstance(call, Call):
                self.active.remove(call.active)

    async def _refuse(self, request: CallerRequest, fault: Fault) -> None:
        """Answers with a fault and counts it."""
        self._node.metrics.count("refused", fault.kind.value)
        if not request.gone.is_set():
            await request.refuse(fault)

    # Protected requests

    async def _serve_protected(self, call: Call, request_id: RequestId) -> None:
        """Serves a request that carries an id: at most one run of each id."""
        homes = self._node.homes
        while True:
            begin = homes.begin(request_id, self._node.clock.wall_ms())
            match begin:
                case Run():
                    await self._run_as_home(call, request_id.key)
                    return
                case Running():
                    self._node.metrics.count("repeats_waited")
                    await self._running[request_id.key].wait()
                case Replay(answer):
                    self._node.metrics.count("repeats_replayed")
                    await self._replay(call.request, answer)
                    return
                case Rejected(fault):
                    await self._refuse(call.request, fault)
                    return
                case ForwardToOwner(address, incarnation):
                    await self._pass_home(call, address, incarnation)
                    return

    async def _run_as_home(self, call: Call, key: RequestKey) -> None:
        """Runs a request once and records how that ended."""
        homes = self._node.homes
        self._running[key] = asyncio.Event()
        call.keep = True
        settled = False
        try:
            outcome = await self._serve(call, key)
            settled = True
            if outcome is Outcome.NOT_RUN:
                homes.not_run(key)
        finally:
            if not settled and call.sent:
                homes.unknown(key)
            elif not settled:
                homes.not_run(key)
            self._running.pop(key).set()

    async def _replay(self, request: CallerRequest, answer: StoredAnswer) -> None:
        """Gives a stored answer again."""
        await request.start_answer(answer.status, list(answer.headers))
        await request.send_body(answer.body, more=False)

    async def _pass_home(self, call: Call, address: str, incarnation: int) -> None:
        """Passes a request to its home, if that incarnation may still be there."""
        member = next((m for m in self._node.membership.members() if m.address == address), None)
        if call.hop == HOP_HOME or member is None or member.incarnation != incarnation:
            await self._refuse(call.request, Fault(ErrorKind.HOME_GONE))
            return
        self._node.metrics.count("passed_home")
        attempt = await self._forward(call, member, HOP_HOME)
        match attempt:
            case Opened():
                await relay(self._pool, attempt, call.request, call.ticket.deadline_s, keep=False)
            case NotSent(fault, shed=True):
                await self._refuse(call.request, fault)
            case NotSent() | Broken():
                await self._refuse(call.request, Fault(ErrorKind.HOME_UNREACHABLE))

    # Running

    async def _serve(self, call: Call, key: RequestKey | None = None) -> Outcome | None:
        """Runs a request and answers it; returns what is certain, None after an answer.

        `key` names the entry of the request table to be settled before the answer ends.
        """
        started_s = self._node.clock.monotonic()
        self._node.retry_budget.record_request()
        last: Fault = Fault(ErrorKind.NO_CAPACITY)
        broken: Fault | None = None
        for _ in range(MAX_ATTEMPTS):
            result = await self._attempt(call, key)
            match result:
                case None:
                    elapsed_s = self._node.clock.monotonic() - started_s
                    self._node.metrics.observe(call.ticket.work_key, elapsed_s)
                    return None
                case NotSent(fault, shed=True) if fault.kind is not ErrorKind.ENDPOINT_SHED:
                    last = fault
                    break
                case NotSent(fault):
                    last = fault
                    if not call.request.replayable:
                        break
                case Broken(fault):
                    broken = fault
                    if call.work.protected or not self._may_retry(call):
                        break
            if self._node.clock.monotonic() >= call.ticket.deadline_s:
                break
            self._node.metrics.count("retries")
        # A refusal after a broken attempt says nothing about that attempt.
        last = broken or last
        if last.answer.outcome is Outcome.OUTCOME_UNKNOWN and key is not None:
            self._node.homes.unknown(key)
        if not call.request.answered:
            await self._refuse(call.request, last)
        return last.answer.outcome

    def _may_retry(self, call: Call) -> bool:
        """Returns whether an idempotent request may be sent again."""
        if call.request.answered or call.request.gone.is_set():
            return False
        return call.request.replayable and self._node.retry_budget.try_spend()

    async def _attempt(self, call: Call, key: RequestKey | None) -> NotSent | Broken | None:
        """Makes one attempt; returns None when the request was answered."""
        holder = self._forwarder.pick_holder(call)
        if holder is not None:
            result = await self._run_at_peer(call, holder, HOP_HOLDER, key)
            if not isinstance(result, NotSent) or not call.request.replayable:
                return result
        decision = await self._admit(call)
        if isinstance(decision, Shift):
            shifted = await self._shift(call, key)
            if not isinstance(shifted, NotSent):
                return shifted
            call.ticket = replace(call.ticket, may_shift=False)
            decision = await self._admit(call)
        match decision:
            case Start():
                return await self._run_at_endpoint(call, decision, key)
            case Refuse(fault=fault):
                return NotSent(fault, shed=True)
        return NotSent(Fault(ErrorKind.NO_CAPACITY), shed=True)

    async def _admit(self, call: Call) -> Start | Refuse | Shift:
        """Returns the decision on a request, after it waited for a slot if need be."""
        node = self._node
        decision = node.admission.submit(call.ticket, node.clock.monotonic())
        if not isinstance(decision, Wait):
            return decision
        future: asyncio.Future[Start | Refuse] = asyncio.get_running_loop().create_future()
        self._waiting[id(call.ticket)] = future
        gone = asyncio.ensure_future(call.request.gone.wait())
        try:
            await asyncio.wait((future, gone), return_when=asyncio.FIRST_COMPLETED)
            if future.done():
                return future.result()
            node.admission.cancel_waiting(call.ticket)
            raise CallerGone
        finally:
            gone.cancel()
            self._waiting.pop(id(call.ticket), None)

    def poll(self) -> None:
        """Wakes waiting requests whose turn has come or whose deadline can't be met."""
        node = self._node
        for decision in node.admission.poll(node.clock.monotonic()):
            future = self._waiting.get(id(decision.ticket))
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Start):
                self._finish(decision, ExchangeResult.CANCELLED, 0.0)

    def _finish(self, start: Start, result: ExchangeResult, elapsed_s: float) -> None:
        """Gives the tokens of an attempt back and lets waiting requests go on."""
        node = self._node
        node.admission.finish(start, result, elapsed_s, node.clock.monotonic())
        self.poll()

    def _finish_later(self, start: Start, result: ExchangeResult, elapsed_s: float) -> None:
        """Gives tokens back when the endpoint has had time to notice the cancellation."""
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._finish, start, result, elapsed_s)

    async def _run_at_endpoint(
        self, call: Call, start: Start, key: RequestKey | None
    ) -> NotSent | Broken | None:
        """Has a request run at the endpoint whose token it holds."""
        node = self._node
        endpoint = node.endpoints[start.endpoint]
        call.active.endpoint = start.endpoint
        began_s = node.clock.monotonic()
        remaining_ms = max(1, int((call.ticket.deadline_s - began_s) * MS_PER_S))
        headers = [(DEADLINE_HEADER, str(remaining_ms).encode())]
        if call.request_id is not None:
            headers.append((ID_HEADER, str(call.request_id).encode()))
        target = Target(endpoint.address, endpoint.port, tuple(headers), start.link_mbit)
        result, used = ExchangeResult.CANCELLED, True
        try:
            attempt = await self._exchange(call, target)
            match attempt:
                case NotSent(shed=shed):
                    result, used = (ExchangeResult.SHED if shed else ExchangeResult.FAILED), False
                    node.metrics.count("sheds" if shed else "connect_failures")
                    return attempt
                case Broken():
                    result = ExchangeResult.FAILED
                    return attempt
                case Opened():
                    await self._relay(call, attempt, key)
                    result, used = ExchangeResult.ANSWERED, False
                    return None
        except AnswerCut:
            result = (
                ExchangeResult.CANCELLED if call.request.gone.is_set() else ExchangeResult.FAILED
            )
            raise
        finally:
            elapsed_s = node.clock.monotonic() - began_s
            finish = self._finish_later if used else self._finish
            finish(start, result, elapsed_s)

    async def _exchange(self, call: Call, target: Target) -> Attempt:
        """Makes an exchange; one for an idempotent request ends when the caller leaves."""
        request = call.request
        call.sent = True
        if call.work.protected or request.body is None:
            return await exchange(self._pool, target, request, call.ticket.deadline_s)
        attempt = asyncio.ensure_future(
            exchange(self._pool, target, request, call.ticket.deadline_s)
        )
        gone = asyncio.ensure_future(request.gone.wait())
        try:
            await asyncio.wait((attempt, gone), return_when=asyncio.FIRST_COMPLETED)
            if attempt.done():
                return attempt.result()
            raise CallerGone
        finally:
            gone.cancel()
            attempt.cancel()

    async def _relay(self, call: Call, opened: Opened, key: RequestKey | None) -> None:
        """Passes an answer on and settles the request table; raises AnswerCut."""
        deadline_s = call.ticket.deadline_s
        relayed = await relay(self._pool, opened, call.request, deadline_s, call.keep)
        if key is not None and relayed.complete:
            self._node.homes.answered(key, relayed.answer)
        if relayed.complete:
            return
        if key is not None:
            self._node.homes.unknown(key)
        raise AnswerCut

    # Other daemons

    async def _shift(self, call: Call, key: RequestKey | None) -> NotSent | Broken | None:
        """Has a request run in another region."""
        now_s = self._node.clock.monotonic()
        assert self._node.view is not None
        for region in self._node.view.fallback_regions(self._node.region):
            pair = (call.ticket.service, region)
            if self._shift_closed_s.get(pair, 0.0) > now_s:
                continue
            member = self._forwarder.pick_member(region)
            if member is None:
                continue
            result = await self._run_at_peer(call, member, HOP_SHIFT, key)
            if not isinstance(result, NotSent) or not call.request.replayable:
                return result
            self._shift_closed_s[pair] = now_s + SHIFT_BACKOFF_S
        return NotSent(Fault(ErrorKind.NO_CAPACITY), shed=True)

    async def _run_at_peer(
        self, call: Call, member: Member, hop: str, key: RequestKey | None
    ) -> NotSent | Broken | None:
        """Has a request run by another daemon; returns None when it was answered."""
        self._node.metrics.count("forwarded", hop)
        attempt = await self._forward(call, member, hop)
        match attempt:
            case Opened():
                await self._relay(call, attempt, key)
                return None
            case NotSent() | Broken():
                return attempt

    async def _forward(self, call: Call, member: Member, hop: str) -> Attempt:
        """Sends a request to another daemon."""
        return await self._exchange(call, self._forwarder.target(call, member, hop))
