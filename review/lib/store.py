"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.lib.http import encode, read_message

PAGE_ITEMS = 500
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Store:
    """A linearizable store with revisions, watches and leases; it loses nothing."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.events: list[dict[str, Any]] = []
        self.waiting: set[asyncio.StreamWriter] = set()
        self.cut_watches = 0
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._last_lease = 70000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str) -> str:
        """Starts to listen on a free port; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Writes a value, which is encoded as JSON unless it is bytes already."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "createRev": before["createRev"] if before else self.revision,
            "lease": lease,
        }
        self._add_event(self.items[key])

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "tombstone": True})

    def cut_waiting_watches(self) -> None:
        """Closes the connections of the watches that are waiting."""
        for writer in list(self.waiting):
            self.cut_watches += 1
            writer.transport.abort()

    def _add_event(self, event: dict[str, Any]) -> None:
        """Keeps a change and wakes the watches."""
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        self._connections.add(writer)
        try:
            while True:
                call = await read_message(reader)
                method, target, _ = call.start.split(" ")
                status, document = await self._execute(method, target, call.body, writer)
                headers = {"Content-Type": "application/json"}
                start = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
                writer.write(encode(start, headers, json.dumps(document).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self._connections.discard(writer)
            self.waiting.discard(writer)
            writer.transport.abort()

    async def _execute(
        self, method: str, target: str, body: bytes, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        """Carries out one call; returns status and body of its answer."""
        url = urlsplit(target)
        fields = {name: values[0] for name, values in parse_qs(url.query).items()}
        match method, unquote(url.path).split("/")[2:]:
            case "GET", ["kv-range"]:
                return 200, self._list(fields.get("prefix", ""), fields.get("after", ""))
            case "GET", ["kv-watch"]:
                self.waiting.add(writer)
                try:
                    return await self._watch(fields)
                finally:
                    self.waiting.discard(writer)
            case "POST", ["kv-lease"]:
                ttl_ms = int(json.loads(body)["ttlMs"])
                self._last_lease += 1
                self._extend(self._last_lease, ttl_ms)
                return 200, {"lease": self._last_lease, "ttlMs": ttl_ms}
            case "POST", ["kv-keep", number]:
                if int(number) not in self._leases:
                    return 404, {}
                ttl_ms = self._leases[int(number)][0]
                self._extend(int(number), ttl_ms)
                return 200, {"ttlMs": ttl_ms}
            case "DELETE", ["kv-lease-end", number]:
                self._end_lease(int(number))
                return 200, {}
            case "POST", ["kv-txn"]:
                return self._commit(json.loads(body))
        return 404, {}

    def _list(self, prefix: str, after: str) -> Any:
        """Returns one page of items."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "asOf": self.revision}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        """Returns the changes after a revision as soon as there are some."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(fields["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > int(fields["after"])
                and event["key"].startswith(fields.get("prefix", ""))
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _extend(self, lease: int, ttl_ms: int) -> None:
        """Starts the time of a lease anew."""
        if lease in self._leases:
            self._leases[lease][1].cancel()
        timer = asyncio.get_running_loop().call_later(ttl_ms / 1000, self._end_lease, lease)
        self._leases[lease] = (ttl_ms, timer)

    def _end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        if lease in self._leases:
            self._leases.pop(lease)[1].cancel()
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def _commit(self, body: Any) -> tuple[int, Any]:
        """Carries out a transaction."""
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        if any(w.get("lease") and w["lease"] not in self._leases for w in body["writes"]):
            return 404, {}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}
