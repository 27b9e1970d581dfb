"""Endpoints of a soak, and what they answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.ledger import RequestLedger
from soak.proxy import Proxy
from standins.hostile import HostileEndpoint
from standins.servers import ReceivedRequest, build_answer
from standins.switches import SwitchBoard

__all__ = ["DEADLY_PATH", "DOWNLOAD_PATH", "Endpoint", "EndpointScript"]

# Part of the path of requests that crash endpoints.
DEADLY_PATH = "/deadly-"
# Minimum processing time of a request, the maximum that is added at random, and the factor and the
# time of endpoints that are slow or silent.
PROCESSING_S = 0.02
PROCESSING_SPREAD_S = 0.02
SLOWDOWN = 10
SILENT_S = 60.0
# Part of the path of requests whose answers are large.
DOWNLOAD_PATH = "/media/"
USUAL_SPEED = 100
# How often the body of an answer repeats the id of its request, and that of a large one.
REPEATS, LARGE_REPEATS = 200, 250_000


@dataclass
class Endpoint:
    """One endpoint behind its proxy.

    `failure_mode` is how it misbehaves, or "well" when it does not. `start_number` counts the
    endpoints in start order. `is_unlisted` is true once it has left the store.
    """

    name: str
    service: str
    zone: str
    region: str
    stand_in: HostileEndpoint
    proxy: Proxy
    failure_mode: str = "well"
    start_number: int = 1
    state: str = "ready"
    is_unlisted: bool = False


class EndpointScript:
    """Answers requests according to the failure mode of their endpoint and to the switches.

    `on_crash` is called with an endpoint that a request crashes.
    """

    def __init__(
        self,
        ledger: RequestLedger,
        board: SwitchBoard,
        source: random.Random,
        on_crash: Callable[[Endpoint], None],
    ) -> None:
        self._ledger = ledger
        self._board = board
        self._random = source
        self._on_crash = on_crash

    async def answer(self, endpoint: Endpoint, received: ReceivedRequest) -> bytes:
        """Returns the answer to a request; none if its connection is to be closed."""
        identifier = received.headers.get("request-id", "")
        now_s = asyncio.get_running_loop().time()
        self._ledger.record_arrival(identifier, endpoint.service, now_s)
        if received.headers.get("target-instance") != endpoint.name:
            return build_answer(received, 421, Instance_Id=endpoint.name)
        sheds = endpoint.failure_mode == "sheds" and self._random.random() < 0.5
        if sheds or self._board.happens("endpoint.refuse"):
            status = self._random.choice((503, 503, 429, 400))
            return build_answer(received, status, Not_Executed="1", Server_Load="1,0,4")
        content = (received.method, received.target, received.body) if received.body_read else None
        self._ledger.record_run(identifier, endpoint.name, endpoint.service, content, now_s)
        self._ledger.record_identity(identifier, endpoint.region, received.headers, now_s)
        if DEADLY_PATH in received.target:
            self._ledger.record_crash(identifier, now_s)
            self._on_crash(endpoint)
            return b""
        return await self._run(endpoint, received, identifier)

    async def _run(self, endpoint: Endpoint, received: ReceivedRequest, identifier: str) -> bytes:
        """Runs a request and returns its answer, or what a faulty endpoint sends."""
        if endpoint.failure_mode == "silent":
            await asyncio.sleep(SILENT_S)
        slowdown = SLOWDOWN if endpoint.failure_mode == "slow" else 1.0
        processing_s = PROCESSING_S + self._random.random() * PROCESSING_SPREAD_S
        load = "1,0,4"
        if slowest := self._board.dose("endpoint.slow-machine"):
            slowdown *= self._random.uniform(1.0, slowest)
            load += f",{slowdown * USUAL_SPEED:.0f}"
        await asyncio.sleep(slowdown * processing_s)
        is_large = received.target.startswith(DOWNLOAD_PATH)
        is_large = is_large or self._board.happens("endpoint.large-answers")
        repeats = LARGE_REPEATS if is_large else REPEATS
        answer = build_answer(
            received,
            500 if self._board.happens("endpoint.fail") else 200,
            identifier.encode() * repeats,
            Server_Load=load,
            Body_Repeats=str(repeats),
        )
        match endpoint.failure_mode:
            case "resets":
                return b""
            case "cuts":
                received.writer.write(answer[: len(answer) // 2])
                return b""
            case "repeats":
                return answer + answer
            case "spoils":
                return b"\x00\x01 not an answer\r\n\r\n"
        return answer
