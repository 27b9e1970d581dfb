"""Chooses the endpoint of one attempt, or refuses it with the time at which to come back.

Answers overload: work goes only to the places where its object is known, as long as they can
answer in time, and is refused at once beyond that, less urgent work first. Spilling to an endpoint
that doesn't know the object would cost two others their room.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lycheepin.errors import ErrorKind
from lycheepin.names import DaemonName, EndpointId, RegionName, ServiceName
from lycheepin.steering.budgets import BudgetLimits, ColdGate
from lycheepin.steering.fleet import Endpoint, EndpointRegistry
from lycheepin.steering.placement import Placement
from lycheepin.steering.routes import ServiceSpec

__all__ = [
    "MIN_RETRY_AFTER_S",
    "Choice",
    "AttemptRequirements",
    "Dispatcher",
    "Refusal",
    "SelectedEndpoint",
]

# Endpoints at which one object is kept known. One alone fails with its endpoint; a third halves
# how often each of them sees the object.
HOMES_PER_OBJECT = 2
# Part of a service's endpoints that have to be listed for those that are not to be passed over:
# after an outage in which many entries lapsed, the ones that are back could not carry the load.
LISTED_PART = 0.75
# Requests that may wait at an endpoint for each of its slots, by priority; less urgent work
# stops earlier so that more urgent work still finds room.
WAITING_PER_SLOT = (0.5, 0.4, 0.2)
# Part of an endpoint's slots that is kept free of returned work whose target has passed already:
# it would make others late as well.
LATE_RESERVE = 0.5
# How much sooner, as a part, the second home has to be expected to answer to be preferred.
RANK_BIAS = 0.5
# Shortest and longest time in seconds after which a refused caller is asked to come back.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 1.3
# Part of the time to come back over which the returns of callers are spread, either way.
RETURN_SPREAD = 0.3


@dataclass(frozen=True)
class AttemptRequirements:
    """One attempt that needs an endpoint; times are monotonic seconds.

    `draw` is a number from 0 to 1 of this request's own, by which callers' returns are spread;
    `returned` tells that the caller was refused or failed before.
    """

    service: ServiceName
    object_key: str
    priority: int
    homes: frozenset[RegionName]
    target_s: float
    deadline_s: float
    tried: frozenset[EndpointId] = frozenset()
    draw: float = 0.5
    returned: bool = False


@dataclass(frozen=True)
class SelectedEndpoint:
    """The attempt goes to an endpoint; `rank` is its place in the object's order."""

    endpoint: Endpoint
    rank: int


@dataclass(frozen=True)
class Refusal:
    """The attempt goes nowhere now; `retry_after_s` is when room is expected."""

    kind: ErrorKind
    retry_after_s: float


Choice = SelectedEndpoint | Refusal


