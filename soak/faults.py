"""The faults of a soak, drawn by seed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from soak.world import World

__all__ = ["FAULTS", "Fault"]

Fault = Callable[[World], Awaitable[None]]

# Time in seconds that a disturbance lasts.
SPELL_S = 2.0
MOODS = ("sheds", "resets", "cuts", "repeats", "spoils", "silent")


def _now_s() -> float:
    """Returns the time of the running loop."""
    return asyncio.get_running_loop().time()


async def change_mood(world: World) -> None:
    """Lets some endpoints misbehave for a while."""
    names = world.random.sample(sorted(world.endpoints), 2)
    mood = world.random.choice(MOODS)
    for name in names:
        world.mood[name] = mood
    await asyncio.sleep(SPELL_S)
    for name in names:
        world.mood.pop(name, None)


async def drain_endpoint(world: World) -> None:
    """Replaces an endpoint: a new one comes, the old one drains, leaves and ends."""
    await world.add_endpoint()
    name = world.random.choice(sorted(world.endpoints)[:-1])
    world.register(name, state="draining")
    world.ledger.leave(name, _now_s())
    await asyncio.sleep(2 * SPELL_S)
    world.store.delete(f"servers/{name}")
    world.endpoints.pop(name).close()


async def remove_endpoint(world: World) -> None:
    """Takes an endpoint's entry away; it serves on for a while."""
    await world.add_endpoint()
    name = world.random.choice(sorted(world.endpoints)[:-1])
    world.store.delete(f"servers/{name}")
    world.ledger.leave(name, _now_s())
    await asyncio.sleep(2 * SPELL_S)
    world.endpoints.pop(name).close()


async def crash_endpoint(world: World) -> None:
    """Ends an endpoint without a word; its entry lapses later, and another one comes."""
    name = world.random.choice(sorted(world.endpoints))
    world.endpoints.pop(name).close()
    await asyncio.sleep(SPELL_S)
    world.store.delete(f"servers/{name}")
    await world.add_endpoint()


async def kill_daemon(world: World) -> None:
    """Kills a daemon and starts it again at the same address."""
    name = world.random.choice(sorted(world.gateways))
    world.ledger.disturb(_now_s())
    world.gateways[name].close()
    await asyncio.sleep(0.3)
    world.start_gateway(name)
    world.ledger.disturb(_now_s())


async def fail_store(world: World) -> None:
    """Lets the store answer 503, fall silent or lose its answers for a while."""
    way = world.random.choice(("busy", "silent", "lost", "forget"))
    world.ledger.disturb(_now_s())
    match way:
        case "busy":
            world.store.respond_with = lambda target: 503
        case "silent":
            world.store.silent = True
        case "lost":
            world.store.lose_answers = True
        case "forget":
            world.store.forget_history()
    await asyncio.sleep(SPELL_S)
    world.store.respond_with = lambda target: None
    world.store.silent = world.store.lose_answers = False
    world.ledger.disturb(_now_s())


async def change_configuration(world: World) -> None:
    """Writes a new version."""
    world.configure()


async def evacuate_zone(world: World) -> None:
    """Empties a zone and takes it back."""
    zone = world.random.choice(("z0", "z1", "z2", "z3"))
    world.store.put(f"op/evacuate/{zone}", {})
    await asyncio.sleep(SPELL_S)
    world.store.delete(f"op/evacuate/{zone}")


FAULTS: tuple[Fault, ...] = (
    change_mood,
    drain_endpoint,
    remove_endpoint,
    crash_endpoint,
    kill_daemon,
    fail_store,
    change_configuration,
    evacuate_zone,
)
