"""The load of an experiment: arrivals over time, callers that return, and what came of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from experiments.model import Daemon, Layout, Request, World
from lycheepin.names import ServiceName
from lycheepin.steering.dispatch import Refusal
from lycheepin.steering.progress import AttemptResult, NotRun, Served
from lycheepin.steering.routes import RequestKind, Route, ServiceShare

__all__ = ["KINDS", "LAYOUTS", "Kind", "Outcome", "Shape", "play"]

# Objects and their skew: the most asked is asked a few times as often as the least.
SKEW = 0.2
# Part of the time left after which a refused caller comes back at the latest.
LATEST_RETURN = 1 / 3
# Part of a kind's deadline that its callers grant at the least.
LEAST_GRANTED = 0.85
# Time in seconds after which a caller that was cut or failed tries again.
FAILED_RETURN_S = 0.05
# Length in seconds of the windows in which goodput is counted.
WINDOW_S = 2.0


@dataclass(frozen=True)
class Kind:
    """One kind of request; rates are requests a second at a load of 1, times are seconds."""

    name: str
    per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    timeout_s: float
    worth: float
    priority: int
    objects: int
    idempotent: bool

    def route(self) -> Route:
        """Returns the route of this kind."""
        return Route(
            name=self.name,
            host="a.example",
            prefix=f"/{self.name}/",
            kind=RequestKind.IDEMPOTENT if self.idempotent else RequestKind.PROTECTED,
            timeout_s=self.timeout_s,
            target_s=self.target_s,
            priority=self.priority,
            shares=(ServiceShare(ServiceName("desk"), 1.0),),
            max_attempts=2,
            sticky=True,
            allowed_regions=frozenset(),
        )


# The users' two sites: rates, work, targets and objects of the service that both kinds share.
KINDS = {
    "prairie": (
        Kind("browse", 209.0, 0.88, 0.6, 4.0, 2.0, 1.0, 2, 52, True),
        Kind("order", 120.0, 1.16, 0.8, 6.0, 2.5, 2.0, 1, 30, False),
    ),
    "cire": (
        Kind("browse", 136.0, 0.88, 0.6, 4.0, 2.0, 1.0, 2, 34, True),
        Kind("order", 76.0, 1.16, 0.8, 6.0, 2.5, 2.0, 1, 24, False),
    ),
}
LAYOUTS = {"prairie": Layout(slots=9), "cire": Layout(slots=6)}

Shape = Callable[[float], float]


@dataclass
class Outcome:
    """What came of a run; credit and owed are worths by window of arrival."""

    credit: dict[int, float] = field(default_factory=dict)
    owed: dict[int, float] = field(default_factory=dict)
    asked: int = 0
    served: int = 0
    refusals: int = 0
    tries: int = 0
    sent: int = 0

    def part(self, first_s: float = 0.0, last_s: float = float("inf")) -> float:
        """Returns the part of the worth owed that was earned by arrivals of a time."""
        windows = [w for w in self.owed if first_s <= w * WINDOW_S < last_s]
        owed = sum(self.owed[w] for w in windows)
        return sum(self.credit.get(w, 0.0) for w in windows) / owed if owed else 0.0

    def goodput(self, first_s: float, last_s: float) -> float:
        """Returns the worth earned in a second by arrivals of a time."""
        windows = [w for w in self.owed if first_s <= w * WINDOW_S < last_s]
        return sum(self.credit.get(w, 0.0) for w in windows) / (last_s - first_s)


class _Callers:
    """Sends the requests of a run, and those again that are refused or fail."""

    def __init__(self, world: World, outcome: Outcome) -> None:
        self._world = world
        self._outcome = outcome

    def arrive(self, request: Request) -> None:
        """Sends a request for the first time."""
        window = int(request.arrival_s / WINDOW_S)
        self._outcome.owed[window] = self._outcome.owed.get(window, 0.0) + request.worth
        self._outcome.asked += 1
        self._send(request, self._world.random.choice(self._world.daemons))

    def _send(self, request: Request, daemon: Daemon) -> None:
        """Sends a try of a request to a daemon."""
        request.tries_left -= 1
        self._outcome.tries += 1
        daemon.handle(request, lambda result: self._end(request, result))

    def _end(self, request: Request, result: AttemptResult | Refusal) -> None:
        """Takes in the end of a try: credit, or a return."""
        now_s = self._world.timeline.now_s
        if isinstance(result, Served):
            self._credit(request, now_s)
            return
        left_s = request.deadline_s - now_s
        if isinstance(result, Refusal | NotRun):
            self._outcome.refusals += 1
            asked_s = result.retry_after_s if isinstance(result, Refusal) else 0.2
            wait_s = min(asked_s, LATEST_RETURN * left_s)
        elif request.route.kind is RequestKind.IDEMPOTENT:
            wait_s = FAILED_RETURN_S
        else:
            return
        if request.tries_left > 0 and left_s > wait_s:
            daemon = self._world.random.choice(self._world.daemons)
            self._world.timeline.after(wait_s, lambda: self._send(request, daemon))

    def _credit(self, request: Request, now_s: float) -> None:
        """Earns the credit of an answer: whole within the target, a fifth later."""
        took_s = now_s - request.arrival_s
        earned = request.worth if took_s <= request.route.target_s else request.late_worth
        window = int(request.arrival_s / WINDOW_S)
        self._outcome.credit[window] = self._outcome.credit.get(window, 0.0) + earned
        self._outcome.served += 1


def play(world: World, seconds: float, shape: Shape, kinds: tuple[Kind, ...]) -> Outcome:
    """Plays Poisson arrivals whose rate is `shape(time)` times the kinds' own."""
    outcome = Outcome()
    callers = _Callers(world, outcome)
    source = world.random
    peak = max(shape(second / 10) for second in range(int(seconds * 10)))
    for kind in kinds:
        route = kind.route()
        weights = [(rank + 1) ** -SKEW for rank in range(kind.objects)]
        time_s = 0.0
        while (time_s := time_s + source.expovariate(kind.per_s * peak)) < seconds:
            if source.random() * peak > shape(time_s):
                continue
            request = Request(
                f"{kind.name}-{time_s:.6f}",
                route,
                f"{kind.name}-{source.choices(range(kind.objects), weights)[0]}",
                kind.work_s * source.lognormvariate(0.0, 0.15),
                time_s,
                time_s + kind.deadline_s * source.uniform(LEAST_GRANTED, 1.0),
                kind.worth,
                0.2 * kind.worth,
            )
            world.timeline.after(time_s, lambda request=request: callers.arrive(request))
    world.timeline.run()
    outcome.sent = sum(daemon.sent for daemon in world.daemons)
    return outcome
