"""Scenarios in which daemons act together, on real processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import time
from typing import Any

from standins.lab import Lab, check
from standins.layouts import LAYOUTS

__all__ = ["measure_region_loss", "measure_surge", "measure_upload_memory"]

PROGRAM = ["dist/lycheepin"]
UPLOAD_BYTES = 200 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
SAMPLE_S = 0.02
LOAD_S = 24.0
LOSS_AFTER_S = 8.0
WIDE_SHIFT_CAP = 200
SURGE_S = 16.0
SURGE_SLOW = 40.0
SURGE_FACTOR = 5.0


def measure_upload_memory() -> dict[str, float]:
    """Returns how much a daemon's memory grows while 200 MiB are uploaded through it."""
    lab = Lab(LAYOUTS["solo"], pathlib.Path("build/measure/upload"), PROGRAM, 1)
    try:
        lab.start()
        process = lab.daemons[lab.entry_vms[0]["name"]]
        before = _resident_mb(process.pid)
        most, seconds, status = asyncio.run(_upload(lab.entry_vms[0]["address"], process.pid))
    finally:
        lab.stop()
    return {"status": status, "seconds": seconds, "grown_mb": most - before, "resident_mb": before}


async def _upload(host: str, pid: int) -> tuple[float, float, int]:
    """Returns the largest resident size, the seconds and the answer's status of one upload."""
    started_s = time.monotonic()
    reader, writer = await asyncio.open_connection(host, 8400)
    head = (
        "PUT /photo/1 HTTP/1.1\r\nHost: x\r\nlycheepin-fleet: solo\r\nlycheepin-service: desk\r\n"
        f"x-tag: t\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    writer.write(head.encode())
    most = 0.0
    chunk = b"x" * CHUNK_BYTES
    for _ in range(UPLOAD_BYTES // CHUNK_BYTES):
        writer.write(chunk)
        await writer.drain()
        most = max(most, _resident_mb(pid))
    line = await reader.readline()
    writer.close()
    return most, time.monotonic() - started_s, int(line.split()[1])


def _resident_mb(pid: int) -> float:
    """Returns the resident size of a process in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 2**20


def measure_region_loss(layout_name: str) -> dict[str, Any]:
    """Returns what callers saw when a region's daemons and endpoints were killed under load."""
    layout = LAYOUTS[layout_name]
    folder = pathlib.Path(f"build/measure/loss-{layout_name}")
    lab = Lab(layout, folder, PROGRAM, 3)
    lab.shift_cap = WIDE_SHIFT_CAP
    lost = layout.regions[-1]
    index = len(layout.regions)
    try:
        lab.start()
        callers = lab.start_callers(LOAD_S)
        time.sleep(LOSS_AFTER_S)
        records_before = lab.call_endpoints(index, "records")
        for entry in lab.entry_vms:
            if entry["region"] == lost:
                lab.signal_daemon(entry["name"], signal.SIGKILL)
        lab.kill_endpoints(index)
        for process in callers:
            process.wait(LOAD_S + 60)
        records = [lab.call_endpoints(n, "records") for n in range(1, index)]
        found = [
            json.loads((folder / f"callers-{n}.json").read_text()) for n in range(1, index + 1)
        ]
    finally:
        lab.stop()
    report = check(layout, [*records, records_before], found, WIDE_SHIFT_CAP)
    own = found[-1]["seconds"]
    after = {s: c for s, c in own.items() if LOSS_AFTER_S + 1 <= float(s) < LOAD_S - 1}
    answered = sum(c.get("whole", 0) for c in after.values())
    asked = sum(sum(c.values()) for c in after.values())
    return {
        "layout": layout_name,
        "lost_region": lost,
        "lost_callers_answered_after_1s": answered / max(1, asked),
        "by_second": own,
        **{k: report[k] for k in ("requests", "whole", "not_run", "unknown", "ran_twice")},
        **{k: report[k] for k in ("region_over_cap", "not_run_but_ran", "shifted", "peaks")},
    }


def measure_surge(layout_name: str) -> dict[str, Any]:
    """Returns the part of each maker's requests that were answered beside one maker's surge.

    Endpoints work SURGE_SLOW times as long, so that one machine's callers can fill all slots.
    """
    layout = LAYOUTS[layout_name]
    lab = Lab(layout, pathlib.Path(f"build/measure/surge-{layout_name}"), PROGRAM, 4)
    try:
        lab.start()
        addresses = lab.list_endpoint_addresses()
        for index in range(1, len(layout.regions) + 1):
            lab.call_endpoints(index, "set", {"addresses": addresses, "slow": SURGE_SLOW})
        scale = {layout.fleets[0]: SURGE_FACTOR, "photo": 0.1}
        for process in lab.start_callers(SURGE_S, scale):
            process.wait(SURGE_S + 60)
        records, found = lab.collect_records()
    finally:
        lab.stop()
    report = check(layout, records, found)
    answered = {}
    for fleet in layout.fleets:
        requests = sum(caller["fleets"][fleet].get("requests", 0) for caller in found)
        whole = sum(caller["fleets"][fleet].get("whole", 0) for caller in found)
        answered[fleet] = whole / max(1, requests)
    return {
        "layout": layout_name,
        "surging": layout.fleets[0],
        "answered": answered,
        **{k: report[k] for k in ("requests", "whole", "not_run", "unknown", "kinds", "peaks")},
        **{k: report[k] for k in ("region_over_cap", "ran_twice", "not_run_but_ran")},
    }
