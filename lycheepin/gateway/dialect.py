"""The words of one deployment's HTTP interface, passed in so that the request path knows none."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True)
class HeaderNames:
    """Lower-case header names that callers and endpoints use.

    `request_id` names one attempt of a caller, `time_left` its remaining milliseconds,
    `object_key` the object it is about. `expected_endpoint` makes any other endpoint refuse.
    `not_run` marks an answer by which the endpoint did not run the request, `signature` one that
    an endpoint made. `load` reports running and waiting requests and slots.
    """

    request_id: bytes
    time_left: bytes
    object_key: bytes
    expected_endpoint: bytes
    not_run: bytes
    signature: bytes
    load: bytes
