"""The last tenant is removed from the configuration; requests with any key should be refused."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib2"))

from bed import BOUNDS, Bed, build_config, run_case  # noqa: E402

ZONES = {"suva-a": "viti-levu"}
KEY = "key-of-alpha-1"
UNKNOWN = "key-that-nobody-held"
REQUESTS = 4


async def play(bed: Bed, trouble: bool) -> list[str]:
    routes = {"lodge": {"host": "media.example", "prefix": "/lodge/", "kind": "non_idempotent",
                        "service": "lodgement-desk"}}
    tenant = {"apiKeys": [KEY], "priority": 0, "ratePerS": 0, "burst": 0, "homeRegions": []}
    await bed.start_store(
        build_config(routes, ("lodgement-desk",), version=1, tenants={"alpha": tenant})
    )
    host = bed.start_gateway(0, ZONES, "suva-a")
    address = bed.start_backend("i-1")
    bed.register("i-1", address, "lodgement-desk", "suva-a")
    await bed.wait_ready(host)
    await asyncio.sleep(1.0)

    async def send(request_id: str, key: str) -> int:
        answer = await bed.send(host, "/lodge/1", request_id, 2578, "POST",
                                headers=(f"Authorization: Bearer {key}",), body=b"correction")
        return answer.status

    if await send("before-known", KEY) != 200 or await send("before-unknown", UNKNOWN) != 401:
        raise RuntimeError("the deployment doesn't serve")
    # Without the trouble, a second tenant comes and all the other keys stay away.
    tenants = {} if trouble else {"beta": tenant | {"apiKeys": ["key-of-beta-1"]}}
    config = build_config(routes, ("lodgement-desk",), version=2, tenants=tenants)
    bed.store.put("op/config", config)
    bed.note(event="configuration", config=config)
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 1.0)
    for number in range(REQUESTS):
        await send(f"removed-{number}", KEY)
        await send(f"unknown-{number}", UNKNOWN)
    violations = []
    for run in (line for line in bed.read_runs() if line["event"] == "run"):
        kind = run["request"].partition("-")[0]
        passed_on = run["headers"].get("authorization")
        if kind == "unknown":
            violations.append(f"ROUTE: {run['request']} ran, whose key no configuration ever held")
        if kind == "removed":
            violations.append(
                f"CONFIG: {run['request']} ran {BOUNDS['configApplyMs'] / 1000 + 1:.0f} s after"
                " the configuration that dropped its key"
            )
        if kind in ("unknown", "removed") and passed_on:
            violations.append(f"UNASKED: {run['request']}: its key itself was passed on")
    return violations


raise SystemExit(run_case(str(pathlib.Path(__file__).parent), play))
