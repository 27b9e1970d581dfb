"""Starts and stops a whole system on loopback, and checks it by its endpoints and callers."""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from standins.layouts import (
    PLATFORM_ADDRESS,
    PLATFORM_PORT,
    SHIFT_CAP,
    Layout,
    configuration,
    list_entry_vms,
)
from standins.layouts import list_endpoints as list_endpoints

__all__ = ["Lab", "VIOLATIONS", "check"]

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
VIOLATIONS = (
    "crossed",
    "cut_short",
    "ran_twice",
    "not_run_but_ran",
    "region_over_cap",
    "shift_over_cap",
)
SHIFT_WINDOW_S = 0.9  # a second less the jitter between admission and the endpoint's record


class Lab:
    """All processes of one experiment."""

    def __init__(self, layout: Layout, folder: pathlib.Path, program: list[str], seed: int) -> None:
        # A key of its own makes daemons of other labs at the same addresses strangers.
        self.peer_key = secrets.token_hex(16)
        self.layout = layout
        self.folder = folder
        self.seed = seed
        self.entry_vms = list_entry_vms(layout)
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self._program = program
        self._others: list[subprocess.Popen[bytes]] = []
        self._endpoints: list[subprocess.Popen[bytes]] = []
        self.ready_timeout_s = READY_TIMEOUT_S
        self.shift_cap = SHIFT_CAP
        folder.mkdir(parents=True, exist_ok=True)

    def start(self) -> None:
        """Starts platform, endpoints and daemons and puts the configuration in force."""
        self._others.append(self._stand_in("platform"))
        for index in range(1, len(self.layout.regions) + 1):
            self._endpoints.append(self._stand_in("endpoints", str(index), str(self.seed)))
        self._others += self._endpoints
        self.wait_until(self._platform_answers, "the platform stand-in")
        for entry in self.entry_vms:
            self.start_daemon(entry)
        file = self.folder / "configuration.jsonc"
        text = json.dumps(configuration(self.layout, self.shift_cap), indent=1, ensure_ascii=False)
        file.write_text("// Operators' configuration\n" + text, encoding="utf-8")
        self.wait_until(lambda: self.read_status(self.entry_vms[0]) is not None, "the first daemon")
        result = self.run_command("config", "apply", str(file), "--author", "lab")
        if result.returncode:
            raise RuntimeError(f"config apply: {result.stderr.decode()}")
        self.wait_until(self.is_settled, "the plans of all regions")

    def start_daemon(self, entry: dict[str, Any]) -> None:
        """Starts the daemon of an entry VM."""
        settings = {
            "vm": entry["name"],
            "zone": entry["zone"],
            "region": entry["region"],
            "address": entry["address"],
            "port": entry["port"],
            "store": {"host": PLATFORM_ADDRESS, "port": PLATFORM_PORT},
            "vm_list": {"host": PLATFORM_ADDRESS, "port": PLATFORM_PORT},
            "peers": [{"host": e["address"], "port": e["port"]} for e in self.entry_vms[:3]],
            "peer_key": self.peer_key,
            "lookup_lifetime_s": 2,
        }
        base = entry["name"].replace("/", "-")
        file = self.folder / f"{base}.jsonc"
        file.write_text("// Daemon settings\n" + json.dumps(settings, indent=1, ensure_ascii=False))
        with (self.folder / f"{base}.log").open("ab") as log:
            self.daemons[entry["name"]] = subprocess.Popen(
                [*self._program, "daemon", str(file)], stdout=log, stderr=log
            )

    def run_command(self, *arguments: str, entry: int = 0) -> subprocess.CompletedProcess[bytes]:
        """Runs the command line against an entry VM."""
        target = f"{self.entry_vms[entry]['address']}:{self.entry_vms[entry]['port']}"
        return subprocess.run(
            [*self._program, *arguments, "--daemon", target], capture_output=True, timeout=60
        )

    def start_callers(
        self, seconds: float, scale: dict[str, float] | None = None
    ) -> list[subprocess.Popen[bytes]]:
        """Starts the callers of all regions."""
        started = []
        for index in range(1, len(self.layout.regions) + 1):
            file = self.folder / f"callers-{index}.json"
            file.unlink(missing_ok=True)
            arguments = (
                str(index),
                str(seconds),
                str(self.seed),
                str(file),
                json.dumps(scale or {}),
            )
            started.append(self._stand_in("callers", *arguments))
        self._others += started
        return started

    def collect_records(self) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        """Returns the records of endpoints and callers, one for each region."""
        regions = range(1, len(self.layout.regions) + 1)
        records = [self.call_endpoints(index, "records") for index in regions]
        callers = [
            json.loads((self.folder / f"callers-{index}.json").read_text()) for index in regions
        ]
        return records, callers

    def kill_endpoints(self, index: int) -> None:
        """Kills the endpoints of a region, counted from 1."""
        self._endpoints[index - 1].kill()

    def list_endpoint_addresses(self) -> list[str]:
        """Returns the addresses of all endpoints."""
        return [endpoint["address"] for endpoint in list_endpoints(self.layout)]

    def call_endpoints(self, index: int, name: str, value: Any = None) -> Any:
        """Makes a control call to the endpoints of a region."""
        return _call(f"http://127.9.1.{index}:9000/control/{name}", value)

    def call_platform(self, name: str, value: Any) -> Any:
        """Makes a control call to the platform and returns its answer, mostly call counts."""
        return _call(f"http://{PLATFORM_ADDRESS}:{PLATFORM_PORT}/control/{name}", value)

    def read_status(self, entry: dict[str, Any]) -> dict[str, Any] | None:
        """Returns a daemon's status, or None when it doesn't answer."""
        try:
            value: dict[str, Any] = _call(
                f"http://{entry['address']}:{entry['port']}/_lycheepin/status"
            )
        except OSError:
            return None
        return value

    def is_settled(self) -> bool:
        """Returns whether all daemons know each other and all slots are granted."""
        statuses = [self.read_status(entry) for entry in self.entry_vms]
        if any(status is None for status in statuses):
            return False
        known = [s for s in statuses if s is not None]
        if any(len(s["members"]) < len(self.entry_vms) - 1 or not s["settled"] for s in known):
            return False
        granted: Counter[tuple[str, str]] = Counter()
        for status in known:
            for load in status["loads"]:
                granted[(status["region"], load["service"])] += load["granted"]
        return granted == region_caps(self.layout)

    def wait_until(self, condition: Any, what: str, timeout_s: float | None = None) -> float:
        """Waits for a condition and returns the seconds; raises TimeoutError."""
        timeout_s = self.ready_timeout_s if timeout_s is None else timeout_s
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(f"waited {timeout_s:g} s for {what}")
            time.sleep(0.1)
        return time.monotonic() - started_s

    def signal_daemon(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a daemon that this lab started."""
        self.daemons[name].send_signal(number)

    def stop(self) -> dict[str, int]:
        """Stops every process that was started; returns the daemons' exit statuses."""
        for process in self.daemons.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        statuses = {name: _wait(process) for name, process in self.daemons.items()}
        for process in self._others:
            process.terminate()
        for process in self._others:
            _wait(process)
        return statuses

    def _platform_answers(self) -> bool:
        """Returns whether the platform stand-in answers."""
        try:
            self.call_platform("calls", {})
        except OSError:
            return False
        return True

    def _stand_in(self, role: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts a stand-in process."""
        with (self.folder / "standins.log").open("ab") as log:
            command = [sys.executable, "-m", "standins", role, self.layout.name, *arguments]
            return subprocess.Popen(command, stdout=log, stderr=log, env=os.environ.copy())


def _call(url: str, value: Any = None) -> Any:
    """Returns the JSON answer of a control call; raises OSError."""
    data = None if value is None else json.dumps(value).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data), timeout=3) as answer:
        return json.loads(answer.read() or b"null")


def _wait(process: subprocess.Popen[bytes]) -> int:
    """Waits for a process to end; kills it when it doesn't."""
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def region_caps(layout: Layout) -> Counter[tuple[str, str]]:
    """Returns the slots less headroom by region and service, from the layout alone."""
    slots: Counter[tuple[str, str]] = Counter()
    for endpoint in list_endpoints(layout):
        slots[(endpoint["region"], endpoint["service"].partition("/")[2])] += endpoint["slots"]
    keep = 100 - layout.headroom_percent
    return Counter({pair: count * keep // 100 for pair, count in slots.items()})


def check(
    layout: Layout,
    records: list[dict[str, Any]],
    callers: list[dict[str, Any]],
    shift_cap: int = SHIFT_CAP,
) -> dict[str, Any]:
    """Returns the report: counts by class, peaks, and violations of the promises.

    It is made only of what endpoints and callers recorded themselves.
    """
    runs: Counter[str] = Counter()
    for record in records:
        runs.update(record["runs"])
    refused: Counter[str] = Counter()
    ran: Counter[str] = Counter()
    for caller in callers:
        refused.update(caller["refused"])
        ran.update(caller["ran"])
    report = _sum_classes(callers)
    report["lookups"] = sum(caller["lookups"] for caller in callers)
    report["ran_twice"] = sum(n > 1 for tag, n in runs.items() if not tag.endswith("-browse"))
    report["not_run_but_ran"] = sum(
        n > 0 and not ran[tag] and refused[tag] > 0 for tag, n in runs.items()
    )
    report["peaks"] = _peaks(layout, records)
    report["region_over_cap"] = sum(p["peak"] > p["cap"] for p in report["peaks"].values())
    report["shifted"], report["most_shifted"] = _count_shifted(records)
    report["shift_over_cap"] = int(report["most_shifted"] > shift_cap)
    report["kinds"] = dict(sum((Counter(c["kinds"]) for c in callers), Counter()))
    return report


def _count_shifted(records: list[dict[str, Any]]) -> tuple[int, int]:
    """Returns requests that ran outside their region, and the most of a pair in one window."""
    total, most = 0, 0
    for record in records:
        for times in record["shifted"].values():
            total += len(times)
            times.sort()
            first = 0
            for index, time_s in enumerate(times):
                while time_s - times[first] > SHIFT_WINDOW_S:
                    first += 1
                most = max(most, index - first + 1)
    return total, most


def _sum_classes(callers: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the callers' counts by class and in all."""
    classes: dict[str, dict[str, Any]] = {}
    for name in sorted({name for caller in callers for name in caller["classes"]}):
        parts = [c["classes"][name] for c in callers if name in c["classes"]]
        total = {k: sum(p[k] for p in parts) for k in parts[0] if k != "histogram"}
        histogram = HdrHistogram(1, 120_000_000, 3)
        for part in parts:
            histogram.decode_and_add(part["histogram"])
        for percent in (50, 99, 99.9):
            total[f"p{percent}_ms"] = histogram.get_value_at_percentile(percent) / 1000
        classes[name] = total
    report: dict[str, Any] = {"classes": classes}
    for key in ("requests", "whole", "not_run", "unknown", "crossed", "cut_short", "in_target"):
        report[key] = sum(total[key] for total in classes.values())
    return report


def _peaks(layout: Layout, records: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Returns the peak of requests in flight and the cap by region and service."""
    caps = region_caps(layout)
    return {
        f"{region} {service}": {
            "peak": records[layout.regions.index(region)]["peaks"].get(service, 0),
            "cap": cap,
        }
        for (region, service), cap in sorted(caps.items())
    }
