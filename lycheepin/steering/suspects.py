"""Requests that may crash the endpoints that run them: which are suspected, which are still sent.

Load addressed: a request that crashes each endpoint that begins to run it and comes again, at any
daemon, while the requests that ran beside it have to be served. Each daemon reports the crashes
that it observes to all others. A request under which CRASHES_TO_QUARANTINE processes of endpoints
crashed, and which no endpoint served meanwhile, is in quarantine: it is refused, but for a few
probes that free one that was suspected wrongly.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import NewType

from lycheepin.steering.endpoint import EndpointProcess

__all__ = [
    "Fingerprint",
    "Quarantined",
    "SuspectRegistry",
    "Suspicion",
]

# Identifies equal requests, whichever daemon they reach.
Fingerprint = NewType("Fingerprint", str)

# Crashes after which a request is refused, and after which it is sent once in each caller attempt.
CRASHES_TO_QUARANTINE = 3
CRASHES_TO_SEND_ONCE = 2
# Time in seconds for which an answer to a request proves that it crashes no endpoint.
SERVED_PROOF_S = 10.0
# Time in seconds from the last crash to the first probe, doubled for each further one, and number
# of crashes in quarantine after which no probe is made.
FIRST_PROBE_S = 15.0
MAX_PROBED_CRASHES = 2
# Shortest time in seconds between two probes whose outcome is unknown.
PROBE_INTERVAL_S = 5.0
# Time in seconds after which a suspicion that nobody has repeated is forgotten, and after which one
# is repeated while its request still comes.
SUSPICION_LIFE_S = 600.0
REPEAT_AFTER_S = 200.0
# Bounds of memory: suspected requests, suspicions that were refuted, requests that were served.
MAX_SUSPECTS = 4096
MAX_REFUTED = 4096
MAX_SERVED = 4096


@dataclass(frozen=True)
class Suspicion:
    """A request was being run or waiting at a process of an endpoint when that process crashed.

    It is `refuted` once an endpoint has served the request.
    """

    fingerprint: Fingerprint
    process: EndpointProcess
    refuted: bool = False


@dataclass(frozen=True)
class Quarantined:
    """A request is not sent; the next one like it may be in `retry_after_s` seconds.

    `to_repeat` are suspicions that will be forgotten soon unless they are reported again.
    """

    retry_after_s: float
    crashes: int
    to_repeat: tuple[Suspicion, ...] = ()


@dataclass
class _Suspect:
    """The crashes of one request, with the time from which each is known, in seconds."""

    crashes: dict[EndpointProcess, float]
    refreshed_s: float
    probed_s: float = -inf

    @property
    def last_crash_s(self) -> float:
        """The time of the latest crash in seconds."""
        return max(self.crashes.values())


class SuspectRegistry:
    """The suspected requests that are known to one daemon; times are monotonic seconds.

    `may_probe` returns whether this daemon is the one that probes a request.
    """

    def __init__(self, may_probe: Callable[[Fingerprint, float], bool]) -> None:
        self._may_probe = may_probe
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._served_s: OrderedDict[Fingerprint, float] = OrderedDict()
        self._refuted: OrderedDict[tuple[Fingerprint, EndpointProcess], None] = OrderedDict()

    @property
    def count(self) -> int:
        """The number of suspected requests."""
        return len(self._suspects)

    @property
    def quarantined(self) -> int:
        """The number of requests in quarantine."""
        return sum(
            len(suspect.crashes) >= CRASHES_TO_QUARANTINE for suspect in self._suspects.values()
        )

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Returns the number of crashes for which a request is suspected."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def was_refuted(self, suspicion: Suspicion) -> bool:
        """Returns whether a suspicion is known to be refuted."""
        return (suspicion.fingerprint, suspicion.process) in self._refuted

    def was_served(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Returns whether an endpoint served a request lately, so that it can't be deadly."""
        return now_s - self._served_s.get(fingerprint, -inf) < SERVED_PROOF_S

    def observe_crash(self, suspicion: Suspicion, now_s: float) -> bool:
        """Adds a suspicion, or notes that it was repeated; returns whether it is new."""
        self._forget_expired(now_s)
        fingerprint, process = suspicion.fingerprint, suspicion.process
        if self.was_refuted(suspicion):
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[fingerprint] = _Suspect({}, now_s)
        suspect.refreshed_s = now_s
        self._suspects.move_to_end(fingerprint)
        is_new = process not in suspect.crashes
        suspect.crashes.setdefault(process, now_s)
        return is_new

    def observe_served(self, fingerprint: Fingerprint, now_s: float) -> tuple[Suspicion, ...]:
        """Notes that an endpoint served a request; returns the suspicions that this refutes."""
        self._served_s[fingerprint] = now_s
        self._served_s.move_to_end(fingerprint)
        if len(self._served_s) > MAX_SERVED:
            self._served_s.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        refuted = tuple(Suspicion(fingerprint, process, True) for process in suspect.crashes)
        for suspicion in refuted:
            self.refute(suspicion)
        return refuted

    def refute(self, suspicion: Suspicion) -> None:
        """Drops a suspicion for good."""
        fingerprint, process = suspicion.fingerprint, suspicion.process
        self._refuted[(fingerprint, process)] = None
        if len(self._refuted) > MAX_REFUTED:
            self._refuted.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.crashes.pop(process, None)
            if not suspect.crashes:
                del self._suspects[fingerprint]

    def find_quarantine(self, fingerprint: Fingerprint, now_s: float) -> Quarantined | None:
        """Returns why a request is not sent, or None if it is.

        A request in quarantine is sent as a probe, by one daemon, some time after its last crash.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < CRASHES_TO_QUARANTINE:
            return None
        if now_s - suspect.refreshed_s >= SUSPICION_LIFE_S:
            del self._suspects[fingerprint]
            return None
        crashes = len(suspect.crashes)
        probe_at_s = self._find_probe_time(suspect)
        if now_s >= probe_at_s and self._may_probe(fingerprint, now_s):
            suspect.probed_s = now_s
            return None
        forgotten_s = suspect.refreshed_s + SUSPICION_LIFE_S
        to_repeat: tuple[Suspicion, ...] = ()
        if now_s - suspect.refreshed_s >= REPEAT_AFTER_S:
            suspect.refreshed_s = now_s
            self._suspects.move_to_end(fingerprint)
            to_repeat = tuple(Suspicion(fingerprint, process) for process in suspect.crashes)
        return Quarantined(
            max(PROBE_INTERVAL_S, min(probe_at_s, forgotten_s) - now_s), crashes, to_repeat
        )

    def may_resend(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request may go to another endpoint after an attempt that broke."""
        return self.count_crashes(fingerprint) < CRASHES_TO_SEND_ONCE

    @staticmethod
    def _find_probe_time(suspect: _Suspect) -> float:
        """Returns the time of the next probe of a request in quarantine; infinite if none is due.

        A request with many crashes is not probed: a bystander of so many is improbable.
        """
        probed_crashes = len(suspect.crashes) - CRASHES_TO_QUARANTINE
        if probed_crashes >= MAX_PROBED_CRASHES:
            return inf
        due_s = suspect.last_crash_s + FIRST_PROBE_S * float(2**probed_crashes)
        return max(due_s, suspect.probed_s + PROBE_INTERVAL_S)

    def _forget_expired(self, now_s: float) -> None:
        """Forgets the requests whose suspicions nobody has repeated; the oldest come first."""
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now_s - suspect.refreshed_s < SUSPICION_LIFE_S:
                return
            del self._suspects[fingerprint]

    def _make_room(self) -> None:
        """Forgets the oldest request, one that is not in quarantine if possible."""
        if len(self._suspects) < MAX_SUSPECTS:
            return
        oldest = next(
            (
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if len(suspect.crashes) < CRASHES_TO_QUARANTINE
            ),
            next(iter(self._suspects)),
        )
        del self._suspects[oldest]
