"""Runs a soak: `python -m soak --seed N --seconds S`; exit status 1 when a promise was broken."""

from __future__ import annotations

import argparse
import asyncio
import sys

from logbook import NullHandler

from soak.faults import FAULTS
from soak.ledger import Ledger, Violation
from soak.world import World
from standins.messages import read_answer, request

__all__ = ["main"]

# Requests a second of all callers, and the time in seconds that a caller waits.
REQUESTS_PER_S = 80
PATIENCE_S = 3.0
# Mean time in seconds between two faults.
FAULT_GAP_S = 0.7
# Quiet time in seconds at the end, in which nearly everything has to be served.
CALM_S = 6.0
CALM_SERVED = 0.95


async def _ask(world: World, number: int) -> None:
    """Sends one request to a random daemon and notes its answer."""
    name = world.random.choice(sorted(world.fronts))
    front = world.fronts[name]
    protected = world.random.random() < 0.5
    identifier = f"r{number:06}"
    path, method = ("/order/1", "POST") if protected else ("/read/1", "GET")
    content = request(
        path,
        method,
        identifier,
        b"body" if protected else b"",
        Affinity_Key=str(number % 23),
        Deadline_Ms="3000",
    )
    world.ledger.ask(identifier, protected)
    try:
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(front.host, front.port)
            writer.write(content)
            status, headers, body = await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return  # a closed connection promises nothing
    writer.close()
    whole = body == identifier.encode() * 200
    world.ledger.answer(identifier, status, headers.get("request-id", ""), whole)


async def _ask_for_ever(world: World) -> None:
    """Keeps callers coming at an even rate."""
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.ensure_future(_ask(world, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def _watch_versions(world: World) -> None:
    """Notes the version that each life of each daemon has in force, for ever."""
    seen: dict[int, int] = {}
    while True:
        await asyncio.sleep(0.05)
        for name, gateway in world.gateways.items():
            table = gateway.beliefs.table
            if table is not None:
                life = gateway.record.incarnation
                world.ledger.observe_version(name, seen.get(life, 0), table.version)
                seen[life] = table.version


async def soak(seed: int, seconds: float) -> Ledger:
    """Returns the ledger of a soak."""
    ledger = Ledger()
    world = World(seed, ledger)
    await world.start()
    await asyncio.sleep(1.0)
    tasks = [asyncio.ensure_future(_ask_for_ever(world))]
    tasks.append(asyncio.ensure_future(_watch_versions(world)))
    end_s = asyncio.get_running_loop().time() + seconds
    faults: set[asyncio.Task[None]] = set()
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(world.random.expovariate(1 / FAULT_GAP_S))
        fault = world.random.choice(FAULTS)
        if fault.__name__ not in {task.get_name() for task in faults}:
            task = asyncio.create_task(fault(world), name=fault.__name__)
            faults.add(task)
            task.add_done_callback(faults.discard)
    await asyncio.gather(*faults)
    await asyncio.sleep(CALM_S / 2)
    asked, served = ledger.asked, ledger.served
    await asyncio.sleep(CALM_S / 2)
    part = (ledger.served - served) / max(1, ledger.asked - asked)
    if part < CALM_SERVED:
        ledger.violations.append(Violation("recovery", f"{part:.2f} served in the quiet end"))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await world.close()
    return ledger


def main() -> int:
    """Runs one soak and prints what it found; returns the exit status."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="draws the faults")
    parser.add_argument("--seconds", type=float, default=30.0, help="time with faults")
    options = parser.parse_args()
    with NullHandler().applicationbound():
        ledger = asyncio.run(soak(options.seed, options.seconds))
    for violation in ledger.violations[:20]:
        print(f"{violation.promise}: {violation.detail}")
    print(
        f"seed {options.seed}: {ledger.asked} asked, {ledger.served} served, "
        f"{len(ledger.violations)} violations"
    )
    return 1 if ledger.violations else 0


if __name__ == "__main__":
    sys.exit(main())
