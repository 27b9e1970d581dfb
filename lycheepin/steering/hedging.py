"""Decides when a second endpoint gets a request at which the first one still works.

Load addressed: endpoints whose machines are slow for parts of a second, and services in which a
few requests take many times as long as the others. A second attempt is made once a request has
waited longer than almost all answers of its kind, where this pays: endpoints report how slow their
machines are, answer times have a long tail, another endpoint has room, and second attempts are
often first to answer. Refused requests and failures come first: they end or limit second attempts.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from enum import Enum
from math import exp

from lycheepin.names import ServiceName
from lycheepin.steering.budgets import RetryBudgetShare
from lycheepin.steering.choices import SelectedEndpoint
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.progress import MIN_ATTEMPT_S, RequestProgress
from lycheepin.steering.routes import ServiceSpec

__all__ = ["AnswerTimes", "HedgeDenial", "Hedging"]

# Number of answer times that are kept for a kind of request, and the least number from which
# quantiles are taken.
MAX_TIMES = 200
MIN_TIMES = 40
# Number of kinds of requests that are kept.
MAX_KINDS = 256
# Quantile of answer times after which a second endpoint is asked.
LATE_QUANTILE = 0.95
# Answer times have a long tail if this quantile is at least TAIL_FACTOR times their median.
TAIL_QUANTILE = 0.97
TAIL_FACTOR = 2.0
# Fraction of an endpoint's slots up to which it takes second attempts.
FREE_FRACTION = 0.7
# Fraction of a daemon's share of the retry budget that second attempts may bring its retries to;
# the rest is kept for failures.
BUDGET_FRACTION = 0.5
# Fraction of recent requests refused for lack of capacity from which a service counts as full.
MAX_REFUSED = 0.05
# Fraction of recent second attempts that answered first: assumed at the start, and required.
INITIAL_WON, MIN_WON = 0.5, 0.25
# Weight of the newest sample in these fractions, and the time constants in seconds with which they
# are forgotten.
REFUSED_SMOOTHING, REFUSED_FORGET_S = 0.05, 5.0
WON_SMOOTHING, WON_FORGET_S = 0.2, 60.0


class HedgeDenial(Enum):
    """Why a request gets no second endpoint now."""

    NOT_ALLOWED = "not_allowed"
    FULL = "full"
    BUDGET = "budget"
    QUOTA = "quota"


class AnswerTimes:
    """The latest MAX_TIMES times to an answer of one kind of request, in seconds."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def observe(self, time_s: float) -> None:
        """Adds a time; that of an attempt that was given up is a lower bound."""
        self._recent.append(time_s)
        insort(self._sorted, time_s)
        if len(self._recent) > MAX_TIMES:
            del self._sorted[bisect_left(self._sorted, self._recent.popleft())]

    def quantile_s(self, fraction: float) -> float | None:
        """Returns a quantile in seconds; None while too few times are known."""
        count = len(self._sorted)
        return self._sorted[int(fraction * (count - 1))] if count >= MIN_TIMES else None

    @property
    def has_tail(self) -> bool:
        """Whether the longest times are several times the median."""
        median_s, tail_s = self.quantile_s(0.5), self.quantile_s(TAIL_QUANTILE)
        return median_s is not None and tail_s is not None and tail_s >= TAIL_FACTOR * median_s


class _Fraction:
    """A moving average of outcomes from 0 to 1, which falls back to `initial` without samples.

    `smoothing` is the weight of the newest sample, `forget_s` the time constant of the fall.
    """

    def __init__(self, initial: float, smoothing: float, forget_s: float) -> None:
        self._initial = initial
        self._smoothing = smoothing
        self._forget_s = forget_s
        self._deviation = 0.0
        self._updated_s = 0.0

    def value(self, now_s: float) -> float:
        """Returns the present fraction."""
        return self._initial + self._deviation * exp((self._updated_s - now_s) / self._forget_s)

    def observe(self, happened: bool, now_s: float) -> None:
        """Adds an outcome."""
        before = self.value(now_s)
        self._deviation = before + self._smoothing * (float(happened) - before) - self._initial
        self._updated_s = now_s


