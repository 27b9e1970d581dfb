"""Error kinds, and the answer that is sent for each of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["ANSWERS", "DECODE_ERRORS", "Answer", "ErrorKind", "Fault", "Outcome"]

# Exceptions that reading a malformed JSON value and its fields can raise.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class Outcome(Enum):
    """Whether a request that got an error answer is certain not to have run."""

    NOT_RUN = "NOT_RUN"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"


class ErrorKind(Enum):
    """Reasons for which a daemon refuses or fails a request."""

    BAD_FRAMING = "bad_framing"
    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    NO_CONFIGURATION = "no_configuration"
    NO_CAPACITY = "no_capacity"
    ENDPOINTS_LIMITED = "endpoints_limited"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    QUEUE_FULL = "queue_full"
    NO_MEMORY = "no_memory"
    DEADLINE = "deadline"
    SHIFT_CAP = "shift_cap"
    LINK_FULL = "link_full"
    ENDPOINT_REPLACED = "endpoint_replaced"
    NO_ROUTE = "no_route"
    NO_REGION = "no_region"
    UNKNOWN_KEY = "unknown_key"
    QUOTA_SPENT = "quota_spent"
    ENDPOINT_SHED = "endpoint_shed"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_BROKE = "endpoint_broke"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    HOME_GONE = "home_gone"
    HOME_UNREACHABLE = "home_unreachable"
    ID_EXPIRED = "id_expired"
    ANSWER_NOT_KEPT = "answer_not_kept"
    FORBIDDEN = "forbidden"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    REFUSED_CONFIGURATION = "refused_configuration"


@dataclass(frozen=True)
class Answer:
    """HTTP status, outcome and message of the answer for one error kind."""

    status: int
    outcome: Outcome
    message: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_FRAMING: Answer(400, Outcome.NOT_RUN, "the request is framed ambiguously"),
    ErrorKind.BAD_REQUEST: Answer(400, Outcome.NOT_RUN, "a field of the request is not valid"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Outcome.NOT_RUN, "no such fleet and service"),
    ErrorKind.UNKNOWN_CLASS: Answer(404, Outcome.NOT_RUN, "no class has this method and path"),
    ErrorKind.NO_CONFIGURATION: Answer(503, Outcome.NOT_RUN, "no configuration is known yet"),
    ErrorKind.NO_CAPACITY: Answer(503, Outcome.NOT_RUN, "no slot is held for the service"),
    ErrorKind.ENDPOINTS_LIMITED: Answer(
        503, Outcome.NOT_RUN, "the endpoints take no more a second"
    ),
    ErrorKind.QUARANTINED: Answer(503, Outcome.NOT_RUN, "endpoints crashed under this request"),
    ErrorKind.DRAINING: Answer(503, Outcome.NOT_RUN, "the daemon is about to stop"),
    ErrorKind.QUEUE_FULL: Answer(503, Outcome.NOT_RUN, "too many requests are waiting"),
    ErrorKind.NO_MEMORY: Answer(503, Outcome.NOT_RUN, "memory or sockets of the daemon are short"),
    ErrorKind.DEADLINE: Answer(503, Outcome.NOT_RUN, "the deadline can't be met"),
    ErrorKind.SHIFT_CAP: Answer(503, Outcome.NOT_RUN, "the cap on shifts is reached"),
    ErrorKind.LINK_FULL: Answer(503, Outcome.NOT_RUN, "the link's share for uploads is in use"),
    ErrorKind.ENDPOINT_REPLACED: Answer(503, Outcome.NOT_RUN, "another endpoint has the address"),
    ErrorKind.NO_ROUTE: Answer(404, Outcome.NOT_RUN, "no route has this host and path"),
    ErrorKind.NO_REGION: Answer(503, Outcome.NOT_RUN, "no region may serve the request"),
    ErrorKind.UNKNOWN_KEY: Answer(401, Outcome.NOT_RUN, "the key belongs to no workspace"),
    ErrorKind.QUOTA_SPENT: Answer(429, Outcome.NOT_RUN, "the quota of the workspace is spent"),
    ErrorKind.ENDPOINT_SHED: Answer(503, Outcome.NOT_RUN, "the endpoints shed the request"),
    ErrorKind.ENDPOINT_UNREACHABLE: Answer(503, Outcome.NOT_RUN, "no endpoint was reached"),
    ErrorKind.ENDPOINT_BROKE: Answer(502, Outcome.OUTCOME_UNKNOWN, "the endpoint's answer broke"),
    ErrorKind.ENDPOINT_TIMEOUT: Answer(504, Outcome.OUTCOME_UNKNOWN, "no answer in time"),
    ErrorKind.HOME_GONE: Answer(409, Outcome.OUTCOME_UNKNOWN, "the request's home has ended"),
    ErrorKind.HOME_UNREACHABLE: Answer(502, Outcome.OUTCOME_UNKNOWN, "the home is not reachable"),
    ErrorKind.ID_EXPIRED: Answer(409, Outcome.OUTCOME_UNKNOWN, "the request id has expired"),
    ErrorKind.ANSWER_NOT_KEPT: Answer(409, Outcome.OUTCOME_UNKNOWN, "it ran; answer not kept"),
    ErrorKind.FORBIDDEN: Answer(403, Outcome.NOT_RUN, "the operator key is missing or wrong"),
    ErrorKind.CONFLICT: Answer(409, Outcome.NOT_RUN, "another change came first"),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Outcome.OUTCOME_UNKNOWN, "the store didn't answer"),
    ErrorKind.REFUSED_CONFIGURATION: Answer(422, Outcome.NOT_RUN, "the configuration is refused"),
}


@dataclass(frozen=True)
class Fault:
    """The error of one request: its kind and optional details."""

    kind: ErrorKind
    detail: str = ""

    @property
    def answer(self) -> Answer:
        """The answer for this kind."""
        return ANSWERS[self.kind]

    def body(self) -> dict[str, str]:
        """Returns the body of the answer as a JSON object."""
        message = self.answer.message
        if self.detail:
            message = f"{message}: {self.detail}"
        return {
            "kind": self.kind.value,
            "outcome": self.answer.outcome.value,
            "message": message,
        }
