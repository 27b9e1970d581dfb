"""What a process holds for connections that it doesn't control, and which of them end first.

The load that it answers: crowds of clients that take memory or sockets and give nothing back. They
send legal heads of very many lines, bodies that stop short of their end and bursts of requests,
read no answers and keep connections idle. Without such a crowd nothing here decides anything.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

__all__ = ["Holder", "Holdings", "Machine", "Stage"]

MB = 1024 * 1024
# Machine of a process whose settings name none.
DEFAULT_MEMORY_MB = 512
DEFAULT_MAX_FDS = 1024
# Descriptors that the platform keeps for files (DEPLOY.md, "Memory and descriptors").
FILE_FDS = 200
# Parts of the memory that may be held for connections: above the first one no more is taken than a
# small part of each body and answer, above the second one connections end.
SHORT_SHARE = 0.12
FULL_SHARE = 0.2
# Part of what is left below the first of them that one body or answer may take.
WHOLE_SHARE = 1 / 16
# Part of the memory that the kernel may hold for a connection that isn't read, and its bounds.
UNREAD_SHARE = 1 / 4096
MIN_UNREAD_BYTES, MAX_UNREAD_BYTES = 16 * 1024, 4 * MB
# Part of the memory that the answer to one of the process's own calls may have, and its bounds. The
# store's page of a listing has about 1 MB (PROTOCOL.md, "The platform's metadata store").
CALL_SHARE = 1 / 32
MIN_CALL_BYTES, MAX_CALL_BYTES = 4 * MB, 16 * MB
# Sockets that are kept for the store, other daemons and listeners, and at least this part of them.
# Of the rest, the least part that is kept for endpoints.
RESERVED_SOCKETS = 24
RESERVED_SHARE = 0.02
ENDPOINT_SHARE = 1 / 3
# Part of the limit that is freed at once when connections have to end.
STEP_SHARE = 0.02
# Time in seconds that an idle connection has for the first bytes of a request.
FIRST_BYTES_S = 0.25
# Time in seconds without a byte after which a connection may end while memory is short: one whose
# request has not run, and one whose answer isn't read.
STALLED_REQUEST_S = 1.0
STALLED_ANSWER_S = 3.0


class Stage(IntEnum):
    """What a connection is doing, in the order of the work that its end would lose."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    ANSWER = 3
    RUNNING = 4


# How much a byte counts in each stage when the holder is chosen that holds most for the least work.
WEIGHTS = {Stage.IDLE: 4, Stage.HEAD: 4, Stage.BODY: 4, Stage.ANSWER: 2, Stage.RUNNING: 1}


class Holder(Protocol):
    """A connection: its peer's address, its stage, and when its last byte was sent or received."""

    @property
    def caller_host(self) -> str:
        """The network address of the peer."""

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""

    @property
    def active_since_s(self) -> float:
        """When the connection last made progress."""

    def evict(self, reason: str) -> None:
        """Ends the connection, or refuses the request whose body it waits for."""


@dataclass(frozen=True)
class Machine:
    """Memory in bytes, and sockets, that a process may use."""

    memory_bytes: int
    sockets: int

    @classmethod
    def from_limits(cls, memory_mb: float = 0, max_fds: int = 0) -> Machine:
        """Returns the machine with these limits; 0 stands for a default."""
        memory_mb = memory_mb if memory_mb > 0 else DEFAULT_MEMORY_MB
        sockets = (max_fds if max_fds > 0 else DEFAULT_MAX_FDS) - FILE_FDS
        return cls(int(memory_mb * MB), max(sockets, RESERVED_SOCKETS))

    @property
    def unread_bytes(self) -> int:
        """The bytes that the kernel may hold for a connection that is not read."""
        share = int(self.memory_bytes * UNREAD_SHARE)
        return min(max(share, MIN_UNREAD_BYTES), MAX_UNREAD_BYTES)

    @property
    def call_bytes(self) -> int:
        """The bytes that the answer to a call of the process's own may have."""
        return min(max(int(self.memory_bytes * CALL_SHARE), MIN_CALL_BYTES), MAX_CALL_BYTES)


