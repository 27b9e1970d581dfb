"""Runs one process of stand-ins: the platform, or the endpoints or callers of a region."""

from __future__ import annotations

import json
import pathlib
import sys

from standins import callers, endpoints, platform
from standins.layouts import LAYOUTS, PLATFORM_ADDRESS, PLATFORM_PORT, list_endpoints, vm_list


def main(arguments: list[str]) -> int:
    """Runs the stand-in of a role for a layout.

    Arguments: `platform LAYOUT`, `endpoints LAYOUT REGION SEED`, or
    `callers LAYOUT REGION SECONDS SEED FILE SCALE`. REGION is the number of a region, from 1; FILE
    is the path for the records; SCALE is a JSON object with factors of the load by fleet or class.
    """
    role, layout = arguments[0], LAYOUTS[arguments[1]]
    if role == "platform":
        platform.run(PLATFORM_ADDRESS, PLATFORM_PORT, vm_list(layout))
    elif role == "endpoints":
        region_number, seed = int(arguments[2]), int(arguments[3])
        region = layout.regions[region_number - 1]
        region_endpoints = [e for e in list_endpoints(layout) if e["region"] == region]
        endpoints.run(layout, region_endpoints, f"127.9.1.{region_number}", seed)
    elif role == "callers":
        region_number, duration_s, seed = int(arguments[2]), float(arguments[3]), int(arguments[4])
        records = callers.run(layout, region_number, duration_s, seed, json.loads(arguments[6]))
        pathlib.Path(arguments[5]).write_text(json.dumps(records), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
