"""A model of a deployment in virtual time: endpoints that know objects, daemons, callers.

The daemons run the product's own decisions (`lycheepin.steering`); endpoints, links and callers
are modelled after the users' description of them: an endpoint runs as many requests at once as it
has slots, queues a few more and turns the rest away, and works several times as fast on an object
that it has handled lately.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lycheepin.errors import ErrorKind
from lycheepin.names import Address, DaemonName, EndpointId, RegionName, ServiceName, ZoneName
from lycheepin.steering.budgets import BudgetLimits, RetryBudgetShare
from lycheepin.steering.dispatch import (
    AttemptRequirements,
    Choice,
    Dispatcher,
    Refusal,
    SelectedEndpoint,
)
from lycheepin.steering.fleet import Endpoint, EndpointRecord, EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.progress import (
    AttemptResult,
    NotRun,
    OutcomeUnknown,
    RequestProgress,
    Served,
)
from lycheepin.steering.returns import CallerRetries
from lycheepin.steering.routes import Route, ServiceSpec

__all__ = ["Chooser", "Daemon", "EndpointModel", "Layout", "Request", "Timeline", "World"]

# One-way delays in seconds: inside a zone, between zones of a region, between regions.
ZONE_S, REGION_S, FAR_S = 0.0003, 0.0045, 0.020
# Part of a known object's work that is left, and objects that an endpoint keeps in mind.
KNOWN_WORK = 0.3
KNOWN_OBJECTS = 24
# Requests that wait at an endpoint for each of its slots before it turns more away.
QUEUE_PER_SLOT = 3
# How much longer the work of a cold endpoint takes.
COLD_FACTOR = 2.0


class Timeline:
    """Virtual time: what is due next happens next."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Schedules something."""
        self._count += 1
        heapq.heappush(self._due, (self.now_s + delay_s, self._count, act))

    def run(self) -> None:
        """Lets everything happen."""
        while self._due:
            self.now_s, _, act = heapq.heappop(self._due)
            act()


@dataclass(frozen=True)
class Layout:
    """How many endpoints, their slots, the zones that they and the daemons are spread over."""

    endpoints: int = 28
    slots: int = 6
    daemons: int = 11
    zones: tuple[str, ...] = ("a1", "a2", "b1", "b2", "c1", "c2")

    def region(self, zone: str) -> RegionName:
        """Returns the region of a zone."""
        return RegionName(zone[0])


@dataclass
class Request:
    """One request of a caller over its tries; `work_s` is the work on an unknown object."""

    identifier: str
    route: Route
    object_key: str
    work_s: float
    arrival_s: float
    deadline_s: float
    worth: float
    late_worth: float
    tries_left: int = 2
    answered_s: float | None = None
    refusals: int = 0


@dataclass(eq=False)
class _Job:
    """One request at an endpoint."""

    work_s: float
    object_key: str
    finish: Callable[[], None]
    dropped: bool = False


class EndpointModel:
    """One endpoint; `slow` multiplies its work, `silent` swallows requests."""

    def __init__(self, timeline: Timeline, record: EndpointRecord) -> None:
        self.record = record
        self.slow = 1.0
        self.silent = False
        self.cold_until_s = 0.0
        self.runs = 0
        self._timeline = timeline
        self._running = 0
        self._waiting: deque[_Job] = deque()
        self._known: OrderedDict[str, None] = OrderedDict()

    def take(self, job: _Job) -> bool:
        """Takes a request in; returns False when it is turned away."""
        if self.silent:
            return True
        if self._running < self.record.slots:
            self._start(job)
        elif len(self._waiting) < QUEUE_PER_SLOT * self.record.slots:
            self._waiting.append(job)
        else:
            return False
        return True

    def load(self) -> tuple[int, int]:
        """Returns the requests that run and that wait."""
        return self._running, len(self._waiting)

    def _start(self, job: _Job) -> None:
        """Runs a request; an object is known from the start of its first work on."""
        self._running += 1
        self.runs += 1
        work_s = job.work_s * self.slow
        if job.object_key in self._known:
            work_s *= KNOWN_WORK
        if self._timeline.now_s < self.cold_until_s:
            work_s *= COLD_FACTOR
        self._known[job.object_key] = None
        self._known.move_to_end(job.object_key)
        if len(self._known) > KNOWN_OBJECTS:
            self._known.popitem(last=False)
        self._timeline.after(work_s, lambda: self._end(job))

    def _end(self, job: _Job) -> None:
        """Answers a request and starts the next one that somebody still waits for."""
        self._running -= 1
        while self._waiting and self._running < self.record.slots:
            following = self._waiting.popleft()
            if not following.dropped:
                self._start(following)
        job.finish()


Chooser = Callable[[AttemptRequirements, ServiceSpec, float], Choice]


