"""Stand-in of the platform's metadata store, with the ways in which it fails.

Keys, revisions, history, watches and leases as the published protocol describes them. Failures are
switched on by the caller: down, silent, slow, some callers turned away, history dropped, answers
lost, writes done late.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from lycheepin.gateway.incoming import IncomingRequest
from lycheepin.gateway.listener import Listener

__all__ = ["MetadataStandIn"]

# Items of one page of a listing.
PAGE_ITEMS = 5
MS_PER_S = 1000


class MetadataStandIn:
    """A store on one address; `override_status` replaces the answers of calls that it returns for."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.calls: list[str] = []
        self.unresponsive = False
        self.lose_answers = False
        self.answer_delay_s = 0.0
        self.write_delay_s = 0.0
        self.override_status: Callable[[str], int | None] = lambda target: None
        self._history: deque[dict[str, Any]] = deque()
        self._history_after = 0
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._listener = Listener(self._handle)

    async def listen(self, host: str, port: int) -> None:
        """Starts to serve."""
        await self._listener.listen(host, port)

    def close(self) -> None:
        """Stops serving and closes all connections."""
        self._listener.stop_listening()
        for connection in list(self._listener.connections):
            connection.abort()
        for timer in self._leases.values():
            timer.cancel()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value, JSON unless it is bytes; returns the revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "createRev": self.revision,
            "lease": lease,
        }
        self._record(self.items[key])
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "tombstone": True})

    def drop_history(self) -> None:
        """Drops all history, so that older watches have to list anew."""
        self._history.clear()
        self._history_after = self.revision
        self._wake()

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        timer = self._leases.pop(lease, None)
        if timer is not None:
            timer.cancel()
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _record(self, event: dict[str, Any]) -> None:
        """Adds an event to the history."""
        self._history.append(event)
        self._wake()

    def _wake(self) -> None:
        """Wakes all watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: IncomingRequest) -> None:
        """Answers one call, or fails it as told."""
        body = await request.read_up_to(1 << 20)
        target = request.target.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        if self.unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_delay_s)
        status = self.override_status(target)
        if status is not None:
            request.respond(status, [], b"")
            return
        path, _, query = target.partition("?")
        if self.write_delay_s and request.method == b"POST":
            self._answer_late(path, body)
            request.abort()
            return
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        code, answer = await self._answer(request.method.decode(), path, fields, body)
        if self.lose_answers:
            request.abort()
            return
        content = json.dumps(answer).encode()
        request.respond(code, [(b"Content-Type", b"application/json")], content)

    def _answer_late(self, path: str, body: bytes) -> None:
        """Carries a write out seconds after its call was given up."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.write_delay_s, lambda: loop.create_task(self._answer("POST", path, {}, body))
        )

    async def _answer(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Returns status and body of one call."""
        match method, path.split("/")[2:]:
            case "GET", ["kv-range"]:
                return 200, self._range(fields.get("prefix", ""), fields.get("after", ""))
            case "GET", ["kv-watch"]:
                return await self._watch(
                    fields.get("prefix", ""), int(fields["after"]), int(fields["waitMs"])
                )
            case "POST", ["kv-lease"]:
                return 200, self._grant(json.loads(body)["ttlMs"])
            case "POST", ["kv-keep", number]:
                return self._keep(int(number))
            case "DELETE", ["kv-lease-end", number]:
                self.end_lease(int(number))
                return 200, {}
            case "POST", ["kv-txn"]:
                return self._transact(json.loads(body))
        return 404, {"path": unquote(path)}

    def _range(self, prefix: str, after: str) -> Any:
        """Returns one page of a listing."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "asOf": self.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, Any]:
        """Returns the changes after a revision as soon as there are some."""
        end_s = asyncio.get_running_loop().time() + wait_ms / MS_PER_S
        while True:
            if after < self._history_after:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue  # the last look finds nothing, or what came just now

    def _grant(self, ttl_ms: int) -> Any:
        """Returns a new lease."""
        self._next_lease += 1
        self._schedule(self._next_lease, ttl_ms)
        return {"lease": self._next_lease, "ttlMs": ttl_ms}

    def _keep(self, lease: int) -> tuple[int, Any]:
        """Renews a lease."""
        timer = self._leases.get(lease)
        if timer is None:
            return 404, {}
        timer.cancel()
        self._schedule(lease, 4000)
        return 200, {"ttlMs": 4000}

    def _schedule(self, lease: int, ttl_ms: int) -> None:
        """Lets a lease end after its time."""
        loop = asyncio.get_running_loop()
        self._leases[lease] = loop.call_later(ttl_ms / MS_PER_S, self.end_lease, lease)

    def _transact(self, body: Any) -> tuple[int, Any]:
        """Carries out a transaction."""
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
