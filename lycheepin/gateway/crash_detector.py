"""Detection of crashed endpoints.

An endpoint has crashed when a connection to it broke under a request and it accepts no other one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.suspects import EndpointProcess, Fingerprint
from lycheepin.transport.connection import ConnectionPool

__all__ = ["CrashDetector"]

# Time in seconds for which a broken connection is remembered while its endpoint seems to run: it
# may have been restarted at once.
BREAK_MEMORY_S = 1.0


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
        self._broken: dict[EndpointProcess, set[Fingerprint]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def observe_break(self, endpoint: Endpoint, fingerprint: Fingerprint) -> None:
        """Records a connection that broke under a request, and checks the endpoint."""
        record = endpoint.record
        if record.draining or endpoint.removed:
            return
        process = EndpointProcess(record.id, record.started_ms)
        fingerprints = self._broken.setdefault(process, set())
        fingerprints.add(fingerprint)
        if len(fingerprints) == 1:
            task = asyncio.create_task(self._check_endpoint(endpoint, process))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    def observe_end(self, endpoint: Endpoint) -> None:
        """Records that an endpoint refused a connection, or that another one has its address."""
        process = EndpointProcess(endpoint.record.id, endpoint.record.started_ms)
        fingerprints = self._broken.pop(process, None)
        if fingerprints:
            self._on_crash(process, frozenset(fingerprints))

    def close(self) -> None:
        """Cancels the checks that are running."""
        for task in self._checks:
            task.cancel()

    async def _check_endpoint(self, endpoint: Endpoint, process: EndpointProcess) -> None:
        """Finds out whether an endpoint still accepts connections."""
        if await self._pool.is_refused(endpoint.record.address, endpoint.record.port):
            self.observe_end(endpoint)
            return
        await asyncio.sleep(BREAK_MEMORY_S)
        self._broken.pop(process, None)
