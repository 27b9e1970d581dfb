"""A small fake of endpoints in virtual time, and the policies that are compared on it.

One region's endpoints serve one stream of requests. An endpoint runs as many requests at once as
it has slots and queues the rest; what a policy knows of it is a report that lags, may be frozen,
and says nothing of its speed, and what the policy has seen itself.
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
from lycheepin.steering.admission import Admission, Refuse, Start, Ticket
from lycheepin.steering.capacity import HOLDER_TOKENS
from lycheepin.steering.endpoints import EndpointSelector, ExchangeResult
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.plan import Grant, Plan

__all__ = ["Arrival", "Bench", "Endpoint", "LycheepinPolicy", "Outcome", "POLICIES", "Policy"]

DESK = ServiceName("desk")
REPORT_LAG_S = 2.0
RETRY_AFTER_S = 0.5


@dataclass(eq=False)
class Arrival:
    """One request: when it comes, whose it is, its class and its share of work.

    A caller that has no answer within RETRY_AFTER_S sends it again, at most `tries` times in all.
    """

    time_s: float
    fleet: str
    work: WorkClass
    work_s: float
    tries: int = 1
    answered: bool = False


@dataclass
class Endpoint:
    """One endpoint; `slow` multiplies the time of work."""

    name: str
    slots: int
    slow: float = 1.0
    running: int = 0
    queue: deque[tuple[float, Callable[[], None]]] = field(default_factory=deque)

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return self.running + len(self.queue)


@dataclass
class Outcome:
    """What came of the requests of one run."""

    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    requests: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    fleet_requests: Counter[str] = field(default_factory=Counter)
    fleet_in_target: Counter[str] = field(default_factory=Counter)
    peak_in_flight: int = 0


class Bench:
    """Virtual time, the endpoints and the outcome."""

    def __init__(self, endpoints: list[Endpoint], frozen_reports: bool) -> None:
        self.endpoints = endpoints
        self.now_s = 0.0
        self.outcome = Outcome()
        self._frozen = frozen_reports
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._reports: deque[tuple[float, tuple[int, ...]]] = deque()

    def at(self, time_s: float, act: Callable[[], None]) -> None:
        """Schedules an event."""
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, act))

    def run(self, arrivals: list[Arrival], policy: Policy) -> Outcome:
        """Runs all arrivals to their end."""
        for arrival in arrivals:
            self.at(arrival.time_s, lambda arrival=arrival: self._arrive(arrival, policy))
        while self._events:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def _arrive(self, arrival: Arrival, policy: Policy) -> None:
        """Counts a request and hands it to the policy."""
        self.outcome.requests[arrival.work.name] += 1
        self.outcome.fleet_requests[arrival.fleet] += 1
        self._try(arrival, policy)

    def _try(self, arrival: Arrival, policy: Policy) -> None:
        """Hands a request to the policy, and again later while it has no answer."""
        if arrival.answered or arrival.tries < 1:
            return
        arrival.tries -= 1
        if arrival.tries:
            self.at(self.now_s + RETRY_AFTER_S, lambda: self._try(arrival, policy))
        policy.submit(arrival)

    def send(self, index: int, arrival: Arrival, done: Callable[[], None]) -> None:
        """Sends a request to an endpoint; `done` is called when it was answered."""
        endpoint = self.endpoints[index]

        def finish() -> None:
            endpoint.running -= 1
            if endpoint.queue:
                work_s, following = endpoint.queue.popleft()
                endpoint.running += 1
                self.at(self.now_s + work_s, following)
            self._record(arrival)
            done()

        work_s = arrival.work_s * endpoint.slow
        if endpoint.running < endpoint.slots:
            endpoint.running += 1
            self.at(self.now_s + work_s, finish)
        else:
            endpoint.queue.append((work_s, finish))
        in_flight = sum(e.in_flight for e in self.endpoints)
        self.outcome.peak_in_flight = max(self.outcome.peak_in_flight, in_flight)

    def _record(self, arrival: Arrival) -> None:
        """Records an answer; a second one to the same request counts for nothing."""
        if arrival.answered:
            return
        arrival.answered = True
        latency_s = self.now_s - arrival.time_s
        self.outcome.latencies_s.setdefault(arrival.work.name, []).append(latency_s)
        if latency_s * 1000 <= arrival.work.answer_target_ms:
            self.outcome.in_target[arrival.work.name] += 1
            self.outcome.fleet_in_target[arrival.fleet] += 1

    def refuse(self, arrival: Arrival) -> None:
        """Records a refusal."""
        self.outcome.refused[arrival.work.name] += 1

    def reports(self) -> tuple[int, ...]:
        """Returns requests in flight by endpoint as reported, some time ago or never since."""
        current = tuple(endpoint.in_flight for endpoint in self.endpoints)
        if not self._reports or (
            not self._frozen and self.now_s - self._reports[-1][0] >= REPORT_LAG_S
        ):
            self._reports.append((self.now_s, current))
            if len(self._reports) > 2:
                self._reports.popleft()
        return self._reports[0][1]


class Policy(Protocol):
    """What decides about requests."""

    def submit(self, arrival: Arrival) -> None:
        """Sends or refuses a request, now or later."""


class RoundRobin:
    """Each endpoint in turn."""

    def __init__(self, bench: Bench, seed: int) -> None:
        self._bench = bench
        self._next = 0

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the next endpoint."""
        self._next += 1
        self._bench.send(self._next % len(self._bench.endpoints), arrival, lambda: None)


