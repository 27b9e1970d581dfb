"""Faults of a soak, drawn at random by seed. They overlap, and some repeat several times."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.callers import connect
from soak.daemons import Daemon
from soak.endpoints import DEADLY_PATH
from soak.ledger import SentRequest
from soak.proxy import ProxyMode
from soak.world import DESK, FILES, LARGE_ROUTE_COUNT, PUBLIC_PATH, ZONES, Deployment
from standins.messages import request

__all__ = ["FAULTS", "Fault"]

Fault = Callable[[Deployment], Awaitable[None]]

# Time that a fault lasts.
FAULT_DURATION_S = 2.0
# Maximum number of times that a repeated fault occurs, and the mean pause after each.
MAX_REPETITIONS = 3
REPETITION_PAUSE_S = 0.8
# Requests of one kind that crash endpoints, the pause after each, and the wait for an answer.
DEADLY_REQUESTS = 30
DEADLY_PAUSE_S = 0.25
DEADLY_ANSWER_S = 2.0
FAILURE_MODES = ("sheds", "resets", "cuts", "repeats", "spoils", "silent", "slow")
# Versions written by storm_configurations, and the pause after each.
STORM_VERSIONS = 5
STORM_PAUSE_S = 0.2


def _pick_daemon(deployment: Deployment) -> Daemon:
    """Returns a random daemon."""
    return deployment.daemons[deployment.random.choice(sorted(deployment.daemons))]


def _pick_proxy_mode(deployment: Deployment) -> ProxyMode:
    """Returns a random proxy mode other than PASS."""
    return deployment.random.choice([mode for mode in ProxyMode if mode is not ProxyMode.PASS])


async def _repeat(deployment: Deployment, inject: Callable[[], Awaitable[None]]) -> None:
    """Calls `inject` a random number of times, with pauses."""
    for _ in range(deployment.random.randint(1, MAX_REPETITIONS)):
        await inject()
        await asyncio.sleep(deployment.random.expovariate(1 / REPETITION_PAUSE_S))


async def kill_daemon(deployment: Deployment) -> None:
    """Kills random daemons with SIGKILL, possibly soon after their start."""

    async def kill() -> None:
        daemon = _pick_daemon(deployment)
        deployment.ledger.record_fault(daemon.name, deployment.now_s())
        daemon.send_signal(signal.SIGKILL)

    await _repeat(deployment, kill)


async def kill_many(deployment: Deployment) -> None:
    """Kills more than half of the daemons at the same time."""
    names = deployment.random.sample(sorted(deployment.daemons), len(deployment.daemons) * 2 // 3)
    for name in names:
        deployment.ledger.record_fault(name, deployment.now_s())
        deployment.daemons[name].send_signal(signal.SIGKILL)
    await asyncio.sleep(FAULT_DURATION_S)


async def stop_daemons(deployment: Deployment) -> None:
    """Stops daemons one after another with SIGTERM, while callers use their open connections."""
    await _repeat(deployment, lambda: deployment.stop_daemon(_pick_daemon(deployment)))


async def pause_daemon(deployment: Deployment) -> None:
    """Pauses a daemon with SIGSTOP, as when its machine is suspended."""
    daemon = _pick_daemon(deployment)
    deployment.ledger.record_fault(daemon.name, deployment.now_s())
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_DURATION_S * deployment.random.random())
    daemon.send_signal(signal.SIGCONT)
    deployment.ledger.record_fault(daemon.name, deployment.now_s())


async def change_settings(deployment: Deployment) -> None:
    """Rewrites daemons' settings files, with SIGHUP or without."""

    async def change() -> None:
        daemon = _pick_daemon(deployment)
        daemon.write_settings(coldSlack=float(deployment.random.randint(4, 5)))
        if deployment.random.random() < 0.7:
            daemon.send_signal(signal.SIGHUP)

    await _repeat(deployment, change)


