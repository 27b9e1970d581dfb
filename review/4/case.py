"""A backend leaves without a notice while the store cuts waiting watches now and then."""

from __future__ import annotations

import asyncio
import os
import pathlib

from review.lib.deployment import (
    BOUNDS,
    CannotRun,
    Deployment,
    configuration,
    new_id,
    route,
    run_case,
    send,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"triolet": "north", "grandbaie": "north", "moka": "plateau", "surinam": "south"}
GATEWAY_ZONES = ("triolet", "moka")
DESK = "waxdesk"
# Three backends of the service in each region; one of the nine leaves.
BACKEND_ZONES = ("triolet", "triolet", "grandbaie", "moka", "moka", "moka") + 3 * ("surinam",)
WORK_S = 0.3
REQUEST_PAUSE_S = 0.03
SECONDS = 12.0
LEAVES_AT_S = 4.0
CUT_GAP_S = 2.0
CUTS = 2
# Time for which a backend that leaves serves on beyond `drainTimeoutMs`.
LONGER_S = 1.0
DRAIN_S = BOUNDS["drainTimeoutMs"] / 1000


class Leaving:
    """The backend that leaves, and the times of what happens."""

    def __init__(self, deployment: Deployment, identifier: str) -> None:
        self.deployment = deployment
        self.backend = deployment.backends[identifier]
        self.removed_s = 0.0

    async def run(self) -> None:
        """Removes the entry, lets the backend serve on, then ends it."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(LEAVES_AT_S)
        cuts: list[asyncio.TimerHandle] = []
        if TROUBLE:
            self.cut_watches()
            cuts = [loop.call_later(n * CUT_GAP_S, self.cut_watches) for n in range(1, CUTS)]
        await asyncio.sleep(0.02)
        self.deployment.store.delete(f"servers/{self.backend.identifier}")
        self.removed_s = loop.time()
        self.deployment.note(f"store: servers/{self.backend.identifier} is removed")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        self.deployment.note(f"backend {self.backend.identifier} ends")
        self.backend.close()
        await asyncio.sleep(CUTS * CUT_GAP_S)
        for cut in cuts:
            cut.cancel()

    def cut_watches(self) -> None:
        """Lets the store cut the watches that are waiting."""
        store = self.deployment.store
        before = store.cut_watches
        store.cut_waiting_watches()
        self.deployment.note(f"store: cuts {store.cut_watches - before} waiting watches")


async def send_order(deployment: Deployment, number: int, sent: dict[str, int]) -> None:
    """Sends one order to one of the gateways."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    identifier = new_id()
    answer = await send(gateway, "POST", f"/orders/{number}", identifier, b"one drum of wax")
    sent[identifier] = answer.status if answer is not None else 0
    deployment.note(f"client {identifier}: POST /orders/{number}, answered {sent[identifier]}")


async def main() -> int:
    """Returns 1 if a request reached the backend later than `drainTimeoutMs` after its removal."""
    deployment = Deployment(pathlib.Path(__file__).parent, ZONES)
    sent: dict[str, int] = {}
    try:
        routes = {"r-orders": route("/orders/", "non_idempotent", DESK, homeRegions=["north"])}
        await deployment.start(list(GATEWAY_ZONES), configuration(routes, [DESK]))
        for number, zone in enumerate(BACKEND_ZONES):
            await deployment.add_backend(f"i-{number}", DESK, zone, WORK_S)
        await deployment.wait_until_ready()
        leaving = Leaving(deployment, "i-0")
        task = asyncio.create_task(leaving.run())
        orders: list[asyncio.Task[None]] = []
        for number in range(int(SECONDS / REQUEST_PAUSE_S)):
            orders.append(asyncio.create_task(send_order(deployment, number, sent)))
            await asyncio.sleep(REQUEST_PAUSE_S)
        await asyncio.gather(*orders)
        await task
        for run in deployment.runs:
            after_s = run.began_s - leaving.removed_s
            deployment.note(f"backend {run.backend} ran {run.identifier} at {after_s:+.3f} s")
        if not deployment.runs:
            raise CannotRun("no order reached a backend")
        late = [
            run
            for run in deployment.runs
            if run.backend == "i-0" and run.began_s > leaving.removed_s + DRAIN_S
        ]
        latest_s = max((run.began_s - leaving.removed_s for run in late), default=0.0)
        lost = sum(sent[run.identifier] != 200 for run in late)
        verdict = (
            f"{len(sent)} orders sent; {len(late)} reached the backend that left more than "
            f"{DRAIN_S} s after its removal, the last one {latest_s:.2f} s after it; {lost} of "
            f"these ran and were not answered with success"
        )
        deployment.note(verdict)
        print(verdict)
        return 1 if late else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(main)
