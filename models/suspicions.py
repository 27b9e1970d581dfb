"""Model of what daemons tell each other about a request that crashes endpoints.

Two daemons and the store. A deadly request reaches any daemon that doesn't refuse it; a harmless
one runs beside it at the first daemon, and is served by the second. Bounds: four crashes, of which
two are known at the start, one loss of all entries of the store, one restart of the first daemon.
What a daemon suspects is kept by the registry of the package; time stands still, so nothing is
forgotten and no request is probed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from lycheepin.names import EndpointId
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import (
    CRASHES_TO_QUARANTINE,
    Fingerprint,
    SuspectRegistry,
    Suspicion,
)

__all__ = ["Mutant", "build_model"]

DEADLY = Fingerprint("deadly")
HARMLESS = Fingerprint("harmless")
DAEMONS = 2
# Number of the daemon that serves the harmless request.
SERVING = 1
# Crashes of which all daemons know at the start, and crashes in all.
FIRST_CRASHES = 2
MAX_CRASHES = 4

# Suspicions by what they are about, with whether they are refuted.
Entries = frozenset[Suspicion]


class Mutant(Enum):
    """Faults injected into the protocol; each one must violate a property."""

    NONE = "none"
    OWN_CRASHES_ONLY = "count the crashes that a daemon has seen itself"
    FORGET_LOST = "forget what the store has lost"
    RESTORE_OWN_ONLY = "write again only what a daemon has written itself"
    REFUTE_ONCE = "write a refutation once only"
    KEEP_REFUTED = "keep suspicions that were refuted"


@dataclass(frozen=True)
class Daemon:
    """What a daemon holds, waits to write, has written and has served, and whether it has read."""

    held: Entries = frozenset()
    refuted: Entries = frozenset()
    waiting: Entries = frozenset()
    written: Entries = frozenset()
    served: bool = False
    has_read: bool = True

    def build_registry(self) -> SuspectRegistry:
        """Returns the daemon's suspects."""
        registry = SuspectRegistry(lambda fingerprint, now_s: False)
        for suspicion in sorted(self.held, key=repr):
            registry.observe_crash(suspicion, 0.0)
        for suspicion in self.refuted:
            registry.refute(suspicion)
        return registry

    def refuses(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request is in quarantine."""
        return self.build_registry().find_quarantine(fingerprint, 0.0) is not None


@dataclass(frozen=True)
class State:
    """A state of the model.

    `crashes` counts the endpoints that crashed. `late` is true once the deadly request reached an
    endpoint although all daemons had been told of three crashes. `wronged` is true once a daemon
    refused the harmless request for too few crashes, or after all were told that it was served.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    stored: Entries = frozenset()
    crashes: int = 0
    served: bool = False
    lost: bool = False
    restarted: bool = False
    late: bool = False
    wronged: bool = False


def build_model(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Returns the model, with the fault of `mutant` injected."""
    return Protocol(
        name=f"suspicions ({mutant.value})",
        candidate=False,
        fields=("state",),
        initial=(_build_initial_state(),),
        transitions=lambda values: [
            (label, (after,)) for label, after in _generate_steps(values[0], mutant)
        ],
        invariants={
            "deadly_request_is_sent_no_more": lambda fields: not fields["state"].late,
            "harmless_request_is_not_wronged": lambda fields: not fields["state"].wronged,
        },
    )


def _build_initial_state() -> State:
    """Returns the state after all daemons were told of the first crashes."""
    state = State()
    for _ in range(FIRST_CRASHES):
        state = _crash_endpoint(state, 0)
    state = _write(state, 0)
    for number in range(DAEMONS):
        state = _read(state, number, Mutant.NONE)
    return state


def _generate_steps(state: State, mutant: Mutant) -> Iterator[tuple[str, State]]:
    """Yields the label and the next state of each step that is possible."""
    for number, daemon in enumerate(state.daemons):
        if state.crashes < MAX_CRASHES and not daemon.refuses(DEADLY):
            yield f"crash at {number}", _crash_endpoint(state, number)
        if number == SERVING and not state.served and not daemon.refuses(HARMLESS):
            yield f"served by {number}", _serve_harmless(state, number, mutant)
        elif daemon.refuses(HARMLESS):
            yield f"refused by {number}", _refuse_harmless(state)
        if daemon.waiting:
            yield f"{number} writes", _write(state, number)
        if not daemon.has_read:
            yield f"{number} reads", _read(state, number, mutant)
        if number != SERVING and not state.restarted:
            yield (
                f"{number} restarts",
                _change_daemon(replace(state, restarted=True), number, Daemon(has_read=False)),
            )
    if state.stored and not state.lost:
        lost = replace(state, stored=frozenset(), lost=True)
        yield "entries are lost", _notify(lost)


def _crash_endpoint(state: State, number: int) -> State:
    """Returns the state after an endpoint crashed under both requests at a daemon."""
    late = state.late or _is_told_of_three(state)
    process = EndpointProcess(EndpointId(f"e{state.crashes}"), 1)
    daemon = state.daemons[number]
    suspected = {Suspicion(DEADLY, process)}
    if number != SERVING:
        suspected.add(Suspicion(HARMLESS, process))
    daemon = replace(
        daemon, held=daemon.held | suspected, waiting=daemon.waiting | frozenset(suspected)
    )
    return _change_daemon(replace(state, crashes=state.crashes + 1, late=late), number, daemon)


def _is_told_of_three(state: State) -> bool:
    """Returns whether all daemons have read, and written, that three endpoints crashed."""
    crashed = {entry.process for entry in state.stored if entry.fingerprint == DEADLY}
    return _are_all_told(state) and len(crashed) >= CRASHES_TO_QUARANTINE


def _are_all_told(state: State) -> bool:
    """Returns whether all daemons have written what they suspect, and read what the store has."""
    return all(daemon.has_read and not daemon.waiting for daemon in state.daemons)


def _serve_harmless(state: State, number: int, mutant: Mutant) -> State:
    """Returns the state after an endpoint served the harmless request of a daemon."""
    daemon = replace(state.daemons[number], served=True)
    if mutant is not Mutant.KEEP_REFUTED:
        daemon = _refute(daemon, daemon.held)
    return _change_daemon(replace(state, served=True), number, daemon)


def _refute(daemon: Daemon, suspicions: Entries) -> Daemon:
    """Returns a daemon that has refuted suspicions of the harmless request, and will write so."""
    refuted = frozenset(
        replace(suspicion, refuted=True)
        for suspicion in suspicions
        if suspicion.fingerprint == HARMLESS and not suspicion.refuted
    )
    deadly = frozenset(s for s in daemon.waiting if s.fingerprint == DEADLY)
    return replace(
        daemon,
        held=frozenset(s for s in daemon.held if s.fingerprint == DEADLY),
        refuted=daemon.refuted | refuted,
        waiting=daemon.waiting - suspicions | deadly | refuted,
    )


def _refuse_harmless(state: State) -> State:
    """Returns the state after the harmless request was refused."""
    wronged = state.crashes < CRASHES_TO_QUARANTINE or (state.served and _are_all_told(state))
    return replace(state, wronged=state.wronged or wronged)


def _write(state: State, number: int) -> State:
    """Returns the state after a daemon wrote what it suspects."""
    daemon = state.daemons[number]
    subjects = {(entry.fingerprint, entry.process) for entry in daemon.waiting}
    kept = {entry for entry in state.stored if (entry.fingerprint, entry.process) not in subjects}
    daemon = replace(daemon, waiting=frozenset(), written=daemon.written | daemon.waiting)
    stored = replace(state, stored=frozenset(kept) | state.daemons[number].waiting)
    return _notify(_change_daemon(stored, number, daemon))


def _read(state: State, number: int, mutant: Mutant) -> State:
    """Returns the state after a daemon read the entries of the store."""
    daemon = state.daemons[number]
    stored = state.stored
    if mutant is not Mutant.OWN_CRASHES_ONLY:
        refuted = frozenset(entry for entry in stored if entry.refuted)
        suspected = frozenset(entry for entry in stored if not entry.refuted)
        known = {replace(entry, refuted=False) for entry in refuted | daemon.refuted}
        if mutant is Mutant.FORGET_LOST and not stored:
            daemon = replace(daemon, held=frozenset())
        if mutant is not Mutant.FORGET_LOST:
            mine = daemon.written if mutant is Mutant.RESTORE_OWN_ONLY else daemon.held
            missing = {entry for entry in mine & daemon.held if entry not in stored | known}
            daemon = replace(daemon, waiting=daemon.waiting | frozenset(missing))
        if mutant is Mutant.KEEP_REFUTED:
            known = set()
        held = (daemon.held | suspected) - frozenset(known)
        daemon = replace(
            daemon,
            held=held,
            refuted=daemon.refuted | refuted if known else daemon.refuted,
            waiting=daemon.waiting - frozenset(known) - suspected,
        )
        if mutant not in (Mutant.KEEP_REFUTED, Mutant.REFUTE_ONCE):
            again = {entry for entry in daemon.refuted if replace(entry, refuted=False) in stored}
            daemon = replace(daemon, waiting=daemon.waiting | frozenset(again))
        if daemon.served and mutant is not Mutant.KEEP_REFUTED:
            daemon = _refute(daemon, daemon.held)
    return _change_daemon(state, number, replace(daemon, has_read=True))


def _notify(state: State) -> State:
    """Returns the state in which all daemons have to read the store."""
    daemons = tuple(replace(daemon, has_read=False) for daemon in state.daemons)
    return replace(state, daemons=daemons)


def _change_daemon(state: State, number: int, daemon: Daemon) -> State:
    """Returns the state with another daemon at a number."""
    daemons = tuple(
        daemon if index == number else other for index, other in enumerate(state.daemons)
    )
    return replace(state, daemons=daemons)
