"""Stand-in of the callers of one region: open-loop load, cached look-ups, own records."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from standins.endpoints import answer_body
from standins.http_client import Answer, FetchFailure, fetch
from standins.layouts import Layout

__all__ = ["CallerRegion", "run"]

METHODS = {"browse": "GET", "confirm": "POST", "payment": "POST", "photo": "PUT"}
PROTECTED = ("confirm", "payment", "photo")
TARGETS_MS = {"browse": 100, "confirm": 200, "payment": 250, "photo": 2000}
PHOTO_BYTES = 400_000
MAX_TRIES = 3
CLIENT_DELAY_S = 0.001


@dataclass
class ClassRecord:
    """What callers saw of one class."""

    requests: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    crossed: int = 0
    cut_short: int = 0
    in_target: int = 0
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))

    def to_json(self) -> dict[str, Any]:
        """Returns counts, and the histogram in its encoded form."""
        value = {k: v for k, v in vars(self).items() if k != "histogram"}
        return {**value, "histogram": self.histogram.encode().decode()}


class CallerRegion:
    """Callers with addresses in one region's client block."""

    def __init__(self, layout: Layout, index: int, seed: int, scale: dict[str, float]) -> None:
        self._layout = layout
        self._index = index
        self._seed = seed
        self._scale = scale
        self._random = random.Random(seed * 1000 + index)
        self._cache: dict[tuple[str, str, str], tuple[float, dict[str, Any]]] = {}
        self._entries = [f"127.{r}.{z}.200" for r in (1, 2, 3) for z in (1, 2)]
        self._photo = self._random.randbytes(PHOTO_BYTES)
        self._photo_digest = hashlib.sha256(self._photo).hexdigest()
        self._started_s = 0.0
        self.classes: dict[str, ClassRecord] = {}
        self.fleets: dict[str, Counter[str]] = {}
        self.seconds: dict[int, Counter[str]] = {}
        self.lookups = 0
        self.refused_attempts: Counter[str] = Counter()
        self.ran_attempts: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Sends load for some seconds and waits for the last answers."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._started_s = started_s
        tasks = []
        plan = self._arrivals(seconds)
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        for due_s, fleet, service, kind in plan:
            if stopped.is_set():
                break
            await asyncio.sleep(max(0.0, started_s + due_s - loop.time()))
            tag = f"{self._index}-{len(tasks)}-{kind}"
            call = self._call(tag, fleet, service, kind, started_s + due_s)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.gather(*tasks)

    def _arrivals(self, seconds: float) -> list[tuple[float, str, str, str]]:
        """Returns Poisson arrivals in order of time."""
        found = []
        for service in self._layout.services:
            for kind, rate in service.rates.items():
                for fleet in self._layout.fleets:
                    share = rate / len(self._layout.regions) / len(self._layout.fleets)
                    share *= self._scale.get(fleet, 1.0) * self._scale.get(kind, 1.0)
                    due_s = self._random.expovariate(share)
                    while due_s < seconds:
                        found.append((due_s, fleet, service.name, kind))
                        due_s += self._random.expovariate(share)
        return sorted(found)

    async def _look_up(self, source: str, fleet: str, service: str) -> dict[str, Any] | None:
        """Returns a look-up's answer, cached for its lifetime."""
        now_s = time.monotonic()
        key = (fleet, service, source)
        cached = self._cache.get(key)
        if cached is not None and cached[0] > now_s:
            return cached[1]
        own = [e for e in self._entries if e.startswith(f"127.{self._index}.")]
        rest = [e for e in self._entries if e not in own]
        self._random.shuffle(own)
        self._random.shuffle(rest)
        target = f"/_lycheepin/lookup?fleet={fleet}&service={service}"
        for entry in (*own, *rest):
            answer = await fetch(source, entry, 8400, "GET", target, [], timeout_s=1.0)
            if isinstance(answer, Answer) and answer.status == 200:
                self.lookups += 1
                value: dict[str, Any] = json.loads(answer.body)
                self._cache[key] = (now_s + value["lifetime_s"], value)
                return value
        return None

    async def _call(self, tag: str, fleet: str, service: str, kind: str, due_s: float) -> None:
        """Makes one request and records what came of it."""
        record = self.classes.setdefault(kind, ClassRecord())
        by_fleet = self.fleets.setdefault(fleet, Counter())
        record.requests += 1
        by_fleet["requests"] += 1
        source = f"127.{100 + self._index}.0.{1 + self._random.randrange(20)}"
        await asyncio.sleep(CLIENT_DELAY_S)
        outcome = await self._try_entries(tag, source, fleet, service, kind)
        await asyncio.sleep(CLIENT_DELAY_S)
        if outcome == "whole":
            elapsed_s = asyncio.get_running_loop().time() - due_s
            record.histogram.record_value(max(1, int(elapsed_s * 1e6)))
            in_target = elapsed_s * 1000 <= TARGETS_MS[kind]
            record.in_target += in_target
            by_fleet["in_target"] += in_target
        setattr(record, outcome, getattr(record, outcome) + 1)
        self.seconds.setdefault(int(due_s - self._started_s), Counter())[outcome] += 1
        by_fleet[outcome] += 1

    async def _try_entries(self, tag: str, source: str, fleet: str, service: str, kind: str) -> str:
        """Tries the entry VMs in order while it is certain that the request did not run."""
        found = await self._look_up(source, fleet, service)
        if found is None:
            return "not_run"
        headers = [("lycheepin-fleet", fleet), ("lycheepin-service", service), ("x-tag", tag)]
        body = b""
        if kind == "photo":
            body = self._photo
            headers.append(("x-digest", self._photo_digest))
        elif kind in PROTECTED:
            body = tag.encode()
        outcome = "not_run"
        for entry in found["entries"][:MAX_TRIES]:
            own = list(headers)
            if kind in PROTECTED:
                prefix = entry["request_id"].rpartition("_")[0]
                nonce = tag.replace("-", "x") + f"x{self._seed}"
                own.append(("lycheepin-request-id", f"{prefix}_{nonce}"))
            answer = await fetch(
                source, entry["address"], entry["port"], METHODS[kind], f"/{kind}/{tag}",
                own, body,
            )  # fmt: skip
            outcome = self._judge(tag, answer)
            if outcome != "not_run":
                return outcome
        return outcome

    def _judge(self, tag: str, answer: Answer | FetchFailure) -> str:
        """Returns what one attempt came to."""
        if isinstance(answer, FetchFailure):
            self.kinds["unconnected" if not answer.sent else "broken"] += 1
            if not answer.sent:
                return "not_run"
            self.ran_attempts[tag] += 1
            return "unknown"
        if answer.status == 200:
            self.ran_attempts[tag] += 1
            expected = answer_body(tag)
            if answer.body == expected:
                return "whole"
            return "cut_short" if expected.startswith(answer.body) else "crossed"
        self.kinds[answer.headers.get("lycheepin-error", str(answer.status))] += 1
        if answer.headers.get("lycheepin-outcome") == "NOT_RUN":
            self.refused_attempts[tag] += 1
            return "not_run"
        self.ran_attempts[tag] += 1
        return "unknown"

    def to_json(self) -> dict[str, Any]:
        """Returns all records."""
        return {
            "classes": {name: record.to_json() for name, record in self.classes.items()},
            "fleets": self.fleets,
            "lookups": self.lookups,
            "seconds": self.seconds,
            "refused": self.refused_attempts,
            "ran": self.ran_attempts,
            "kinds": self.kinds,
        }


def run(
    layout: Layout, index: int, seconds: float, seed: int, scale: dict[str, float]
) -> dict[str, Any]:
    """Runs the callers of one region and returns their records."""
    region = CallerRegion(layout, index, seed, scale)
    asyncio.run(region.run(seconds))
    return region.to_json()
