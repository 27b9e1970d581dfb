"""Gateway daemons of a soak: processes with settings files, controlled by signals."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address

__all__ = ["BOUNDS", "Daemon"]

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent
INNER_PORTS = 7660, 7675
LISTENER_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT = 8144, 8140, 8143, 8146
# Default bounds of the daemons' settings; names that end in S or _s are times in seconds.
BOUNDS: Mapping[str, float] = {
    "gracePeriodS": 6.0,
    "ttl_max_s": 5.0,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10.0,
    "budgetSlack": 20.0,
    "coldOver": 1.5,
    "coldSlack": 5.0,
    "quotaWindowS": 5.0,
    "quotaOver": 0.1,
    "quotaSlack": 20.0,
}

# Fields that a later version of the platform may add.
NEW_SETTINGS = 'newField = "x"\nnewList = [{ a = 1 }, { b = [2] }]\n'


@dataclass
class Daemon:
    """One daemon, which may be restarted.

    `zones` maps each availability zone to its region, and `store_address` is the address that the
    daemon uses for the store. `incarnation` counts the starts of its process. With
    `has_new_settings` its settings have fields that it doesn't know. `machine` has the
    limits of its machine by their names in the settings.
    """

    name: str
    host: Address
    zone: str
    zones: Mapping[str, str]
    store_address: SocketAddress
    seed_addresses: tuple[str, ...]
    folder: pathlib.Path
    incarnation: int = 0
    exit_expected: bool = False
    paused: bool = False
    has_new_settings: bool = False
    machine: Mapping[str, int] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    @property
    def listener_address(self) -> SocketAddress:
        """The address that accepts callers' requests."""
        return SocketAddress(self.host, LISTENER_PORT)

    @property
    def directory_address(self) -> SocketAddress:
        """The address that accepts callers' look-ups."""
        return SocketAddress(self.host, DIRECTORY_PORT)

    @property
    def running(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.process is not None and self.process.poll() is None and not self.paused

    def start(self) -> None:
        """Starts a new process, whose output is appended to the daemon's log file."""
        self.write_settings()
        self.incarnation += 1
        self.exit_expected = self.paused = False
        settings_path = str(self.folder / f"{self.name}.toml")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lycheepin.platform"],
                cwd=REPOSITORY_ROOT,
                env={**os.environ, "LYCHEEPIN_BOOT": settings_path},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs.

        SIGHUP and SIGTERM are dropped until the program handles them: while the interpreter
        starts, for about 20 ms, the kernel's default action would end the process, and the
        program cannot prevent that.
        """
        if self.process is None or self.process.poll() is not None:
            return
        if signal_number in (signal.SIGHUP, signal.SIGTERM) and not self._handles_signal(
            signal_number
        ):
            return
        self.paused = signal_number is signal.SIGSTOP or (
            self.paused and signal_number is not signal.SIGCONT
        )
        self.exit_expected = self.exit_expected or signal_number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(signal_number)

    def _handles_signal(self, signal_number: signal.Signals) -> bool:
        """Returns whether the process catches or ignores a signal."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return False  # the process has ended
        fields = dict(line.split(":\t", 1) for line in text.splitlines() if ":\t" in line)
        masks = (int(fields.get(name, "0"), 16) for name in ("SigIgn", "SigCgt"))
        return any(mask >> (signal_number - 1) & 1 for mask in masks)

    def write_settings(self, **overrides: float) -> None:
        """Writes the settings file; `overrides` replace the default bounds of the same names."""
        zone_entries = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        bound_entries = ", ".join(
            f'"{name}={value:g}"' for name, value in {**BOUNDS, **overrides}.items()
        )
        seed_entries = ", ".join(f'"{seed}"' for seed in self.seed_addresses)
        machine_entries = "\n".join(f"{name} = {value}" for name, value in self.machine.items())
        content = f"""
nodeName = "{self.name}"
ip = "{self.host}"
zone = "{self.zone}"
region = "{self.zones[self.zone]}"
seeds = [{seed_entries}]
bounds = [{bound_entries}]
innerPortRange = [{INNER_PORTS[0]}, {INNER_PORTS[1]}]
[zones]
{zone_entries}
[listen]
front = "{self.listener_address}"
ready = "{self.host}:{READY_PORT}"
directory = "{self.directory_address}"
control = "{self.host}:{CONTROL_PORT}"
[platform]
address = "{self.store_address}"
[limits]
{machine_entries}
"""
        if self.has_new_settings:
            content = NEW_SETTINGS + content + "newTable = { a = [1, { b = 2 }] }\n"
        path = self.folder / f"{self.name}.toml"
        temporary_path = path.with_suffix(".new")
        temporary_path.write_text(content, encoding="utf-8")
        temporary_path.replace(path)
