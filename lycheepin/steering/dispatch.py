"""Selection of an endpoint for one attempt of a request.

Each object has a few preferred endpoints, which keep its data in their caches. Under overload,
attempts are sent only there, and only while an answer is expected in time. Other attempts are
refused at once with a time after which to retry; lower priorities are refused at a lower load.
Sending an overflow to further endpoints would evict other objects from their caches and lower the
capacity of the service as a whole.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from copy import deepcopy
from dataclasses import dataclass, field, replace
from itertools import islice
from types import MappingProxyType
from typing import NamedTuple

from lycheepin.errors import ErrorKind
from lycheepin.names import DaemonName, EndpointId, RegionName, ServiceName
from lycheepin.steering.budgets import BudgetLimits, Carriers, ColdStartLimiter
from lycheepin.steering.choices import (
    AttemptRequirements,
    Candidate,
    Choice,
    Claim,
    Refusal,
    RefusalRule,
    SelectedEndpoint,
    WeighedEndpoint,
)
from lycheepin.steering.contention import Contention, ContentionRecord
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.overflow import Overflow, find_queue, find_spare
from lycheepin.steering.pace import Pace, Paces
from lycheepin.steering.placement import Placement
from lycheepin.steering.rate_limits import LimitRecord, RateLimits
from lycheepin.steering.region_shares import RegionShares, SharesRecord
from lycheepin.steering.return_times import MAX_RETRY_AFTER_S, ReturnTimes, spread_retry
from lycheepin.steering.routes import ServiceSpec

__all__ = ["NO_REGION_RETRY_AFTER_S", "Dispatcher", "DispatcherCounts"]

# Number of preferred endpoints of an object. With one, an object depends on a single endpoint; with
# three, each of them would see the object half as often and lose it from its cache sooner.
PREFERRED_ENDPOINTS = 2
# Smallest fraction of a service's endpoints that must be listed in the store for the unlisted ones
# to be skipped. After an outage in which many entries expired, the listed ones alone could not
# carry the load.
MIN_LISTED_FRACTION = 0.75
# Requests that may wait at an endpoint, per slot, by priority. Lower priorities have smaller
# limits, so that queue capacity is left for higher ones.
WAITING_PER_SLOT = (0.5, 0.4, 0.2)
# Largest fraction of an endpoint's slots that is kept free of requests with a lesser claim.
KEPT_SLOTS = 0.15
# Fraction of an endpoint's slots that caller retries may not use when they would miss their answer
# target anyway: they would make other requests late as well.
LATE_RETRY_RESERVE = 0.5
# Relative penalty on the expected answer time of the second preferred endpoint.
RANK_PENALTY = 0.5
# Retry-After, in seconds, of requests that no region may serve until the configuration changes.
NO_REGION_RETRY_AFTER_S = 5.0
# Reasons for which an attempt may overflow.
OVERFLOW_RULES = (RefusalRule.FULL, RefusalRule.LATE, RefusalRule.LATE_RETRY)
# Number of an object's endpoints among which an overflow finds one with many free slots.
MAX_OVERFLOW_RANK = 16
# Part of the expected time to an answer that has to be left to a request's deadline: some answers
# come earlier than expected.
HOPELESS_FRACTION = 0.5
# Number of an object's endpoints that may be passed over because they take no more requests a
# second, before the attempt is refused.
MAX_LIMITED = 16


@dataclass(frozen=True)
class DispatcherCounts:
    """What a dispatcher has counted; times are monotonic seconds, carriers have their regions."""

    limits: BudgetLimits
    carriers: dict[DaemonName, RegionName | None]
    cold_starts_s: dict[EndpointId, tuple[float, ...]]
    rate_limits: dict[EndpointId, LimitRecord]
    max_shift: float | None
    region_shares: dict[ServiceName, SharesRecord]
    contention: tuple[ContentionRecord, ...]
    return_times_s: dict[EndpointId, dict[int, float]]
    paces: dict[EndpointId, Pace] = field(default_factory=dict)


class _Weighed(NamedTuple):
    """The fastest preferred endpoint: its rank, when it would answer, and why it can't take."""

    rank: int
    answer_s: float
    claim: Claim
    rule: RefusalRule | None


