"""Measures the look-ups and requests per second of one daemon, and the latency that it adds."""

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
DURATION_S = 2.0
SOURCE_ADDRESS = "127.101.0.7"
FLEET_HEADERS = b"lycheepin-fleet: solo\r\nlycheepin-service: desk\r\nx-tag: t\r\n"
PROGRAM = ["dist/lycheepin"]


def measure_speed() -> dict[str, Any]:
    """Returns the figures of ROUNDS rounds, each with and without the daemon in the path."""
    lab = Lab(LAYOUTS["solo"], pathlib.Path("build/measure/speed"), PROGRAM, 1)
    try:
        lab.start()
        entry_vm, endpoint_address = lab.entry_vms[0], lab.list_endpoint_addresses()[0]
        lab.call_endpoints(1, "set", {"addresses": lab.list_endpoint_addresses(), "slow": 0.0})
        rounds = [
            asyncio.run(_measure_round(entry_vm["address"], entry_vm["port"], endpoint_address))
            for _ in range(ROUNDS)
        ]
    finally:
        lab.stop()
    return {"rounds": rounds, "seconds_each": DURATION_S}


async def _measure_round(address: str, port: int, endpoint_address: str) -> dict[str, Any]:
    """Returns the figures of one round of DURATION_S for each kind of load."""
    lookup = b"GET /_lycheepin/lookup?fleet=solo&service=desk HTTP/1.1\r\nHost: x\r\n\r\n"
    browse = b"GET /browse/1 HTTP/1.1\r\nHost: x\r\n" + FLEET_HEADERS + b"\r\n"
    results = {
        "lookups": await run_load(SOURCE_ADDRESS, address, port, lookup, 16, DURATION_S),
        "requests": await run_load(SOURCE_ADDRESS, address, port, browse, 16, DURATION_S),
        "direct": await run_load(address, endpoint_address, 9000, browse, 1, DURATION_S),
        "through": await run_load(SOURCE_ADDRESS, address, port, browse, 1, DURATION_S),
    }
    figures: dict[str, Any] = {name: asdict(result) for name, result in results.items()}
    figures["added_p50_ms"] = results["through"].p50_ms - results["direct"].p50_ms
    figures["added_p99_ms"] = results["through"].p99_ms - results["direct"].p99_ms
    return figures
