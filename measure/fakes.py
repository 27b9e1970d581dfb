"""Discrete-event simulation of endpoints, and the policies that are compared on it.

The endpoints of one region serve one stream of requests. An endpoint runs as many requests at
once as it has slots and queues the others. A policy can use the results of its own requests and a
report of the requests in flight at each endpoint, which is outdated, can be frozen, and doesn't
include the endpoint's speed.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lycheepin.generated.settings import WorkClass
from lycheepin.names import FleetName, Incarnation, Resource, Revision, ServiceName
from lycheepin.steering.admission import Admission, AdmissionRefusal, Start, Ticket
from lycheepin.steering.capacity import HOLDER_TOKENS
from lycheepin.steering.endpoints import EndpointSelector, ExchangeResult
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.plan import Grant, Plan

__all__ = ["Arrival", "Simulation", "Endpoint", "LycheepinPolicy", "Outcome", "POLICIES", "Policy"]

DESK = ServiceName("desk")
REPORT_LAG_S = 2.0
RETRY_AFTER_S = 0.5


@dataclass(eq=False)
class Arrival:
    """A request: its time of arrival, fleet, class and processing time.

    A caller that has no answer within RETRY_AFTER_S sends the request again while `tries_left` is
    positive; the count includes the first try.
    """

    time_s: float
    fleet: str
    work_class: WorkClass
    processing_s: float
    tries_left: int = 1
    answered: bool = False


@dataclass
class Endpoint:
    """An endpoint; `slow_factor` multiplies the processing time of its requests."""

    name: str
    slots: int
    slow_factor: float = 1.0
    running: int = 0
    queue: deque[tuple[float, Callable[[], None]]] = field(default_factory=deque)

    @property
    def in_flight(self) -> int:
        """The number of requests that run or are queued here."""
        return self.running + len(self.queue)


@dataclass
class Outcome:
    """Latencies and counts of the requests of one run, by class or fleet."""

    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    requests: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    fleet_requests: Counter[str] = field(default_factory=Counter)
    fleet_in_target: Counter[str] = field(default_factory=Counter)
    peak_in_flight: int = 0


class Simulation:
    """An event queue in virtual time, with the endpoints and the outcome of the run."""

    def __init__(self, endpoints: list[Endpoint], frozen_reports: bool) -> None:
        self.endpoints = endpoints
        self.now_s = 0.0
        self.outcome = Outcome()
        self._frozen_reports = frozen_reports
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._reports: deque[tuple[float, tuple[int, ...]]] = deque()

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules `action` for a point in virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, action))

    def run(self, arrivals: list[Arrival], policy: Policy) -> Outcome:
        """Runs the simulation until no event is left and returns its outcome."""
        for arrival in arrivals:
            self.schedule(
                arrival.time_s, lambda arrival=arrival: self._receive_arrival(arrival, policy)
            )
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _receive_arrival(self, arrival: Arrival, policy: Policy) -> None:
        """Counts a request and submits its first try."""
        self.outcome.requests[arrival.work_class.name] += 1
        self.outcome.fleet_requests[arrival.fleet] += 1
        self._submit_try(arrival, policy)

    def _submit_try(self, arrival: Arrival, policy: Policy) -> None:
        """Submits a request to the policy, and schedules the next try if one is left."""
        if arrival.answered or arrival.tries_left < 1:
            return
        arrival.tries_left -= 1
        if arrival.tries_left:
            self.schedule(self.now_s + RETRY_AFTER_S, lambda: self._submit_try(arrival, policy))
        policy.submit(arrival)

    def send(self, index: int, arrival: Arrival, on_answer: Callable[[], None]) -> None:
        """Sends a request to an endpoint; `on_answer` is called when it is answered."""
        endpoint = self.endpoints[index]

        def finish() -> None:
            endpoint.running -= 1
            if endpoint.queue:
                processing_s, finish_next = endpoint.queue.popleft()
                endpoint.running += 1
                self.schedule(self.now_s + processing_s, finish_next)
            self._record_answer(arrival)
            on_answer()

        processing_s = arrival.processing_s * endpoint.slow_factor
        if endpoint.running < endpoint.slots:
            endpoint.running += 1
            self.schedule(self.now_s + processing_s, finish)
        else:
            endpoint.queue.append((processing_s, finish))
        in_flight = sum(e.in_flight for e in self.endpoints)
        self.outcome.peak_in_flight = max(self.outcome.peak_in_flight, in_flight)

    def _record_answer(self, arrival: Arrival) -> None:
        """Records an answer; further answers to the same request are ignored."""
        if arrival.answered:
            return
        arrival.answered = True
        latency_s = self.now_s - arrival.time_s
        self.outcome.latencies_s.setdefault(arrival.work_class.name, []).append(latency_s)
        if latency_s * 1000 <= arrival.work_class.answer_target_ms:
            self.outcome.in_target[arrival.work_class.name] += 1
            self.outcome.fleet_in_target[arrival.fleet] += 1

    def record_refusal(self, arrival: Arrival) -> None:
        """Records a refusal."""
        self.outcome.refused[arrival.work_class.name] += 1

    def read_reports(self) -> tuple[int, ...]:
        """Returns the requests in flight at each endpoint, by the report before the latest one.

        A new report is taken when the latest is at least REPORT_LAG_S old, or never if reports are
        frozen.
        """
        current = tuple(endpoint.in_flight for endpoint in self.endpoints)
        if not self._reports or (
            not self._frozen_reports and self.now_s - self._reports[-1][0] >= REPORT_LAG_S
        ):
            self._reports.append((self.now_s, current))
            if len(self._reports) > 2:
                self._reports.popleft()
        return self._reports[0][1]


class Policy(Protocol):
    """Interface of a policy, which decides where and when requests are sent."""

    def submit(self, arrival: Arrival) -> None:
        """Sends or refuses a request, now or later."""


class RoundRobin:
    """Sends requests to all endpoints in turn."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self._simulation = simulation
        self._next = 0

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the next endpoint."""
        self._next += 1
        self._simulation.send(self._next % len(self._simulation.endpoints), arrival, lambda: None)


class LeastInFlight:
    """Sends each request to the endpoint with the fewest requests in flight from this daemon."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self._simulation = simulation
        self._in_flight = [0] * len(simulation.endpoints)

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the endpoint with the fewest requests in flight."""
        index = min(range(len(self._in_flight)), key=lambda i: self._in_flight[i])
        self._in_flight[index] += 1

        def on_answer() -> None:
            self._in_flight[index] -= 1

        self._simulation.send(index, arrival, on_answer)


class TwoChoices:
    """Sends each request to the less loaded of two random endpoints, by their reports."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self._simulation = simulation
        self._random = random.Random(seed)

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the less loaded of two random endpoints."""
        reports = self._simulation.read_reports()
        pair = self._random.sample(range(len(reports)), 2)
        self._simulation.send(min(pair, key=lambda i: reports[i]), arrival, lambda: None)


class LycheepinPolicy:
    """Admission and endpoint selection of lycheepin.

    The endpoints are divided among holders of about HOLDER_TOKENS tokens each, as in a plan.
    """

    def __init__(self, simulation: Simulation, seed: int, headroom_percent: int = 20) -> None:
        self._simulation = simulation
        self._random = random.Random(seed)
        self._arrivals: dict[int, Arrival] = {}
        self._endpoint_indexes = {Resource(e.name): i for i, e in enumerate(simulation.endpoints)}
        tokens = [e.slots * (100 - headroom_percent) // 100 for e in simulation.endpoints]
        holder_count = max(1, sum(tokens) // HOLDER_TOKENS)
        self._holders = [
            self._build_admission(Incarnation(h + 1), tokens, h, holder_count)
            for h in range(holder_count)
        ]

        self._weights = [admission.granted(DESK) for admission in self._holders]

    def _build_admission(
        self, incarnation: Incarnation, tokens: list[int], holder_index: int, holder_count: int
    ) -> Admission:
        """Returns the admission of one holder, with the tokens of its endpoints."""
        endpoint_tokens = [
            (Resource(e.name), tokens[i])
            for i, e in enumerate(self._simulation.endpoints)
            if i % holder_count == holder_index
        ]
        ledger = Ledger(incarnation)
        grants = {resource: Grant(count, count) for resource, count in endpoint_tokens}
        ledger.apply_plan(Plan(Revision(1), {incarnation: grants}))
        selector = EndpointSelector()
        selector.update((resource for resource, _ in endpoint_tokens), 0.0)
        admission = Admission(ledger, selector)
        admission.set_endpoints({DESK: tuple(resource for resource, _ in endpoint_tokens)})
        return admission

    def submit(self, arrival: Arrival) -> None:
        """Submits a request to a holder, drawn at random by tokens as in a look-up."""
        admission = self._random.choices(self._holders, self._weights)[0]
        deadline_s = arrival.time_s + arrival.work_class.deadline_ms / 1000
        ticket = Ticket(FleetName(arrival.fleet), DESK, arrival.work_class, deadline_s)
        self._arrivals[id(ticket)] = arrival
        decision = admission.submit(ticket, self._simulation.now_s)
        if isinstance(decision, Start | AdmissionRefusal):
            self._apply_decision(admission, decision)
        else:
            self._simulation.schedule(deadline_s, lambda: self._poll_admission(admission))

    def _poll_admission(self, admission: Admission) -> None:
        """Applies the decisions that are due."""
        for decision in admission.poll(self._simulation.now_s):
            self._apply_decision(admission, decision)

    def _apply_decision(self, admission: Admission, decision: Start | AdmissionRefusal) -> None:
        """Sends or refuses a request, as decided."""
        arrival = self._arrivals.pop(id(decision.ticket))
        if isinstance(decision, AdmissionRefusal):
            self._simulation.record_refusal(arrival)
            return
        started_s = self._simulation.now_s

        def on_answer() -> None:
            elapsed_s = self._simulation.now_s - started_s
            admission.finish(decision, ExchangeResult.ANSWERED, elapsed_s, self._simulation.now_s)
            self._poll_admission(admission)

        self._simulation.send(self._endpoint_indexes[decision.endpoint], arrival, on_answer)


POLICIES: dict[str, Callable[[Simulation, int], Policy]] = {
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two choices on reports": TwoChoices,
    "lycheepin": LycheepinPolicy,
}
