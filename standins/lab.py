"""Starts and stops a whole system on loopback, and checks the records of endpoints and callers."""

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
    list_endpoints,
    list_entry_vms,
)

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
# The shift cap limits the admissions of one second. The window is shorter by the jitter between the
# admission of a request and its record at the endpoint.
SHIFT_WINDOW_S = 0.9


class Lab:
    """All processes of a test deployment: platform, endpoints, daemons and callers.

    Settings, logs and records are written to `folder`. `program` is the command that starts
    lycheepin.
    """

    def __init__(self, layout: Layout, folder: pathlib.Path, program: list[str], seed: int) -> None:
        # Daemons reject datagrams of other labs at the same addresses, as their key differs.
        self.peer_key = secrets.token_hex(16)
        self.layout = layout
        self.folder = folder
        self.seed = seed
        self.entry_vms = list_entry_vms(layout)
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self._program = program
        self._stand_ins: list[subprocess.Popen[bytes]] = []
        self._region_endpoints: list[subprocess.Popen[bytes]] = []
        self.ready_timeout_s = READY_TIMEOUT_S
        self.shift_cap = SHIFT_CAP
        folder.mkdir(parents=True, exist_ok=True)

    def start(self) -> None:
        """Starts platform, endpoints and daemons, and applies the configuration.

        Returns when all slots are granted. Raises `TimeoutError` when a part is not ready in time,
        and `RuntimeError` when the configuration is refused.
        """
        self._stand_ins.append(self._start_stand_in("platform"))
        for region_number in range(1, len(self.layout.regions) + 1):
            self._region_endpoints.append(
                self._start_stand_in("endpoints", str(region_number), str(self.seed))
            )
        self._stand_ins += self._region_endpoints
        self.wait_until(self._is_platform_ready, "the platform stand-in")
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
                [*self._program, "daemon", str(file)],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def run_command(self, *arguments: str, entry: int = 0) -> subprocess.CompletedProcess[bytes]:
        """Runs a command of the command line against the entry VM with an index."""
        target = f"{self.entry_vms[entry]['address']}:{self.entry_vms[entry]['port']}"
        return subprocess.run(
            [*self._program, *arguments, "--daemon", target], capture_output=True, timeout=60
        )

    def start_callers(
        self, duration_s: float, scale: dict[str, float] | None = None
    ) -> list[subprocess.Popen[bytes]]:
        """Starts a process with the callers of each region and returns the processes.

        `scale` has factors of the load by name of a fleet or class.
        """
        processes = []
        for region_number in range(1, len(self.layout.regions) + 1):
            file = self.folder / f"callers-{region_number}.json"
            file.unlink(missing_ok=True)
            arguments = (
                str(region_number),
                str(duration_s),
                str(self.seed),
                str(file),
                json.dumps(scale or {}),
            )
            processes.append(self._start_stand_in("callers", *arguments))
        self._stand_ins += processes
        return processes

    def collect_records(self) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        """Returns the records of the endpoints and those of the callers, one for each region."""
        region_numbers = range(1, len(self.layout.regions) + 1)
        records = [self.call_endpoints(number, "records") for number in region_numbers]
        callers = [
            json.loads((self.folder / f"callers-{number}.json").read_text())
            for number in region_numbers
        ]
        return records, callers

    def kill_endpoints(self, region_number: int) -> None:
        """Kills the endpoints of a region; regions count from 1."""
        self._region_endpoints[region_number - 1].kill()

    def list_endpoint_addresses(self) -> list[str]:
        """Returns the addresses of all endpoints."""
        return [endpoint["address"] for endpoint in list_endpoints(self.layout)]

    def call_endpoints(self, region_number: int, name: str, value: Any = None) -> Any:
        """Makes a control call to the endpoints of a region and returns its answer.

        Regions count from 1.
        """
        return _request_json(f"http://127.9.1.{region_number}:9000/control/{name}", value)

    def call_platform(self, name: str, value: Any) -> Any:
        """Makes a control call to the platform and returns its answer.

        The answer is the number of calls by kind, for `writes` the time of each key's last write.
        """
        return _request_json(f"http://{PLATFORM_ADDRESS}:{PLATFORM_PORT}/control/{name}", value)

    def read_status(self, entry: dict[str, Any]) -> dict[str, Any] | None:
        """Returns the status of an entry VM's daemon, or None when it does not answer."""
        try:
            value: dict[str, Any] = _request_json(
                f"http://{entry['address']}:{entry['port']}/_lycheepin/status"
            )
        except OSError:
            return None
        return value

    def is_settled(self) -> bool:
        """Returns whether all daemons are settled and list each other, with all slots granted."""
        statuses = [self.read_status(entry) for entry in self.entry_vms]
        if any(status is None for status in statuses):
            return False
        received = [s for s in statuses if s is not None]
        if any(len(s["members"]) < len(self.entry_vms) - 1 or not s["settled"] for s in received):
            return False
        granted: Counter[tuple[str, str]] = Counter()
        for status in received:
            for load in status["loads"]:
                granted[(status["region"], load["service"])] += load["granted"]
        return granted == compute_region_caps(self.layout)

    def wait_until(self, condition: Any, description: str, timeout_s: float | None = None) -> float:
        """Waits until a condition holds and returns the seconds that it took.

        Raises `TimeoutError` after `timeout_s`, by default `ready_timeout_s`.
        """
        timeout_s = self.ready_timeout_s if timeout_s is None else timeout_s
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                ends = "; ".join(self.describe_ended_daemons()) or "all daemons run"
                raise TimeoutError(f"waited {timeout_s:g} s for {description}; {ends}")
            time.sleep(0.1)
        return time.monotonic() - started_s

    def describe_ended_daemons(self) -> list[str]:
        """Returns for each daemon that has ended its name, and its exit status or signal."""
        statuses = {name: process.poll() for name, process in self.daemons.items()}
        return [
            (
                f"{name} ended with status {status}"
                if status >= 0
                else f"{name} was ended by {signal.Signals(-status).name}"
            )
            for name, status in statuses.items()
            if status is not None
        ]

    def signal_daemon(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the daemon of an entry VM."""
        self.daemons[name].send_signal(number)

    def stop(self) -> dict[str, int]:
        """Stops all processes and returns the exit statuses of the daemons by name of their VM."""
        for process in self.daemons.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        statuses = {name: _wait_or_kill(process) for name, process in self.daemons.items()}
        for process in self._stand_ins:
            process.terminate()
        for process in self._stand_ins:
            _wait_or_kill(process)
        return statuses

    def _is_platform_ready(self) -> bool:
        """Returns whether the platform stand-in answers."""
        try:
            self.call_platform("calls", {})
        except OSError:
            return False
        return True

    def _start_stand_in(self, role: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts a stand-in process."""
        with (self.folder / "standins.log").open("ab") as log:
            command = [sys.executable, "-m", "standins", role, self.layout.name, *arguments]
            return subprocess.Popen(
                command, stdout=log, stderr=log, env=os.environ.copy(), start_new_session=True
            )


def _request_json(url: str, value: Any = None) -> Any:
    """Returns the JSON answer to a GET, or to a POST when there is a value.

    Raises `OSError` when there is no answer or its status is an error.
    """
    data = None if value is None else json.dumps(value).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data), timeout=3) as answer:
        return json.loads(answer.read() or b"null")


