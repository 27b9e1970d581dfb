"""Stand-in of the endpoints of one region, with slots, load shedding, cold starts and records."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections import Counter, defaultdict
from typing import Any

from standins.layouts import Layout
from standins.serve import read_body, reply, serve

__all__ = ["RegionEndpoints", "build_answer_body", "run"]

# Median processing time of a request by class.
PROCESSING_MS = {"browse": 8.0, "confirm": 18.0, "payment": 22.0, "photo": 60.0}
# An endpoint is cold during its first requests; their processing time is longer by this factor.
COLD_REQUESTS = 5
COLD_FACTOR = 3.0
ANSWER_BYTES = 2000
# An endpoint with this many requests per slot, running or waiting, sheds further requests.
MAX_REQUESTS_PER_SLOT = 3


def build_answer_body(tag: str, size: int = ANSWER_BYTES) -> bytes:
    """Returns the body that the answer to the request with a tag has to have."""
    block = hashlib.sha256(tag.encode()).hexdigest()
    return (tag + "|" + block * (size // len(block) + 1))[:size].encode()


class RegionEndpoints:
    """The ASGI application of all endpoints of a region.

    The checks use its records, which do not depend on the daemons:
        runs: Number of runs by tag of the request.
        starts: Start times by endpoint, in seconds of the loop's clock.
        shifted: Start times of requests of other regions' callers, by service and region number.
        peaks, endpoint_peaks: Most requests in flight, by service and by endpoint.
        broken_bodies: Number of request bodies that were incomplete or had another digest.
    """

    def __init__(self, layout: Layout, endpoints: list[dict[str, Any]], seed: int) -> None:
        self._layout = layout
        self._endpoints_by_address = {e["address"]: e for e in endpoints}
        self._random = random.Random(seed)
        self._free_slots = {e["address"]: asyncio.Semaphore(e["slots"]) for e in endpoints}
        self._in_flight: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._service_in_flight: Counter[str] = Counter()
        self._slow_factors: dict[str, float] = {}
        self._shed_shares: dict[str, float] = {}
        self.peaks: Counter[str] = Counter()
        self.endpoint_peaks: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.starts: defaultdict[str, list[float]] = defaultdict(list)
        self.shifted: defaultdict[str, list[float]] = defaultdict(list)
        self.broken_bodies = 0
        self._region_number = str(layout.regions.index(endpoints[0]["region"]) + 1)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answers one request or control call."""
        path = scope["path"]
        if path == "/control/records":
            await reply(send, 200, json.dumps(self.list_records()).encode())
        elif path == "/control/set":
            self._set_faults(json.loads(await read_body(receive) or b"{}"))
            await reply(send, 200)
        else:
            await self._handle_request(scope, receive, send)

    def list_records(self) -> dict[str, Any]:
        """Returns the records by name."""
        return {
            "runs": self.runs,
            "peaks": self.peaks,
            "endpoint_peaks": self.endpoint_peaks,
            "starts": self.starts,
            "shifted": self.shifted,
            "broken_bodies": self.broken_bodies,
        }

    def _set_faults(self, value: dict[str, Any]) -> None:
        """Sets the processing time factor and the share of shed requests of some endpoints."""
        for address in value["addresses"]:
            self._slow_factors[address] = value.get("slow", 1.0)
            self._shed_shares[address] = value.get("shed", 0.0)

    async def _handle_request(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Runs a request in a slot, or sheds it."""
        address = scope["server"][0]
        endpoint = self._endpoints_by_address[address]
        service = endpoint["service"].partition("/")[2]
        is_full = self._in_flight[address] >= endpoint["slots"] * MAX_REQUESTS_PER_SLOT
        if is_full or self._random.random() < self._shed_shares.get(address, 0.0):
            await reply(send, 503, x_shed="not-begun")
            return
        self._in_flight[address] += 1
        self._service_in_flight[service] += 1
        self.peaks[service] = max(self.peaks[service], self._service_in_flight[service])
        peak = max(self.endpoint_peaks[endpoint["name"]], self._in_flight[address])
        self.endpoint_peaks[endpoint["name"]] = peak
        try:
            async with self._free_slots[address]:
                await self._run_request(scope, receive, send, address)
        finally:
            self._in_flight[address] -= 1
            self._service_in_flight[service] -= 1

    async def _run_request(
        self, scope: dict[str, Any], receive: Any, send: Any, address: str
    ) -> None:
        """Reads the body of a request, records and processes the request, and answers."""
        headers = dict(scope["headers"])
        tag = headers.get(b"x-tag", b"").decode()
        class_name = scope["path"].split("/")[1]
        await asyncio.sleep(self._layout.delay_ms(scope["client"][0], address) / 1000)
        digest = hashlib.sha256()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                self.broken_bodies += 1
                return
            digest.update(event["body"])
            if not event.get("more_body"):
                break
        if headers.get(b"x-digest", digest.hexdigest().encode()) != digest.hexdigest().encode():
            self.broken_bodies += 1
            await reply(send, 400)
            return
        self.runs[tag] += 1
        now_s = asyncio.get_running_loop().time()
        endpoint = self._endpoints_by_address[address]
        self.starts[endpoint["name"]].append(now_s)
        caller_region = tag.partition("-")[0]
        if caller_region.isdigit() and caller_region != self._region_number:
            service = endpoint["service"].partition("/")[2]
            self.shifted[f"{service} {caller_region}"].append(now_s)
        await self._process(class_name, address, receive)
        await asyncio.sleep(self._layout.delay_ms(scope["client"][0], address) / 1000)
        await reply(send, 200, build_answer_body(tag))

    async def _process(self, class_name: str, address: str, receive: Any) -> None:
        """Waits for the processing time of a class; ends early when the connection is closed."""
        self._served[address] += 1
        factor = COLD_FACTOR if self._served[address] <= COLD_REQUESTS else 1.0
        factor *= self._slow_factors.get(address, 1.0)
        processing_ms = (
            PROCESSING_MS.get(class_name, 5.0) * factor * self._random.lognormvariate(0, 0.3)
        )
        disconnected = asyncio.ensure_future(receive())
        await asyncio.wait((disconnected,), timeout=processing_ms / 1000)
        disconnected.cancel()


def run(layout: Layout, endpoints: list[dict[str, Any]], control: str, seed: int) -> None:
    """Serves the endpoints of a region until SIGTERM or SIGINT.

    `control` is the address for control calls.
    """
    app = RegionEndpoints(layout, endpoints, seed)
    addresses = [(e["address"], e["port"]) for e in endpoints]
    serve(app, [*addresses, (control, endpoints[0]["port"])])
