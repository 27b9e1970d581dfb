"""The system under test on real processes, and what the cells need of it."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from typing import Any

from standins.lab import Lab

__all__ = ["Bench"]

HEAL_TIMEOUT_S = 25.0


class Bench:
    """The system under test and what the cells need of it."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab

    def entry(self, name: str) -> dict[str, Any]:
        """Returns an entry VM by its name."""
        return next(entry for entry in self.lab.entry_vms if entry["name"] == name)

    def statuses(self) -> dict[str, dict[str, Any]]:
        """Returns the status of each daemon that answers."""
        found = {entry["name"]: self.lab.read_status(entry) for entry in self.lab.entry_vms}
        return {name: status for name, status in found.items() if status is not None}

    def holder(self, region: str = "Saskatchewan") -> str:
        """Returns the daemon of a region with the most slots of order-desk."""
        slots = {
            name: sum(x["granted"] for x in status["loads"] if x["service"] == "order-desk")
            for name, status in self.statuses().items()
            if status["region"] == region
        }
        return max(slots, key=lambda name: slots[name])

    def planner(self, region: str = "Saskatchewan") -> str:
        """Returns the planner of a region."""
        return next(s["planner"] for s in self.statuses().values() if s["region"] == region)

    def number(self) -> int:
        """Returns the number of the configuration in force."""
        return max(status["configuration"] for status in self.statuses().values())

    def kill(self, name: str) -> None:
        """Kills a daemon."""
        self.lab.signal_daemon(name, signal.SIGKILL)
        self.lab.daemons[name].wait()

    def replace(self, name: str) -> None:
        """Kills a daemon and starts its successor at the same address."""
        self.kill(name)
        self.lab.start_daemon(self.entry(name))

    def freeze(self, *names: str, seconds: float) -> None:
        """Stops daemons for some seconds."""
        for name in names:
            self.lab.signal_daemon(name, signal.SIGSTOP)
        time.sleep(seconds)
        for name in names:
            self.lab.signal_daemon(name, signal.SIGCONT)

    def heal(self) -> None:
        """Waits until all slots are granted again; raises TimeoutError."""
        self.lab.wait_until(self.lab.is_settled, "all slots granted", HEAL_TIMEOUT_S)

    def faults(self, **values: float) -> None:
        """Sets faults of the platform."""
        self.lab.call_platform("faults", values)

    def expect(self, condition: bool, text: str) -> None:
        """Raises AssertionError when a condition does not hold."""
        if not condition:
            raise AssertionError(text)

    def apply(self, *options: str, entry: int = 0) -> subprocess.CompletedProcess[bytes]:
        """Applies the configuration in force once more."""
        shown = json.loads(self.lab.run_command("config", "show").stdout)
        file = self.lab.folder / f"again-{entry}.jsonc"
        file.write_text(json.dumps(shown["document"]), encoding="utf-8")
        return self.lab.run_command("config", "apply", str(file), *options, entry=entry)

    def starts_after(self, name: str, since_s: float) -> int:
        """Returns the requests that an endpoint began after a monotonic time."""
        total = 0
        for index in range(1, len(self.lab.layout.regions) + 1):
            starts = self.lab.call_endpoints(index, "records")["starts"].get(name, [])
            total += sum(start > since_s for start in starts)
        return total
