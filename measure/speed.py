"""Look-ups and requests a second of one daemon, and the latency that it adds."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import asdict
from typing import Any

from measure.load import run_load
from standins.lab import Lab
from standins.layouts import LAYOUTS

__all__ = ["measure_speed"]

ROUNDS = 3
SECONDS = 2.0
SOURCE = "127.101.0.7"
FLEET = b"lycheepin-fleet: solo\r\nlycheepin-service: desk\r\nx-tag: t\r\n"
PROGRAM = ["dist/lycheepin"]


def measure_speed() -> dict[str, Any]:
    """Returns the figures of some rounds, direct and through the daemon in turns."""
    lab = Lab(LAYOUTS["solo"], pathlib.Path("build/measure/speed"), PROGRAM, 1)
    try:
        lab.start()
        entry, endpoint = lab.entry_vms[0], lab.list_endpoint_addresses()[0]
        lab.call_endpoints(1, "set", {"addresses": lab.list_endpoint_addresses(), "slow": 0.0})
        rounds = [
            asyncio.run(_one_round(entry["address"], entry["port"], endpoint))
            for _ in range(ROUNDS)
        ]
    finally:
        lab.stop()
    return {"rounds": rounds, "seconds_each": SECONDS}


async def _one_round(address: str, port: int, endpoint: str) -> dict[str, Any]:
    """Returns the figures of one round."""
    lookup = b"GET /_lycheepin/lookup?fleet=solo&service=desk HTTP/1.1\r\nHost: x\r\n\r\n"
    browse = b"GET /browse/1 HTTP/1.1\r\nHost: x\r\n" + FLEET + b"\r\n"
    results = {
        "lookups": await run_load(SOURCE, address, port, lookup, 16, SECONDS),
        "requests": await run_load(SOURCE, address, port, browse, 16, SECONDS),
        "direct": await run_load(address, endpoint, 9000, browse, 1, SECONDS),
        "through": await run_load(SOURCE, address, port, browse, 1, SECONDS),
    }
    found: dict[str, Any] = {name: asdict(result) for name, result in results.items()}
    found["added_p50_ms"] = results["through"].p50_ms - results["direct"].p50_ms
    found["added_p99_ms"] = results["through"].p99_ms - results["direct"].p99_ms
    return found
