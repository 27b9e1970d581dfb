"""Protected requests: at most one run of each id, by binding ids to one home incarnation.

The home is the only process that runs an id. It remembers the id at least until the id expires,
by one clock of its own that never goes back; after that it refuses the id without running it. A
process that follows at the same address has another incarnation and never runs the ids of its
predecessor.
"""

from __future__ import annotations

import heapq
import ipaddress
from dataclasses import dataclass
from enum import Enum

from lycheepin.errors import ErrorKind, Fault
from lycheepin.names import Address, Incarnation, RequestKey

__all__ = [
    "Begin",
    "ForwardToOwner",
    "Rejected",
    "Replay",
    "RequestId",
    "RequestIdTable",
    "Run",
    "RunState",
    "Running",
    "StoredAnswer",
]

MAX_ANSWER_BYTES = 64 * 1024
MAX_STORED_BYTES = 16 * 1024 * 1024
MAX_ENTRIES = 200_000
CLOCK_SKEW_MS = 30_000


@dataclass(frozen=True)
class RequestId:
    """A request id: its home, until when it is valid, and a number unique in that home."""

    address: Address
    incarnation: Incarnation
    expires_ms: int
    nonce: str

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Returns the id in `text`; raises ValueError for another form."""
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
        """The id as one word."""
        return RequestKey(str(self))

    def __str__(self) -> str:
        """Returns the form that callers send."""
        return f"{self.address}_{self.incarnation:x}_{self.expires_ms:x}_{self.nonce}"


@dataclass(frozen=True)
class StoredAnswer:
    """A complete answer, kept to be given again."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RunState(Enum):
    """State of one id at its home."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Run:
    """Run the request now: this is the only time that this id gets this decision."""


@dataclass(frozen=True)
class Running:
    """The first attempt is in progress: wait for it."""


@dataclass(frozen=True)
class Replay:
    """Give the first answer again."""

    answer: StoredAnswer


@dataclass(frozen=True)
class ForwardToOwner:
    """Pass the request to its home."""

    address: Address
    incarnation: Incarnation


@dataclass(frozen=True)
class Rejected:
    """Answer with a fault and do not run."""

    fault: Fault


Begin = Run | Running | Replay | ForwardToOwner | Rejected


@dataclass
class _Entry:
    """What the home remembers of one id."""

    state: RunState
    answer: StoredAnswer | None = None


class RequestIdTable:
    """The ids that this incarnation is the home of."""

    def __init__(
        self, address: Address, incarnation: Incarnation, lifetime_ms: int, max_entries: int = 0
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self._lifetime_ms = lifetime_ms
        self._max_entries = max_entries or MAX_ENTRIES
        self._entries: dict[RequestKey, _Entry] = {}
        self._expiry: list[tuple[int, RequestKey]] = []
        self._stored: dict[RequestKey, int] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Returns the number of ids remembered."""
        return len(self._entries)

    def begin(self, request: RequestId, now_ms: int) -> Begin:
        """Returns what to do with a request that carries this id."""
        if (request.address, request.incarnation) != (self.address, self.incarnation):
            return ForwardToOwner(request.address, request.incarnation)
        if request.expires_ms <= now_ms:
            return Rejected(Fault(ErrorKind.ID_EXPIRED))
        if request.expires_ms > now_ms + self._lifetime_ms + CLOCK_SKEW_MS:
            return Rejected(Fault(ErrorKind.BAD_REQUEST, "the id is valid for too long"))
        entry = self._entries.get(request.key)
        if entry is None:
            if len(self._entries) >= self._max_entries:
                return Rejected(Fault(ErrorKind.QUEUE_FULL, "too many request ids"))
            self._entries[request.key] = _Entry(RunState.RUNNING)
            heapq.heappush(self._expiry, (request.expires_ms, request.key))
            return Run()
        if entry.state is RunState.RUNNING:
            return Running()
        if entry.answer is not None:
            return Replay(entry.answer)
        kind = ErrorKind.ENDPOINT_BROKE
        if entry.state is RunState.ANSWERED:
            kind = ErrorKind.ANSWER_NOT_KEPT
        return Rejected(Fault(kind))

    def answered(self, key: RequestKey, answer: StoredAnswer | None) -> None:
        """Records that the request ran; a small answer is kept."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.state = RunState.ANSWERED
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            self._store(key, entry, answer)

    def unknown(self, key: RequestKey) -> None:
        """Records that the request may have run; it is never run again."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = RunState.UNKNOWN

    def not_run(self, key: RequestKey) -> None:
        """Records that the request certainly did not run; a repeat may run it."""
        self._entries.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Forgets the ids that are no longer valid; begin refuses them from now on."""
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiry)
            entry = self._entries.get(key)
            if entry is not None:
                del self._entries[key]
            self._stored_bytes -= self._stored.pop(key, 0)

    def _store(self, key: RequestKey, entry: _Entry, answer: StoredAnswer) -> None:
        """Keeps an answer; the oldest ones make room for it."""
        entry.answer = answer
        self._stored[key] = len(answer.body)
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > MAX_STORED_BYTES:
            oldest = next(iter(self._stored))
            self._stored_bytes -= self._stored.pop(oldest)
            if oldest in self._entries:
                self._entries[oldest].answer = None
