"""Replays of requests of workspaces at many daemons, with messages that are late or lost."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

from lycheepin.names import DaemonName, WorkspaceName
from lycheepin.steering.quota_shares import QuotaShares, QuotaTerms
from lycheepin.steering.quotas import QuotaLedger, QuotaRefusal
from lycheepin.steering.workspaces import Workspace

TICK_S = 0.2
URGENT_S = 0.08
DELAY_S = 0.04


class Replay:
    """Daemons that exchange tokens.

    Those in `cut` neither send nor get messages; those in `asleep` do nothing until a time. `views`
    has the carriers that single daemons know, the others know `carriers`.
    """

    def __init__(self, workspaces: list[Workspace], seed: int = 1, lost: float = 0.0) -> None:
        self.workspaces = workspaces
        self.terms = QuotaTerms()
        self.random = Random(seed)
        self.lost = lost
        self.now_s = 0.0
        self.carriers: tuple[DaemonName, ...] = ()
        self.views: dict[DaemonName, tuple[DaemonName, ...]] = {}
        self.ledgers: dict[DaemonName, QuotaLedger] = {}
        self.cut: set[DaemonName] = set()
        self.asleep: dict[DaemonName, float] = {}
        self.messages = 0
        self.most_stock = 0.0
        self.admitted: defaultdict[str, list[float]] = defaultdict(list)
        self.refused: defaultdict[str, list[float]] = defaultdict(list)
        self._next_tick_s: dict[DaemonName, float] = {}
        self._last_tick_s: defaultdict[DaemonName, float] = defaultdict(float)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()

    @classmethod
    def build(
        cls, workspaces: list[Workspace], daemons: int, carriers: int, **options: Any
    ) -> Replay:
        """Returns a replay in which all daemons have run for 15 s."""
        replay = cls(workspaces, **options)
        names = tuple(DaemonName(f"daemon-{n}") for n in range(daemons))
        replay.carriers = names[:carriers]
        for name in names:
            replay.start(name)
        replay.run_until(15.0)
        return replay

    def at(self, time_s: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedules an act."""
        heapq.heappush(self._events, (time_s, next(self._order), act, arguments))

    def run_until(self, time_s: float) -> None:
        """Runs what is due until a time."""
        while self._events and self._events[0][0] <= time_s:
            self.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        self.now_s = time_s

    def start(self, name: DaemonName) -> None:
        """Starts the process of a daemon, in place of the one before."""
        shares = QuotaShares(name, lambda: self.views.get(name, self.carriers), self.now_s)
        ledger = QuotaLedger(shares, self.terms, self.now_s)
        ledger.apply_workspaces(self.workspaces, self.now_s)
        self.ledgers[name] = ledger
        self._schedule_tick(name, ledger, self.now_s + self.random.uniform(0, TICK_S))

    def kill(self, name: DaemonName, restart_s: float) -> None:
        """Ends the process of a daemon and starts another after a time."""
        self.ledgers.pop(name, None)
        self.at(self.now_s + restart_s, self.start, name)

    def suspend(self, name: DaemonName, seconds: float) -> None:
        """Suspends the machine of a daemon; what comes meanwhile is handled afterwards."""
        self.asleep[name] = self.now_s + seconds

    def change_carriers(self, carriers: tuple[DaemonName, ...], most_s: float) -> None:
        """Changes the carriers; each daemon hears of it within a time."""
        self.views = {name: self.carriers for name in self.ledgers} | self.views
        self.carriers = carriers
        for name in self.ledgers:
            time_s = self.now_s + self.random.uniform(0.0, most_s)
            self.at(time_s, self.views.update, {name: carriers})

    def _sleeps(self, name: DaemonName, act: Callable[..., None], *arguments: Any) -> bool:
        """Returns whether a machine is suspended; then the act is done when it goes on."""
        until_s = self.asleep.get(name, 0.0)
        if self.now_s < until_s:
            self.at(until_s, act, *arguments)
        return self.now_s < until_s

    def ask(self, name: DaemonName, workspace: str) -> None:
        """Sends a request to a daemon."""
        ledger = self.ledgers.get(name)
        if ledger is None or self._sleeps(name, self.ask, name, workspace):
            return
        spend = ledger.try_spend(WorkspaceName(workspace), self.now_s)
        if ledger.is_urgent and self._next_tick_s.get(name, 0.0) > self.now_s + URGENT_S:
            self._schedule_tick(name, ledger, max(self.now_s, self._last_tick_s[name] + URGENT_S))
        if isinstance(spend, QuotaRefusal):
            self.refused[workspace].append(self.now_s)
            return
        has_run = self.random.random() > 0.02
        self.at(
            self.now_s + self.random.uniform(0, 0.5), self._settle, name, ledger, spend, has_run
        )
        if has_run:
            self.admitted[workspace].append(self.now_s)

    def add_load(
        self,
        workspace: str,
        names: tuple[DaemonName, ...],
        per_s: float,
        from_s: float,
        to_s: float,
    ) -> None:
        """Schedules requests at random times and daemons."""
        time_s = from_s
        while (time_s := time_s + self.random.expovariate(per_s)) < to_s:
            self.at(time_s, self.ask, self.random.choice(names), workspace)

    def count(self, workspace: str, from_s: float, to_s: float) -> int:
        """Returns how many requests were admitted in a time."""
        return sum(from_s <= time_s < to_s for time_s in self.admitted[workspace])

    def count_refused(self, from_s: float = 0.0) -> int:
        """Returns how many requests of all workspaces were refused since a time."""
        return sum(time_s >= from_s for times in self.refused.values() for time_s in times)

    def watch_stock(self, workspace: Workspace, until_s: float) -> None:
        """Notes from now on how many tokens can be spent at all daemons at once."""
        awake = [n for n in self.ledgers if self.now_s >= self.asleep.get(n, 0.0)]
        stock = sum(self.ledgers[n].count_tokens(workspace.name, self.now_s) for n in awake)
        self.most_stock = max(self.most_stock, stock)
        if self.now_s < until_s:
            self.at(self.now_s + TICK_S, self.watch_stock, workspace, until_s)

    def find_excess(self, workspace: Workspace) -> float:
        """Returns by how many requests the fullest window exceeds the bound; negative if none."""
        terms, times = self.terms, sorted(self.admitted[workspace.name])
        bound = workspace.rate_per_s * terms.window_s + workspace.burst
        bound = bound * (1 + terms.over) + terms.slack
        first, most = 0, 0
        for last, time_s in enumerate(times):
            while times[first] < time_s - terms.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most - bound

    def _settle(self, name: DaemonName, ledger: QuotaLedger, spend: Any, has_run: bool) -> None:
        """Settles a spent token, if the process still lives."""
        if self.ledgers.get(name) is ledger:
            ledger.settle(spend, has_run, self.now_s)

    def _tick(self, name: DaemonName, ledger: QuotaLedger) -> None:
        """Sends the asks of a daemon."""
        if self.ledgers.get(name) is not ledger or self.now_s != self._next_tick_s[name]:
            return
        if name in self.asleep and self.now_s < self.asleep[name]:
            self._schedule_tick(name, ledger, self.asleep[name])
            return
        self._last_tick_s[name] = self.now_s
        ledger.advance(self.now_s)
        for ask in ledger.plan_asks(self.now_s):
            self._send(name, ask.lender, self._answer, name, ask)
        self._schedule_tick(name, ledger, self.now_s + TICK_S)

    def _schedule_tick(self, name: DaemonName, ledger: QuotaLedger, time_s: float) -> None:
        """Schedules the next asks of a daemon."""
        self._next_tick_s[name] = time_s
        self.at(time_s, self._tick, name, ledger)

    def _answer(self, borrower: DaemonName, ask: Any) -> None:
        """Lends to a borrower."""
        grant = self.ledgers[ask.lender].answer_ask(borrower, ask, self.now_s)
        if grant.tokens:
            self._send(ask.lender, borrower, self._accept, ask.lender, borrower, grant)

    def _accept(self, lender: DaemonName, borrower: DaemonName, grant: Any) -> None:
        """Hands a grant to its borrower."""
        self.ledgers[borrower].accept_grant(lender, grant, self.now_s)

    def _send(
        self, source: DaemonName, target: DaemonName, act: Callable[..., None], *arguments: Any
    ) -> None:
        """Delivers a message late, not at all, or twice."""
        self.messages += 1
        copies = 0 if self.random.random() < self.lost else 1 + (self.random.random() < self.lost)
        for _ in range(copies):
            delay_s = DELAY_S * self.random.uniform(0.1, 1.5 if not self.lost else 20.0)
            self.at(self.now_s + delay_s, self._deliver, source, target, act, arguments)

    def _deliver(
        self, source: DaemonName, target: DaemonName, act: Callable[..., None], arguments: Any
    ) -> None:
        """Delivers a message if its target lives and neither side is cut off."""
        if target not in self.ledgers or self.cut & {source, target}:
            return
        if not self._sleeps(target, self._deliver, source, target, act, arguments):
            act(*arguments)
