"""Stand-in of the callers of one region, with open-loop load, cached look-ups and records."""

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

from standins.endpoints import build_answer_body
from standins.http_client import Answer, FetchFailure, fetch
from standins.layouts import Layout

__all__ = ["RegionCallers", "run"]

METHODS = {"browse": "GET", "confirm": "POST", "payment": "POST", "photo": "PUT"}
PROTECTED_CLASSES = ("confirm", "payment", "photo")
TARGETS_MS = {"browse": 100, "confirm": 200, "payment": 250, "photo": 2000}
PHOTO_BYTES = 400_000
MAX_ATTEMPTS = 3
# One-way network delay between a caller and an entry VM.
CALLER_DELAY_S = 0.001


@dataclass
class ClassRecord:
    """Outcomes of the requests of one class.

    Each request ends as `whole` (the right answer), `not_run`, `unknown`, `crossed` (the answer to
    another request) or `cut_short`. `in_target` counts the whole answers within the answer target;
    `histogram` has the latencies of the whole answers in microseconds.
    """

    requests: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    crossed: int = 0
    cut_short: int = 0
    in_target: int = 0
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))

    def to_json(self) -> dict[str, Any]:
        """Returns the counts, and the histogram in its encoded form."""
        value = {k: v for k, v in vars(self).items() if k != "histogram"}
        return {**value, "histogram": self.histogram.encode().decode()}