class Dispatcher:
    """Chooses endpoints for this daemon's attempts."""

    def __init__(
        self, fleet: EndpointRegistry, placement: Placement, terms: BudgetLimits, own: DaemonName
    ) -> None:
        self._fleet = fleet
        self._placement = placement
        self._cold = ColdGate(terms)
        self._own = own
        self.daemons: Sequence[DaemonName] = ()

    def apply_budget_limits(self, terms: BudgetLimits) -> None:
        """Takes over other bounds of the deployment."""
        self._cold.limits = terms

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Drops what was counted for an endpoint that is gone."""
        self._cold.forget_endpoint(endpoint_id)

    def choose_endpoint(
        self, demand: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        """Returns where an attempt goes now."""
        usable = self._usable(demand)
        if not usable:
            return Refusal(ErrorKind.NO_CAPACITY, MAX_RETRY_AFTER_S)
        sound = self._sound(usable, now_s)
        warm = [endpoint for endpoint in sound if not endpoint.is_cold(now_s)]
        if warm:
            return self._choose_warm(warm, demand, now_s)
        cold = [endpoint for endpoint in sound or usable if endpoint.is_cold(now_s)]
        for rank, endpoint in enumerate(cold):
            identifier = endpoint.record.id
            if endpoint.load(now_s) < endpoint.record.slots and self._cold.try_start(
                identifier, spec.cold_per_s, self._own, self.daemons, now_s
            ):
                return SelectedEndpoint(endpoint, rank)
        if not cold:
            return self._choose_warm(usable, demand, now_s)
        return Refusal(ErrorKind.NO_CAPACITY, MAX_RETRY_AFTER_S)

    def has_warm_capacity(self, demand: AttemptRequirements, now_s: float) -> bool:
        """Returns whether an attempt would be sent to a home that is not cold."""
        sound = self._sound(self._usable(demand), now_s)
        warm = [endpoint for endpoint in sound if not endpoint.is_cold(now_s)]
        return bool(warm) and isinstance(self._choose_warm(warm, demand, now_s), SelectedEndpoint)

    def _usable(self, demand: AttemptRequirements) -> list[Endpoint]:
        """Returns the endpoints to which an attempt may go at all, the first home first."""
        order = self._placement.order_endpoints(demand.service, demand.object_key)
        return [endpoint for endpoint in order if self._is_usable(endpoint, demand)]

    @staticmethod
    def _sound(usable: Sequence[Endpoint], now_s: float) -> list[Endpoint]:
        """Returns the endpoints that are neither suspected nor missing from the store."""
        sound = [endpoint for endpoint in usable if now_s >= endpoint.excluded_until_s]
        listed = [endpoint for endpoint in sound if endpoint.missing_since_s is None]
        return listed if len(listed) >= LISTED_PART * len(sound) else sound

    def _is_usable(self, endpoint: Endpoint, demand: AttemptRequirements) -> bool:
        """Returns whether an attempt may go to an endpoint at all."""
        record = endpoint.record
        return (
            not record.draining
            and not endpoint.gone
            and record.zone not in self._fleet.evacuated_zones
            and record.id not in demand.tried
            and (not demand.homes or record.region in demand.homes)
        )

    def _choose_warm(
        self, order: Sequence[Endpoint], demand: AttemptRequirements, now_s: float
    ) -> Choice:
        """Returns a home of the object that can answer in time, or a refusal."""
        homes = order[:HOMES_PER_OBJECT]
        answer_s, rank = self._soonest(homes, now_s)
        endpoint = homes[rank]
        slots = endpoint.record.slots
        work_s = self._fleet.work_s(demand.service)
        late = demand.returned and now_s + work_s > demand.target_s
        if endpoint.load(now_s) + 1 <= slots * (1 - LATE_RESERVE if late else 1):
            return SelectedEndpoint(endpoint, rank)
        urgency = min(demand.priority, len(WAITING_PER_SLOT) - 1)
        limit = slots * (1 + WAITING_PER_SLOT[urgency])
        if endpoint.load(now_s) + 1 <= limit and now_s + answer_s <= demand.target_s:
            return SelectedEndpoint(endpoint, rank)
        late = now_s + answer_s > demand.deadline_s
        kind = ErrorKind.DEADLINE if late else ErrorKind.NO_CAPACITY
        return self._refuse(endpoint, kind, demand.draw, now_s)

    def _soonest(self, homes: Sequence[Endpoint], now_s: float) -> tuple[float, int]:
        """Returns expected answer time and rank of the home to use; the first if about equal."""
        predicted = [
            (self._fleet.predict_s(endpoint, now_s) * (1 + RANK_BIAS * rank), rank)
            for rank, endpoint in enumerate(homes)
        ]
        return min(predicted)

    def _refuse(self, endpoint: Endpoint, kind: ErrorKind, draw: float, now_s: float) -> Refusal:
        """Returns a refusal until what waits at the endpoint is expected to be done."""
        slots = endpoint.record.slots
        excess = max(0.0, endpoint.load(now_s) + 1 - slots)
        wait_s = self._fleet.work_s(endpoint.record.service) * (1 + excess / slots)
        wait_s *= 1 + RETURN_SPREAD * (2 * draw - 1)
        return Refusal(kind, min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
