"""Runs a soak: `python -m soak --seed N --seconds S`; exit status 1 when a guarantee was violated.

Each gateway runs in its own process; signals, proxies and stand-ins inject the faults.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
from collections.abc import Sequence
from typing import Any

from soak.callers import Callers
from soak.faults import FAULTS
from soak.ledger import RequestLedger
from soak.switching import ActiveSwitch, draw_switches, run_switches, shrink_switches
from soak.world import Deployment
from standins.switches import SWITCHES

__all__ = ["main", "soak"]

# Mean time between the starts of two faults.
MEAN_FAULT_INTERVAL_S = 0.8
# Time before the first fault.
WARM_UP_S = 2.0
# Time without faults at the end, and the minimum ratio of requests served in its second half.
QUIET_S = 10.0
MIN_RECOVERED_RATIO = 0.95
MAX_PRINTED_VIOLATIONS = 20


async def soak(
    seed: int,
    seconds: float,
    daemon_count: int,
    folder: pathlib.Path,
    check_time_limits: bool = True,
    switches: Sequence[ActiveSwitch] = (),
) -> RequestLedger:
    """Runs a soak with some switches of the stand-ins, and returns its ledger.

    Without `check_time_limits`, guarantees with a time limit are not checked.
    """
    ledger = RequestLedger(check_time_limits)
    needed = [SWITCHES[SWITCHES[s.name].needs] for s in switches if SWITCHES[s.name].needs]
    from_start = {switch.name: switch.doses[-1] for switch in needed}
    from_start |= {s.name: s.dose for s in switches if SWITCHES[s.name].from_start}
    deployment = Deployment(seed, daemon_count, ledger, folder, from_start)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        coroutines = [*Callers(deployment).create_coroutines(), deployment.restart_ended_daemons()]
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        await asyncio.sleep(WARM_UP_S)
        await asyncio.gather(
            _inject_faults(deployment, seconds), run_switches(deployment, switches)
        )
        await asyncio.sleep(QUIET_S / 2)
        requests_before, successes_before = ledger.request_count, ledger.success_count
        await asyncio.sleep(QUIET_S / 2)
        served_ratio = (ledger.success_count - successes_before) / max(
            1, ledger.request_count - requests_before
        )
        has_quotas = deployment.board.dose("platform.quotas") > 0
        ledger.check_recovery(served_ratio, 0.0 if has_quotas else MIN_RECOVERED_RATIO)
        ledger.check_retry_budgets()
        ledger.check_quotas()
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.close()
    return ledger


async def _inject_faults(deployment: Deployment, seconds: float) -> None:
    """Injects faults for the given time, and waits until all have ended."""
    end_s = deployment.now_s() + seconds
    running: set[asyncio.Task[None]] = set()
    while deployment.now_s() < end_s:
        await asyncio.sleep(deployment.random.expovariate(1 / MEAN_FAULT_INTERVAL_S))
        fault = deployment.random.choice(FAULTS)
        if fault.__name__ not in {task.get_name() for task in running}:
            task = asyncio.create_task(fault(deployment), name=fault.__name__)
            running.add(task)
            task.add_done_callback(running.discard)
    await asyncio.gather(*running)


def _handle_sigterm(number: int, frame: Any) -> None:
    """Interrupts the soak so that it stops its daemons; otherwise they keep their addresses."""
    raise KeyboardInterrupt


def main() -> int:
    """Runs one soak, prints its violations and a summary, and returns the exit status."""
    options = _parse_options()
    signal.signal(signal.SIGTERM, _handle_sigterm)
    switches: Sequence[ActiveSwitch] = options.switch
    if not switches and not options.plain:
        switches = draw_switches(options.seed, options.seconds)
    ledger = asyncio.run(_run(options, switches))
    for violation in ledger.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"{violation.guarantee}: {violation.detail}")
    print(
        f"seed {options.seed}: {ledger.request_count} asked, {dict(ledger.outcomes)}, "
        f"{len(ledger.violations)} violations"
    )
    print(_format_command(options, switches), flush=True)
    if ledger.violations and options.shrink:
        fewest = asyncio.run(_shrink(options, switches))
        print(f"fewest switches: {_format_command(options, fewest)}")
    return 1 if ledger.violations else 0


def _parse_options() -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of faults and switches")
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="time during which faults start"
    )
    parser.add_argument("--daemons", type=int, default=5, help="processes")
    parser.add_argument("--untimed", action="store_true", help="check no time limits")
    parser.add_argument("--plain", action="store_true", help="turn on no switch of the stand-ins")
    parser.add_argument(
        "--switch",
        type=ActiveSwitch.parse,
        action="append",
        default=[],
        help="turn on this switch instead of drawn ones: name=dose@start-end, in seconds",
    )
    parser.add_argument(
        "--shrink", action="store_true", help="find the fewest switches of a run that failed"
    )
    return parser.parse_args()


def _format_command(options: argparse.Namespace, switches: Sequence[ActiveSwitch]) -> str:
    """Returns the command that repeats a run."""
    command = f"python -m soak --seed {options.seed} --seconds {options.seconds:g}"
    command += f" --daemons {options.daemons}" + " --untimed" * options.untimed
    chosen = " ".join(f"--switch {switch}" for switch in switches)
    return f"{command} {chosen or '--plain'}"


async def _run(options: argparse.Namespace, switches: Sequence[ActiveSwitch]) -> RequestLedger:
    """Runs one soak with the options of the command line."""
    folder = pathlib.Path("build/soak") / f"seed-{options.seed}"
    return await soak(
        options.seed, options.seconds, options.daemons, folder, not options.untimed, switches
    )


async def _shrink(
    options: argparse.Namespace, switches: Sequence[ActiveSwitch]
) -> list[ActiveSwitch]:
    """Returns the fewest switches with which a run still fails."""

    async def fails(fewer: Sequence[ActiveSwitch]) -> bool:
        return bool((await _run(options, fewer)).violations)

    return await shrink_switches(switches, fails)


if __name__ == "__main__":
    sys.exit(main())
