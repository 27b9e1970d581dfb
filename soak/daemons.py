"""The gateways of a soak: real processes with settings files, driven by signals."""

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

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT = 8144, 8140, 8143, 8146
# Bounds of the soak's deployment; times in seconds where their names end so.
BOUNDS: Mapping[str, float] = {
    "gracePeriodS": 6.0,
    "ttl_max_s": 5.0,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10.0,
    "budgetSlack": 20.0,
    "coldOver": 1.5,
    "coldSlack": 5.0,
}


@dataclass
class Daemon:
    """One daemon and its present life; `store` is the address at which it finds the store."""

    name: str
    host: Address
    zone: str
    zones: Mapping[str, str]
    store: SocketAddress
    seeds: tuple[str, ...]
    folder: pathlib.Path
    lives: int = 0
    expected_end: bool = False
    paused: bool = False
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    @property
    def front(self) -> SocketAddress:
        """The address for callers' requests."""
        return SocketAddress(self.host, FRONT_PORT)

    @property
    def directory(self) -> SocketAddress:
        """The address for callers' look-ups."""
        return SocketAddress(self.host, DIRECTORY_PORT)

    @property
    def running(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.process is not None and self.process.poll() is None and not self.paused

    def start(self) -> None:
        """Starts a new life; its output is appended to the daemon's log."""
        self.write_settings()
        self.lives += 1
        self.expected_end = self.paused = False
        settings = str(self.folder / f"{self.name}.toml")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lycheepin.platform"],
                cwd=ROOT,
                env={**os.environ, "LYCHEEPIN_BOOT": settings},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs.

        SIGHUP and SIGTERM wait for the first line of the program: before it the interpreter's own
        start, some 20 ms, has the kernel's default action, and no program can change that.
        """
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGHUP, signal.SIGTERM) and not self._handles(number):
            return
        self.paused = number is signal.SIGSTOP or (self.paused and number is not signal.SIGCONT)
        self.expected_end = self.expected_end or number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(number)

    def _handles(self, number: signal.Signals) -> bool:
        """Returns whether the process catches or ignores a signal."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return False  # it has ended meanwhile
        fields = dict(line.split(":\t", 1) for line in text.splitlines() if ":\t" in line)
        masks = (int(fields.get(name, "0"), 16) for name in ("SigIgn", "SigCgt"))
        return any(mask >> (number - 1) & 1 for mask in masks)

    def write_settings(self, **bounds: float) -> None:
        """Writes the settings file, with other bounds where some are given."""
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        texts = ", ".join(f'"{name}={value:g}"' for name, value in {**BOUNDS, **bounds}.items())
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        content = f"""
nodeName = "{self.name}"
ip = "{self.host}"
zone = "{self.zone}"
region = "{self.zones[self.zone]}"
seeds = [{seeds}]
bounds = [{texts}]
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.host}:{READY_PORT}"
directory = "{self.directory}"
control = "{self.host}:{CONTROL_PORT}"
[platform]
address = "{self.store}"
"""
        path = self.folder / f"{self.name}.toml"
        fresh = path.with_suffix(".new")
        fresh.write_text(content, encoding="utf-8")
        fresh.replace(path)
