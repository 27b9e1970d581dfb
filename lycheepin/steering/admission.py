"""Admission of requests at one daemon: start, wait, shift to another region, or refuse.

A request starts only when it holds a token of an endpoint, so that requests don't queue at
endpoints and caps are not exceeded. A request that can't meet its deadline is refused at once.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from lycheepin.errors import ErrorKind, Fault
from lycheepin.generated.settings import WorkClass
from lycheepin.names import FleetName, RegionName, Resource, ServiceName
from lycheepin.steering.capacity import link_resource, shift_resource
from lycheepin.steering.endpoints import EndpointSelector, ExchangeResult
from lycheepin.steering.fairness import FairQueue
from lycheepin.steering.ledger import Ledger

__all__ = [
    "Admission",
    "Decision",
    "AdmissionRefusal",
    "RetryTokenBucket",
    "Shift",
    "Start",
    "Ticket",
    "Wait",
]

# Time in seconds for which a shifted request uses a shift token: caps on shifts are per second.
SHIFT_PERIOD_S = 1.0
# Limit on the waiting requests of a fleet: QUEUE_PER_SLOT for each slot, and QUEUE_BASE.
QUEUE_PER_SLOT = 4
QUEUE_BASE = 8
MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


@dataclass(frozen=True, eq=False)
class Ticket:
    """One request for admission; compared by identity.

    `deadline_s` is a monotonic time in seconds. `origin` is the caller's region if it differs from
    this one. `body_bytes` is 0 when unknown. `may_shift` is true while the request may be sent to
    another region.
    """

    fleet: FleetName
    service: ServiceName
    work_class: WorkClass
    deadline_s: float
    origin: RegionName | None = None
    body_bytes: int = 0
    may_shift: bool = False

    @property
    def work_class_key(self) -> str:
        """Service and work class as one key for statistics."""
        return f"{self.service}/{self.work_class.name}"


@dataclass(frozen=True)
class Start:
    """Run the request at this endpoint now, with `link_mbit` Mbit/s of the link reserved for it."""

    ticket: Ticket
    endpoint: Resource
    link_mbit: int = 0


@dataclass(frozen=True)
class Wait:
    """The request waits; `poll` returns a later decision with its ticket."""

    ticket: Ticket


@dataclass(frozen=True)
class Shift:
    """Try another region first; if that fails, submit the request again without `may_shift`."""

    ticket: Ticket


@dataclass(frozen=True)
class AdmissionRefusal:
    """Answer the request with a fault; it did not run."""

    ticket: Ticket
    fault: Fault


Decision = Start | Wait | Shift | AdmissionRefusal


@dataclass
class RetryTokenBucket:
    """Token bucket that limits retries to a fraction of requests."""

    ratio: float = 0.1
    limit: float = 20.0
    balance: float = field(default=5.0)

    def record_request(self) -> None:
        """Counts one request, which adds `ratio` to the balance up to `limit`."""
        self.balance = min(self.limit, self.balance + self.ratio)

    def try_spend(self) -> bool:
        """Counts one retry if the balance covers it; returns whether it does."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


