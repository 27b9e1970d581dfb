"""Protected requests: at most one run of each request id.

A request id is bound to one incarnation of a daemon, its owner, and only the owner runs it. The
owner keeps the id until it expires by the owner's clock, which never goes backwards, and refuses
it from then on. A process that starts later at the same address has another incarnation and never
runs the ids of the earlier one.
"""

from __future__ import annotations

import heapq
import ipaddress
from dataclasses import dataclass
from enum import Enum

from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import Address, Incarnation, RequestKey

__all__ = [
    "BeginDecision",
    "ForwardToOwner",
    "RequestRefusal",
    "Replay",
    "RequestId",
    "RequestIdTable",
    "Run",
    "RunState",
    "Running",
    "StoredAnswer",
]

# Largest body of an answer that is kept for repeats of its request.
MAX_ANSWER_BYTES = 64 * 1024
# Total size of the bodies that are kept.
MAX_STORED_BYTES = 16 * 1024 * 1024
# Number of ids in the table. A full table refuses new ids, as a request whose id was dropped before
# its expiry could run twice.
MAX_ENTRIES = 200_000
# Accepted difference between the clocks of the owner and of the daemon that issued the id.
CLOCK_SKEW_MS = 30_000


@dataclass(frozen=True)
class RequestId:
    """A request id: its owner, its expiry in wall-clock milliseconds, and a nonce.

    The nonce is unique for an owner.
    """

    address: Address
    incarnation: Incarnation
    expires_ms: int
    nonce: str

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Returns the id in `text`; raises ValueError when it is malformed."""
        parts = text.split("_")
        if len(parts) != 4 or not parts[0] or not parts[3].isalnum():
            raise ValueError(f"not a request id: {text[:80]!r}")
        ipaddress.ip_address(parts[0])
        incarnation, expires_ms = int(parts[1], 16), int(parts[2], 16)
        if not 0 <= incarnation < 1 << 63 or not 0 <= expires_ms < 1 << 48:
            raise ValueError(f"not a request id: {text[:80]!r}")
        return cls(Address(parts[0]), Incarnation(incarnation), expires_ms, parts[3])

    @property
    def key(self) -> RequestKey:
        """The id in its text form, as a key."""
        return RequestKey(str(self))

    def __str__(self) -> str:
        """Returns the text form that callers send."""
        return f"{self.address}_{self.incarnation:x}_{self.expires_ms:x}_{self.nonce}"


@dataclass(frozen=True)
class StoredAnswer:
    """A complete answer that is kept for repeats of its request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RunState(Enum):
    """State of one id at its owner."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Run:
    """Run the request now. An id gets this decision again only after `not_run`."""


@dataclass(frozen=True)
class Running:
    """The request is running already: wait for its end."""


@dataclass(frozen=True)
class Replay:
    """Send the stored answer again."""

    answer: StoredAnswer


@dataclass(frozen=True)
class ForwardToOwner:
    """Forward the request to the owner of its id."""

    address: Address
    incarnation: Incarnation


@dataclass(frozen=True)
class RequestRefusal:
    """Answer with a fault and don't run the request."""

    fault: Fault


BeginDecision = Run | Running | Replay | ForwardToOwner | RequestRefusal


@dataclass
class _Entry:
    """The owner's record of one id."""

    state: RunState
    answer: StoredAnswer | None = None


class RequestIdTable:
    """The ids that this incarnation owns."""

    def __init__(
        self, address: Address, incarnation: Incarnation, lifetime_ms: int, max_entries: int = 0
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self._lifetime_ms = lifetime_ms
        self._max_entries = max_entries or MAX_ENTRIES
        self._entries: dict[RequestKey, _Entry] = {}
        self._expiries: list[tuple[int, RequestKey]] = []
        self._stored: dict[RequestKey, int] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Returns the number of ids in the table."""
        return len(self._entries)

    def begin(self, request_id: RequestId, now_ms: int) -> BeginDecision:
        """Returns the decision on a request with an id, and records the id when it is to run."""
        if (request_id.address, request_id.incarnation) != (self.address, self.incarnation):
            return ForwardToOwner(request_id.address, request_id.incarnation)
        if request_id.expires_ms <= now_ms:
            return RequestRefusal(Fault(ErrorKind.ID_EXPIRED))
        if request_id.expires_ms > now_ms + self._lifetime_ms + CLOCK_SKEW_MS:
            return RequestRefusal(Fault(ErrorKind.BAD_REQUEST, "the id is valid for too long"))
        entry = self._entries.get(request_id.key)
        if entry is None:
            if len(self._entries) >= self._max_entries:
                return RequestRefusal(Fault(ErrorKind.QUEUE_FULL, "too many request ids"))
            self._entries[request_id.key] = _Entry(RunState.RUNNING)
            heapq.heappush(self._expiries, (request_id.expires_ms, request_id.key))
            return Run()
        if entry.state is RunState.RUNNING:
            return Running()
        if entry.answer is not None:
            return Replay(entry.answer)
        kind = ErrorKind.ENDPOINT_BROKE
        if entry.state is RunState.ANSWERED:
            kind = ErrorKind.ANSWER_NOT_KEPT
        return RequestRefusal(Fault(kind))

    def answered(self, key: RequestKey, answer: StoredAnswer | None) -> None:
        """Records that the request ran; keeps its answer if it is small enough."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.state = RunState.ANSWERED
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            self._store(key, entry, answer)

    def unknown(self, key: RequestKey) -> None:
        """Records that the request may have run, so that it is not run again."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = RunState.UNKNOWN

    def not_run(self, key: RequestKey) -> None:
        """Records that the request certainly did not run, so that a repeat may run it."""
        self._entries.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Removes expired ids; `begin` refuses them by their expiry."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            entry = self._entries.get(key)
            if entry is not None:
                del self._entries[key]
            self._stored_bytes -= self._stored.pop(key, 0)

    def _store(self, key: RequestKey, entry: _Entry, answer: StoredAnswer) -> None:
        """Stores an answer and drops the oldest ones beyond MAX_STORED_BYTES."""
        entry.answer = answer
        self._stored[key] = len(answer.body)
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > MAX_STORED_BYTES:
            oldest = next(iter(self._stored))
            self._stored_bytes -= self._stored.pop(oldest)
            if oldest in self._entries:
                self._entries[oldest].answer = None
