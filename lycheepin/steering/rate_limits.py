"""Limits on requests per second that endpoints in need name, for all daemons together.

Load addressed: endpoints that look idle, as they take less than their slots would allow.
"""

from __future__ import annotations

from dataclasses import dataclass

from lycheepin.names import EndpointId

__all__ = ["RateLimits"]


@dataclass
class _Limit:
    """A limit in requests per second, and when this daemon last learned of it."""

    per_s: float
    named_at_s: float


class RateLimits:
    """The limits that endpoints have named to this daemon.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._limits: dict[EndpointId, _Limit] = {}

    def find_limit(self, endpoint_id: EndpointId) -> float | None:
        """Returns the limit of an endpoint in requests per second, or None if it has none."""
        limit = self._limits.get(endpoint_id)
        return limit.per_s if limit is not None else None

    def __len__(self) -> int:
        """Returns the number of endpoints with a limit."""
        return len(self._limits)

    def observe_answer(
        self, endpoint_id: EndpointId, per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Applies what an answer says of a limit; returns whether this changes it.

        `per_s` is None if the answer names none, and `sent_s` the time at which its request was
        sent. An answer to a request from before the limit was last named can't raise or end it:
        answers may arrive in another order than they were given.
        """
        current = self._limits.get(endpoint_id)
        if current is None:
            if per_s is None:
                return False
            self._limits[endpoint_id] = _Limit(per_s, now_s)
            return True
        if sent_s < current.named_at_s and (per_s is None or per_s > current.per_s):
            return False
        if per_s is None:
            del self._limits[endpoint_id]
            return True
        changed = per_s != current.per_s
        current.per_s, current.named_at_s = per_s, now_s
        return changed

    def forget_endpoint(self, endpoint_id: EndpointId) -> None:
        """Removes the limit of an endpoint that no longer exists."""
        self._limits.pop(endpoint_id, None)