class Dispatcher:
    """Selects endpoints for the attempts of this daemon.

    `paces` gets the results of attempts at endpoints to which requests return by and by.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        placement: Placement,
        limits: BudgetLimits,
        carriers: Carriers,
        rate_limits: RateLimits,
        region_shares: RegionShares | None = None,
        cold_starts_s: Mapping[EndpointId, Iterable[float]] = MappingProxyType({}),
        contention: Contention | None = None,
        return_times: ReturnTimes | None = None,
        paces: Mapping[EndpointId, Pace] = MappingProxyType({}),
    ) -> None:
        self._registry = registry
        self._carriers = carriers
        self._region_shares = region_shares or RegionShares(placement.own_region, None)
        self._placement = placement
        self._rate_limits = rate_limits
        self._cold_starts = ColdStartLimiter(limits, carriers, cold_starts_s)
        self._contention = contention or Contention()
        self._return_times = return_times or ReturnTimes()
        self._overflow = Overflow()
        self.paces = Paces(registry, carriers, paces)

    @classmethod
    def from_counts(
        cls,
        own: DaemonName,
        registry: EndpointRegistry,
        region: RegionName,
        counts: DispatcherCounts,
    ) -> Dispatcher:
        """Returns a dispatcher that decides as the one that has counted, and counts for itself."""
        carriers = Carriers.from_regions(own, counts.carriers)
        return cls(
            registry,
            Placement(registry, region),
            counts.limits,
            carriers,
            RateLimits(own, carriers, counts.rate_limits),
            RegionShares(region, counts.max_shift, counts.region_shares),
            counts.cold_starts_s,
            Contention(counts.contention),
            ReturnTimes(counts.return_times_s),
            counts.paces,
        )

    @property
    def own_region(self) -> RegionName:
        """The region of this daemon."""
        return self._placement.own_region

    def copy_counts(self, now_s: float) -> DispatcherCounts:
        """Returns what is counted, as values of their own."""
        return DispatcherCounts(
            self._cold_starts.limits,
            self._carriers.find_regions(now_s),
            self._cold_starts.starts_s,
            self._rate_limits.records,
            self._region_shares.max_shift,
            self._region_shares.records,
            self._contention.records,
            self._return_times.places_s,
            self.paces.records,
        )

    def explain(
        self, requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> tuple[Choice, tuple[Candidate, ...]]:
        """Returns what `choose_endpoint` would return now, and all endpoints of the service.

        They are in the object's order of preference. Nothing is counted.
        """
        counts = self.copy_counts(now_s)
        copy = self.from_counts(self._carriers.own, self._registry, self.own_region, counts)
        copy._overflow = deepcopy(self._overflow)
        copy.paces.is_enabled = self.paces.is_enabled
        ordered = copy._placement.order_endpoints(requirements.service, requirements.object_key)
        candidates = tuple(copy._describe(each, requirements, now_s) for each in ordered)
        return copy.choose_endpoint(requirements, spec, now_s), candidates

    def _describe(
        self, endpoint: Endpoint, requirements: AttemptRequirements, now_s: float
    ) -> Candidate:
        """Returns an endpoint with the reasons for which it is passed over."""
        record = endpoint.record
        allowed = requirements.allowed_regions
        obstacles = {
            "draining": record.draining,
            "removed": endpoint.removed,
            "zone evacuated": record.zone in self._registry.evacuated_zones,
            "region not allowed": bool(allowed) and record.region not in allowed,
            "tried": record.id in requirements.tried,
            "excluded": now_s < endpoint.excluded_until_s,
            "cold": endpoint.is_cold(now_s),
            "missing from the store": endpoint.missing_since_s is not None,
            "limit reached": self._rate_limits.wait_s(record, now_s) > 0,
            "returns by and by": not self.paces.may_start(endpoint, now_s),
        }
        return Candidate(
            self._weigh(endpoint, now_s),
            record.zone,
            record.region,
            self._placement.find_weight(record.slots, record.region),
            endpoint.slowness(now_s),
            tuple(name for name, applies in obstacles.items() if applies),
            self._rate_limits.find_limit(record.id),
        )

    def apply_budget_limits(self, limits: BudgetLimits) -> None:
        """Replaces the budget limits of the deployment."""
        self._cold_starts.limits = limits

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the counters of an endpoint that no longer exists."""
        self._cold_starts.forget_endpoint(endpoint_id)
        self._rate_limits.forget_endpoint(endpoint_id)
        self._return_times.forget_endpoint(endpoint_id)
        self.paces.forget_endpoint(endpoint_id)

    def choose_endpoint(
        self, requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        """Returns the endpoint for an attempt, or a refusal.

        Cold endpoints are used only when no healthy one is warm, and at a limited rate. Excluded
        endpoints are used only when all are excluded. Endpoints with a limit are used within this
        daemon's share of it, and those of other regions within the shares that these may have.
        """
        choice = self._choose(requirements, spec, now_s)
        self._count_contention(requirements, choice, now_s)
        self._overflow.count_attempt(
            requirements.service,
            isinstance(choice, SelectedEndpoint) and choice.rank >= PREFERRED_ENDPOINTS,
            isinstance(choice, Refusal),
            now_s,
        )
        shares, service = self._region_shares, requirements.service
        if shares.needs_capacity(service, now_s):
            shares.observe_capacity(service, self._count_own_slots(service, now_s), now_s)
        if isinstance(choice, Refusal):
            by_own = any(weighed.is_own_region for weighed in choice.weighed)
            shares.count_refused(service, by_own, now_s)
            return choice
        region = choice.endpoint.record.region
        if not self._must_move(requirements) and not shares.may_send(service, region, now_s):
            shares.count_refused(service, False, now_s)
            weighed = (self._weigh(choice.endpoint, now_s),)
            return self._refuse(choice.endpoint, ErrorKind.SHIFT_CAP, requirements, weighed, now_s)
        shares.count_sent(service, region, now_s)
        self.paces.count_start(choice.endpoint, now_s)
        self._rate_limits.count_request(choice.endpoint.record.id, now_s)
        return choice

    def _count_contention(
        self, requirements: AttemptRequirements, choice: Choice, now_s: float
    ) -> None:
        """Counts the first attempt of a request where it competes for room."""
        if requirements.tried:
            return
        match choice:
            case SelectedEndpoint(endpoint=endpoint):
                region, is_unplaced = endpoint.record.region, False
            case Refusal(claim=Claim() as claim, rule=rule):
                region = claim.region
                is_unplaced = claim.rule is None and rule in (RefusalRule.FULL, RefusalRule.LATE)
            case _:
                return
        is_sent = isinstance(choice, SelectedEndpoint)
        self._contention.count_request(requirements, region, is_sent, is_unplaced, now_s)

    def _must_move(self, requirements: AttemptRequirements) -> bool:
        """Returns whether an attempt may not or could not be made in the own region."""
        allowed = requirements.allowed_regions
        return bool(requirements.tried) or (
            bool(allowed) and self._placement.own_region not in allowed
        )

    def _count_own_slots(self, service: ServiceName, now_s: float) -> int:
        """Returns the slots of the own region's endpoints that take requests without a limit."""
        return sum(
            slots
            for (slots, region), endpoints in self._registry.groups(service)
            if region == self._placement.own_region
            for endpoint in endpoints
            if not endpoint.is_leaving
            and endpoint.record.zone not in self._registry.evacuated_zones
            and endpoint.missing_since_s is None
            and now_s >= endpoint.excluded_until_s
            and not endpoint.is_cold(now_s)
            and self._rate_limits.find_limit(endpoint.record.id) is None
        )

    def _choose(self, requirements: AttemptRequirements, spec: ServiceSpec, now_s: float) -> Choice:
        """Returns the endpoint for an attempt, which isn't counted yet, or a refusal."""
        preferred, limited_s = self._find_preferred(requirements, now_s)
        if preferred:
            choice = self._choose_warm(preferred, requirements, now_s)
            return self._find_overflow(choice, preferred, requirements, now_s) or choice
        if limited_s is not None:
            return self._refuse_limited(limited_s, requirements.jitter)
        usable = self._usable_endpoints(requirements)
        if not usable:
            return self._refuse_unusable(requirements)
        healthy = self._healthy_endpoints(usable, now_s)
        cold = [endpoint for endpoint in healthy or usable if endpoint.is_cold(now_s)]
        for rank, endpoint in enumerate(cold):
            if (
                endpoint.load(now_s) < endpoint.record.slots
                and not self._rate_limits.wait_s(endpoint.record, now_s)
                and self._cold_starts.try_start(endpoint.record.id, spec.cold_per_s, now_s)
            ):
                return SelectedEndpoint(endpoint, rank)
        if not cold:
            waits_s = [self._rate_limits.wait_s(endpoint.record, now_s) for endpoint in usable]
            free = [
                endpoint for endpoint, wait_s in zip(usable, waits_s, strict=True) if not wait_s
            ]
            if not free:
                return self._refuse_limited(min(waits_s), requirements.jitter)
            return self._choose_warm(free, requirements, now_s)
        return self._refuse_unusable(requirements)

    def _find_overflow(
        self,
        choice: Choice,
        preferred: Sequence[Endpoint],
        requirements: AttemptRequirements,
        now_s: float,
    ) -> SelectedEndpoint | None:
        """Returns an endpoint for an attempt that the preferred ones would refuse, or None."""
        service = requirements.service
        if (
            not isinstance(choice, Refusal)
            or choice.rule not in OVERFLOW_RULES
            or not self._overflow.allows(service, now_s)
        ):
            return None
        ordered = islice(
            self._placement.iterate_endpoints(
                service, requirements.object_key, requirements.allowed_regions
            ),
            MAX_OVERFLOW_RANK,
        )
        usable = (
            endpoint
            for endpoint in ordered
            if endpoint not in preferred
            and self._is_usable_warm(endpoint, requirements, now_s)
            and endpoint.missing_since_s is None
            and not self._rate_limits.wait_s(endpoint.record, now_s)
            and self.paces.may_start(endpoint, now_s)
        )
        spare = find_spare(usable, now_s)
        if spare is not None:
            endpoint, index = spare
            return SelectedEndpoint(endpoint, PREFERRED_ENDPOINTS + index)
        expected = [(each, self._registry.predict_answer_s(each, now_s)) for each in preferred]
        queue = find_queue(expected, requirements.deadline_s, now_s)
        return SelectedEndpoint(queue, PREFERRED_ENDPOINTS) if queue is not None else None

    def has_warm_capacity(self, requirements: AttemptRequirements, now_s: float) -> bool:
        """Returns whether an attempt would be sent to a warm endpoint now."""
        return self.find_warm(requirements, now_s) is not None

    def find_warm(self, requirements: AttemptRequirements, now_s: float) -> SelectedEndpoint | None:
        """Returns the warm endpoint that an attempt would be sent to now; None if there is none."""
        preferred, _ = self._find_preferred(requirements, now_s)
        if not preferred:
            return None
        found = self._weigh_preferred(preferred, requirements, now_s)
        return SelectedEndpoint(preferred[found.rank], found.rank) if found.rule is None else None

    def _find_preferred(
        self, requirements: AttemptRequirements, now_s: float
    ) -> tuple[list[Endpoint], float | None]:
        """Returns the preferred endpoints of an object: its first healthy warm ones.

        Those that take no request of this daemon now because of a limit are passed over; returns
        also the seconds until the first of them takes one, None if there are none. Those whose
        requests return by and by are passed over for others only.
        """
        use_missing = not self._registry.missing_count or not self._is_listed_enough(
            requirements, now_s
        )
        found: list[Endpoint] = []
        paced: list[Endpoint] = []
        waits_s: list[float] = []
        for endpoint in self._placement.iterate_endpoints(
            requirements.service, requirements.object_key, requirements.allowed_regions
        ):
            if (use_missing or endpoint.missing_since_s is None) and self._is_usable_warm(
                endpoint, requirements, now_s
            ):
                wait_s = self._rate_limits.wait_s(endpoint.record, now_s)
                if wait_s:
                    waits_s.append(wait_s)
                elif not self.paces.may_start(endpoint, now_s):
                    paced.append(endpoint)
                else:
                    found.append(endpoint)
                if len(found) == PREFERRED_ENDPOINTS or len(waits_s) == MAX_LIMITED:
                    break
        return found or paced, min(waits_s, default=None)

    def _is_listed_enough(self, requirements: AttemptRequirements, now_s: float) -> bool:
        """Returns whether the endpoints that are listed in the store can do without the others."""
        usable = [
            endpoint
            for endpoint in self._registry.endpoints(requirements.service)
            if self._is_usable(endpoint, requirements)
        ]
        healthy = self._healthy_endpoints(usable, now_s)
        return all(endpoint.missing_since_s is None for endpoint in healthy)

    def _usable_endpoints(self, requirements: AttemptRequirements) -> list[Endpoint]:
        """Returns the endpoints that may serve an attempt, in the object's order of preference."""
        ordered = self._placement.order_endpoints(
            requirements.service, requirements.object_key, requirements.allowed_regions
        )
        return [endpoint for endpoint in ordered if self._is_usable(endpoint, requirements)]

    @staticmethod
    def _healthy_endpoints(usable: Sequence[Endpoint], now_s: float) -> list[Endpoint]:
        """Returns the endpoints that are not excluded, without those missing from the store.

        Missing ones are kept when too few are listed.
        """
        healthy = [endpoint for endpoint in usable if now_s >= endpoint.excluded_until_s]
        listed = [endpoint for endpoint in healthy if endpoint.missing_since_s is None]
        return listed if len(listed) >= MIN_LISTED_FRACTION * len(healthy) else healthy

    def _is_usable(self, endpoint: Endpoint, requirements: AttemptRequirements) -> bool:
        """Returns whether an endpoint may serve an attempt, whatever its health and load."""
        record = endpoint.record
        return (
            not record.draining
            and not endpoint.removed
            and record.zone not in self._registry.evacuated_zones
            and record.id not in requirements.tried
            and (not requirements.allowed_regions or record.region in requirements.allowed_regions)
        )

    def _is_usable_warm(
        self, endpoint: Endpoint, requirements: AttemptRequirements, now_s: float
    ) -> bool:
        """Returns whether an endpoint may serve an attempt and is neither excluded nor cold."""
        return (
            now_s >= endpoint.excluded_until_s
            and not endpoint.is_cold(now_s)
            and self._is_usable(endpoint, requirements)
        )

    def _choose_warm(
        self, candidates: Sequence[Endpoint], requirements: AttemptRequirements, now_s: float
    ) -> Choice:
        """Returns one of the preferred endpoints that is expected to answer in time, or a refusal.

        Within its slots, an endpoint also takes attempts that will miss their answer target.
        """
        preferred = candidates[:PREFERRED_ENDPOINTS]
        found = self._weigh_preferred(preferred, requirements, now_s)
        endpoint = preferred[found.rank]
        if found.rule is None:
            return SelectedEndpoint(endpoint, found.rank)
        past_deadline = now_s + found.answer_s > requirements.deadline_s
        kind = ErrorKind.DEADLINE if past_deadline else ErrorKind.NO_CAPACITY
        weighed = tuple(self._weigh(candidate, now_s) for candidate in preferred)
        refusal = self._refuse(endpoint, kind, requirements, weighed, now_s)
        return replace(refusal, rule=found.rule, claim=found.claim)

    def _weigh_preferred(
        self, preferred: Sequence[Endpoint], requirements: AttemptRequirements, now_s: float
    ) -> _Weighed:
        """Returns the rank of the fastest of the first endpoints, and what keeps it from taking."""
        answer_s, rank = self._fastest(preferred[:PREFERRED_ENDPOINTS], now_s)
        endpoint = preferred[rank]
        claim = self._contention.find_claim(requirements, endpoint.record.region, now_s)
        rule = self._find_obstacle(endpoint, answer_s, claim, requirements, now_s)
        return _Weighed(rank, answer_s, claim, rule)

    def _find_obstacle(
        self,
        endpoint: Endpoint,
        answer_s: float,
        claim: Claim,
        requirements: AttemptRequirements,
        now_s: float,
    ) -> RefusalRule | None:
        """Returns what keeps an endpoint from taking an attempt, or None if it takes it."""
        slots = endpoint.record.slots
        load = endpoint.load(now_s) + 1
        processing_s = self._registry.mean_processing_s(requirements.service)
        late_retry = (
            requirements.is_caller_retry and now_s + processing_s > requirements.target_at_s
        )
        if requirements.workspace is not None:
            left_s = requirements.deadline_s - now_s
            # Without attempts the mean processing time would never fall again.
            is_known = requirements.is_caller_retry or processing_s <= left_s
            if is_known and HOPELESS_FRACTION * answer_s > left_s:
                return RefusalRule.HOPELESS
        usable = slots * (1 - LATE_RETRY_RESERVE if late_retry else 1)
        priority = min(requirements.priority, len(WAITING_PER_SLOT) - 1)
        waiting = WAITING_PER_SLOT[priority]
        if load > slots * (1 + waiting):
            return RefusalRule.FULL
        if load > slots * (1 + waiting - claim.kept * (waiting + KEPT_SLOTS)):
            return claim.rule
        if load <= usable:
            return None
        if now_s + answer_s > requirements.target_at_s:
            return RefusalRule.LATE_RETRY if late_retry else RefusalRule.LATE
        return None

    def _weigh(self, endpoint: Endpoint, now_s: float) -> WeighedEndpoint:
        """Returns what decided about an endpoint, for the log."""
        return WeighedEndpoint(
            endpoint.record.id,
            endpoint.record.slots,
            endpoint.in_flight,
            endpoint.other_requests(now_s),
            endpoint.report_age_s(now_s),
            self._registry.predict_answer_s(endpoint, now_s),
            endpoint.record.region == self._placement.own_region,
        )

    def _fastest(self, preferred: Sequence[Endpoint], now_s: float) -> tuple[float, int]:
        """Returns the weighted answer time in seconds and the rank of the fastest endpoint.

        Expected answer times grow by RANK_PENALTY with each rank, so that the first preferred
        endpoint is kept when the times are similar.
        """
        weighted = [
            (self._registry.predict_answer_s(endpoint, now_s) * (1 + RANK_PENALTY * rank), rank)
            for rank, endpoint in enumerate(preferred)
        ]
        return min(weighted)

    def _refuse(
        self,
        endpoint: Endpoint,
        kind: ErrorKind,
        requirements: AttemptRequirements,
        weighed: tuple[WeighedEndpoint, ...],
        now_s: float,
    ) -> Refusal:
        """Returns a refusal whose retry time is the expected time to serve the endpoint's load.

        Callers of workspaces are told times one after another, as room comes for this daemon; times
        of others are only spread.
        """
        slots, load = endpoint.record.slots, endpoint.load(now_s)
        excess = max(0.0, load + 1 - slots)
        processing_s = self._registry.mean_processing_s(endpoint.record.service)
        wait_s = processing_s * (1 + excess / slots)
        if requirements.workspace is None:
            return Refusal(kind, spread_retry(wait_s, requirements.jitter), weighed)
        interval_s = processing_s / slots * max(1.0, load / max(1, endpoint.in_flight))
        retry_after_s = self._return_times.book(
            endpoint.record.id,
            requirements.priority,
            wait_s,
            interval_s,
            requirements.jitter,
            now_s,
        )
        return Refusal(kind, retry_after_s, weighed)

    @staticmethod
    def _refuse_unusable(requirements: AttemptRequirements) -> Refusal:
        """Returns a refusal while no endpoint may serve an attempt, and nothing tells until when.

        Callers of workspaces, whose homes go at once, don't return at once.
        """
        if requirements.workspace is None:
            return Refusal(ErrorKind.NO_CAPACITY, MAX_RETRY_AFTER_S)
        retry_after_s = spread_retry(MAX_RETRY_AFTER_S, requirements.jitter)
        return Refusal(ErrorKind.NO_CAPACITY, retry_after_s)

    @staticmethod
    def _refuse_limited(wait_s: float, jitter: float) -> Refusal:
        """Returns a refusal until an endpoint takes a request of this daemon again."""
        return Refusal(ErrorKind.ENDPOINTS_LIMITED, spread_retry(wait_s, jitter))
