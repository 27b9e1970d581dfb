"""Stand-in of the platform's metadata store, with failures on demand.

It serves keys, revisions, history, watches and leases as the platform's protocol describes them.
A test can make it unavailable, unresponsive or slow, let it reject some of the calls, lose answers
or delay writes, drop its history, and restore it from a copy.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener
from standins.switches import SwitchBoard

__all__ = ["MetadataStandIn", "StoreCopy"]

# Items of one page of a listing.
PAGE_ITEMS = 5
# Changes that the history holds.
MAX_HISTORY = 100_000
# Time in seconds after which a write is carried out whose call has failed.
LATE_WRITE_S = 1.5
# Time to live of the leases of a restored copy, in milliseconds.
RESTORED_LEASE_MS = 4000
MS_PER_S = 1000


@dataclass(frozen=True)
class StoreCopy:
    """What a store held at a revision: its items, its leases and the number of the last lease."""

    items: dict[str, dict[str, Any]]
    revision: int
    leases: frozenset[int]
    last_lease: int


class MetadataStandIn:
    """A metadata store that listens on one address.

    Attributes that a test changes:
        unresponsive: Calls are read and never answered.
        lose_answers: Calls are carried out, then their connection is closed without an answer.
        execution_delay_s: Time between the arrival of a call and its execution.
        write_delay_s: Additional time before a write; the connection of its call is closed at once.
        min_ttl_ms: Shortest time to live of a lease that is granted.
        board: Switches of the store, see `standins.switches`.
        on_page: Called after each page of a listing.
        is_down: Whether no call is served; leases may stand still meanwhile.
        override_status: Returns the status with which a call to a target is rejected, None to
            serve the call.

    `calls` lists method and target of all calls.
    """

    def __init__(self, first_number: int = 1) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = first_number
        self.era = 0
        self.calls: list[str] = []
        self.unresponsive = False
        self.lose_answers = False
        self.is_down = False
        self.execution_delay_s = 0.0
        self.write_delay_s = 0.0
        self.min_ttl_ms = 0
        self.board = SwitchBoard()
        self.on_page: Callable[[], None] = lambda: None
        self.override_status: Callable[[str], int | None] = lambda target: None
        self._history: deque[dict[str, Any]] = deque()
        self._history_after = 0
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._ttls_ms: dict[int, int] = {}
        self._waiting: set[IncomingRequest] = set()
        self._last_lease = first_number + 100
        self._changed = asyncio.Event()
        self._random = random.Random(first_number)
        self._listener = Listener(self._handle)

    async def listen(self, host: str, port: int) -> None:
        """Starts to listen."""
        await self._listener.listen(host, port)

    def close(self) -> None:
        """Stops listening, aborts all connections and cancels the timers of the leases."""
        self._listener.stop_listening()
        for connection in list(self._listener.connections):
            connection.abort()
        for timer in self._leases.values():
            timer.cancel()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value and returns its revision; a value that is not bytes is encoded as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "createRev": self.revision,
            "lease": lease,
        }
        self._append_event(self.items[key])
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "tombstone": True})

    def drop_history(self) -> None:
        """Drops the history; watches from an earlier revision are answered with 410."""
        self._history.clear()
        self._history_after = self.revision
        self._notify_watches()

    @property
    def watch_count(self) -> int:
        """The number of watches that are waiting."""
        return len(self._waiting)

    def cut_watches(self) -> None:
        """Closes the connections of the watches that are waiting."""
        for request in self._waiting:
            request.abort()
        self._waiting.clear()

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        timer = self._leases.pop(lease, None)
        if timer is not None:
            timer.cancel()
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def make_copy(self) -> StoreCopy:
        """Returns a copy from which the store can be restored."""
        return StoreCopy(
            copy.deepcopy(self.items), self.revision, frozenset(self._leases), self._last_lease
        )

    def restore(self, stored: StoreCopy) -> None:
        """Loses all that was written since a copy; revisions and leases are given out again.

        Connections are closed, as the store was away for a moment.
        """
        for timer in self._leases.values():
            timer.cancel()
        self.items = copy.deepcopy(stored.items)
        self.revision = stored.revision
        self.era += 1
        self._leases.clear()
        self._last_lease = stored.last_lease
        for lease in stored.leases:
            self._schedule_expiry(lease, RESTORED_LEASE_MS)
        self._history.clear()
        self._history_after = self.revision
        for connection in list(self._listener.connections):
            connection.abort()

    def _append_event(self, event: dict[str, Any]) -> None:
        """Appends an event to the history and notifies the watches."""
        self._history.append(event)
        while len(self._history) > self.board.count("store.short-history", MAX_HISTORY):
            self._history_after = self._history.popleft()["revision"]
        self._notify_watches()

    def _notify_watches(self) -> None:
        """Lets all waiting watches read the history again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: IncomingRequest) -> None:
        """Answers one call, or makes it fail in the way that is set."""
        body = (await request.read_up_to(1 << 20)).content
        target = request.target.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        if self.unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(self.execution_delay_s + self._draw_delay_s())
        status = self.override_status(target)
        if status is None and self.board.happens("store.reject"):
            status = self._random.choice((0, 429, 503, 503))
        if status == 0:
            request.abort()
            return
        if status is not None:
            request.respond(status, [self._era_header()], b"")
            return
        path, _, query = target.partition("?")
        late_s = LATE_WRITE_S if self.board.happens("store.late-writes") else self.write_delay_s
        if late_s and request.method == b"POST":
            self._schedule_write(path, body, late_s)
            request.abort()
            return
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        cut_after_s: float | None = None
        if "kv-watch" in path:
            self._waiting.add(request)
            cut_after_s = self.board.dose("store.cut-watches") or None
        try:
            async with asyncio.timeout(cut_after_s):
                code, answer = await self._execute(request.method.decode(), path, fields, body)
        except TimeoutError:
            request.abort()
            return
        finally:
            self._waiting.discard(request)
        if self.lose_answers or self.board.happens("store.lose-answers"):
            request.abort()
            return
        content = json.dumps(answer).encode()
        headers = [(b"Content-Type", b"application/json"), self._era_header()]
        request.respond(code, headers, content)

    def _era_header(self) -> tuple[bytes, bytes]:
        """Returns the header that counts how often the store was restored from a copy."""
        return b"Store-Era", str(self.era).encode()

    def _draw_delay_s(self) -> float:
        """Returns the time that a slow store takes for one call, in seconds."""
        mean_s = self.board.dose("store.slow")
        return self._random.expovariate(1 / mean_s) if mean_s else 0.0

    def _schedule_write(self, path: str, body: bytes, delay_s: float) -> None:
        """Schedules a write for `delay_s` later; its call has failed by then."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, lambda: loop.create_task(self._execute("POST", path, {}, body)))

    async def _execute(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Carries out one call and returns its status and body."""
        match method, path.split("/")[2:]:
            case "GET", ["kv-range"]:
                page = self._list_page(fields.get("prefix", ""), fields.get("after", ""))
                if self.board.happens("store.changing-pages"):
                    self.on_page()
                return 200, page
            case "GET", ["kv-watch"]:
                return await self._watch(
                    fields.get("prefix", ""), int(fields["after"]), int(fields["waitMs"])
                )
            case "POST", ["kv-lease"]:
                ttl_ms = json.loads(body)["ttlMs"]
                return (200, self._grant_lease(ttl_ms)) if ttl_ms >= self.min_ttl_ms else (400, {})
            case "POST", ["kv-keep", number]:
                return self._renew_lease(int(number))
            case "DELETE", ["kv-lease-end", number]:
                self.end_lease(int(number))
                return 200, {}
            case "POST", ["kv-txn"]:
                return self._execute_transaction(json.loads(body))
        return 404, {"path": unquote(path)}

    def _list_page(self, prefix: str, after: str) -> Any:
        """Returns one page of the keys with a prefix that are greater than `after`."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        size = self.board.count("store.small-pages", PAGE_ITEMS)
        page = [self.items[key] for key in keys[:size]]
        return {"items": page, "hasMore": len(keys) > size, "asOf": self.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, Any]:
        """Returns the changes after a revision as soon as there are some, or none after `wait_ms`.

        The status is 410 when the history does not have all of these changes, or not the revision.
        """
        deadline_s = asyncio.get_running_loop().time() + wait_ms / MS_PER_S
        while True:
            if after < self._history_after or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            max_events = self.board.count("store.few-events", len(events))
            if len(events) > max_events:
                events = events[:max_events]
                return 200, {"events": events, "asOf": events[-1]["revision"]}
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue  # the next pass returns the changes so far, or none

    def _grant_lease(self, ttl_ms: int) -> Any:
        """Grants a lease and returns the answer."""
        self._last_lease += 1
        longest_s = self.board.dose("store.short-leases")
        ttl_ms = min(ttl_ms, int(longest_s * MS_PER_S)) if longest_s else ttl_ms
        self._schedule_expiry(self._last_lease, ttl_ms)
        return {"lease": self._last_lease, "ttlMs": ttl_ms}

    def _renew_lease(self, lease: int) -> tuple[int, Any]:
        """Renews a lease; the status is 404 when it has ended."""
        timer = self._leases.get(lease)
        if timer is None:
            return 404, {}
        timer.cancel()
        ttl_ms = self._ttls_ms[lease]
        self._schedule_expiry(lease, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _schedule_expiry(self, lease: int, ttl_ms: int) -> None:
        """Schedules the end of a lease."""
        loop = asyncio.get_running_loop()
        self._ttls_ms[lease] = ttl_ms
        self._leases[lease] = loop.call_later(ttl_ms / MS_PER_S, self._expire_lease, lease)

    def _expire_lease(self, lease: int) -> None:
        """Ends a lease that was not renewed; in an outage its time may stand still."""
        if self.is_down and self.board.happens("store.pause-leases"):
            self._schedule_expiry(lease, self._ttls_ms[lease])
        else:
            self.end_lease(lease)

    def _execute_transaction(self, body: Any) -> tuple[int, Any]:
        """Carries out a transaction.

        The status is 412 when a key does not have the revision that the precondition requires, and
        404 when a lease of a write has ended.
        """
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}
