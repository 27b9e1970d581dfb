"""The faults of a soak, drawn by seed; each comes once or in a series, and they overlap."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.daemons import Daemon
from soak.proxy import Way
from soak.world import DESK, FILES, MANY_ROUTES, ZONES, World

__all__ = ["FAULTS", "Fault"]

Fault = Callable[[World], Awaitable[None]]

# Time in seconds that a disturbance lasts.
SPELL_S = 2.0
# Times that a fault in series comes, at most, and the mean pause in seconds between two.
MAX_SERIES = 3
SERIES_GAP_S = 0.8
MOODS = ("sheds", "resets", "cuts", "repeats", "spoils", "silent", "slow")
# Changes of a storm of configurations, and the pause in seconds between two.
STORM_CHANGES = 5
STORM_GAP_S = 0.2


def _pick_daemon(world: World) -> Daemon:
    """Returns one of the daemons."""
    return world.daemons[world.random.choice(sorted(world.daemons))]


def _pick_way(world: World) -> Way:
    """Returns one of the ways in which a proxy disturbs."""
    return world.random.choice([way for way in Way if way is not Way.PASS])


async def _repeat(world: World, act: Callable[[], Awaitable[None]]) -> None:
    """Does something once or several times in a row."""
    for _ in range(world.random.randint(1, MAX_SERIES)):
        await act()
        await asyncio.sleep(world.random.expovariate(1 / SERIES_GAP_S))


async def kill_daemon(world: World) -> None:
    """Kills daemons without a word, also soon after their start."""

    async def kill() -> None:
        daemon = _pick_daemon(world)
        world.ledger.disturb(daemon.name, world.now_s())
        daemon.signal(signal.SIGKILL)

    await _repeat(world, kill)


async def kill_many(world: World) -> None:
    """Kills more than half of the daemons at once."""
    names = world.random.sample(sorted(world.daemons), len(world.daemons) * 2 // 3)
    for name in names:
        world.ledger.disturb(name, world.now_s())
        world.daemons[name].signal(signal.SIGKILL)
    await asyncio.sleep(SPELL_S)


async def stop_daemons(world: World) -> None:
    """Stops daemons in turn by SIGTERM; callers keep using their open connections."""
    await _repeat(world, lambda: world.stop_daemon(_pick_daemon(world)))


async def pause_daemon(world: World) -> None:
    """Stops a process for a while, as a suspended machine is."""
    daemon = _pick_daemon(world)
    world.ledger.disturb(daemon.name, world.now_s())
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(SPELL_S * world.random.random())
    daemon.signal(signal.SIGCONT)
    world.ledger.disturb(daemon.name, world.now_s())


async def change_settings(world: World) -> None:
    """Changes settings, with a signal or without."""

    async def change() -> None:
        daemon = _pick_daemon(world)
        daemon.write_settings(coldSlack=float(world.random.randint(4, 5)))
        if world.random.random() < 0.7:
            daemon.signal(signal.SIGHUP)

    await _repeat(world, change)


async def cut_store(world: World) -> None:
    """Disturbs one daemon's way to the store."""
    daemon = _pick_daemon(world)
    world.ledger.disturb(daemon.name, world.now_s())
    world.store_proxy.set_way(_pick_way(world), daemon.host)
    await asyncio.sleep(SPELL_S)
    world.store_proxy.set_way(Way.PASS, daemon.host)
    world.ledger.disturb(daemon.name, world.now_s())


async def fail_store(world: World) -> None:
    """Lets the store turn calls away, fall silent, slow down, lose answers or forget history."""
    store = world.store
    world.ledger.disturb("store", world.now_s())
    match world.random.choice(("busy", "limited", "silent", "slow", "lost", "late", "forget")):
        case "busy":
            store.override_status = lambda target: 503
        case "limited":
            store.override_status = lambda target: 429 if world.random.random() < 0.7 else None
        case "silent":
            store.unresponsive = True
        case "slow":
            store.answer_delay_s = 0.2
        case "lost":
            store.lose_answers = True
        case "late":
            store.write_delay_s = 1.5
        case "forget":
            store.drop_history()
    await asyncio.sleep(SPELL_S)
    store.override_status = lambda target: None
    store.unresponsive = store.lose_answers = False
    store.answer_delay_s = store.write_delay_s = 0.0
    world.ledger.disturb("store", world.now_s())


