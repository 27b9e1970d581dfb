"""Load patterns in which workspaces and priorities compete for the room at endpoints."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from experiments.load import RunResult, TrafficClass, WorkspaceLoad, simulate_load
from experiments.model import Layout, Request, Simulation
from experiments.runs import BUDGET_LIMITS
from lycheepin.names import WorkspaceName
from lycheepin.steering.workspaces import Workspace

__all__ = [
    "PATTERNS",
    "Pattern",
    "measure_fairness",
    "measure_goodput",
    "measure_priorities",
    "measure_workspaces",
    "run_pattern",
]

LAYOUT = Layout(endpoints=12, slots=6, daemons=5)
# About half of what the endpoints can process.
CLASSES = (
    TrafficClass("browse", 58.0, 0.88, 0.6, 4.0, 2.0, 1.0, 2, 15, True),
    TrafficClass("order", 33.0, 1.16, 0.8, 6.0, 2.5, 2.0, 1, 10, False),
)
# A higher priority whose answers are useful for a shorter time than those of a lower one.
URGENT_CLASSES = (
    TrafficClass("pay", 20.0, 0.9, 0.35, 3.0, 1.5, 1.0, 2, 10, False),
    TrafficClass("browse", 70.0, 0.9, 1.5, 4.0, 2.5, 1.0, 3, 15, True),
)
# A higher priority that uses few objects, and so few endpoints.
CROWDED_CLASSES = (
    TrafficClass("pay", 60.0, 0.9, 0.35, 3.0, 1.5, 1.0, 2, 4, False),
    TrafficClass("browse", 140.0, 0.9, 1.5, 4.0, 2.5, 1.0, 3, 15, True),
)
DURATION_S = 14.0
# Part of a run that is measured, and the time from which the load or the room changes, in seconds.
MEASURED_FROM_S, MEASURED_UNTIL_S = 6.0, 12.0
CHANGED_FROM_S = 4.0
# Parts of the workspaces in the usual load: a few large ones.
PARTS = (0.2, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05)


@dataclass(frozen=True)
class Pattern:
    """A load by workspace and class of requests, and what happens to the endpoints.

    `hot` is the index of the workspace that sends `hot_factor` times its usual; `priorities` has
    those of the workspaces, where they differ from their routes'.
    """

    load: float = 1.0
    hot: int = -1
    hot_factor: float = 1.0
    priorities: tuple[int | None, ...] = (None,) * len(PARTS)
    flooding: str = ""
    classes: tuple[TrafficClass, ...] = CLASSES
    schedule_faults: Callable[[Simulation], None] = lambda simulation: None
    has_workspaces: bool = True


def _schedule_halving(simulation: Simulation) -> None:
    """Takes every second endpoint away within a second."""

    def remove(number: int) -> None:
        for daemon in simulation.daemons:
            identifier = list(simulation.endpoints)[number]
            daemon.registry.remove(identifier, simulation.scheduler.now_s)

    for number in range(0, LAYOUT.endpoints, 2):
        delay_s = CHANGED_FROM_S + number / LAYOUT.endpoints
        simulation.scheduler.call_later(delay_s, lambda number=number: remove(number))


PATTERNS = {
    "calm": Pattern(),
    "one sends ten times its usual": Pattern(hot=1, hot_factor=10.0),
    "a small one sends ten times": Pattern(load=1.7, hot=5, hot_factor=10.0),
    "one of all at 1.5 sends ten times": Pattern(load=1.5, hot=1, hot_factor=10.0),
    "all at 1.5": Pattern(load=1.5),
    "all send twice": Pattern(load=2.0),
    "all send three times": Pattern(load=3.0),
    "all send six times": Pattern(load=6.0),
    "a lower priority floods": Pattern(flooding="browse"),
    "a lower priority floods, no workspaces": Pattern(flooding="browse", has_workspaces=False),
    "a lower priority that can wait floods": Pattern(flooding="browse", classes=URGENT_CLASSES),
    "few objects of a higher priority, no workspaces": Pattern(
        classes=CROWDED_CLASSES, has_workspaces=False
    ),
    "workspaces of lower priority": Pattern(load=3.0, priorities=(2, 1, 0, 1, 2) * 2),
    "room halved": Pattern(load=1.5, schedule_faults=_schedule_halving),
}


def run_pattern(pattern: Pattern, seed: int) -> RunResult:
    """Returns the counts of one run."""
    simulation = Simulation(LAYOUT, BUDGET_LIMITS, seed)
    pattern.schedule_faults(simulation)

    def build_profile(factor: float) -> Callable[[float], float]:
        return lambda time_s: factor if time_s >= CHANGED_FROM_S else 1.0

    workspaces = tuple(
        WorkspaceLoad(
            _build_workspace(number, pattern) if pattern.has_workspaces else None,
            part,
            build_profile(pattern.hot_factor if number == pattern.hot else 1.0),
        )
        for number, part in enumerate(PARTS)
    )
    classes = tuple(
        (
            TrafficClass(**vars(each) | {"per_s": each.per_s * 10})
            if each.name == pattern.flooding
            else each
        )
        for each in pattern.classes
    )
    return simulate_load(simulation, DURATION_S, build_profile(pattern.load), classes, workspaces)


def _build_workspace(number: int, pattern: Pattern) -> Workspace:
    """Returns a workspace of a pattern."""
    return Workspace(WorkspaceName(f"workspace-{number}"), pattern.priorities[number])


def measure_workspaces(result: RunResult) -> dict[int, float]:
    """Returns the part of the requests that is answered, by the number of the workspace."""
    return _measure_served(
        result,
        lambda request: int(request.workspace.name.split("-")[1]) if request.workspace else 0,
    )


def measure_priorities(result: RunResult) -> dict[int, float]:
    """Returns the part of the requests that is answered, by priority."""

    def find_priority(request: Request) -> int:
        workspace = request.workspace
        if workspace is None or workspace.priority is None:
            return request.route.priority
        return workspace.priority

    return _measure_served(result, find_priority)


def measure_fairness(result: RunResult) -> tuple[float, float]:
    """Returns what the worst workspace is served relative to all, and Jain's index of them."""
    served = list(measure_workspaces(result).values())
    overall = _measure_served(result, lambda request: 0)[0]
    jain = sum(served) ** 2 / (len(served) * sum(each**2 for each in served))
    return min(served) / overall, jain


def _measure_served(result: RunResult, find_group: Callable[[Request], int]) -> dict[int, float]:
    """Returns the part of the requests that is answered, by group."""
    answered: dict[int, list[bool]] = defaultdict(list)
    for request in _measured(result):
        answered[find_group(request)].append(request.answered_s is not None)
    return {group: sum(each) / len(each) for group, each in sorted(answered.items())}


def measure_goodput(result: RunResult) -> float:
    """Returns the value earned per second."""
    return result.goodput(MEASURED_FROM_S, MEASURED_UNTIL_S)


def _measured(result: RunResult) -> Iterable[Request]:
    """Yields the requests of the measured part of a run."""
    for request in result.sent:
        if MEASURED_FROM_S <= request.arrival_s < MEASURED_UNTIL_S:
            yield request
