"""Requests in progress at a daemon, and detection of requests that exceed a drain target."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lycheepin.names import Resource

__all__ = ["ActiveRequest", "ActiveRequests"]


@dataclass
class ActiveRequest:
    """One request in progress; `endpoint` is None until it is sent to an endpoint.

    `reported` is set once the request has been returned as overdue.
    """

    class_name: str
    caller_address: str
    started_s: float
    drain_target_s: float
    endpoint: Resource | None = None
    reported: bool = False


class ActiveRequests:
    """Requests in progress, and the times at which endpoints or this daemon began to leave."""

    def __init__(self) -> None:
        self._requests: dict[int, ActiveRequest] = {}
        self._leaving_since_s: dict[Resource | None, float] = {}

    def __len__(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._requests)

    def add(self, request: ActiveRequest) -> None:
        """Adds a request."""
        self._requests[id(request)] = request

    def remove(self, request: ActiveRequest) -> None:
        """Removes a request that has ended."""
        del self._requests[id(request)]

    def overdue(
        self, is_leaving: Callable[[Resource | None], bool], now_s: float
    ) -> Iterator[ActiveRequest]:
        """Yields the requests that exceed the drain target of their class, each only once.

        The time counts from when the endpoint of a request or this daemon began to leave.
        `is_leaving` returns whether an endpoint, or this daemon for None, is leaving.
        """
        resources: set[Resource | None] = {None, *(r.endpoint for r in self._requests.values())}
        leaving = {resource for resource in resources if is_leaving(resource)}
        for resource in self._leaving_since_s.keys() - leaving:
            del self._leaving_since_s[resource]
        for resource in leaving:
            self._leaving_since_s.setdefault(resource, now_s)
        for request in self._requests.values():
            leaving_starts_s = [
                self._leaving_since_s.get(resource) for resource in (None, request.endpoint)
            ]
            leaving_s = max((now_s - s for s in leaving_starts_s if s is not None), default=0.0)
            if leaving_s > request.drain_target_s and not request.reported:
                request.reported = True
                yield request
