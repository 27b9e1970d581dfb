"""Stand-in of the platform: key-value store and VM list, with faults on demand."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from standins.serve import read_body, reply, serve

__all__ = ["KeyValues", "Platform", "run"]

RATE_WINDOW_S = 1.0


@dataclass
class Faults:
    """Faults in force; `*_until_s` are monotonic times."""

    down_until_s: float = 0.0
    slow_s: float = 0.0
    lose_answers: int = 0
    writes_per_s: int = 300
    reads_per_s: int = 2000


class KeyValues:
    """Values with revisions; a revision is never used twice."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[bytes, int]] = {}
        self._revision = 0
        self.written_at_s: dict[str, float] = {}
        self.changed = asyncio.Condition()

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Returns value and revision."""
        return self._values.get(key)

    def swap(self, key: str, expected: int, content: bytes) -> int | None:
        """Writes if the revision is the expected one; returns the new revision or None."""
        current = self._values.get(key)
        if (current[1] if current else 0) != expected:
            return None
        self._revision += 1
        self._values[key] = (content, self._revision)
        self.written_at_s[key] = time.monotonic()
        return self._revision

    def restore(self, key: str, content: bytes) -> None:
        """Puts an old value back, as a platform restored from a backup would."""
        self._revision += 1
        self._values[key] = (content, self._revision)


class Platform:
    """The ASGI application."""

    def __init__(self, vms: dict[str, Any]) -> None:
        self.values = KeyValues()
        self.vms = vms
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._recent: dict[str, list[float]] = {"read": [], "write": []}

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answers one call."""
        path: str = unquote(scope["raw_path"].decode())
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        body = await read_body(receive) or b""
        if path.startswith("/kv/"):
            await self._kv(scope["method"], path[4:], query, body, send)
        elif path == "/vms":
            await self._list(query, send)
        else:
            await self._control(path, body, send)

    def _over_rate(self, kind: str, limit: int) -> bool:
        """Returns whether calls of a kind are over their rate."""
        now_s = time.monotonic()
        recent = [t for t in self._recent[kind] if now_s - t < RATE_WINDOW_S]
        recent.append(now_s)
        self._recent[kind] = recent
        return len(recent) > limit

    async def _kv(
        self, method: str, key: str, query: dict[str, str], body: bytes, send: Any
    ) -> None:
        """Answers a call to the store."""
        faults = self.faults
        kind = "write" if method == "PUT" else "read"
        self.calls[f"{kind} {key}"] += 1
        if time.monotonic() < faults.down_until_s:
            await reply(send, 503)
            return
        limit = faults.writes_per_s if kind == "write" else faults.reads_per_s
        if self._over_rate(kind, limit):
            await reply(send, 429)
            return
        await asyncio.sleep(faults.slow_s + 0.002)
        if method == "PUT":
            await self._put(key, int(query["expected"]), body, send)
            return
        found = await self._wait(key, query)
        if found is None:
            await reply(send, 304 if "after" in query else 404)
        else:
            await reply(send, 200, found[0], x_revision=str(found[1]))

    async def _put(self, key: str, expected: int, body: bytes, send: Any) -> None:
        """Answers a compare-and-swap, or loses the answer after the write."""
        revision = self.values.swap(key, expected, body)
        if revision is not None:
            async with self.values.changed:
                self.values.changed.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await reply(send, 504)
        elif revision is None:
            await reply(send, 409)
        else:
            await reply(send, 200, x_revision=str(revision))

    async def _wait(self, key: str, query: dict[str, str]) -> tuple[bytes, int] | None:
        """Returns a value, waiting for one that differs from `after`."""
        found = self.values.get(key)
        if "after" not in query:
            return found
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        deadline_s = time.monotonic() + wait_s
        while (found[1] if found else 0) == after:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or time.monotonic() < self.faults.down_until_s:
                return None
            try:
                async with asyncio.timeout(min(remaining_s, 0.5)), self.values.changed:
                    await self.values.changed.wait()
            except TimeoutError:
                pass
            found = self.values.get(key)
        return found

    async def _list(self, query: dict[str, str], send: Any) -> None:
        """Answers the VM list of a region."""
        self.calls["vms"] += 1
        if int(query["after"]) >= self.vms["revision"]:
            await reply(send, 304)
            return
        endpoints = [e for e in self.vms["endpoints"] if e["region"] == query["region"]]
        content = {**self.vms, "endpoints": endpoints}
        await reply(send, 200, json.dumps(content).encode())

    async def _control(self, path: str, body: bytes, send: Any) -> None:
        """Answers the experiment tool: faults, VM changes, call counts, times of writes."""
        if path == "/control/faults":
            value = json.loads(body)
            if "down_s" in value:
                self.faults.down_until_s = time.monotonic() + value.pop("down_s")
            for name, setting in value.items():
                setattr(self.faults, name, setting)
        elif path == "/control/vms":
            self._change_vms(json.loads(body))
        elif path == "/control/restore":
            value = json.loads(body)
            self.values.restore(value["key"], value["content"].encode())
        elif path == "/control/writes":
            await reply(send, 200, json.dumps(self.values.written_at_s).encode())
            return
        await reply(send, 200, json.dumps(dict(self.calls)).encode())

    def _change_vms(self, change: dict[str, Any]) -> None:
        """Removes a VM, or changes its state."""
        for group in ("endpoints", "entries"):
            for vm in list(self.vms[group]):
                if vm["name"] == change["name"]:
                    if change["state"] == "gone":
                        self.vms[group].remove(vm)
                    else:
                        vm["state"] = change["state"]
        self.vms["revision"] += 1


def run(host: str, port: int, vms: dict[str, Any]) -> None:
    """Serves until SIGTERM."""
    serve(Platform(vms), [(host, port)])
