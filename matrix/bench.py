"""Test bench: observation and control of a system of real processes."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from typing import Any

from standins.lab import Lab

__all__ = ["SystemUnderTest"]

RECOVERY_TIMEOUT_S = 25.0


class SystemUnderTest:
    """Observes the daemons of a lab and injects faults into them."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab

    def find_entry_vm(self, name: str) -> dict[str, Any]:
        """Returns the entry VM with a name."""
        return next(entry for entry in self.lab.entry_vms if entry["name"] == name)

    def read_statuses(self) -> dict[str, dict[str, Any]]:
        """Returns the status of each daemon that answers, by name."""
        by_name = {entry["name"]: self.lab.read_status(entry) for entry in self.lab.entry_vms}
        return {name: status for name, status in by_name.items() if status is not None}

    def find_holder(self, region: str = "Saskatchewan") -> str:
        """Returns the name of the daemon of a region with the most slots of order-desk."""
        slots = {
            name: sum(
                load["granted"] for load in status["loads"] if load["service"] == "order-desk"
            )
            for name, status in self.read_statuses().items()
            if status["region"] == region
        }
        return max(slots, key=lambda name: slots[name])

    def find_planner(self, region: str = "Saskatchewan") -> str:
        """Returns the name of the planner of a region."""
        return next(
            status["planner"]
            for status in self.read_statuses().values()
            if status["region"] == region
        )

    def read_configuration_number(self) -> int:
        """Returns the highest configuration number in force at any daemon."""
        return max(status["configuration"] for status in self.read_statuses().values())

    def kill_daemon(self, name: str) -> None:
        """Kills a daemon and waits for its process to end."""
        self.lab.signal_daemon(name, signal.SIGKILL)
        self.lab.daemons[name].wait()

    def replace_daemon(self, name: str) -> None:
        """Kills a daemon and starts its successor at the same address."""
        self.kill_daemon(name)
        self.lab.start_daemon(self.find_entry_vm(name))

    def freeze_daemons(self, *names: str, duration_s: float) -> None:
        """Stops daemons for `duration_s` seconds and resumes them."""
        for name in names:
            self.lab.signal_daemon(name, signal.SIGSTOP)
        time.sleep(duration_s)
        for name in names:
            self.lab.signal_daemon(name, signal.SIGCONT)

    def wait_for_recovery(self) -> None:
        """Waits until all slots are granted again; raises TimeoutError."""
        self.lab.wait_until(self.lab.is_settled, "all slots granted", RECOVERY_TIMEOUT_S)

    def set_platform_faults(self, **values: float) -> None:
        """Sets faults of the platform stand-in, such as `down_s=4.0`."""
        self.lab.call_platform("faults", values)

    def expect(self, condition: bool, message: str) -> None:
        """Raises AssertionError with `message` when `condition` is false."""
        if not condition:
            raise AssertionError(message)

    def reapply_configuration(
        self, *options: str, entry_index: int = 0
    ) -> subprocess.CompletedProcess[bytes]:
        """Applies the configuration in force again at the entry VM with an index."""
        current_change = json.loads(self.lab.run_command("config", "show").stdout)
        file = self.lab.folder / f"again-{entry_index}.jsonc"
        file.write_text(json.dumps(current_change["document"]), encoding="utf-8")
        return self.lab.run_command("config", "apply", str(file), *options, entry=entry_index)

    def count_requests_started_after(self, endpoint: str, since_s: float) -> int:
        """Returns the number of requests that an endpoint began after a monotonic time."""
        total = 0
        for index in range(1, len(self.lab.layout.regions) + 1):
            starts = self.lab.call_endpoints(index, "records")["starts"].get(endpoint, [])
            total += sum(start > since_s for start in starts)
        return total
