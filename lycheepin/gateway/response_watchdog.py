"""Ends an attempt at an endpoint that has stopped answering."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.fleet import EndpointRegistry

__all__ = ["ResponseWatchdog"]

# Shortest interval in seconds between checks whether an attempt may be abandoned.
CHECK_INTERVAL_S = 0.1


class ResponseWatchdog:
    """Ends an attempt at an endpoint that has answered no request for `limit_s` seconds."""

    def __init__(
        self,
        registry: EndpointRegistry,
        endpoint: Endpoint,
        timer: asyncio.Timeout,
        may_abandon: Callable[[], bool],
    ) -> None:
        self._endpoint = endpoint
        self._may_abandon = may_abandon
        self._timer = timer
        self._loop = asyncio.get_running_loop()
        self.limit_s = registry.unresponsive_limit_s(endpoint, self._loop.time())
        self._started_s = self._loop.time()
        self._handle = self._loop.call_later(self.limit_s, self._check_endpoint)

    def cancel(self) -> None:
        """Stops the watchdog."""
        self._handle.cancel()

    def _check_endpoint(self) -> None:
        """Ends the attempt if it may be abandoned, else schedules the next check.

        The endpoint must have been unresponsive for the limit during this attempt.
        """
        now_s = self._loop.time()
        waited_s = min(now_s - self._started_s, self._endpoint.unresponsive_s(now_s))
        if waited_s >= self.limit_s and self._may_abandon():
            self._timer.reschedule(now_s)
        else:
            left_s = max(CHECK_INTERVAL_S, self.limit_s - waited_s)
            self._handle = self._loop.call_later(left_s, self._check_endpoint)
