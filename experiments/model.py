"""A model of a deployment in virtual time: endpoints, daemons and the network between them.

The daemons run lycheepin's own decision code (`lycheepin.steering`). Endpoints and links are
modelled after the users' description of them: an endpoint runs as many requests at once as it has
slots, queues a few more and rejects the rest, and needs only part of the processing time for an
object that it has handled recently.

An object is warm at an endpoint that has handled it recently, and cold elsewhere.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from lycheepin.errors import ErrorKind
from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, Carriers, RetryBudgetShare
from lycheepin.steering.choices import AttemptRequirements, Choice, Refusal, SelectedEndpoint
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint, EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.hedging import Hedging
from lycheepin.steering.placement import Placement
from lycheepin.steering.progress import (
    AttemptResult,
    NotRun,
    OutcomeUnknown,
    RequestProgress,
    Served,
)
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.returns import CallerRetries
from lycheepin.steering.routes import Route, ServiceSpec
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "Chooser",
    "Daemon",
    "EndpointModel",
    "EventScheduler",
    "Layout",
    "Request",
    "Simulation",
]

# One-way network delays in seconds: within a zone, between zones of a region, between regions.
ZONE_DELAY_S, REGION_DELAY_S, INTER_REGION_DELAY_S = 0.0003, 0.0045, 0.020
# Processing time for a warm object, as a part of the time for a cold one.
WARM_PROCESSING_RATIO = 0.3
# Number of objects that an endpoint keeps warm; the least recently handled one is evicted.
MAX_WARM_OBJECTS = 24
# Requests that may wait at an endpoint for each of its slots; further ones are rejected.
QUEUE_PER_SLOT = 3
# Factor by which processing takes longer at an endpoint that has just started.
COLD_FACTOR = 2.0
# At uneven endpoints: fraction of requests that take TAIL_FACTOR times as long, and the fraction
# of intervals of NOISE_INTERVAL_S seconds in which work takes NOISE_FACTOR times as long.
TAIL_FRACTION, TAIL_FACTOR = 0.03, 7.0
NOISE_FRACTION, NOISE_FACTOR, NOISE_INTERVAL_S = 0.15, 2.5, 0.6


class Tail(Enum):
    """What decides that a request takes long: each of its runs for itself, or the request."""

    NONE = "none"
    OF_RUNS = "of runs"
    OF_REQUESTS = "of requests"


class EventScheduler:
    """Runs callbacks in order of virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay; callbacks due at the same time run in call order."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now_s + delay_s, self._sequence, callback))

    def run(self) -> None:
        """Runs callbacks until none is scheduled, advancing the virtual time to each of them."""
        while self._heap:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()


@dataclass(frozen=True)
class Layout:
    """Numbers of endpoints and daemons, slots of an endpoint, and zones they are spread over.

    The first letter of a zone's name is its region. Endpoints with a tail are uneven: they also
    slow down and report it, and stop work that is cancelled.
    """

    endpoints: int = 28
    slots: int = 6
    daemons: int = 11
    zones: tuple[str, ...] = ("a1", "a2", "b1", "b2", "c1", "c2")
    tail: Tail = Tail.NONE

    def get_region(self, zone: str) -> RegionName:
        """Returns the region of a zone."""
        return RegionName(zone[0])


@dataclass
class Request:
    """One request of a caller, over all its tries.

    `cold_processing_s` is its processing time in seconds at an endpoint where its object is cold;
    `late_value` is the value of an answer after the route's target. `workspace` is the caller's.
    """

    request_id: str
    route: Route
    object_key: str
    cold_processing_s: float
    arrival_s: float
    deadline_s: float
    value: float
    late_value: float
    tries_left: int = 2
    workspace: Workspace | None = None
    answered_s: float | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether the request was answered within its route's target."""
        return (
            self.answered_s is not None and self.answered_s - self.arrival_s <= self.route.target_s
        )


