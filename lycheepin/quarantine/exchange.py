"""What a daemon suspects of crashing endpoints, from its own observations and from the others'."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from lycheepin.names import DaemonName
from lycheepin.quarantine.detector import CrashDetector
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.spreading import spread_fraction
from lycheepin.steering.suspects import (
    CRASHES_TO_SEND_ONCE,
    Fingerprint,
    Quarantined,
    SuspectRegistry,
    Suspicion,
)
from lycheepin.transport.connection import ConnectionPool

__all__ = ["Publisher", "SuspicionExchange"]

WriteLog = Callable[..., Any]

# Time in seconds over which daemons spread the refutations of a suspicion, so that few write one.
REFUTATION_SPREAD_S = 2.0


class Publisher(Protocol):
    """What a daemon needs in order to tell the others what it suspects."""

    def publish(self, suspicion: Suspicion, delay_s: float = 0.0) -> None:
        """Tells the other daemons after a delay in seconds."""

    def observe(self, suspicion: Suspicion) -> None:
        """Notes that all daemons are told of a suspicion already."""


class SuspicionExchange:
    """What this daemon suspects, from its own observations and from those of the others.

    `exclude_endpoint` is called with a process that crashed and the time in seconds, and
    `write_log` with the name of an event and its fields. `publisher` is None until there is one.
    """

    def __init__(
        self,
        own: DaemonName,
        suspects: SuspectRegistry,
        exclude_endpoint: Callable[[EndpointProcess, float], None],
        pool: ConnectionPool,
        write_log: WriteLog,
    ) -> None:
        self._own = own
        self._suspects = suspects
        self._exclude_endpoint = exclude_endpoint
        self._write_log = write_log
        self.detector = CrashDetector(pool, self._report_crash)
        self.publisher: Publisher | None = None

    def find_quarantine(self, fingerprint: Fingerprint) -> Quarantined | None:
        """Returns why a request is not sent, or None if it is."""
        now_s = asyncio.get_running_loop().time()
        quarantined = self._suspects.find_quarantine(fingerprint, now_s)
        if quarantined is not None:
            for suspicion in quarantined.to_repeat:
                self._publish(suspicion)
        elif crashes := self._suspects.count_crashes(fingerprint):
            self._write_log("suspect_sent", fingerprint=fingerprint, crashes=crashes)
        return quarantined

    def may_resend(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request may go to another endpoint after an attempt that broke."""
        return self._suspects.may_resend(fingerprint)

    def observe_served(self, fingerprint: Fingerprint) -> None:
        """Records that an endpoint served a request, and refutes what it is suspected of."""
        now_s = asyncio.get_running_loop().time()
        for suspicion in self._suspects.observe_served(fingerprint, now_s):
            self._publish(suspicion)
            self._write_log("suspect_served", fingerprint=fingerprint)

    def apply_suspicion(self, suspicion: Suspicion) -> None:
        """Applies what a daemon has written about a suspicion."""
        now_s = asyncio.get_running_loop().time()
        if self.publisher is not None:
            self.publisher.observe(suspicion)
        if suspicion.refuted:
            self._suspects.refute(suspicion)
            return
        if self._suspects.was_refuted(suspicion) or self._suspects.was_served(
            suspicion.fingerprint, now_s
        ):
            self._refute_spread(suspicion)
        elif self._suspects.observe_crash(suspicion, now_s):
            self._exclude_endpoint(suspicion.process, now_s)
            self._log_suspicion(suspicion, "peer")

    def _report_crash(self, process: EndpointProcess, fingerprints: frozenset[Fingerprint]) -> None:
        """Suspects the requests that this daemon had at an endpoint that crashed."""
        now_s = asyncio.get_running_loop().time()
        self._exclude_endpoint(process, now_s)
        self._write_log("endpoint_crashed", endpoint=process.id, requests=len(fingerprints))
        for fingerprint in sorted(fingerprints):
            suspicion = Suspicion(fingerprint, process)
            if self._suspects.was_served(fingerprint, now_s):
                continue
            if self._suspects.observe_crash(suspicion, now_s):
                self._log_suspicion(suspicion, "own")
                self._publish(suspicion)

    def _refute_spread(self, suspicion: Suspicion) -> None:
        """Refutes a suspicion of another daemon that this one knows to be wrong.

        Many daemons may know it, so each waits for a time of its own, in which another one may
        write the refutation.
        """
        refutation = Suspicion(suspicion.fingerprint, suspicion.process, refuted=True)
        self._suspects.refute(refutation)
        fraction = spread_fraction(self._own, suspicion.fingerprint)
        self._publish(refutation, REFUTATION_SPREAD_S * fraction)

    def _log_suspicion(self, suspicion: Suspicion, source: str) -> None:
        """Logs a new suspicion; one request that was in one crash is of little interest."""
        crashes = self._suspects.count_crashes(suspicion.fingerprint)
        if crashes >= CRASHES_TO_SEND_ONCE:
            self._write_log(
                "suspect",
                fingerprint=suspicion.fingerprint,
                endpoint=suspicion.process.id,
                crashes=crashes,
                source=source,
            )

    def _publish(self, suspicion: Suspicion, delay_s: float = 0.0) -> None:
        """Tells the other daemons, if this one is on a platform."""
        if self.publisher is not None:
            self.publisher.publish(suspicion, delay_s)
