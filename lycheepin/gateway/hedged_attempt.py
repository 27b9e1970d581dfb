"""The attempts at a request between two decisions: one, or a second while the first still runs.

Of two attempts, the first good answer counts; the other attempt is cancelled at once, which closes
its connection. `lycheepin.steering.hedging` decides whether there is a second one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lycheepin.errors import ErrorKind
from lycheepin.gateway.attempt import AttemptOutcome, AttemptRunner, EndpointAnswer
from lycheepin.gateway.request_log import RequestLog
from lycheepin.metrics import Metrics
from lycheepin.names import ServiceName
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.steering.budgets import Carriers, RetryBudgetShare
from lycheepin.steering.choices import SelectedEndpoint
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.hedging import HedgeDenial, Hedging
from lycheepin.steering.progress import (
    AttemptResult,
    NotRun,
    OutcomeUnknown,
    RequestProgress,
    Served,
)
from lycheepin.steering.routes import ServiceSpec
from lycheepin.transport.connection import Connection
from lycheepin.transport.incoming import IncomingRequest, RequestBody

__all__ = ["EndedAttempt", "RequestAttempts"]

# Interval in seconds after which a second attempt that was denied is considered again.
CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class EndedAttempt:
    """An attempt that has ended, with its outcome and its result."""

    choice: SelectedEndpoint
    outcome: AttemptOutcome
    result: AttemptResult


@dataclass(eq=False)
class _Attempt:
    """An attempt that runs; `answer_at_s` is when the head of its answer arrived."""

    choice: SelectedEndpoint
    started_s: float
    answer_at_s: float | None = None
    task: asyncio.Task[EndedAttempt] | None = None

    @property
    def end(self) -> EndedAttempt:
        """The end of an attempt whose task is done; raises what the task raised."""
        assert self.task is not None
        return self.task.result()


class RequestAttempts:
    """Makes the attempts of one daemon and updates the state of their endpoints.

    `is_draining` returns whether the daemon drains; requests then get no second endpoint, and
    attempts at unresponsive endpoints are not abandoned. `admit_copy` returns whether the quota of
    a request's workspace covers a second copy of it.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        registry: EndpointRegistry,
        dispatcher: Dispatcher,
        retry_shares: Mapping[ServiceName, RetryBudgetShare],
        carriers: Carriers,
        suspicions: SuspicionExchange,
        is_draining: Callable[[], bool],
        admit_copy: Callable[[RequestProgress], bool],
        log: RequestLog,
        metrics: Metrics,
    ) -> None:
        self._runner = runner
        self._registry = registry
        self._dispatcher = dispatcher
        self._retry_shares = retry_shares
        self._carriers = carriers
        self._suspicions = suspicions
        self._is_draining = is_draining
        self._admit_copy = admit_copy
        self._log = log
        self._metrics = metrics
        self._hedging = Hedging(dispatcher)

    def observe_choice(self, service: ServiceName, refused: bool) -> None:
        """Records whether an attempt was refused, as second ones must not cause refusals."""
        self._hedging.observe_choice(service, refused, _now_s())

    async def make_attempt(
        self,
        request: IncomingRequest,
        body: RequestBody,
        progress: RequestProgress,
        choice: SelectedEndpoint,
        spec: ServiceSpec,
    ) -> EndedAttempt:
        """Makes an attempt, perhaps with a second one; returns the one that decides."""
        delay_s = self._hedging.find_delay_s(progress, _now_s())
        first = _Attempt(choice, _now_s())
        if delay_s is None or self._is_draining():
            return await self._run_attempt(request, body, progress, first)
        race: list[_Attempt] = []
        decisive: _Attempt | None = None

        def start(attempt: _Attempt) -> None:
            run = self._run_attempt(request, body, progress, attempt)
            attempt.task = asyncio.create_task(run)
            race.append(attempt)

        try:
            start(first)
            second = await self._choose_second(progress, first, spec, delay_s)
            if second is not None:
                start(_Attempt(second, _now_s()))
                self._log.write_hedge(progress, choice, second, first.started_s, delay_s)
                self._metrics.count("hedges", "sent")
            decisive = await self._await_answer(progress, race)
            if second is not None:
                self._end_race(progress, decisive, race)
            return decisive.end
        finally:
            await _cancel_others(race, decisive)

    async def _choose_second(
        self, progress: RequestProgress, first: _Attempt, spec: ServiceSpec, delay_s: float
    ) -> SelectedEndpoint | None:
        """Waits until a second endpoint can be asked and returns it; None if there is no need."""
        assert first.task is not None
        wait_s, denied = delay_s, set[HedgeDenial]()
        while not (await asyncio.wait((first.task,), timeout=wait_s))[0]:
            if first.answer_at_s is not None or not self._may_hedge(progress):
                return None
            second = self._hedging.choose_endpoint(
                progress,
                first.choice.endpoint,
                spec,
                self._retry_shares[progress.service],
                self._carriers.slack_fraction(_now_s()),
                _now_s(),
            )
            match second:
                case SelectedEndpoint():
                    if self._admit_copy(progress):
                        return second
                    second = HedgeDenial.QUOTA
                case HedgeDenial.NOT_ALLOWED:
                    return None
            if second not in denied:
                denied.add(second)
                self._metrics.count("hedges", f"denied_{second.value}")
            if second is HedgeDenial.QUOTA:
                return None
            wait_s = CHECK_INTERVAL_S
        return None

    def _may_hedge(self, progress: RequestProgress) -> bool:
        """Returns whether endpoints may get a second copy of a request: no crash is suspected."""
        return not self._is_draining() and self._suspicions.may_resend(progress.fingerprint)

    @staticmethod
    async def _await_answer(progress: RequestProgress, race: list[_Attempt]) -> _Attempt:
        """Returns the first attempt with a good answer, or the one that failed last."""
        running = {attempt.task: attempt for attempt in race if attempt.task is not None}
        while True:
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                attempt = running.pop(task)
                if not running or not progress.is_retryable(attempt.end.result):
                    return attempt

    def _end_race(self, progress: RequestProgress, winner: _Attempt, race: list[_Attempt]) -> None:
        """Records which attempt answered first, and what the other's silence says."""
        if progress.is_retryable(winner.end.result):
            return
        now_s, second_won = _now_s(), winner is race[1]
        self._hedging.observe_race(progress, second_won, now_s)
        if second_won:
            self._metrics.count("hedges", "won")
        for loser in race:
            if loser.task is None or loser.task.done():
                continue
            loser.task.cancel()
            endpoint, waited_s = loser.choice.endpoint, now_s - loser.started_s
            self._hedging.observe_time(progress, endpoint, waited_s)
            self._dispatcher.paces.observe_failure(endpoint, loser.started_s, now_s)
            change = progress.record_loss(endpoint, self._registry, waited_s, now_s)
            self._log.write_endpoint_change(change, endpoint)
            self._log.write_hedge_end(progress, winner.choice, loser.choice, waited_s)

    async def _run_attempt(
        self,
        request: IncomingRequest,
        body: RequestBody,
        progress: RequestProgress,
        attempt: _Attempt,
    ) -> EndedAttempt:
        """Makes one attempt and updates the state of its endpoint from the result."""
        choice, endpoint = attempt.choice, attempt.choice.endpoint

        def observe_head() -> None:
            attempt.answer_at_s = _now_s()

        slowness = endpoint.slowness(attempt.started_s)
        progress.running += 1
        try:
            outcome = await self._runner.make_attempt(
                request,
                body,
                endpoint,
                progress.deadline_s,
                lambda: self._may_abandon(progress, endpoint),
                observe_head,
            )
        finally:
            progress.running -= 1
        result = Served(outcome.head.status) if isinstance(outcome, EndpointAnswer) else outcome
        self._observe_time(progress, attempt, result)
        progress.record_pace(result, endpoint, self._dispatcher.paces, attempt.started_s, _now_s())
        change = progress.record_result(result, endpoint, self._registry, _now_s())
        self._log.write_endpoint_change(change, endpoint)
        self._log.write_attempt(request, progress, choice, attempt.started_s, slowness, result)
        self._observe_result(progress, endpoint, result)
        return EndedAttempt(choice, outcome, result)

    def _observe_time(
        self, progress: RequestProgress, attempt: _Attempt, result: AttemptResult
    ) -> None:
        """Records the time to an answer, or at least which an endpoint needed for one."""
        ended_s = attempt.answer_at_s
        match result:
            case Served() if progress.is_retryable(result):
                return
            case OutcomeUnknown(kind=ErrorKind.ENDPOINT_TIMEOUT):
                ended_s = ended_s or _now_s()
            case NotRun() | OutcomeUnknown():
                return
        if ended_s is not None:
            waited_s = ended_s - attempt.started_s
            self._hedging.observe_time(progress, attempt.choice.endpoint, waited_s)

    def _observe_result(
        self, progress: RequestProgress, endpoint: Endpoint, result: AttemptResult
    ) -> None:
        """Passes what an attempt says about crashes of its endpoint on."""
        match result:
            case NotRun(kind=ErrorKind.ENDPOINT_REPLACED):
                self._suspicions.detector.observe_end(endpoint)
            case OutcomeUnknown(kind=ErrorKind.ENDPOINT_BROKE):
                self._suspicions.detector.observe_break(endpoint, progress.fingerprint)

    def _may_abandon(self, progress: RequestProgress, endpoint: Endpoint) -> bool:
        """Returns whether an attempt at an unresponsive endpoint may be abandoned.

        Always false while the daemon drains.
        """
        now_s = _now_s()
        return not self._is_draining() and progress.may_abandon_attempt(
            endpoint,
            self._dispatcher,
            self._retry_shares[progress.service],
            self._carriers.slack_fraction(now_s),
            now_s,
        )


async def _cancel_others(race: list[_Attempt], decisive: _Attempt | None) -> None:
    """Ends all attempts but the decisive one, and closes their connections."""
    tasks = [attempt.task for attempt in race if attempt is not decisive and attempt.task]
    for task in tasks:
        task.cancel()
    for end in await asyncio.gather(*tasks, return_exceptions=True):
        match end:
            case EndedAttempt(outcome=EndpointAnswer(connection=Connection() as connection)):
                connection.close()


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
