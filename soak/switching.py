"""Switches of the stand-ins in a soak: draws them by seed, turns them on and off, shrinks them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from soak.world import DESK, FILES, Deployment
from standins.odd_entries import build_odd_entry
from standins.switches import PER_SECOND, SECONDS, SWITCHES, Party

__all__ = ["ActiveSwitch", "draw_switches", "run_switches", "shrink_switches"]

# Number of switches in a run.
MIN_DRAWN, MAX_DRAWN = 3, 6
# Shortest part of the run for which a switch is on.
MIN_FRACTION = 0.3
# Interval in seconds at which a switch that disturbs is recorded as a fault, so that time limits
# count from its end.
RECORD_INTERVAL_S = 0.5
# Longest time in seconds for which an odd entry stands under the key of an endpoint.
ODD_ENTRY_S = 1.0
# Time in seconds for which the table of workspaces is empty.
EMPTIED_S = 0.5
# Tries of a shorter list of switches before it counts as one that passes.
TRIES = 3


@dataclass(frozen=True)
class ActiveSwitch:
    """A switch that is on with a dose for a part of the run, in seconds from its start."""

    name: str
    dose: float
    start_s: float
    end_s: float

    @classmethod
    def parse(cls, text: str) -> ActiveSwitch:
        """Returns the switch written as `name=dose@start-end`; raises ValueError otherwise."""
        name, _, rest = text.partition("=")
        dose, _, span = rest.partition("@")
        start_s, _, end_s = span.partition("-")
        if name not in SWITCHES:
            raise ValueError(f"no switch {name!r}")
        return cls(name, float(dose), float(start_s), float(end_s))

    def __str__(self) -> str:
        """Returns what `parse` reads."""
        return f"{self.name}={self.dose!r}@{self.start_s:g}-{self.end_s:g}"


def draw_switches(seed: int, seconds: float) -> tuple[ActiveSwitch, ...]:
    """Returns the switches of a run with a seed that lasts for some seconds."""
    source = random.Random(f"switches {seed}")
    drawn = []
    for name in source.sample(sorted(SWITCHES), source.randint(MIN_DRAWN, MAX_DRAWN)):
        switch = SWITCHES[name]
        start_s = round(source.uniform(0, seconds * (1 - MIN_FRACTION)), 1)
        end_s = round(source.uniform(start_s + seconds * MIN_FRACTION, seconds), 1)
        if switch.from_start:
            start_s, end_s = 0.0, seconds
        drawn.append(ActiveSwitch(name, float(source.choice(switch.doses)), start_s, end_s))
    return tuple(drawn)


async def run_switches(deployment: Deployment, switches: Sequence[ActiveSwitch]) -> None:
    """Turns switches on and off at their times; returns when all are off."""
    started_s = deployment.now_s()
    await asyncio.gather(*(_run_switch(deployment, s, started_s) for s in switches))


async def _run_switch(deployment: Deployment, active: ActiveSwitch, started_s: float) -> None:
    """Turns one switch on and off, and does what takes effect at intervals meanwhile."""
    switch = SWITCHES[active.name]
    if switch.from_start:
        return
    await asyncio.sleep(started_s + active.start_s - deployment.now_s())
    deployment.board.set_dose(active.name, active.dose)
    scope = "store" if switch.party is Party.STORE else "endpoints"
    act = _ACTIONS.get(active.name)
    interval_s = RECORD_INTERVAL_S
    if act is not None and switch.unit in (SECONDS, PER_SECOND):
        interval_s = active.dose if switch.unit == SECONDS else 1 / active.dose
    end_s = started_s + active.end_s
    while deployment.now_s() < end_s:
        if switch.disturbs:
            deployment.ledger.record_fault(scope, deployment.now_s())
        if act is not None:
            act(deployment)
        await asyncio.sleep(min(interval_s, max(0.0, end_s - deployment.now_s())))
    deployment.board.turn_off(active.name)
    if switch.disturbs:
        deployment.ledger.record_fault(scope, deployment.now_s())


def _write_odd_entry(deployment: Deployment) -> None:
    """Writes an odd entry under a new key, or for a while under the key of an endpoint."""
    source = deployment.random
    name = source.choice(sorted(deployment.endpoints))
    service = source.choice((DESK, FILES))
    whole = deployment.build_endpoint_entry(deployment.endpoints[name]) | {"service": service}
    entry = build_odd_entry(source, whole)
    if source.random() < 0.5:
        key = source.choice(("odd", "odd\ud800", "o" * 150, "odd entry\r\nX-Odd: 1"))
        deployment.store.put(f"servers/{key}-{source.randrange(9)}", entry)
        return
    deployment.store.put(f"servers/{name}", entry)
    asyncio.get_running_loop().call_later(
        ODD_ENTRY_S * source.random(), deployment.rewrite_endpoint_entry, name
    )


def _restart_under_same_id(deployment: Deployment) -> None:
    """Ends a random endpoint and starts another process under its id."""
    deployment.restart_endpoint(deployment.pick_running_endpoint())


def _turn_cold(deployment: Deployment) -> None:
    """Lets a random endpoint be cold again."""
    deployment.write_endpoint_entry(deployment.pick_running_endpoint(), coldRemainingMs=500)


def _silence_connections(deployment: Deployment) -> None:
    """Lets the open connections to a random endpoint, and those to the store, go silent."""
    deployment.pick_running_endpoint().proxy.silence_open()
    deployment.store_proxy.silence_open()


def _change_keys(deployment: Deployment) -> None:
    """Writes a configuration in which some keys of workspaces are held by others, or by none."""
    if deployment.workspaces is not None:
        deployment.workspaces.change_keys()
        deployment.write_configuration()


def _remove_workspaces(deployment: Deployment) -> None:
    """Writes a configuration without any workspace, and after a while one with all again."""

    def restore() -> None:
        if deployment.workspaces is not None:
            deployment.workspaces.is_emptied = False
            deployment.write_configuration()

    if deployment.workspaces is not None:
        deployment.workspaces.is_emptied = True
        deployment.write_configuration()
        asyncio.get_running_loop().call_later(EMPTIED_S, restore)


_ACTIONS: dict[str, Callable[[Deployment], None]] = {
    "writer.odd-entries": _write_odd_entry,
    "endpoint.same-id": _restart_under_same_id,
    "endpoint.cold-again": _turn_cold,
    "endpoint.silent-connections": _silence_connections,
    "platform.change-keys": _change_keys,
    "platform.no-workspaces": _remove_workspaces,
}


async def shrink_switches(
    switches: Sequence[ActiveSwitch],
    fails: Callable[[Sequence[ActiveSwitch]], Awaitable[bool]],
) -> list[ActiveSwitch]:
    """Returns the fewest of some switches with which a run still fails, leaving out one at a time.

    A run with real processes doesn't repeat exactly: a list passes only if it does so each time.
    """
    kept = list(switches)
    for switch in switches:
        fewer = [other for other in kept if other is not switch]
        for _ in range(TRIES):
            if await fails(fewer):
                kept = fewer
                break
    return kept
