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

from lycheepin.errors import ErrorKind
from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, Carriers, RetryBudgetShare
from lycheepin.steering.choices import AttemptRequirements, Choice, Refusal, SelectedEndpoint
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint, EndpointRecord
from lycheepin.steering.fleet import EndpointRegistry
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

    The first letter of a zone's name is its region.
    """

    endpoints: int = 28
    slots: int = 6
    daemons: int = 11
    zones: tuple[str, ...] = ("a1", "a2", "b1", "b2", "c1", "c2")

    def get_region(self, zone: str) -> RegionName:
        """Returns the region of a zone."""
        return RegionName(zone[0])


@dataclass
class Request:
    """One request of a caller, over all its tries.

    `cold_processing_s` is its processing time in seconds at an endpoint where its object is cold;
    `late_value` is the value of an answer after the route's target.
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
    answered_s: float | None = None
    refusals: int = 0


@dataclass(eq=False)
class _Job:
    """One attempt at an endpoint; an abandoned job is skipped when it leaves the queue."""

    cold_processing_s: float
    object_key: str
    on_finish: Callable[[], None]
    abandoned: bool = False


class EndpointModel:
    """One endpoint.

    `limit_per_s` is the number of requests per second that it names as what it takes from all
    daemons, and `arrivals` has the times at which it got a request, with the daemon. `slow` is a
    factor on its processing times, which are also COLD_FACTOR times as long until `cold_until_s`;
    while `silent` it accepts requests and never answers them.
    """

    def __init__(self, scheduler: EventScheduler, record: EndpointRecord) -> None:
        self.record = record
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
        self._scheduler.call_later(processing_s, lambda: self._finish_job(job))

    def _finish_job(self, job: _Job) -> None:
        """Frees the slot of a job, starts waiting jobs that are not abandoned, reports the end."""
        self._running -= 1
        while self._waiting and self._running < self.record.slots:
            next_job = self._waiting.popleft()
            if not next_job.abandoned:
                self._start_job(next_job)
        job.on_finish()


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
        waited_s = self._caller_retries.estimate_waited_s(route, request.deadline_s - now_s, now_s)
        progress = RequestProgress(
            route, service, now_s, deadline_s, request.request_id, request.object_key, waited_s
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
        if isinstance(choice, Refusal):
            if progress.may_have_run:
                on_result(OutcomeUnknown(progress.final_error_kind(choice.kind, now_s)))
            else:
                on_result(choice)
            return

        def handle_result(result: AttemptResult) -> None:
            ended_s = self._simulation.scheduler.now_s
            progress.record_result(result, choice.endpoint, self.registry, ended_s)
            if progress.is_retryable(result) and progress.try_reserve_attempt(
                result, self._retry_budget, self._carriers.slack_fraction(ended_s), ended_s
            ):
                self._make_attempt(request, progress, on_result)
            else:
                on_result(result)

        self._send_attempt(request, progress, choice, handle_result)

    def _send_attempt(
        self,
        request: Request,
        progress: RequestProgress,
        choice: SelectedEndpoint,
        handle_result: Callable[[AttemptResult], None],
    ) -> None:
        """Sends an attempt to an endpoint.

        Calls `handle_result` once: at the answer, the rejection or the deadline, whichever is
        first.
        """
        scheduler = self._simulation.scheduler
        endpoint = choice.endpoint
        model = self._simulation.endpoints[endpoint.record.id]
        delay_s = self._simulation.one_way_delay_s(self.zone, endpoint.record.zone)
        started_s = scheduler.now_s
        self.attempts_sent += 1
        endpoint.start_request(started_s)
        attempt = _AttemptState(endpoint)

        def settle_attempt(result: AttemptResult) -> None:
            if attempt.settled:
                return
            attempt.settled = True
            answered = not isinstance(result, OutcomeUnknown)
            endpoint.end_request(scheduler.now_s, answered)
            handle_result(result)

        def observe_limit(limit_per_s: float | None) -> None:
            now_s, identifier = scheduler.now_s, endpoint.record.id
            self._rate_limits.observe_answer(identifier, limit_per_s, started_s, now_s)
            if limit_per_s is not None:
                self.limits_known_s.setdefault(identifier, now_s)

        def handle_answer(limit_per_s: float | None) -> None:
            observe_limit(limit_per_s)
            if not attempt.settled:
                endpoint.observe_load(scheduler.now_s, *model.count_jobs())
                elapsed_s = scheduler.now_s - started_s
                self.registry.observe_answer(endpoint, scheduler.now_s, elapsed_s)
            settle_attempt(Served(200))

        def handle_rejection(limit_per_s: float | None) -> None:
            observe_limit(limit_per_s)
            endpoint.observe_load(scheduler.now_s, *model.count_jobs())
            settle_attempt(NotRun(ErrorKind.ENDPOINT_SHED, True, True))

        def handle_timeout() -> None:
            job.abandoned = True
            settle_attempt(OutcomeUnknown(ErrorKind.ENDPOINT_TIMEOUT))

        def deliver_job() -> None:
            model.arrivals.append((scheduler.now_s, self.name))
            if not model.accept_job(job):
                limit_per_s = model.limit_per_s
                scheduler.call_later(delay_s, lambda: handle_rejection(limit_per_s))

        def finish_job() -> None:
            limit_per_s = model.limit_per_s
            scheduler.call_later(delay_s, lambda: handle_answer(limit_per_s))

        job = _Job(request.cold_processing_s, request.object_key, finish_job)
        scheduler.call_later(delay_s, deliver_job)
        scheduler.call_later(max(0.0, progress.deadline_s - started_s), handle_timeout)


@dataclass
class _AttemptState:
    """Whether an attempt at an endpoint has its result."""

    endpoint: Endpoint
    settled: bool = False


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
            self.endpoints[record.id] = EndpointModel(self.scheduler, record)
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
