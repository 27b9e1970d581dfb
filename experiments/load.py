"""The load of a simulation: arrivals over time, callers that retry, and the counts of a run.

A caller sends each request in one or more tries; a daemon handles a try in one or more attempts
at endpoints.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from experiments.model import Daemon, Layout, Request, Simulation
from lycheepin.names import ServiceName
from lycheepin.steering.choices import Refusal
from lycheepin.steering.progress import AttemptResult, NotRun, Served
from lycheepin.steering.routes import RequestKind, Route, ServiceShare
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "LAYOUTS",
    "TRAFFIC_CLASSES",
    "LoadProfile",
    "RunResult",
    "TrafficClass",
    "WorkspaceLoad",
    "simulate_load",
]

# Exponent of the popularity of objects (Zipf): the most popular object gets about twice as many
# requests as the least popular one.
POPULARITY_SKEW = 0.2
# Longest wait of a refused caller before it retries, as a part of the time to its deadline.
MAX_RETRY_WAIT_RATIO = 1 / 3
# Shortest time to the deadline that callers grant, as a part of their class's deadline.
MIN_DEADLINE_RATIO = 0.85
# Time in seconds after which a caller retries a request that was cut off or failed.
RETRY_AFTER_FAILURE_S = 0.05
# Length in seconds of the windows in which goodput is counted.
WINDOW_S = 2.0


@dataclass(frozen=True)
class TrafficClass:
    """One class of requests.

    `per_s` is its rate in requests a second at a load of 1, `processing_s` the median processing
    time of a request for a cold object, and `value` what an answer within the target earns; a later
    answer earns a fifth of it.
    """

    name: str
    per_s: float
    processing_s: float
    target_s: float
    deadline_s: float
    timeout_s: float
    value: float
    priority: int
    objects: int
    idempotent: bool

    def build_route(self) -> Route:
        """Returns the route of this class."""
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


# Traffic of the users' two deployments; both classes of a deployment use the same service.
TRAFFIC_CLASSES = {
    "prairie": (
        TrafficClass("browse", 209.0, 0.88, 0.6, 4.0, 2.0, 1.0, 2, 52, True),
        TrafficClass("order", 120.0, 1.16, 0.8, 6.0, 2.5, 2.0, 1, 30, False),
    ),
    "cire": (
        TrafficClass("browse", 136.0, 0.88, 0.6, 4.0, 2.0, 1.0, 2, 34, True),
        TrafficClass("order", 76.0, 1.16, 0.8, 6.0, 2.5, 2.0, 1, 24, False),
    ),
}
LAYOUTS = {"prairie": Layout(slots=9), "cire": Layout(slots=6)}

# Returns the load at a time in seconds, as a factor on the rates of the traffic classes.
LoadProfile = Callable[[float], float]


@dataclass(frozen=True)
class WorkspaceLoad:
    """The requests of one workspace: their part of the usual load, and their load over time."""

    workspace: Workspace | None
    part: float = 1.0
    load_profile: LoadProfile = lambda time_s: 1.0


@dataclass
class RunResult:
    """Counts of a run.

    `earned` and `offered` are the values of answers and of requests, by the window in which the
    request arrived. `refusals` counts tries that ended without running anywhere, `attempts_sent`
    the daemons' attempts at endpoints. `sent` has all requests with their answers.
    """

    earned: dict[int, float] = field(default_factory=dict)
    offered: dict[int, float] = field(default_factory=dict)
    requests: int = 0
    served: int = 0
    refusals: int = 0
    tries: int = 0
    attempts_sent: int = 0
    sent: list[Request] = field(default_factory=list)

    def earned_ratio(self, start_s: float = 0.0, end_s: float = float("inf")) -> float:
        """Returns the ratio of earned to offered value of arrivals from `start_s` until `end_s`."""
        windows = [w for w in self.offered if start_s <= w * WINDOW_S < end_s]
        offered = sum(self.offered[w] for w in windows)
        return sum(self.earned.get(w, 0.0) for w in windows) / offered if offered else 0.0

    def goodput(self, start_s: float, end_s: float) -> float:
        """Returns the value earned per second by arrivals from `start_s` until `end_s`."""
        windows = [w for w in self.offered if start_s <= w * WINDOW_S < end_s]
        return sum(self.earned.get(w, 0.0) for w in windows) / (end_s - start_s)


class _CallerModel:
    """Sends the requests of a run, and retries those that are refused or fail."""

    def __init__(self, simulation: Simulation, run_result: RunResult) -> None:
        self._simulation = simulation
        self._run_result = run_result

    def send_first_try(self, request: Request) -> None:
        """Counts a new request and sends its first try to a random daemon."""
        window = int(request.arrival_s / WINDOW_S)
        self._run_result.offered[window] = self._run_result.offered.get(window, 0.0) + request.value
        self._run_result.requests += 1
        self._run_result.sent.append(request)
        self._send_try(request, self._simulation.random.choice(self._simulation.daemons))

    def _send_try(self, request: Request, daemon: Daemon) -> None:
        """Sends a try of a request to a daemon."""
        request.tries_left -= 1
        self._run_result.tries += 1
        daemon.handle_request(request, lambda result: self._handle_result(request, result))

    def _handle_result(self, request: Request, result: AttemptResult | Refusal) -> None:
        """Counts the value of an answer, or schedules the caller's retry.

        A request that may have run is retried only if it is idempotent. No retry is made without
        a try left or with a wait that ends after the deadline.
        """
        now_s = self._simulation.scheduler.now_s
        if isinstance(result, Served):
            self._add_earned_value(request, now_s)
            return
        remaining_s = request.deadline_s - now_s
        if isinstance(result, Refusal | NotRun):
            self._run_result.refusals += 1
            requested_wait_s = result.retry_after_s if isinstance(result, Refusal) else 0.2
            wait_s = min(requested_wait_s, MAX_RETRY_WAIT_RATIO * remaining_s)
        elif request.route.kind is RequestKind.IDEMPOTENT:
            wait_s = RETRY_AFTER_FAILURE_S
        else:
            return
        if request.tries_left > 0 and remaining_s > wait_s:
            daemon = self._simulation.random.choice(self._simulation.daemons)
            self._simulation.scheduler.call_later(wait_s, lambda: self._send_try(request, daemon))

    def _add_earned_value(self, request: Request, now_s: float) -> None:
        """Counts an answer: its full value within the target, its late value after that."""
        request.answered_s = now_s
        earned_value = request.value if request.is_in_time else request.late_value
        window = int(request.arrival_s / WINDOW_S)
        self._run_result.earned[window] = self._run_result.earned.get(window, 0.0) + earned_value
        self._run_result.served += 1


def simulate_load(
    simulation: Simulation,
    duration_s: float,
    load_profile: LoadProfile,
    traffic_classes: tuple[TrafficClass, ...],
    workspaces: tuple[WorkspaceLoad, ...] = (WorkspaceLoad(None),),
) -> RunResult:
    """Runs a simulation to its end and returns its counts.

    Arrivals are Poisson processes; the rate of each class in each workspace is its own times
    `load_profile(time)` and the workspace's.
    """
    run_result = RunResult()
    callers = _CallerModel(simulation, run_result)
    for workspace in workspaces:
        _schedule_arrivals(
            simulation, duration_s, load_profile, traffic_classes, workspace, callers
        )
    simulation.scheduler.run()
    run_result.attempts_sent = sum(daemon.attempts_sent for daemon in simulation.daemons)
    return run_result


def _schedule_arrivals(
    simulation: Simulation,
    duration_s: float,
    load_profile: LoadProfile,
    traffic_classes: tuple[TrafficClass, ...],
    workspace: WorkspaceLoad,
    callers: _CallerModel,
) -> None:
    """Schedules the requests of one workspace."""
    rng = simulation.random

    def find_load(time_s: float) -> float:
        return load_profile(time_s) * workspace.load_profile(time_s) * workspace.part

    peak_load = max(find_load(tenth / 10) for tenth in range(int(duration_s * 10)))
    for traffic_class in traffic_classes:
        route = traffic_class.build_route()
        weights = [(rank + 1) ** -POPULARITY_SKEW for rank in range(traffic_class.objects)]
        time_s = 0.0
        while (time_s := time_s + rng.expovariate(traffic_class.per_s * peak_load)) < duration_s:
            # Thinning: arrivals are drawn at the peak rate and kept in proportion to the load.
            if rng.random() * peak_load > find_load(time_s):
                continue
            request = Request(
                f"{traffic_class.name}-{time_s:.6f}",
                route,
                f"{traffic_class.name}-{rng.choices(range(traffic_class.objects), weights)[0]}",
                traffic_class.processing_s * rng.lognormvariate(0.0, 0.15),
                time_s,
                time_s + traffic_class.deadline_s * rng.uniform(MIN_DEADLINE_RATIO, 1.0),
                traffic_class.value,
                0.2 * traffic_class.value,
                workspace=workspace.workspace,
            )
            simulation.scheduler.call_later(
                time_s, lambda request=request: callers.send_first_try(request)
            )
