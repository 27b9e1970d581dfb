"""Runs a soak: `python -m soak --seed N --seconds S`; exit status 1 when a promise was broken.

Gateways run as processes of their own; signals, proxies and stand-ins disturb them from outside.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
from typing import Any

from soak.callers import Callers
from soak.faults import FAULTS
from soak.ledger import Ledger
from soak.world import World

__all__ = ["main", "soak"]

# Mean time in seconds between two faults.
FAULT_GAP_S = 0.8
# Time in seconds before the first fault.
START_S = 2.0
# Quiet time in seconds at the end; in its second half nearly everything has to be served.
CALM_S = 10.0
CALM_SERVED = 0.95
# Violations that are printed.
SHOWN = 20


async def soak(
    seed: int, seconds: float, daemons: int, folder: pathlib.Path, timed: bool = True
) -> Ledger:
    """Returns the ledger of a soak; without `timed`, promises with a bound in time are left out."""
    ledger = Ledger(timed)
    world = World(seed, daemons, ledger, folder)
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start()
        works = [*Callers(world).works(), world.watch_daemons()]
        tasks = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(START_S)
        await _disturb(world, seconds)
        await asyncio.sleep(CALM_S / 2)
        asked, served = ledger.asked, ledger.served
        await asyncio.sleep(CALM_S / 2)
        part = (ledger.served - served) / max(1, ledger.asked - asked)
        ledger.observe_recovery(part, CALM_SERVED)
        ledger.check_budgets()
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.close()
    return ledger


async def _disturb(world: World, seconds: float) -> None:
    """Starts faults for some seconds, and waits for their ends."""
    end_s = world.now_s() + seconds
    running: set[asyncio.Task[None]] = set()
    while world.now_s() < end_s:
        await asyncio.sleep(world.random.expovariate(1 / FAULT_GAP_S))
        fault = world.random.choice(FAULTS)
        if fault.__name__ not in {task.get_name() for task in running}:
            task = asyncio.create_task(fault(world), name=fault.__name__)
            running.add(task)
            task.add_done_callback(running.discard)
    await asyncio.gather(*running)


def _stop(number: int, frame: Any) -> None:
    """Ends the soak with its processes: left alone they would keep their addresses."""
    raise KeyboardInterrupt


def main() -> int:
    """Runs one soak and prints what it found; returns the exit status."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="draws the faults")
    parser.add_argument("--seconds", type=float, default=30.0, help="time with faults")
    parser.add_argument("--daemons", type=int, default=5, help="processes")
    parser.add_argument("--untimed", action="store_true", help="leave bounds in time out")
    options = parser.parse_args()
    folder = pathlib.Path("build/soak") / f"seed-{options.seed}"
    signal.signal(signal.SIGTERM, _stop)
    ledger = asyncio.run(
        soak(options.seed, options.seconds, options.daemons, folder, not options.untimed)
    )
    for violation in ledger.violations[:SHOWN]:
        print(f"{violation.promise}: {violation.detail}")
    print(
        f"seed {options.seed}: {ledger.asked} asked, {dict(ledger.outcomes)}, "
        f"{len(ledger.violations)} violations"
    )
    return 1 if ledger.violations else 0


if __name__ == "__main__":
    sys.exit(main())