class LeastInFlight:
    """The endpoint with the fewest requests in flight from this daemon."""

    def __init__(self, bench: Bench, seed: int) -> None:
        self._bench = bench
        self._own = [0] * len(bench.endpoints)

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the least used endpoint."""
        index = min(range(len(self._own)), key=lambda i: self._own[i])
        self._own[index] += 1

        def done() -> None:
            self._own[index] -= 1

        self._bench.send(index, arrival, done)


class TwoChoices:
    """The better of two random endpoints by their reports."""

    def __init__(self, bench: Bench, seed: int) -> None:
        self._bench = bench
        self._random = random.Random(seed)

    def submit(self, arrival: Arrival) -> None:
        """Sends a request to the better of two."""
        reports = self._bench.reports()
        pair = self._random.sample(range(len(reports)), 2)
        self._bench.send(min(pair, key=lambda i: reports[i]), arrival, lambda: None)


class LycheepinPolicy:
    """The product's admission and endpoint choice, spread over its holders as in the product."""

    def __init__(self, bench: Bench, seed: int, headroom_percent: int = 20) -> None:
        self._bench = bench
        self._random = random.Random(seed)
        self._arrivals: dict[int, Arrival] = {}
        self._index = {Resource(e.name): i for i, e in enumerate(bench.endpoints)}
        tokens = [e.slots * (100 - headroom_percent) // 100 for e in bench.endpoints]
        holders = max(1, sum(tokens) // HOLDER_TOKENS)
        self._holders = [self._make(Incarnation(h + 1), tokens, h, holders) for h in range(holders)]

        self._weights = [admission.granted(DESK) for admission in self._holders]

    def _make(self, name: Incarnation, tokens: list[int], offset: int, holders: int) -> Admission:
        """Returns the admission of one holder with its part of the endpoints."""
        mine = [
            (Resource(e.name), tokens[i])
            for i, e in enumerate(self._bench.endpoints)
            if i % holders == offset
        ]
        ledger = Ledger(name)
        grants = {resource: Grant(count, count) for resource, count in mine}
        ledger.apply_plan(Plan(Revision(1), {name: grants}))
        pool = EndpointSelector()
        pool.update((resource for resource, _ in mine), 0.0)
        admission = Admission(ledger, pool)
        admission.set_endpoints({DESK: tuple(resource for resource, _ in mine)})
        return admission

    def submit(self, arrival: Arrival) -> None:
        """Submits a request to one of the holders, as a look-up would."""
        admission = self._random.choices(self._holders, self._weights)[0]
        deadline_s = arrival.time_s + arrival.work.deadline_ms / 1000
        ticket = Ticket(FleetName(arrival.fleet), DESK, arrival.work, deadline_s)
        self._arrivals[id(ticket)] = arrival
        decision = admission.submit(ticket, self._bench.now_s)
        if isinstance(decision, Start | Refuse):
            self._act(admission, decision)
        else:
            self._bench.at(deadline_s, lambda: self._poll(admission))

    def _poll(self, admission: Admission) -> None:
        """Acts on the decisions that are due."""
        for decision in admission.poll(self._bench.now_s):
            self._act(admission, decision)

    def _act(self, admission: Admission, decision: Start | Refuse) -> None:
        """Sends or refuses a request."""
        arrival = self._arrivals.pop(id(decision.ticket))
        if isinstance(decision, Refuse):
            self._bench.refuse(arrival)
            return
        began_s = self._bench.now_s

        def done() -> None:
            elapsed_s = self._bench.now_s - began_s
            admission.finish(decision, ExchangeResult.ANSWERED, elapsed_s, self._bench.now_s)
            self._poll(admission)

        self._bench.send(self._index[decision.endpoint], arrival, done)


POLICIES: dict[str, Callable[[Bench, int], Policy]] = {
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "two choices on reports": TwoChoices,
    "lycheepin": LycheepinPolicy,
}