async def change_mood(world: World) -> None:
    """Lets some endpoints misbehave for a while."""
    names = world.random.sample(sorted(world.endpoints), 2)
    mood = world.random.choice(MOODS)
    world.ledger.disturb("endpoints", world.now_s())
    for name in names:
        world.endpoints[name].mood = mood
    await asyncio.sleep(SPELL_S)
    for name in names:
        if name in world.endpoints:
            world.endpoints[name].mood = "well"
    world.ledger.disturb("endpoints", world.now_s())


async def cut_endpoint(world: World) -> None:
    """Disturbs the way to one endpoint, of all daemons or of one."""
    endpoint = world.endpoints[world.random.choice(sorted(world.endpoints))]
    world.ledger.disturb("endpoints", world.now_s())
    host = _pick_daemon(world).host if world.random.random() < 0.5 else None
    endpoint.proxy.set_way(_pick_way(world), host)
    await asyncio.sleep(SPELL_S)
    endpoint.proxy.set_way(Way.PASS)
    world.ledger.disturb("endpoints", world.now_s())


async def reset_connections(world: World) -> None:
    """Resets the open connections to some endpoints."""

    async def reset() -> None:
        world.ledger.disturb("endpoints", world.now_s())
        for name in world.random.sample(sorted(world.endpoints), 3):
            world.endpoints[name].proxy.reset()

    await _repeat(world, reset)


async def drain_endpoint(world: World) -> None:
    """Replaces an endpoint: a new one comes, the old one drains or just leaves, and ends."""
    endpoint = world.endpoints[world.random.choice(sorted(world.endpoints))]
    await world.add_endpoint(endpoint.service)
    if world.random.random() < 0.5:
        world.register(endpoint, state="draining")
    else:
        world.store.delete(f"servers/{endpoint.name}")
    world.ledger.leave(endpoint.name, world.now_s())
    await asyncio.sleep(2 * SPELL_S)
    world.store.delete(f"servers/{endpoint.name}")
    world.remove(endpoint)


async def crash_endpoint(world: World) -> None:
    """Ends an endpoint without a word; another one comes, and its entry lapses later."""
    endpoint = world.endpoints[world.random.choice(sorted(world.endpoints))]
    world.ledger.disturb("endpoints", world.now_s())
    world.remove(endpoint)
    await world.add_endpoint(endpoint.service)
    await asyncio.sleep(SPELL_S)
    world.store.delete(f"servers/{endpoint.name}")


async def reuse_address(world: World) -> None:
    """Gives an endpoint's address to one of the other service while its entry is still there."""
    endpoint = world.endpoints[world.random.choice(sorted(world.endpoints))]
    world.ledger.disturb("endpoints", world.now_s())
    await world.add_endpoint(endpoint.service)
    world.remove(endpoint, close=False)
    other = FILES if endpoint.service == DESK else DESK
    world.adopt(other, endpoint.stand_in, endpoint.proxy)
    await asyncio.sleep(SPELL_S)
    world.store.delete(f"servers/{endpoint.name}")


async def change_configuration(world: World) -> None:
    """Writes a new version, which may move a route to the other service."""
    world.order_service = world.random.choice((DESK, FILES))
    world.configure()


async def storm_configurations(world: World) -> None:
    """Writes several versions in quick succession, some of them large."""
    world.routes = world.random.choice((2, MANY_ROUTES))
    for _ in range(STORM_CHANGES):
        world.configure()
        await asyncio.sleep(STORM_GAP_S)


async def evacuate_zone(world: World) -> None:
    """Empties a zone and takes it back."""
    zone = world.random.choice(sorted(ZONES))
    world.store.put(f"op/evacuate/{zone}", {})
    await asyncio.sleep(SPELL_S)
    world.store.delete(f"op/evacuate/{zone}")


FAULTS: tuple[Fault, ...] = (
    kill_daemon,
    kill_many,
    stop_daemons,
    pause_daemon,
    change_settings,
    cut_store,
    fail_store,
    change_mood,
    cut_endpoint,
    reset_connections,
    drain_endpoint,
    crash_endpoint,
    reuse_address,
    change_configuration,
    storm_configurations,
    evacuate_zone,
)