async def cut_store(deployment: Deployment) -> None:
    """Disturbs the connections from one daemon to the store."""
    daemon = _pick_daemon(deployment)
    deployment.ledger.record_fault(daemon.name, deployment.now_s())
    deployment.store_proxy.set_mode(_pick_proxy_mode(deployment), daemon.host)
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.store_proxy.set_mode(ProxyMode.PASS, daemon.host)
    deployment.ledger.record_fault(daemon.name, deployment.now_s())


async def fail_store(deployment: Deployment) -> None:
    """Makes the store fail in one of several ways.

    It rejects calls, stops responding, responds slowly, loses answers, applies writes late or
    drops its history.
    """
    store = deployment.store
    deployment.ledger.record_fault("store", deployment.now_s())
    match deployment.random.choice(("busy", "limited", "silent", "slow", "lost", "late", "forget")):
        case "busy":
            store.is_down = True
            store.override_status = lambda target: 503
        case "limited":
            store.override_status = lambda target: 429 if deployment.random.random() < 0.7 else None
        case "silent":
            store.unresponsive = store.is_down = True
        case "slow":
            store.execution_delay_s = 0.2
        case "lost":
            store.lose_answers = True
        case "late":
            store.write_delay_s = 1.5
        case "forget":
            store.drop_history()
    await asyncio.sleep(FAULT_DURATION_S)
    store.override_status = lambda target: None
    store.unresponsive = store.lose_answers = store.is_down = False
    store.execution_delay_s = store.write_delay_s = 0.0
    deployment.ledger.record_fault("store", deployment.now_s())


async def restore_store(deployment: Deployment) -> None:
    """Lets the store come back from copies that were made a short time before."""

    async def restore() -> None:
        stored = deployment.store.make_copy()
        await asyncio.sleep(FAULT_DURATION_S * deployment.random.random())
        deployment.ledger.record_fault("store", deployment.now_s())
        deployment.restore_store(stored)
        await asyncio.sleep(FAULT_DURATION_S)
        for key in [key for key in deployment.store.items if key.startswith("servers/")]:
            if key.removeprefix("servers/") not in deployment.endpoints:
                deployment.store.delete(key)
        deployment.ledger.record_fault("store", deployment.now_s())

    await _repeat(deployment, restore)


async def change_mood(deployment: Deployment) -> None:
    """Makes two endpoints misbehave in the same way for FAULT_DURATION_S."""
    names = deployment.random.sample(sorted(deployment.endpoints), 2)
    failure_mode = deployment.random.choice(FAILURE_MODES)
    deployment.ledger.record_fault("endpoints", deployment.now_s())
    for name in names:
        deployment.endpoints[name].failure_mode = failure_mode
    await asyncio.sleep(FAULT_DURATION_S)
    for name in names:
        if name in deployment.endpoints:
            deployment.endpoints[name].failure_mode = "well"
    deployment.ledger.record_fault("endpoints", deployment.now_s())


async def cut_endpoint(deployment: Deployment) -> None:
    """Disturbs the connections to one endpoint, from all daemons or from one."""
    endpoint = deployment.endpoints[deployment.random.choice(sorted(deployment.endpoints))]
    deployment.ledger.record_fault("endpoints", deployment.now_s())
    host = _pick_daemon(deployment).host if deployment.random.random() < 0.5 else None
    endpoint.proxy.set_mode(_pick_proxy_mode(deployment), host)
    await asyncio.sleep(FAULT_DURATION_S)
    endpoint.proxy.set_mode(ProxyMode.PASS)
    deployment.ledger.record_fault("endpoints", deployment.now_s())


async def reset_connections(deployment: Deployment) -> None:
    """Resets the open connections to three endpoints."""

    async def reset() -> None:
        deployment.ledger.record_fault("endpoints", deployment.now_s())
        for name in deployment.random.sample(sorted(deployment.endpoints), 3):
            deployment.endpoints[name].proxy.reset()

    await _repeat(deployment, reset)


