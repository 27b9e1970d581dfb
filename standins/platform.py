"""Stand-in of the daemons' platform: a key-value store and a VM list, with faults on demand."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from standins.serve import read_body, reply, serve

__all__ = ["KeyValueStore", "Platform", "run"]

RATE_WINDOW_S = 1.0


@dataclass
class Faults:
    """Active faults, set by name with `/control/faults`.

    `down_until_s` is a monotonic time, `slow_s` the delay of each call to the store, `lose_answers`
    the number of writes whose answers are still to be lost. Calls over a rate get status 429.
    """

    down_until_s: float = 0.0
    slow_s: float = 0.0
    lose_answers: int = 0
    writes_per_s: int = 300
    reads_per_s: int = 2000


class KeyValueStore:
    """Values by key with revisions; each write gets a revision that was never used before."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[bytes, int]] = {}
        self._revision = 0
        self.written_at_s: dict[str, float] = {}
        self.changed = asyncio.Condition()

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Returns the value and revision of a key, or None."""
        return self._values.get(key)

    def compare_and_swap(self, key: str, expected: int, content: bytes) -> int | None:
        """Writes a value if its revision is the expected one, 0 for a key that does not exist.

        Returns the new revision, or None when the revision was another one.
        """
        current = self._values.get(key)
        if (current[1] if current else 0) != expected:
            return None
        self._revision += 1
        self._values[key] = (content, self._revision)
        self.written_at_s[key] = time.monotonic()
        return self._revision

    def restore(self, key: str, content: bytes) -> None:
        """Writes an earlier value under a new revision, like a platform restored from a backup."""
        self._revision += 1
        self._values[key] = (content, self._revision)


class Platform:
    """The ASGI application; `vms` is the VM list."""

    def __init__(self, vms: dict[str, Any]) -> None:
        self.values = KeyValueStore()
        self.vms = vms
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._call_times_s: dict[str, list[float]] = {"read": [], "write": []}

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answers one call."""
        path: str = unquote(scope["raw_path"].decode())
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        body = await read_body(receive) or b""
        if path.startswith("/kv/"):
            await self._handle_store_call(scope["method"], path[4:], query, body, send)
        elif path == "/vms":
            await self._handle_vm_list_call(query, send)
        else:
            await self._handle_control_call(path, body, send)

    def _is_over_rate(self, kind: str, limit: int) -> bool:
        """Records a call of a kind and returns whether such calls are over their rate."""
        now_s = time.monotonic()
        times_s = [t for t in self._call_times_s[kind] if now_s - t < RATE_WINDOW_S]
        times_s.append(now_s)
        self._call_times_s[kind] = times_s
        return len(times_s) > limit

    async def _handle_store_call(
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
        if self._is_over_rate(kind, limit):
            await reply(send, 429)
            return
        await asyncio.sleep(faults.slow_s + 0.002)
        if method == "PUT":
            await self._handle_write(key, int(query["expected"]), body, send)
            return
        current = await self._wait_for_change(key, query)
        if current is None:
            await reply(send, 304 if "after" in query else 404)
        else:
            await reply(send, 200, current[0], x_revision=str(current[1]))

    async def _handle_write(self, key: str, expected: int, body: bytes, send: Any) -> None:
        """Carries out a compare-and-swap; the status is 504 when the answer is to be lost."""
        revision = self.values.compare_and_swap(key, expected, body)
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

    async def _wait_for_change(self, key: str, query: dict[str, str]) -> tuple[bytes, int] | None:
        """Returns a value and its revision, or None.

        With `after` in the query it waits until the revision is another one, for `wait_ms` at most.
        """
        current = self.values.get(key)
        if "after" not in query:
            return current
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        deadline_s = time.monotonic() + wait_s
        while (current[1] if current else 0) == after:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or time.monotonic() < self.faults.down_until_s:
                return None
            try:
                async with asyncio.timeout(min(remaining_s, 0.5)), self.values.changed:
                    await self.values.changed.wait()
            except TimeoutError:
                pass
            current = self.values.get(key)
        return current

    async def _handle_vm_list_call(self, query: dict[str, str], send: Any) -> None:
        """Answers with the VM list; of the endpoints only those of one region."""
        self.calls["vms"] += 1
        if int(query["after"]) >= self.vms["revision"]:
            await reply(send, 304)
            return
        endpoints = [e for e in self.vms["endpoints"] if e["region"] == query["region"]]
        content = {**self.vms, "endpoints": endpoints}
        await reply(send, 200, json.dumps(content).encode())

    async def _handle_control_call(self, path: str, body: bytes, send: Any) -> None:
        """Answers a control call of a test tool.

        It sets faults, changes a VM, restores a value or does nothing, and answers with the call
        counts; `writes` answers with the time of each key's last write.
        """
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
        """Changes the state of a VM, or removes the VM when the state is `gone`."""
        for group in ("endpoints", "entries"):
            for vm in list(self.vms[group]):
                if vm["name"] == change["name"]:
                    if change["state"] == "gone":
                        self.vms[group].remove(vm)
                    else:
                        vm["state"] = change["state"]
        self.vms["revision"] += 1


def run(host: str, port: int, vms: dict[str, Any]) -> None:
    """Serves the platform until SIGTERM or SIGINT."""
    serve(Platform(vms), [(host, port)])