@dataclass(eq=False)
class _Job:
    """One attempt at an endpoint; an abandoned job is skipped when it leaves the queue."""

    cold_processing_s: float
    object_key: str
    on_finish: Callable[[], None]
    request_id: str = ""
    abandoned: bool = False
    running: bool = False


class EndpointModel:
    """One endpoint.

    `limit_per_s` is the number of requests per second that it names as what it takes from all
    daemons, and `arrivals` has the times at which it got a request, with the daemon. `slow` is a
    factor on its processing times, which are also COLD_FACTOR times as long until `cold_until_s`;
    while `silent` it accepts requests and never answers them.
    """

    def __init__(
        self, scheduler: EventScheduler, record: EndpointRecord, tail: Tail, seed: int
    ) -> None:
        self.record = record
        self._tail = tail
        self._seed = seed
        self.slow = 1.0
        self.silent = False
        self.cold_until_s = 0.0
        self.jobs_started = 0
        self.limit_per_s: float | None = None
        self.arrivals: list[tuple[float, DaemonName]] = []
        self._scheduler = scheduler
        self._running = 0
        self._waiting: deque[_Job] = deque()
        self._warm_objects: OrderedDict[str, None] = OrderedDict()

    def accept_job(self, job: _Job) -> bool:
        """Starts or queues a job; returns False if the queue is full and the job is rejected."""
        if self.silent:
            return True
        if self._running < self.record.slots:
            self._start_job(job)
        elif len(self._waiting) < QUEUE_PER_SLOT * self.record.slots:
            self._waiting.append(job)
        else:
            return False
        return True

    def count_jobs(self) -> tuple[int, int]:
        """Returns the numbers of running and of waiting jobs."""
        return self._running, len(self._waiting)

    def _start_job(self, job: _Job) -> None:
        """Runs a job; its object is warm for jobs that start after this one."""
        self._running += 1
        job.running = True
        self.jobs_started += 1
        processing_s = job.cold_processing_s * self.slow
        if job.object_key in self._warm_objects:
            processing_s *= WARM_PROCESSING_RATIO
        if self._scheduler.now_s < self.cold_until_s:
            processing_s *= COLD_FACTOR
        self._warm_objects[job.object_key] = None
        self._warm_objects.move_to_end(job.object_key)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)
        self._scheduler.call_later(self._stretch(processing_s, job), lambda: self._finish_job(job))

    def restart(self) -> None:
        """Forgets all objects, as a new process does."""
        self._warm_objects.clear()

    @property
    def slowness(self) -> float | None:
        """The factor by which work takes longer at the moment; None if it isn't reported."""
        return None if self._tail is Tail.NONE else self._draw_slowness(self._scheduler.now_s)

    def _draw_slowness(self, time_s: float) -> float:
        """Returns the factor by which work takes longer at a time."""
        interval = int(time_s / NOISE_INTERVAL_S)
        drawn = random.Random(f"{self._seed} {self.record.id} {interval}").random()
        return NOISE_FACTOR if drawn < NOISE_FRACTION else 1.0

    def _stretch(self, processing_s: float, job: _Job) -> float:
        """Returns the time in seconds that a job takes from now on, with tail and slowness."""
        if self._tail is Tail.NONE:
            return processing_s
        drawn_for = f"{self._seed} {job.request_id}"
        if self._tail is Tail.OF_RUNS:
            drawn_for += f" {self.record.id}"
        if random.Random(drawn_for).random() < TAIL_FRACTION:
            processing_s *= TAIL_FACTOR
        left_s, time_s = processing_s, self._scheduler.now_s
        while True:
            interval_end_s = (int(time_s / NOISE_INTERVAL_S) + 1) * NOISE_INTERVAL_S + 1e-9
            slowness = self._draw_slowness(time_s)
            if time_s + left_s * slowness <= interval_end_s:
                return time_s + left_s * slowness - self._scheduler.now_s
            left_s -= (interval_end_s - time_s) / slowness
            time_s = interval_end_s

    def cancel_job(self, job: _Job) -> None:
        """Stops a job whose connection was closed or whose deadline has passed."""
        job.abandoned = True
        if job.running and self._tail is not Tail.NONE:
            self._free_slot(job)

    def _finish_job(self, job: _Job) -> None:
        """Frees the slot of a job that wasn't stopped, and reports its end."""
        if job.running:
            self._free_slot(job)
            job.on_finish()

    def _free_slot(self, job: _Job) -> None:
        """Ends a job and starts waiting ones that are not abandoned."""
        job.running = False
        self._running -= 1
        while self._waiting and self._running < self.record.slots:
            next_job = self._waiting.popleft()
            if not next_job.abandoned:
                self._start_job(next_job)


