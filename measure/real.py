"""Scenarios on real processes: a large upload, the loss of a region, a surge of one fleet."""

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
REGION_LOSS_AT_S = 8.0
# Cap on the requests per second that are shifted from one region to another.
WIDE_SHIFT_CAP = 200
SURGE_S = 16.0
SURGE_SLOW_FACTOR = 40.0
SURGE_FACTOR = 5.0


def measure_upload_memory() -> dict[str, float]:
    """Returns the growth of a daemon's memory while UPLOAD_BYTES are uploaded through it."""
    lab = Lab(LAYOUTS["solo"], pathlib.Path("build/measure/upload"), PROGRAM, 1)
    try:
        lab.start()
        process = lab.daemons[lab.entry_vms[0]["name"]]
        before_mb = _read_resident_mb(process.pid)
        peak_mb, elapsed_s, status = asyncio.run(
            _upload_body(lab.entry_vms[0]["address"], process.pid)
        )
    finally:
        lab.stop()
    return {
        "status": status,
        "seconds": elapsed_s,
        "grown_mb": peak_mb - before_mb,
        "resident_mb": before_mb,
    }


async def _upload_body(host: str, pid: int) -> tuple[float, float, int]:
    """Uploads a body; returns the peak resident MiB, the seconds and the answer's status."""
    started_s = time.monotonic()
    reader, writer = await asyncio.open_connection(host, 8400)
    request_head = (
        "PUT /photo/1 HTTP/1.1\r\nHost: x\r\nlycheepin-fleet: solo\r\nlycheepin-service: desk\r\n"
        f"x-tag: t\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    writer.write(request_head.encode())
    peak_mb = 0.0
    chunk = b"x" * CHUNK_BYTES
    for _ in range(UPLOAD_BYTES // CHUNK_BYTES):
        writer.write(chunk)
        await writer.drain()
        peak_mb = max(peak_mb, _read_resident_mb(pid))
    status_line = await reader.readline()
    writer.close()
    return peak_mb, time.monotonic() - started_s, int(status_line.split()[1])


def _read_resident_mb(pid: int) -> float:
    """Returns the resident size of a process in MiB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 2**20


def measure_region_loss(layout_name: str) -> dict[str, Any]:
    """Returns the results of callers when the daemons and endpoints of a region are killed."""
    layout = LAYOUTS[layout_name]
    folder = pathlib.Path(f"build/measure/loss-{layout_name}")
    lab = Lab(layout, folder, PROGRAM, 3)
    lab.shift_cap = WIDE_SHIFT_CAP
    lost_region = layout.regions[-1]
    lost_region_number = len(layout.regions)
    try:
        lab.start()
        callers = lab.start_callers(LOAD_S)
        time.sleep(REGION_LOSS_AT_S)
        lost_region_records = lab.call_endpoints(lost_region_number, "records")
        for entry_vm in lab.entry_vms:
            if entry_vm["region"] == lost_region:
                lab.signal_daemon(entry_vm["name"], signal.SIGKILL)
        lab.kill_endpoints(lost_region_number)
        for process in callers:
            process.wait(LOAD_S + 60)
        records = [lab.call_endpoints(number, "records") for number in range(1, lost_region_number)]
        caller_reports = [
            json.loads((folder / f"callers-{number}.json").read_text())
            for number in range(1, lost_region_number + 1)
        ]
    finally:
        lab.stop()
    report = check(layout, [*records, lost_region_records], caller_reports, WIDE_SHIFT_CAP)
    counts_by_second = caller_reports[-1]["seconds"]
    counts_after_loss = {
        second: counts
        for second, counts in counts_by_second.items()
        if REGION_LOSS_AT_S + 1 <= float(second) < LOAD_S - 1
    }
    answered = sum(counts.get("whole", 0) for counts in counts_after_loss.values())
    requested = sum(sum(counts.values()) for counts in counts_after_loss.values())
    return {
        "layout": layout_name,
        "lost_region": lost_region,
        "lost_callers_answered_after_1s": answered / max(1, requested),
        "by_second": counts_by_second,
        **{key: report[key] for key in ("requests", "whole", "not_run", "unknown", "ran_twice")},
        **{key: report[key] for key in ("region_over_cap", "not_run_but_ran", "shifted", "peaks")},
    }


def measure_surge(layout_name: str) -> dict[str, Any]:
    """Returns the share of each fleet's requests that are answered while the first one surges.

    Endpoints process requests SURGE_SLOW_FACTOR times as long, so that the callers of a single
    machine can fill all slots.
    """
    layout = LAYOUTS[layout_name]
    lab = Lab(layout, pathlib.Path(f"build/measure/surge-{layout_name}"), PROGRAM, 4)
    try:
        lab.start()
        addresses = lab.list_endpoint_addresses()
        for region_number in range(1, len(layout.regions) + 1):
            lab.call_endpoints(
                region_number, "set", {"addresses": addresses, "slow": SURGE_SLOW_FACTOR}
            )
        scale = {layout.fleets[0]: SURGE_FACTOR, "photo": 0.1}
        for process in lab.start_callers(SURGE_S, scale):
            process.wait(SURGE_S + 60)
        records, caller_reports = lab.collect_records()
    finally:
        lab.stop()
    report = check(layout, records, caller_reports)
    answered_shares = {}
    for fleet in layout.fleets:
        requests = sum(caller["fleets"][fleet].get("requests", 0) for caller in caller_reports)
        whole = sum(caller["fleets"][fleet].get("whole", 0) for caller in caller_reports)
        answered_shares[fleet] = whole / max(1, requests)
    return {
        "layout": layout_name,
        "surging": layout.fleets[0],
        "answered": answered_shares,
        **{
            key: report[key]
            for key in ("requests", "whole", "not_run", "unknown", "kinds", "peaks")
        },
        **{key: report[key] for key in ("region_over_cap", "ran_twice", "not_run_but_ran")},
    }