class RegionCallers:
    """Callers with addresses in the address block of one region.

    `scale` has factors of the load by name of a fleet or class.
    """

    def __init__(
        self, layout: Layout, region_number: int, seed: int, scale: dict[str, float]
    ) -> None:
        self._layout = layout
        self._region_number = region_number
        self._seed = seed
        self._scale = scale
        self._random = random.Random(seed * 1000 + region_number)
        self._lookup_cache: dict[tuple[str, str, str], tuple[float, dict[str, Any]]] = {}
        self._entry_addresses = [f"127.{r}.{z}.200" for r in (1, 2, 3) for z in (1, 2)]
        self._photo = self._random.randbytes(PHOTO_BYTES)
        self._photo_digest = hashlib.sha256(self._photo).hexdigest()
        self._started_s = 0.0
        self.classes: dict[str, ClassRecord] = {}
        self.counts_by_fleet: dict[str, Counter[str]] = {}
        self.outcomes_by_second: dict[int, Counter[str]] = {}
        self.lookups = 0
        self.refused_attempts: Counter[str] = Counter()
        self.possibly_run_attempts: Counter[str] = Counter()
        self.error_kinds: Counter[str] = Counter()

    async def run(self, duration_s: float) -> None:
        """Sends load for `duration_s` or until SIGTERM, and waits for all outcomes."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._started_s = started_s
        tasks = []
        arrivals = self._generate_arrivals(duration_s)
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        for due_s, fleet, service, class_name in arrivals:
            if stopped.is_set():
                break
            await asyncio.sleep(max(0.0, started_s + due_s - loop.time()))
            tag = f"{self._region_number}-{len(tasks)}-{class_name}"
            request = self._make_request(tag, fleet, service, class_name, started_s + due_s)
            tasks.append(asyncio.ensure_future(request))
        await asyncio.gather(*tasks)

    def _generate_arrivals(self, duration_s: float) -> list[tuple[float, str, str, str]]:
        """Returns Poisson arrivals in order: seconds since the start, fleet, service and class."""
        arrivals = []
        for service in self._layout.services:
            for class_name, class_rate in service.class_rates.items():
                for fleet in self._layout.fleets:
                    rate_per_s = class_rate / len(self._layout.regions) / len(self._layout.fleets)
                    rate_per_s *= self._scale.get(fleet, 1.0) * self._scale.get(class_name, 1.0)
                    due_s = self._random.expovariate(rate_per_s)
                    while due_s < duration_s:
                        arrivals.append((due_s, fleet, service.name, class_name))
                        due_s += self._random.expovariate(rate_per_s)
        return sorted(arrivals)

    async def _look_up(self, source: str, fleet: str, service: str) -> dict[str, Any] | None:
        """Returns the answer to a look-up, from the cache within its lifetime.

        Queries the entry VMs of its region in random order, then the others. Returns None when none
        of them answers.
        """
        now_s = time.monotonic()
        key = (fleet, service, source)
        cached = self._lookup_cache.get(key)
        if cached is not None and cached[0] > now_s:
            return cached[1]
        local = [e for e in self._entry_addresses if e.startswith(f"127.{self._region_number}.")]
        remote = [e for e in self._entry_addresses if e not in local]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        target = f"/_lycheepin/lookup?fleet={fleet}&service={service}"
        for address in (*local, *remote):
            answer = await fetch(source, address, 8400, "GET", target, [], timeout_s=1.0)
            if isinstance(answer, Answer) and answer.status == 200:
                self.lookups += 1
                value: dict[str, Any] = json.loads(answer.body)
                self._lookup_cache[key] = (now_s + value["lifetime_s"], value)
                return value
        return None

    async def _make_request(
        self, tag: str, fleet: str, service: str, class_name: str, due_s: float
    ) -> None:
        """Makes one request and records its outcome."""
        record = self.classes.setdefault(class_name, ClassRecord())
        fleet_counts = self.counts_by_fleet.setdefault(fleet, Counter())
        record.requests += 1
        fleet_counts["requests"] += 1
        source = f"127.{100 + self._region_number}.0.{1 + self._random.randrange(20)}"
        await asyncio.sleep(CALLER_DELAY_S)
        outcome = await self._try_entries(tag, source, fleet, service, class_name)
        await asyncio.sleep(CALLER_DELAY_S)
        if outcome == "whole":
            elapsed_s = asyncio.get_running_loop().time() - due_s
            record.histogram.record_value(max(1, int(elapsed_s * 1e6)))
            in_target = elapsed_s * 1000 <= TARGETS_MS[class_name]
            record.in_target += in_target
            fleet_counts["in_target"] += in_target
        setattr(record, outcome, getattr(record, outcome) + 1)
        self.outcomes_by_second.setdefault(int(due_s - self._started_s), Counter())[outcome] += 1
        fleet_counts[outcome] += 1

    async def _try_entries(
        self, tag: str, source: str, fleet: str, service: str, class_name: str
    ) -> str:
        """Sends a request to entry VMs in order until it may have run, and returns its outcome."""
        lookup = await self._look_up(source, fleet, service)
        if lookup is None:
            return "not_run"
        headers = [("lycheepin-fleet", fleet), ("lycheepin-service", service), ("x-tag", tag)]
        body = b""
        if class_name == "photo":
            body = self._photo
            headers.append(("x-digest", self._photo_digest))
        elif class_name in PROTECTED_CLASSES:
            body = tag.encode()
        outcome = "not_run"
        for entry in lookup["entries"][:MAX_ATTEMPTS]:
            attempt_headers = list(headers)
            if class_name in PROTECTED_CLASSES:
                prefix = entry["request_id"].rpartition("_")[0]
                nonce = tag.replace("-", "x") + f"x{self._seed}"
                attempt_headers.append(("lycheepin-request-id", f"{prefix}_{nonce}"))
            answer = await fetch(
                source, entry["address"], entry["port"], METHODS[class_name],
                f"/{class_name}/{tag}", attempt_headers, body,
            )  # fmt: skip
            outcome = self._classify_answer(tag, answer)
            if outcome != "not_run":
                return outcome
        return outcome

    def _classify_answer(self, tag: str, answer: Answer | FetchFailure) -> str:
        """Records the result of an attempt and returns its outcome."""
        if isinstance(answer, FetchFailure):
            self.error_kinds["unconnected" if not answer.sent else "broken"] += 1
            if not answer.sent:
                return "not_run"
            self.possibly_run_attempts[tag] += 1
            return "unknown"
        if answer.status == 200:
            self.possibly_run_attempts[tag] += 1
            expected = build_answer_body(tag)
            if answer.body == expected:
                return "whole"
            return "cut_short" if expected.startswith(answer.body) else "crossed"
        self.error_kinds[answer.headers.get("lycheepin-error", str(answer.status))] += 1
        if answer.headers.get("lycheepin-outcome") == "NOT_RUN":
            self.refused_attempts[tag] += 1
            return "not_run"
        self.possibly_run_attempts[tag] += 1
        return "unknown"

    def to_json(self) -> dict[str, Any]:
        """Returns the records by name; `ran` counts the attempts that ran or may have run."""
        return {
            "classes": {name: record.to_json() for name, record in self.classes.items()},
            "fleets": self.counts_by_fleet,
            "lookups": self.lookups,
            "seconds": self.outcomes_by_second,
            "refused": self.refused_attempts,
            "ran": self.possibly_run_attempts,
            "kinds": self.error_kinds,
        }


def run(
    layout: Layout, region_number: int, duration_s: float, seed: int, scale: dict[str, float]
) -> dict[str, Any]:
    """Runs the callers of one region for `duration_s` and returns their records."""
    callers = RegionCallers(layout, region_number, seed, scale)
    asyncio.run(callers.run(duration_s))
    return callers.to_json()