async def drain_endpoint(deployment: Deployment) -> None:
    """Replaces an endpoint, whose entry is first set to draining or deleted."""
    endpoint = deployment.endpoints[deployment.random.choice(sorted(deployment.endpoints))]
    await deployment.add_endpoint(endpoint.service)
    if deployment.random.random() < 0.5:
        deployment.write_endpoint_entry(endpoint, state="draining")
    else:
        endpoint.is_unlisted = True
        deployment.store.delete(f"servers/{endpoint.name}")
    deployment.ledger.record_endpoint_leaving(endpoint.name, deployment.now_s())
    await asyncio.sleep(2 * FAULT_DURATION_S)
    deployment.store.delete(f"servers/{endpoint.name}")
    deployment.remove_endpoint(endpoint)


async def crash_endpoint(deployment: Deployment) -> None:
    """Crashes a random endpoint."""
    await deployment.crash_endpoint(
        deployment.endpoints[deployment.random.choice(sorted(deployment.endpoints))]
    )


async def send_deadly_requests(deployment: Deployment) -> None:
    """Sends a request that crashes endpoints to one daemon after another."""
    number = deployment.random.randrange(1_000_000)
    for attempt in range(DEADLY_REQUESTS):
        daemon = _pick_daemon(deployment)
        identifier = f"d{number}-{attempt}"
        path = f"{PUBLIC_PATH.rstrip('/')}{DEADLY_PATH}{number}"
        deployment.ledger.record_request(
            SentRequest(
                identifier,
                daemon.name,
                "GET",
                path,
                b"",
                False,
                frozenset({DESK}),
                deployment.now_s(),
                is_public=True,
            ),
            is_probe=True,
        )
        await _send_unread(daemon, request(path, "GET", identifier))
        await asyncio.sleep(DEADLY_PAUSE_S)


async def _send_unread(daemon: Daemon, content: bytes) -> None:
    """Sends a request on a new connection, and waits a moment for its answer, which is not read."""
    connection = await connect(daemon.listener_address)
    if connection is None:
        return
    reader, writer = connection
    try:
        async with asyncio.timeout(DEADLY_ANSWER_S):
            writer.write(content)
            await reader.read(1)
    except (OSError, TimeoutError):
        return  # the daemon has ended, or is slow
    finally:
        writer.transport.abort()


async def reuse_address(deployment: Deployment) -> None:
    """Reuses an endpoint's address for the other service before its entry is deleted."""
    endpoint = deployment.endpoints[deployment.random.choice(sorted(deployment.endpoints))]
    deployment.ledger.record_fault("endpoints", deployment.now_s())
    await deployment.add_endpoint(endpoint.service)
    deployment.remove_endpoint(endpoint, close=False)
    other_service = FILES if endpoint.service == DESK else DESK
    deployment.register_new_endpoint(other_service, endpoint.stand_in, endpoint.proxy)
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.store.delete(f"servers/{endpoint.name}")


async def change_configuration(deployment: Deployment) -> None:
    """Writes a new configuration version, which may move a route to the other service."""
    deployment.order_service = deployment.random.choice((DESK, FILES))
    deployment.write_configuration()


async def storm_configurations(deployment: Deployment) -> None:
    """Writes several configuration versions in quick succession, all small or all large."""
    deployment.route_count = deployment.random.choice((2, LARGE_ROUTE_COUNT))
    for _ in range(STORM_VERSIONS):
        deployment.write_configuration()
        await asyncio.sleep(STORM_PAUSE_S)


async def evacuate_zone(deployment: Deployment) -> None:
    """Evacuates a zone and ends the evacuation after a while."""
    zone = deployment.random.choice(sorted(ZONES))
    deployment.store.put(f"op/evacuate/{zone}", {})
    await asyncio.sleep(FAULT_DURATION_S)
    deployment.store.delete(f"op/evacuate/{zone}")


FAULTS: tuple[Fault, ...] = (
    kill_daemon,
    kill_many,
    stop_daemons,
    pause_daemon,
    change_settings,
    cut_store,
    fail_store,
    restore_store,
    change_mood,
    cut_endpoint,
    reset_connections,
    drain_endpoint,
    crash_endpoint,
    send_deadly_requests,
    reuse_address,
    change_configuration,
    storm_configurations,
    evacuate_zone,
)
