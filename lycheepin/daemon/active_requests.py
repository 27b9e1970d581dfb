"""The requests that this daemon is serving, and those that outlast a drain."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lycheepin.names import Resource

__all__ = ["ActiveRequest", "ActiveRequests"]


@dataclass
class ActiveRequest:
    """One request in progress; `endpoint` is where it runs, if it does."""

    work: str
    caller: str
    began_s: float
    drain_target_s: float
    endpoint: Resource | None = None
    reported: bool = False


class ActiveRequests:
    """Requests in progress, and since when what they run on has been leaving."""

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
        """Yields, once each, requests that outlast the drain target of their class.

        `is_leaving` tells of an endpoint, or of this daemon for None, whether it is leaving.
        """
        places: set[Resource | None] = {None, *(r.endpoint for r in self._requests.values())}
        leaving = {place for place in places if is_leaving(place)}
        for place in self._leaving_since_s.keys() - leaving:
            del self._leaving_since_s[place]
        for place in leaving:
            self._leaving_since_s.setdefault(place, now_s)
        for request in self._requests.values():
            since = [self._leaving_since_s.get(place) for place in (None, request.endpoint)]
            waited_s = max((now_s - s for s in since if s is not None), default=0.0)
            if waited_s > request.drain_target_s and not request.reported:
                request.reported = True
                yield request
