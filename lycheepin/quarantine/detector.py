"""Detection of crashed endpoints.

An endpoint has crashed when a connection to it broke under a request and it accepts no other one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from lycheepin.names import Address
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import Fingerprint
from lycheepin.transport.connection import ConnectionPool

__all__ = ["CrashDetector", "RunningEndpoint"]

# Time in seconds for which a broken connection is remembered while its endpoint seems to run: it
# may have been restarted at once.
BREAK_MEMORY_S = 1.0


class RunningEndpoint(Protocol):
    """An endpoint that requests are sent to."""

    @property
    def process(self) -> EndpointProcess:
        """The process that it runs in."""

    @property
    def address(self) -> Address:
        """The address that it listens on."""

    @property
    def port(self) -> int:
        """The port that it listens on."""

    @property
    def is_leaving(self) -> bool:
        """Whether it ends as planned, or is known to have ended."""


class CrashDetector:
    """Finds out whether an endpoint has crashed after a connection to it broke.

    `on_crash` is called with the process and the requests that were there. Endpoints that leave as
    planned, or that still accept connections, have not crashed; one that does not answer is not
    known to have.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        on_crash: Callable[[EndpointProcess, frozenset[Fingerprint]], None],
    ) -> None:
        self._pool = pool
        self._on_crash = on_crash
        self._broken: dict[EndpointProcess, dict[Fingerprint, float]] = {}
        self._checks: dict[EndpointProcess, asyncio.Task[None]] = {}

    def observe_break(self, endpoint: RunningEndpoint, fingerprint: Fingerprint) -> None:
        """Records a connection that broke under a request, and checks the endpoint."""
        if endpoint.is_leaving:
            return
        process = endpoint.process
        loop = asyncio.get_running_loop()
        self._broken.setdefault(process, {})[fingerprint] = loop.time()
        if process not in self._checks:
            self._checks[process] = loop.create_task(self._check_endpoint(endpoint, process))

    def observe_end(self, endpoint: RunningEndpoint) -> None:
        """Records that an endpoint refused a connection, or that another one has its address."""
        process = endpoint.process
        self._forget_breaks(process)
        fingerprints = self._broken.pop(process, None)
        if fingerprints:
            self._on_crash(process, frozenset(fingerprints))

    def close(self) -> None:
        """Cancels the checks that are running."""
        for task in self._checks.values():
            task.cancel()

    async def _check_endpoint(self, endpoint: RunningEndpoint, process: EndpointProcess) -> None:
        """Finds out whether an endpoint still accepts connections after the latest break."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                started_s = loop.time()
                if await self._pool.is_refused(endpoint.address, endpoint.port):
                    self.observe_end(endpoint)
                    return
                if max(self._broken.get(process, {}).values(), default=0.0) <= started_s:
                    break
        finally:
            del self._checks[process]
        loop.call_later(BREAK_MEMORY_S, self._forget_breaks, process)

    def _forget_breaks(self, process: EndpointProcess) -> None:
        """Forgets the breaks of a process that are too long ago."""
        since_s = asyncio.get_running_loop().time() - BREAK_MEMORY_S
        kept = {
            fingerprint: broken_s
            for fingerprint, broken_s in self._broken.pop(process, {}).items()
            if broken_s > since_s
        }
        if kept:
            self._broken[process] = kept