class Admission:
    """Waiting requests and slots of all services at one daemon."""

    def __init__(self, ledger: Ledger, selector: EndpointSelector) -> None:
        self._ledger = ledger
        self._selector = selector
        self._queues: defaultdict[ServiceName, FairQueue[Ticket]] = defaultdict(FairQueue)
        self._endpoints: dict[ServiceName, tuple[Resource, ...]] = {}
        self._capped_resources: frozenset[Resource] = frozenset()

    def set_endpoints(self, endpoints: dict[ServiceName, tuple[Resource, ...]]) -> None:
        """Replaces the endpoints that may get new requests, by service."""
        self._endpoints = endpoints

    def granted(self, service: ServiceName) -> int:
        """Returns the tokens of a service that may be in use here."""
        return sum(max(0, self._ledger.allowance(r)) for r in self._endpoints.get(service, ()))

    def in_use(self, service: ServiceName) -> int:
        """Returns the tokens of a service in use here."""
        return sum(self._ledger.in_use(r) for r in self._endpoints.get(service, ()))

    def waiting(self, service: ServiceName) -> int:
        """Returns the number of waiting requests of a service."""
        return len(self._queues[service]) if service in self._queues else 0

    def free(self, service: ServiceName) -> int:
        """Returns the tokens of a service that can be acquired now."""
        return sum(self._ledger.available(r) for r in self._endpoints.get(service, ()))

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Returns the decision on a new request."""
        queue = self._queues[ticket.service]
        if not queue:
            decision = self._try_start(ticket, now_s)
            if decision is not None:
                return decision
        if ticket.origin is not None:
            return self._refuse(ticket, ErrorKind.NO_CAPACITY)
        granted = self.granted(ticket.service)
        if granted == 0:
            return (
                Shift(ticket) if ticket.may_shift else self._refuse(ticket, ErrorKind.NO_CAPACITY)
            )
        wait_s = self._expected_wait_s(ticket, granted)
        run_s = self._selector.mean_answer_s(ticket.work_class_key)
        if ticket.may_shift and wait_s + run_s > ticket.work_class.answer_target_ms / MS_PER_S:
            return Shift(ticket)
        if now_s + wait_s + run_s > ticket.deadline_s:
            return self._refuse(ticket, ErrorKind.DEADLINE)
        if queue.waiting(ticket.fleet) >= QUEUE_PER_SLOT * granted + QUEUE_BASE:
            return self._refuse(ticket, ErrorKind.QUEUE_FULL)
        due_s = (
            now_s
            + ticket.work_class.answer_target_ms / MS_PER_S
            - self._best_answer_s(ticket, now_s)
        )
        queue.push(ticket.fleet, ticket, ticket.work_class.protected, due_s)
        return Wait(ticket)

    def _best_answer_s(self, ticket: Ticket, now_s: float) -> float:
        """Returns the shortest expected answer time of a ticket at any endpoint, in seconds."""
        endpoints = self._endpoints.get(ticket.service, ())
        times_s = (
            self._selector.expected_answer_s(e, ticket.work_class_key, now_s) for e in endpoints
        )
        return min(times_s, default=0.0)

    def _expected_wait_s(self, ticket: Ticket, granted: int) -> float:
        """Returns the expected wait of one more request of a ticket's fleet, in seconds."""
        queue = self._queues[ticket.service]
        fleet_count = max(1, queue.active_fleets())
        queue_position = min(len(queue), queue.waiting(ticket.fleet) * fleet_count) + 1
        return queue_position * self._selector.mean_answer_s(ticket.work_class_key) / granted

    def _try_start(
        self, ticket: Ticket, now_s: float, may_wait: bool = True
    ) -> Start | AdmissionRefusal | None:
        """Returns a start with all tokens acquired, a refusal due to a cap, or None to wait.

        With `may_wait`, a slow endpoint is left free if waiting for a faster one is better.
        """
        self._ledger.expire(now_s)
        endpoint = self._choose_endpoint(ticket.service, now_s)
        if endpoint is None:
            return None
        if may_wait and self._should_wait(ticket, endpoint, now_s):
            return None
        link_mbit = 0
        if ticket.origin is not None:
            shift = shift_resource(ticket.service, ticket.origin)
            link_mbit = self._required_link_mbit(ticket)
            if not self._is_shift_allowed(shift):
                return self._refuse(ticket, ErrorKind.SHIFT_CAP)
            if link_mbit and not self._ledger.acquire(link_resource(ticket.origin), link_mbit):
                return self._refuse(ticket, ErrorKind.LINK_FULL)
            self._ledger.acquire_until(shift, now_s + SHIFT_PERIOD_S)
        self._ledger.acquire(endpoint)
        self._queues[ticket.service].record_start(ticket.fleet)
        return Start(ticket, endpoint, link_mbit)

    def _should_wait(self, ticket: Ticket, endpoint: Resource, now_s: float) -> bool:
        """Returns whether a ticket should wait for a faster endpoint than a free one.

        It should when the free one would miss the answer target, and a slot of an endpoint that
        would meet it is expected to give the earlier answer, within the deadline.
        """
        target_s = ticket.work_class.answer_target_ms / MS_PER_S
        slow_s = self._selector.expected_answer_s(endpoint, ticket.work_class_key, now_s)
        if ticket.origin is not None or slow_s <= target_s:
            return False
        times_s = {
            resource: self._selector.expected_answer_s(resource, ticket.work_class_key, now_s)
            for resource in self._endpoints.get(ticket.service, ())
        }
        fast_endpoints = [resource for resource, time_s in times_s.items() if time_s <= target_s]
        tokens = sum(max(0, self._ledger.allowance(resource)) for resource in fast_endpoints)
        if not tokens:
            return False
        fast_s = sum(times_s[resource] for resource in fast_endpoints) / len(fast_endpoints)
        queue_position = len(self._queues[ticket.service]) + 1
        wait_s = queue_position * fast_s / tokens
        return now_s + wait_s + fast_s <= ticket.deadline_s and wait_s + fast_s < slow_s

    def set_capped_shifts(self, resources: frozenset[Resource]) -> None:
        """Replaces the shift and link resources that have a cap."""
        self._capped_resources = resources

    def _is_shift_allowed(self, shift: Resource) -> bool:
        """Returns whether a shift resource has no cap or a free token."""
        return shift not in self._capped_resources or self._ledger.available(shift) > 0

    def _required_link_mbit(self, ticket: Ticket) -> int:
        """Returns the Mbit/s to reserve on the link for a shifted request.

        Returns 0 when the request is no upload or the link has no cap.
        """
        assert ticket.origin is not None
        if (
            not ticket.work_class.upload
            or link_resource(ticket.origin) not in self._capped_resources
        ):
            return 0
        bits = max(1, ticket.body_bytes) * BITS_PER_BYTE
        seconds = ticket.work_class.answer_target_ms / MS_PER_S
        return max(1, -(-bits // int(BITS_PER_MBIT * seconds)))

    def _choose_endpoint(self, service: ServiceName, now_s: float) -> Resource | None:
        """Returns the endpoint for the next request of a service, or None if none can take it."""
        endpoints = self._endpoints.get(service, ())
        free = {resource: self._ledger.available(resource) for resource in endpoints}
        used = {resource: self._ledger.in_use(resource) for resource in endpoints}
        return self._selector.choose_endpoint(free, used, now_s)

    def finish(self, start: Start, result: ExchangeResult, elapsed_s: float, now_s: float) -> None:
        """Releases the tokens of an ended attempt and records its result."""
        ticket = start.ticket
        self._ledger.release(start.endpoint)
        if start.link_mbit and ticket.origin is not None:
            self._ledger.release(link_resource(ticket.origin), start.link_mbit)
        self._queues[ticket.service].record_finish(ticket.fleet)
        self._selector.record_result(
            start.endpoint, ticket.work_class_key, result, elapsed_s, now_s
        )

    def cancel_waiting(self, ticket: Ticket) -> bool:
        """Removes the waiting request of a caller that disconnected; returns whether it waited."""
        return self._queues[ticket.service].remove(ticket.fleet, ticket)

    def poll(self, now_s: float) -> list[Start | AdmissionRefusal]:
        """Returns the decisions on waiting requests that can start or must be refused now."""
        decisions: list[Start | AdmissionRefusal] = []
        for service in list(self._queues):
            decisions += self._refuse_expired(service, now_s)
            decisions += self._start_waiting(service, now_s)
        return decisions

    def _refuse_expired(self, service: ServiceName, now_s: float) -> list[Start | AdmissionRefusal]:
        """Removes and refuses the waiting requests that can no longer meet their deadline."""
        queue = self._queues[service]
        expired = [
            (fleet, ticket)
            for fleet, ticket in queue.items()
            if now_s + self._selector.mean_answer_s(ticket.work_class_key) > ticket.deadline_s
        ]
        for fleet, ticket in expired:
            queue.remove(fleet, ticket)
        return [self._refuse(ticket, ErrorKind.DEADLINE) for _, ticket in expired]

    def _start_waiting(self, service: ServiceName, now_s: float) -> list[Start | AdmissionRefusal]:
        """Starts waiting requests while endpoints have free tokens."""
        started: list[Start | AdmissionRefusal] = []
        queue = self._queues[service]
        while (ticket := queue.first(now_s)) is not None:
            decision = self._try_start(ticket, now_s)
            if decision is None:
                break
            queue.pop(ticket.fleet)
            started.append(decision)
        # Late requests also start at slow endpoints, which other requests leave free.
        while self._choose_endpoint(service, now_s) is not None:
            late = queue.pop_late()
            if late is None:
                break
            decision = self._try_start(late, now_s, may_wait=False)
            assert decision is not None
            started.append(decision)
        return started

    def _refuse(self, ticket: Ticket, kind: ErrorKind) -> AdmissionRefusal:
        """Returns a refusal of a ticket with a fault of this kind."""
        return AdmissionRefusal(ticket, Fault(kind))