# Selects the endpoint of an attempt, or refuses it.
Chooser = Callable[[AttemptRequirements, ServiceSpec, float], Choice]


class Daemon:
    """One daemon: lycheepin's decision code and a model of its attempts at endpoints."""

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        zone: str,
        daemon_regions: Mapping[DaemonName, RegionName],
        limits: BudgetLimits,
    ) -> None:
        layout = simulation.layout
        self.zone = zone
        self.region = layout.get_region(zone)
        self.registry = EndpointRegistry()
        placement = Placement(self.registry, self.region)
        names = tuple(daemon_regions)
        self.name = DaemonName(name)
        self._carriers = Carriers(self.name, lambda: names, daemon_regions.get)
        self.limits_known_s: dict[EndpointId, float] = {}
        self._rate_limits = RateLimits(self.name, self._carriers)
        self.dispatcher = Dispatcher(
            self.registry, placement, limits, self._carriers, self._rate_limits
        )
        self.choose_endpoint: Chooser = self.dispatcher.choose_endpoint
        self.attempts_sent = 0
        self.reads_load = self.reads_slowness = True
        self.hedges = True
        self.hedges_sent = self.hedges_won = 0
        self._hedging = Hedging(self.dispatcher)
        self._retry_budget = RetryBudgetShare(limits)
        self._caller_retries = CallerRetries()
        self._simulation = simulation
        for endpoint in simulation.endpoints.values():
            self.registry.register(endpoint.record, 0.0)

    def handle_request(
        self, request: Request, on_result: Callable[[AttemptResult | Refusal], None]
    ) -> None:
        """Handles one try of a caller's request; calls `on_result` once with its final result."""
        now_s = self._simulation.scheduler.now_s
        route = request.route
        deadline_s = min(request.deadline_s, now_s + route.timeout_s)
        service = route.shares[0].service
        workspace = request.workspace
        waited_s = self._caller_retries.estimate_waited_s(
            route, request.deadline_s - now_s, now_s, workspace.name if workspace else None
        )
        progress = RequestProgress(
            route,
            service,
            now_s,
            deadline_s,
            request.request_id,
            request.object_key,
            waited_s,
            workspace=workspace,
        )
        self._retry_budget.count_request(now_s)
        self._make_attempt(request, progress, on_result)

    def _make_attempt(
        self,
        request: Request,
        progress: RequestProgress,
        on_result: Callable[[AttemptResult | Refusal], None],
    ) -> None:
        """Makes the next attempt, and further ones as long as a retry is allowed."""
        now_s = self._simulation.scheduler.now_s
        choice = self.choose_endpoint(progress.build_requirements(), self._simulation.spec, now_s)
        self._hedging.observe_choice(progress.service, isinstance(choice, Refusal), now_s)
        if isinstance(choice, Refusal):
            if progress.may_have_run:
                on_result(OutcomeUnknown(progress.final_error_kind(choice.kind, now_s)))
            else:
                on_result(choice)
            return
        race: list[_AttemptState] = []

        def handle_result(attempt: _AttemptState, result: AttemptResult) -> None:
            ended_s = self._simulation.scheduler.now_s
            race.remove(attempt)
            progress.running -= 1
            paces = self.dispatcher.paces
            progress.record_pace(result, attempt.endpoint, paces, attempt.started_s, ended_s)
            progress.record_result(result, attempt.endpoint, self.registry, ended_s)
            retryable = progress.is_retryable(result)
            if not isinstance(result, NotRun):
                elapsed_s = ended_s - attempt.started_s
                self._hedging.observe_time(progress, attempt.endpoint, elapsed_s)
            if race and retryable:
                return
            for other in race:
                self.hedges_won += attempt.is_second
                other.cancel()
                waited_s = ended_s - other.started_s
                progress.running -= 1
                paces.observe_failure(other.endpoint, other.started_s, ended_s)
                progress.record_loss(other.endpoint, self.registry, waited_s, ended_s)
                self._hedging.observe_time(progress, other.endpoint, waited_s)
                self._hedging.observe_race(progress, attempt.is_second, ended_s)
            if retryable and progress.try_reserve_attempt(
                result, self._retry_budget, self._carriers.slack_fraction(ended_s), ended_s
            ):
                self._make_attempt(request, progress, on_result)
            else:
                on_result(result)

        def send_attempt(selected: SelectedEndpoint, is_second: bool) -> None:
            progress.running += 1
            attempt = _AttemptState(
                selected.endpoint, self._simulation.scheduler.now_s, is_second=is_second
            )
            race.append(attempt)
            self._send_attempt(
                request, progress, attempt, lambda result: handle_result(attempt, result)
            )

        def ask_second() -> None:
            at_s = self._simulation.scheduler.now_s
            if not race or race[0].settled or at_s >= progress.deadline_s:
                return
            second = self._hedging.choose_endpoint(
                progress,
                choice.endpoint,
                self._simulation.spec,
                self._retry_budget,
                self._carriers.slack_fraction(at_s),
                at_s,
            )
            if isinstance(second, SelectedEndpoint):
                self.hedges_sent += 1
                send_attempt(second, True)
            else:
                self._simulation.scheduler.call_later(0.1, ask_second)

        send_attempt(choice, False)
        delay_s = self._hedging.find_delay_s(progress, now_s) if self.hedges else None
        if delay_s is not None:
            self._simulation.scheduler.call_later(delay_s, ask_second)

    def _send_attempt(
        self,
        request: Request,
        progress: RequestProgress,
        attempt: _AttemptState,
        handle_result: Callable[[AttemptResult], None],
    ) -> None:
        """Sends an attempt to an endpoint.

        Calls `handle_result` once: at the answer, the rejection or the deadline, whichever is
        first, unless the attempt is cancelled before.
        """
        scheduler = self._simulation.scheduler
        endpoint = attempt.endpoint
        model = self._simulation.endpoints[endpoint.record.id]
        delay_s = self._simulation.one_way_delay_s(self.zone, endpoint.record.zone)
        started_s = scheduler.now_s
        self.attempts_sent += 1
        endpoint.start_request(started_s)

        def settle_attempt(result: AttemptResult) -> None:
            if attempt.settled:
                return
            attempt.settled = True
            answered = not isinstance(result, OutcomeUnknown)
            endpoint.end_request(scheduler.now_s, answered)
            handle_result(result)

        def cancel_attempt() -> None:
            attempt.settled = True
            endpoint.end_request(scheduler.now_s, False)
            scheduler.call_later(delay_s, lambda: model.cancel_job(job))

        attempt.cancel = cancel_attempt

        def observe_limit(limit_per_s: float | None) -> None:
            now_s, identifier = scheduler.now_s, endpoint.record.id
            self._rate_limits.observe_answer(identifier, limit_per_s, started_s, now_s)
            if limit_per_s is not None:
                self.limits_known_s.setdefault(identifier, now_s)

        def observe_load(slowness: float | None) -> None:
            if self.reads_load:
                endpoint.observe_load(scheduler.now_s, *model.count_jobs())
            if slowness is not None and self.reads_slowness:
                endpoint.observe_slowness(scheduler.now_s, slowness)

        def handle_answer(limit_per_s: float | None, slowness: float | None) -> None:
            observe_limit(limit_per_s)
            if not attempt.settled:
                observe_load(slowness)
                elapsed_s = scheduler.now_s - started_s
                reported = slowness if slowness is not None and self.reads_slowness else 1.0
                self.registry.observe_answer(endpoint, scheduler.now_s, elapsed_s, reported)
            settle_attempt(Served(200))

        def handle_rejection(limit_per_s: float | None, slowness: float | None) -> None:
            observe_limit(limit_per_s)
            observe_load(slowness)
            settle_attempt(NotRun(ErrorKind.ENDPOINT_SHED, True, True))

        def handle_timeout() -> None:
            model.cancel_job(job)
            settle_attempt(OutcomeUnknown(ErrorKind.ENDPOINT_TIMEOUT))

        def deliver_job() -> None:
            model.arrivals.append((scheduler.now_s, self.name))
            if not job.abandoned and not model.accept_job(job):
                limit_per_s, slowness = model.limit_per_s, model.slowness
                scheduler.call_later(delay_s, lambda: handle_rejection(limit_per_s, slowness))

        def finish_job() -> None:
            limit_per_s, slowness = model.limit_per_s, model.slowness
            scheduler.call_later(delay_s, lambda: handle_answer(limit_per_s, slowness))

        job = _Job(request.cold_processing_s, request.object_key, finish_job, request.request_id)
        scheduler.call_later(delay_s, deliver_job)
        scheduler.call_later(max(0.0, progress.deadline_s - started_s), handle_timeout)


