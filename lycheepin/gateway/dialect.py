"""Names of the HTTP headers of a deployment, which the platform adapter provides."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True)
class HeaderNames:
    """Lower-case names of the headers that callers and endpoints use.

    Headers of requests: `request_id` is the id of one try of a caller, `time_left` the
    milliseconds to its deadline, `object_key` the key of the requested object.
    `expected_endpoint` is the id of the selected endpoint; any other one rejects the request.

    Headers of answers: `not_run` states that the endpoint did not run the request, `signature`
    proves that an endpoint made the answer, and `load` reports running requests, waiting requests
    and slots. `rate_limit` is the number of requests per second that the endpoint takes from all
    daemons together.

    `workspace` is the name of the workspace that a request belongs to, which only the daemon sets.
    """

    request_id: bytes
    time_left: bytes
    object_key: bytes
    expected_endpoint: bytes
    not_run: bytes
    signature: bytes
    load: bytes
    rate_limit: bytes
    workspace: bytes
