"""`make demo`: a whole system on loopback, real requests, a table, a verdict."""

from __future__ import annotations

import json
import pathlib
import sys
import time
from typing import Any

from standins.lab import VIOLATIONS, Lab, check
from standins.layouts import LAYOUTS

LOAD_S = 18.0
SEED = 7


def main(arguments: list[str]) -> int:
    """Runs the demo for a layout; returns 1 when a promise was broken."""
    layout = LAYOUTS[arguments[0] if arguments else "prairie"]
    folder = pathlib.Path("build/demo")
    started_s = time.monotonic()
    lab = Lab(layout, folder, ["dist/lycheepin"], SEED)
    try:
        _say(started_s, "starting platform, endpoints and 11 daemons")
        lab.start()
        _say(started_s, f"all slots granted; {LOAD_S:g} s of load from 3 regions")
        for process in lab.start_callers(LOAD_S):
            process.wait(LOAD_S + 60)
        records, callers = lab.collect_records()
        _say(started_s, "stopping")
    finally:
        statuses = lab.stop()
    report = check(layout, records, callers)
    report["exit_statuses"] = statuses
    (folder / "report.json").write_text(json.dumps(report, indent=1, ensure_ascii=False))
    _print_table(report)
    _say(started_s, "done")
    broken = [name for name in VIOLATIONS if report[name]]
    ended_badly = [name for name, status in statuses.items() if status]
    if broken or ended_badly:
        print(f"FAILED: {', '.join((*broken, *ended_badly))}")
    return 1 if broken or ended_badly else 0


def _say(started_s: float, text: str) -> None:
    """Prints progress."""
    print(f"[{time.monotonic() - started_s:5.1f} s] {text}", flush=True)


def _print_table(report: dict[str, Any]) -> None:
    """Prints the report as tables."""
    print(f"{'class':10}{'requests':>10}{'whole':>8}{'NOT_RUN':>9}{'UNKNOWN':>9}"
          f"{'p50 ms':>9}{'p99 ms':>9}{'p99.9 ms':>10}")  # fmt: skip
    for name, row in report["classes"].items():
        print(f"{name:10}{row['requests']:10}{row['whole']:8}{row['not_run']:9}{row['unknown']:9}"
              f"{row['p50_ms']:9.1f}{row['p99_ms']:9.1f}{row['p99.9_ms']:10.1f}")  # fmt: skip
    print(f"{'region and service':32}{'peak in flight':>15}{'cap':>6}")
    for name, row in report["peaks"].items():
        print(f"{name:32}{row['peak']:15}{row['cap']:6}")
    counts = ", ".join(f"{name} {report[name]}" for name in ("lookups", *VIOLATIONS))
    print(f"{counts}; refusals {report['kinds']}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