def _wait_or_kill(process: subprocess.Popen[bytes]) -> int:
    """Returns the exit status of a process; kills it when it runs longer than `STOP_TIMEOUT_S`."""
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def compute_region_caps(layout: Layout) -> Counter[tuple[str, str]]:
    """Returns the cap of each region and service: its slots in the layout less the headroom."""
    slots: Counter[tuple[str, str]] = Counter()
    for endpoint in list_endpoints(layout):
        slots[(endpoint["region"], endpoint["service"].partition("/")[2])] += endpoint["slots"]
    usable_percent = 100 - layout.headroom_percent
    return Counter({pair: count * usable_percent // 100 for pair, count in slots.items()})


def check(
    layout: Layout,
    records: list[dict[str, Any]],
    callers: list[dict[str, Any]],
    shift_cap: int = SHIFT_CAP,
) -> dict[str, Any]:
    """Returns the report: counts by class, peaks, and the number of violations of each guarantee.

    The report uses only the records of endpoints and callers, nothing that a daemon reports.
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
    report["peaks"] = _compare_peaks(layout, records)
    report["region_over_cap"] = sum(p["peak"] > p["cap"] for p in report["peaks"].values())
    report["shifted"], report["most_shifted"] = _count_shifted(records)
    report["shift_over_cap"] = int(report["most_shifted"] > shift_cap)
    report["kinds"] = dict(sum((Counter(c["kinds"]) for c in callers), Counter()))
    return report


def _count_shifted(records: list[dict[str, Any]]) -> tuple[int, int]:
    """Returns how many requests were shifted, and the most within one window.

    Shifted requests ran outside the region of their caller. Windows last `SHIFT_WINDOW_S` and are
    counted for each service and pair of regions.
    """
    total, most_in_window = 0, 0
    for record in records:
        for times in record["shifted"].values():
            total += len(times)
            times.sort()
            first = 0
            for index, time_s in enumerate(times):
                while time_s - times[first] > SHIFT_WINDOW_S:
                    first += 1
                most_in_window = max(most_in_window, index - first + 1)
    return total, most_in_window


def _sum_classes(callers: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the counts and latencies of all callers by class, and the totals of the counts."""
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


def _compare_peaks(layout: Layout, records: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Returns the peak of requests in flight and the cap by region and service."""
    caps = compute_region_caps(layout)
    return {
        f"{region} {service}": {
            "peak": records[layout.regions.index(region)]["peaks"].get(service, 0),
            "cap": cap,
        }
        for (region, service), cap in sorted(caps.items())
    }
