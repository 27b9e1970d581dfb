"""The store's revision counter starts at a high number."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time
from collections import Counter

from review.lib.deployment import (
    CannotRun,
    Deployment,
    configuration,
    new_id,
    route,
    run_case,
    send,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"triolet": "north", "moka": "plateau"}
DESK = "waxdesk"
# Traffic starts 10 s after the machines do; the store answers from the first moment.
TRAFFIC_AFTER_S = 10.0
REQUEST_PAUSE_S = 0.1
SECONDS = 20.0


async def main() -> int:
    """Returns 1 if no request is served."""
    deployment = Deployment(pathlib.Path(__file__).parent, ZONES)
    statuses: Counter[int] = Counter()
    try:
        if TROUBLE:
            deployment.store.revision = int(time.time() * 1000)
        deployment.note(f"store: the revision counter starts at {deployment.store.revision}")
        routes = {"r-prices": route("/prices/", "idempotent", DESK)}
        await deployment.start(list(ZONES), configuration(routes, [DESK]))
        for number, zone in enumerate((*ZONES, *ZONES)):
            await deployment.add_backend(f"i-{number}", DESK, zone, 0.1)
        await asyncio.sleep(TRAFFIC_AFTER_S)
        if any(g.process is None or g.process.poll() is not None for g in deployment.gateways):
            raise CannotRun("a gateway did not start")
        for number in range(int(SECONDS / REQUEST_PAUSE_S)):
            gateway = deployment.gateways[number % len(deployment.gateways)]
            identifier = new_id()
            answer = await send(gateway, "GET", f"/prices/{number}", identifier)
            status = answer.status if answer is not None else 0
            statuses[status] += 1
            deployment.note(f"client {identifier}: GET /prices/{number}, answered {status}")
            await asyncio.sleep(REQUEST_PAUSE_S)
        for run in deployment.runs:
            deployment.note(f"backend {run.backend} ran {run.identifier} {run.target}")
        verdict = (
            f"requests by status: {dict(statuses)}; {len(deployment.runs)} ran; the store is at "
            f"revision {deployment.store.revision}"
        )
        deployment.note(verdict)
        print(verdict)
        return 1 if not statuses[200] else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(main)