class _Kind:
    """What is known about one route's requests to a service."""

    def __init__(self) -> None:
        self.times = AnswerTimes()
        self.won = _Fraction(INITIAL_WON, WON_SMOOTHING, WON_FORGET_S)


class Hedging:
    """The second attempts of one daemon; times are monotonic seconds."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._kinds: OrderedDict[tuple[ServiceName, str], _Kind] = OrderedDict()
        self._refused: dict[ServiceName, _Fraction] = {}

    def observe_time(self, progress: RequestProgress, endpoint: Endpoint, time_s: float) -> None:
        """Records the time to an endpoint's answer, in seconds, or a lower bound of it.

        Only the times of endpoints that report their slowness are kept: the others' requests get
        no second endpoint.
        """
        if endpoint.reports_slowness:
            self._find_kind(progress).times.observe(time_s)

    def observe_choice(self, service: ServiceName, refused: bool, now_s: float) -> None:
        """Records whether an attempt was refused for lack of capacity."""
        if service not in self._refused:
            self._refused[service] = _Fraction(0.0, REFUSED_SMOOTHING, REFUSED_FORGET_S)
        self._refused[service].observe(refused, now_s)

    def observe_race(self, progress: RequestProgress, won: bool, now_s: float) -> None:
        """Records whether a second attempt answered first."""
        self._find_kind(progress).won.observe(won, now_s)

    def find_delay_s(self, progress: RequestProgress, now_s: float) -> float | None:
        """Returns the seconds after which a second endpoint may be asked; None for never."""
        kind = self._kinds.get((progress.service, progress.route.name))
        if (
            kind is None
            or not progress.may_resend
            or not kind.times.has_tail
            or kind.won.value(now_s) < MIN_WON
        ):
            return None
        delay_s = kind.times.quantile_s(LATE_QUANTILE)
        if delay_s is None or now_s + delay_s + MIN_ATTEMPT_S >= progress.deadline_s:
            return None
        return delay_s

    def choose_endpoint(
        self,
        progress: RequestProgress,
        first: Endpoint,
        spec: ServiceSpec,
        retry_budget: RetryBudgetShare,
        slack_fraction: float,
        now_s: float,
    ) -> SelectedEndpoint | HedgeDenial:
        """Returns a second endpoint for a request that the first one has; counts the attempt."""
        median_s = self._find_kind(progress).times.quantile_s(0.5) or MIN_ATTEMPT_S
        if not progress.may_resend or now_s + median_s > progress.deadline_s:
            return HedgeDenial.NOT_ALLOWED
        refused = self._refused.get(progress.service)
        if refused is not None and refused.value(now_s) > MAX_REFUSED:
            return HedgeDenial.FULL
        requirements = progress.build_requirements(excluding=first.record.id)
        found = self._dispatcher.find_warm(requirements, now_s)
        if found is None or not _has_room(found.endpoint, now_s):
            return HedgeDenial.FULL
        if not retry_budget.can_spend(now_s, slack_fraction, BUDGET_FRACTION):
            return HedgeDenial.BUDGET
        choice = self._dispatcher.choose_endpoint(requirements, spec, now_s)
        if not isinstance(choice, SelectedEndpoint):
            return HedgeDenial.FULL
        retry_budget.try_spend(now_s, slack_fraction)
        return choice

    def _find_kind(self, progress: RequestProgress) -> _Kind:
        """Returns what is known about requests like this one; forgets the oldest unused kinds."""
        key = (progress.service, progress.route.name)
        kind = self._kinds.setdefault(key, _Kind())
        self._kinds.move_to_end(key)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        return kind


def _has_room(endpoint: Endpoint, now_s: float) -> bool:
    """Returns whether an endpoint has slots left for a second attempt."""
    return endpoint.load(now_s) + 1 <= FREE_FRACTION * endpoint.record.slots