@dataclass(eq=False)
class _AttemptState:
    """An attempt at an endpoint; `settled` is true once it has its result or is cancelled."""

    endpoint: Endpoint
    started_s: float
    is_second: bool
    settled: bool = False
    cancel: Callable[[], None] = lambda: None


class Simulation:
    """The endpoints, daemons, virtual time and random generator of one run."""

    def __init__(self, layout: Layout, limits: BudgetLimits, seed: int) -> None:
        self.layout = layout
        self.scheduler = EventScheduler()
        self.random = random.Random(seed)
        self.service = ServiceName("desk")
        self.spec = ServiceSpec(self.service, "/health", 400, 3.0, 5.0)
        self.endpoints: dict[EndpointId, EndpointModel] = {}
        for number in range(layout.endpoints):
            record = self._build_record(number)
            self.endpoints[record.id] = EndpointModel(self.scheduler, record, layout.tail, seed)
        zones = {
            f"d{number}": layout.zones[number % len(layout.zones)]
            for number in range(layout.daemons)
        }
        regions = {DaemonName(name): layout.get_region(zone) for name, zone in zones.items()}
        self.daemons = [Daemon(self, name, zone, regions, limits) for name, zone in zones.items()]

    def _build_record(self, number: int) -> EndpointRecord:
        """Returns the registry entry of the endpoint with this number."""
        zone = self.layout.zones[number % len(self.layout.zones)]
        return EndpointRecord(
            EndpointId(f"i-{number}"),
            self.service,
            Address("10.0.0.1"),
            80,
            ZoneName(zone),
            self.layout.get_region(zone),
            self.layout.slots,
            draining=False,
            cold_s=0.0,
            started_ms=1,
        )

    def one_way_delay_s(self, zone: str, other_zone: str) -> float:
        """Returns the one-way network delay between two zones, in seconds."""
        if zone == other_zone:
            return ZONE_DELAY_S
        return (
            REGION_DELAY_S
            if self.layout.get_region(zone) == self.layout.get_region(other_zone)
            else INTER_REGION_DELAY_S
        )
