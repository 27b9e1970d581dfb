"""What happened to each request, and which promises that breaks.

Promises that hold at any speed of the machine are always checked; those with a bound in time only
with `timed`, and only where no fault was near.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from soak.daemons import BOUNDS

__all__ = ["Asked", "Ledger", "Violation"]

# Statuses that promise that a protected request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Attempts that the routes of the soak allow.
MAX_ATTEMPTS = 2
# Bounds of the deployment in seconds: for a leaving endpoint, for a configuration, and for the
# final answer after the route's timeout.
DRAIN_S = 2.5
IN_FORCE_S = 2.5
LATE_S = 0.5
# Time in seconds before and around a moment that has to be free of faults for its bound to hold.
SETTLE_S = 4.0


@dataclass(frozen=True)
class Violation:
    """A broken promise."""

    promise: str
    detail: str


@dataclass(frozen=True)
class Asked:
    """A request as its caller sent it; `services` may run it."""

    identifier: str
    daemon: str
    method: str
    path: str
    body: bytes
    protected: bool
    services: frozenset[str]
    at_s: float


@dataclass
class _Story:
    """One request, where it ran, and its final status."""

    asked: Asked
    arrivals: int = 0
    runs: list[str] = field(default_factory=list)
    answered: bool = False
    status: int | None = None


class Ledger:
    """Collects what callers, endpoints and the operator see; times are monotonic seconds."""

    def __init__(self, timed: bool = True) -> None:
        self._timed = timed
        self._stories: dict[str, _Story] = {}
        self._left: dict[str, float] = {}
        self._faults: defaultdict[str, list[float]] = defaultdict(list)
        self._stops: defaultdict[str, list[float]] = defaultdict(list)
        self._requests: defaultdict[str, list[float]] = defaultdict(list)
        self._repeats: defaultdict[str, list[float]] = defaultdict(list)
        self._known: defaultdict[tuple[str, int], int] = defaultdict(int)
        self._written: dict[int, float] = {}
        self.violations: list[Violation] = []
        self.asked = 0
        self.outcomes: Counter[str] = Counter()

    @property
    def served(self) -> int:
        """Requests that were answered with success."""
        return self.outcomes["200"]

    def ask(self, asked: Asked, probe: bool = False) -> None:
        """Notes that a caller, or a probe of the configuration, sends a request."""
        self._stories[asked.identifier] = _Story(asked)
        self.asked += not probe
        for service in asked.services:
            self._requests[service].append(asked.at_s)

    def arrive(self, identifier: str, service: str, now_s: float) -> None:
        """Notes that a request reaches an endpoint, whether it runs there or not."""
        story = self._stories.get(identifier)
        if story is None:
            return
        story.arrivals += 1
        if story.arrivals > 1:
            self._repeats[service].append(now_s)

    def run(
        self,
        identifier: str,
        endpoint: str,
        service: str,
        sent: tuple[str, str, bytes],
        at_s: float,
    ) -> None:
        """Notes that an endpoint begins to run a request, as it was `sent` to it."""
        story = self._stories.get(identifier)
        if story is None:
            self._break("unasked", f"{identifier} at {endpoint}")
            return
        asked = story.asked
        story.runs.append(endpoint)
        if sent != (asked.method, asked.path, asked.body):
            self._break("unchanged", f"{identifier} reached {endpoint} as {sent[:2]}")
        if service not in asked.services:
            self._break("route", f"{identifier} ran at {service} ({endpoint})")
        if asked.protected and len(story.runs) > 1:
            self._break("at most once", f"{identifier} at {story.runs}")
        if len(story.runs) > MAX_ATTEMPTS:
            self._break("attempts", f"{identifier} at {story.runs}")
        if asked.protected and story.status in NOT_RUN_STATUSES:
            self._break("not run", f"{identifier} ran after {story.status}")
        left_s = self._left.get(endpoint)
        if (
            left_s is not None
            and at_s > left_s + DRAIN_S
            and self._in_touch(asked.daemon, left_s, at_s)
        ):
            self._break_timed("drain", f"{identifier} at {endpoint}, {at_s - left_s:.2f} s after")

    def finish(self, identifier: str) -> None:
        """Notes that an endpoint has sent a whole answer."""
        story = self._stories.get(identifier)
        if story is not None:
            story.answered = True

    def answer(self, identifier: str, status: int, own: bool, at_s: float) -> None:
        """Notes the answer that a caller got; `own` tells that it is this request's, and whole."""
        story = self._stories[identifier]
        asked = story.asked
        story.status = status
        self.outcomes[str(status)] += 1
        if status == 200:
            if not own:
                self._break("own whole answer", identifier)
            if not story.runs:
                self._break("success without a run", identifier)
        if status == 404:
            self._break("known route", f"{identifier} for {asked.path}")
        if asked.protected and status in NOT_RUN_STATUSES and story.runs:
            self._break("not run", f"{identifier} was told {status} and ran at {story.runs}")

    def late(self, identifier: str, took_s: float, limit_s: float, now_s: float) -> None:
        """Notes when a caller's wait ended; the route's timeout bounds it."""
        asked = self._stories[identifier].asked
        if took_s > limit_s + LATE_S and self._in_touch(asked.daemon, asked.at_s, now_s):
            self._break_timed("timeout", f"{identifier} waited {took_s:.2f} s at {asked.daemon}")

    def cut(self, identifier: str, now_s: float) -> None:
        """Notes that a connection ended without an answer to a request that was sent."""
        self.outcomes["cut"] += 1
        story = self._stories[identifier]
        asked = story.asked
        if story.answered and self._calm(asked.daemon, asked.at_s, now_s):
            self._break("cut", f"{identifier} at {asked.daemon}, though {story.runs} had answered")

    def probe(self, daemon: str, life: int, version: int, known: bool, at_s: float) -> None:
        """Notes whether a life of a daemon handles a request as a version says."""
        highest = self._known[daemon, life]
        if known:
            self._known[daemon, life] = max(highest, version)
            return
        if version <= highest:
            self._break("configuration", f"{daemon} went back from {highest} before {version}")
        written_s = self._written[version]
        if at_s > written_s + IN_FORCE_S and self._in_touch(daemon, written_s, at_s):
            self._break_timed(
                "in force", f"{daemon} lacks {version} after {at_s - written_s:.2f} s"
            )

    def configure(self, version: int, now_s: float) -> None:
        """Notes that the store has acknowledged a version."""
        self._written[version] = now_s

    def leave(self, endpoint: str, now_s: float) -> None:
        """Notes that the store has acknowledged that an endpoint leaves."""
        self._left.setdefault(endpoint, now_s)

    def disturb(self, scope: str, now_s: float) -> None:
        """Notes a fault at a daemon, or at "store" or "endpoints", which touch all of them."""
        self._faults[scope].append(now_s)

    def plan(self, daemon: str, now_s: float) -> None:
        """Notes that a daemon is asked to stop: it may be behind from then on, but cuts nothing."""
        self._stops[daemon].append(now_s)

    def end(self, daemon: str, status: int, expected: bool) -> None:
        """Notes that a daemon's process has ended."""
        if not expected:
            self._break("runs on", f"{daemon} ended by itself with status {status}")
        elif status not in (0, -9):
            self._break("clean end", f"{daemon} ended with status {status}")

    def check_budgets(self) -> None:
        """Checks the shared budget of second attempts over all windows."""
        window_s = BOUNDS["budgetWindowS"]
        for service, repeats in self._repeats.items():
            requests = self._requests[service]
            for index, start_s in enumerate(repeats):
                in_window = sum(t < start_s + window_s for t in repeats[index:])
                asked = sum(start_s - window_s <= t < start_s + window_s for t in requests)
                allowed = BOUNDS["retryBudgetRatio"] * asked + BOUNDS["budgetSlack"]
                if in_window > allowed:
                    self._break("budget", f"{service}: {in_window} repeats, {allowed:.0f} allowed")
                    break

    def observe_recovery(self, part: float, least: float) -> None:
        """Notes which part of the requests was served in the quiet end."""
        if part < least:
            self._break_timed("recovery", f"{part:.2f} served in the quiet end")

    def _calm(self, daemon: str, since_s: float, until_s: float) -> bool:
        """Returns whether no fault touched a daemon, or all of them, around a time."""
        return not any(
            since_s - SETTLE_S <= fault <= until_s
            for scope in (daemon, "store", "endpoints")
            for fault in self._faults[scope]
        )

    def _in_touch(self, daemon: str, since_s: float, until_s: float) -> bool:
        """Returns whether a daemon was calm and not asked to stop around a time."""
        stopped = any(since_s - SETTLE_S <= stop <= until_s for stop in self._stops[daemon])
        return not stopped and self._calm(daemon, since_s, until_s)

    def _break_timed(self, promise: str, detail: str) -> None:
        """Notes a promise with a bound in time that was broken."""
        if self._timed:
            self._break(promise, detail)

    def _break(self, promise: str, detail: str) -> None:
        """Notes a broken promise."""
        self.violations.append(Violation(promise, detail))
