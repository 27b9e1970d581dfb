"""What happened to each request, and which promises that breaks."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Ledger", "Violation"]

# Statuses that promise that a protected request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Attempts that the routes of the soak allow.
MAX_ATTEMPTS = 2
# Time in seconds after which a leaving endpoint gets nothing more, and the time before and around
# it that has to be free of faults at the store and the daemons for the bound to hold.
DRAIN_S = 2.5
SETTLE_S = 4.0


@dataclass(frozen=True)
class Violation:
    """A broken promise."""

    promise: str
    detail: str


@dataclass
class _Story:
    """One request: whether it may run once only, where it ran, and its final status."""

    protected: bool
    runs: list[str] = field(default_factory=list)
    status: int | None = None


class Ledger:
    """Collects what callers, endpoints and the operator see; times are seconds of the soak."""

    def __init__(self) -> None:
        self._stories: dict[str, _Story] = {}
        self._left: dict[str, float] = {}
        self._faults: list[float] = []
        self.violations: list[Violation] = []
        self.asked = 0
        self.served = 0

    def ask(self, identifier: str, protected: bool) -> None:
        """Notes that a caller sends a request."""
        self._stories[identifier] = _Story(protected)
        self.asked += 1

    def run(self, identifier: str, endpoint: str, now_s: float) -> None:
        """Notes that an endpoint begins to run a request."""
        story = self._stories.get(identifier)
        if story is None:
            self._break("unasked", f"{identifier} at {endpoint}")
            return
        story.runs.append(endpoint)
        if story.protected and len(story.runs) > 1:
            self._break("at most once", f"{identifier} at {story.runs}")
        if len(story.runs) > MAX_ATTEMPTS:
            self._break("attempts", f"{identifier} at {story.runs}")
        if story.protected and story.status in NOT_RUN_STATUSES:
            self._break("not run", f"{identifier} ran after {story.status}")
        left_s = self._left.get(endpoint)
        if left_s is not None and now_s > left_s + DRAIN_S and self._calm(left_s, now_s):
            self._break(
                "drain", f"{identifier} at {endpoint}, {now_s - left_s:.2f} s after it left"
            )

    def answer(self, identifier: str, status: int, echoed: str, whole: bool) -> None:
        """Notes the answer that a caller got."""
        story = self._stories[identifier]
        story.status = status
        if status == 200:
            self.served += 1
            if echoed != identifier or not whole:
                self._break("own whole answer", f"{identifier} got {echoed!r}, whole {whole}")
            if not story.runs:
                self._break("success without a run", identifier)
        if status == 404:
            self._break("known route", identifier)
        if story.protected and status in NOT_RUN_STATUSES and story.runs:
            self._break("not run", f"{identifier} was told {status} and ran at {story.runs}")

    def leave(self, endpoint: str, now_s: float) -> None:
        """Notes that the store has acknowledged that an endpoint leaves."""
        self._left.setdefault(endpoint, now_s)

    def disturb(self, now_s: float) -> None:
        """Notes a fault at the store or at a daemon."""
        self._faults.append(now_s)

    def observe_version(self, daemon: str, before: int, after: int) -> None:
        """Notes the version that one life of a daemon has in force."""
        if after < before:
            self._break("configuration", f"{daemon} went from {before} back to {after}")

    def _calm(self, since_s: float, until_s: float) -> bool:
        """Returns whether no fault touched the store or a daemon around a time."""
        return not any(since_s - SETTLE_S <= fault <= until_s for fault in self._faults)

    def _break(self, promise: str, detail: str) -> None:
        """Notes a broken promise."""
        self.violations.append(Violation(promise, detail))
