"""Starts one stand-in process: platform, endpoints or callers."""

from __future__ import annotations

import json
import pathlib
import sys

from standins import callers, endpoints, platform
from standins.layouts import LAYOUTS, PLATFORM_ADDRESS, PLATFORM_PORT, vm_list
from standins.layouts import endpoints as list_endpoints


def main(arguments: list[str]) -> int:
    """Runs the stand-in that the arguments name."""
    role, layout = arguments[0], LAYOUTS[arguments[1]]
    if role == "platform":
        platform.run(PLATFORM_ADDRESS, PLATFORM_PORT, vm_list(layout))
    elif role == "endpoints":
        index, seed = int(arguments[2]), int(arguments[3])
        region = layout.regions[index - 1]
        local = [e for e in list_endpoints(layout) if e["region"] == region]
        endpoints.run(layout, local, f"127.9.1.{index}", seed)
    elif role == "callers":
        index, seconds, seed = int(arguments[2]), float(arguments[3]), int(arguments[4])
        records = callers.run(layout, index, seconds, seed, json.loads(arguments[6]))
        pathlib.Path(arguments[5]).write_text(json.dumps(records), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