class Holdings:
    """Bytes and sockets that a process holds, by holder.

    `count_endpoint_sockets` returns the number of connections to endpoints, `count_idle_sockets`
    how many of them carry no request. `opening` counts connections of callers that were accepted
    and have no holder yet.
    """

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self._bytes: dict[Holder, int] = {}
        self.held_bytes = 0
        self.count_endpoint_sockets: Callable[[], int] = lambda: 0
        self.count_idle_sockets: Callable[[], int] = lambda: 0
        self.opening = 0
        self.short_bytes = int(machine.memory_bytes * SHORT_SHARE)
        self.full_bytes = int(machine.memory_bytes * FULL_SHARE)
        reserved = max(RESERVED_SOCKETS, int(machine.sockets * RESERVED_SHARE))
        self._sockets = max(machine.sockets - reserved, 2)
        self._least_endpoint_sockets = int(self._sockets * ENDPOINT_SHARE)

    @property
    def connections(self) -> int:
        """The number of connections of callers, operators and other daemons."""
        return len(self._bytes) + self.opening

    @property
    def is_short(self) -> bool:
        """Whether so much is held that large bodies and answers are no longer taken in whole."""
        return self.held_bytes > self.short_bytes

    @property
    def whole_bytes(self) -> int:
        """The size up to which a body or answer may be held in whole: a part of what is left."""
        return max(int((self.short_bytes - self.held_bytes) * WHOLE_SHARE), 0)

    @property
    def is_full(self) -> bool:
        """Whether so much is held that connections have to end."""
        return self.held_bytes > self.full_bytes

    @property
    def admits_connection(self) -> bool:
        """Whether a further connection may be accepted."""
        kept = max(self.count_endpoint_sockets(), self._least_endpoint_sockets)
        return self.connections + kept < self._sockets

    @property
    def has_endpoint_socket(self) -> bool:
        """Whether a further connection to an endpoint may be opened."""
        return self._has_room_beside(self.count_endpoint_sockets())

    @property
    def admits_attempt(self) -> bool:
        """Whether an attempt may start; it may replace a connection that carries no request."""
        return self._has_room_beside(self.count_endpoint_sockets() - self.count_idle_sockets())

    def _has_room_beside(self, endpoint_sockets: int) -> bool:
        """Returns whether there may be more connections to endpoints than a number."""
        used = self.connections + endpoint_sockets
        return endpoint_sockets < self._least_endpoint_sockets or used < self._sockets

    def record(self, holder: Holder, held_bytes: int) -> None:
        """Records how many bytes are held for a holder."""
        self.held_bytes += held_bytes - self._bytes.get(holder, 0)
        self._bytes[holder] = held_bytes

    def find_bytes(self, holder: Holder) -> int:
        """Returns how many bytes are held for a holder."""
        return self._bytes.get(holder, 0)

    def remove(self, holder: Holder) -> None:
        """Forgets a holder that has ended."""
        self.held_bytes -= self._bytes.pop(holder, 0)

    def choose_largest(self) -> list[Holder]:
        """Returns holders whose end brings what is held under the upper limit, the first first."""
        excess = self.held_bytes - self.full_bytes + int(self.full_bytes * STEP_SHARE)
        return self._choose(excess, lambda holder: True)

    def choose_stalled(self, now_s: float) -> list[Holder]:
        """Returns holders that have stalled, and whose end brings what is held to the lower limit.

        Those whose request is running are left alone.
        """

        def is_stalled(holder: Holder) -> bool:
            """Returns whether a holder has made no progress for too long."""
            stage = holder.stage
            limit_s = STALLED_ANSWER_S if stage is Stage.ANSWER else STALLED_REQUEST_S
            is_waiting = Stage.IDLE < stage < Stage.RUNNING
            return is_waiting and now_s - holder.active_since_s > limit_s

        return self._choose(self.held_bytes - self.short_bytes, is_stalled)

    def _choose(self, excess: int, may_end: Callable[[Holder], bool]) -> list[Holder]:
        """Returns holders that hold `excess` bytes together, or as many as may end.

        The next one is always the largest of the address for which most is held, so that one
        address can't take the place of others by opening many connections.
        """
        by_host: defaultdict[str, list[tuple[int, int, Holder]]] = defaultdict(list)
        for index, (holder, held_bytes) in enumerate(self._bytes.items()):
            if may_end(holder):
                weighed = held_bytes * WEIGHTS[holder.stage]
                by_host[holder.caller_host].append((weighed, index, holder))
        hosts = [(-sum(h[0] for h in held), host) for host, held in by_host.items()]
        heapq.heapify(hosts)
        for held in by_host.values():
            held.sort()
        chosen: list[Holder] = []
        while excess > 0 and hosts:
            total, host = heapq.heappop(hosts)
            weighed, _, holder = by_host[host].pop()
            chosen.append(holder)
            excess -= self._bytes[holder]
            if by_host[host]:
                heapq.heappush(hosts, (total + weighed, host))
        return chosen

    def choose_idlest(self, now_s: float) -> list[Holder]:
        """Returns holders whose end makes room for further connections, none if all are at work.

        They belong to the addresses with most connections; the least work is lost, and of equal
        ones the longest without progress ends. A new connection has some time for its first bytes.
        """
        counts = Counter(holder.caller_host for holder in self._bytes)
        waiting = [
            holder
            for holder in self._bytes
            if Stage.IDLE < holder.stage < Stage.ANSWER
            or (holder.stage is Stage.IDLE and now_s - holder.active_since_s > FIRST_BYTES_S)
        ]
        return heapq.nsmallest(
            max(1, int(self._sockets * STEP_SHARE)),
            waiting,
            key=lambda holder: (
                -counts[holder.caller_host],
                holder.stage,
                holder.active_since_s,
            ),
        )

    def choose_stopped_readers(self, now_s: float) -> list[Holder]:
        """Returns the reader that stopped longest ago, if any; it keeps an endpoint's socket."""
        stopped = [
            holder
            for holder in self._bytes
            if holder.stage is Stage.ANSWER and now_s - holder.active_since_s > STALLED_ANSWER_S
        ]
        return heapq.nsmallest(1, stopped, key=lambda holder: holder.active_since_s)