class Daemon:
    """One daemon: the product's decisions, and requests on their way to endpoints."""

    def __init__(
        self, world: World, name: str, zone: str, names: Sequence[str], terms: BudgetLimits
    ) -> None:
        layout = world.layout
        self.zone = zone
        self.region = layout.region(zone)
        self.fleet = EndpointRegistry()
        placement = Placement(self.fleet, self.region)
        self.dispatcher = Dispatcher(self.fleet, placement, terms, DaemonName(name))
        self.dispatcher.daemons = tuple(DaemonName(other) for other in names)
        self.choose_endpoint: Chooser = self.dispatcher.choose_endpoint
        self.sent = 0
        self._daemons = len(names)
        self._allowance = RetryBudgetShare(terms)
        self._returns = CallerRetries()
        self._world = world
        for endpoint in world.endpoints.values():
            self.fleet.register(endpoint.record, 0.0)

    def handle(self, request: Request, done: Callable[[AttemptResult | Refusal], None]) -> None:
        """Handles a caller's request; `done` gets its final outcome."""
        now_s = self._world.timeline.now_s
        route = request.route
        deadline_s = min(request.deadline_s, now_s + route.timeout_s)
        service = route.shares[0].service
        waited_s = self._returns.estimate_waited_s(route, request.deadline_s - now_s, now_s)
        progress = RequestProgress(
            route, service, now_s, deadline_s, request.identifier, request.object_key, waited_s
        )
        self._allowance.count_request(now_s)
        self._try(request, progress, done)

    def _try(
        self,
        request: Request,
        progress: RequestProgress,
        done: Callable[[AttemptResult | Refusal], None],
    ) -> None:
        """Makes the next attempt."""
        now_s = self._world.timeline.now_s
        choice = self.choose_endpoint(progress.build_requirements(), self._world.spec, now_s)
        if isinstance(choice, Refusal):
            if progress.may_have_run:
                done(OutcomeUnknown(progress.final_error_kind(choice.kind, now_s)))
            else:
                done(choice)
            return

        def settle(result: AttemptResult) -> None:
            endpoint = choice.endpoint
            progress.record_result(result, endpoint, self.fleet, self._world.timeline.now_s)
            if progress.is_retryable(result) and progress.try_reserve_attempt(
                result, self._allowance, self._daemons, self._world.timeline.now_s
            ):
                self._try(request, progress, done)
            else:
                done(result)

        self._send(request, progress, choice, settle)

    def _send(
        self,
        request: Request,
        progress: RequestProgress,
        choice: SelectedEndpoint,
        settle: Callable[[AttemptResult], None],
    ) -> None:
        """Sends an attempt and settles it by the answer, the refusal or the deadline."""
        timeline = self._world.timeline
        endpoint = choice.endpoint
        model = self._world.endpoints[endpoint.record.id]
        way_s = self._world.way_s(self.zone, endpoint.record.zone)
        started_s = timeline.now_s
        self.sent += 1
        endpoint.start_request(started_s)
        state = _Sending(endpoint)

        def settle_once(result: AttemptResult) -> None:
            if state.settled:
                return
            state.settled = True
            heard = not isinstance(result, OutcomeUnknown)
            endpoint.end_request(timeline.now_s, heard)
            settle(result)

        def answer() -> None:
            if not state.settled:
                endpoint.observe_load(timeline.now_s, *model.load())
                took_s = timeline.now_s - started_s
                self.fleet.observe_answer(endpoint, timeline.now_s, took_s)
            settle_once(Served(200))

        def shed() -> None:
            endpoint.observe_load(timeline.now_s, *model.load())
            settle_once(NotRun(ErrorKind.ENDPOINT_SHED, True, True))

        def expire() -> None:
            job.dropped = True
            settle_once(OutcomeUnknown(ErrorKind.ENDPOINT_TIMEOUT))

        def arrive() -> None:
            if not model.take(job):
                timeline.after(way_s, shed)

        finish = lambda: timeline.after(way_s, answer)  # noqa: E731
        job = _Job(request.work_s, request.object_key, finish)
        timeline.after(way_s, arrive)
        timeline.after(max(0.0, progress.deadline_s - started_s), expire)


@dataclass
class _Sending:
    """Whether an attempt has been settled."""

    endpoint: Endpoint
    settled: bool = False


class World:
    """Endpoints and daemons of one run, and the requests of its callers."""

    def __init__(self, layout: Layout, terms: BudgetLimits, seed: int) -> None:
        self.layout = layout
        self.timeline = Timeline()
        self.random = random.Random(seed)
        self.service = ServiceName("desk")
        self.spec = ServiceSpec(self.service, "/health", 400, 3.0, 5.0)
        self.endpoints: dict[EndpointId, EndpointModel] = {}
        for number in range(layout.endpoints):
            record = self._record(number)
            self.endpoints[record.id] = EndpointModel(self.timeline, record)
        names = [f"d{number}" for number in range(layout.daemons)]
        zones = layout.zones
        self.daemons = [
            Daemon(self, name, zones[n % len(zones)], names, terms) for n, name in enumerate(names)
        ]

    def _record(self, number: int) -> EndpointRecord:
        """Returns the entry of an endpoint."""
        zone = self.layout.zones[number % len(self.layout.zones)]
        return EndpointRecord(
            EndpointId(f"i-{number}"),
            self.service,
            Address("10.0.0.1"),
            80,
            ZoneName(zone),
            self.layout.region(zone),
            self.layout.slots,
            draining=False,
            cold_s=0.0,
            started_ms=1,
        )

    def way_s(self, zone: str, other: str) -> float:
        """Returns the one-way delay between two zones, in seconds."""
        if zone == other:
            return ZONE_S
        return REGION_S if self.layout.region(zone) == self.layout.region(other) else FAR_S
