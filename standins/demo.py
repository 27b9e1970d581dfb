"""`make demo`: runs a whole system on loopback under load and prints a table of the results."""

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
    """Runs the demo for the layout named by the first argument, `prairie` by default.

    Returns the exit status: 1 when a guarantee was violated or a daemon ended with an error.
    """
    layout = LAYOUTS[arguments[0] if arguments else "prairie"]
    folder = pathlib.Path("build/demo")
    started_s = time.monotonic()
    lab = Lab(layout, folder, ["dist/lycheepin"], SEED)
    try:
        _print_progress(started_s, f"starting platform, endpoints and {len(lab.entry_vms)} daemons")
        lab.start()
        _print_progress(started_s, f"all slots granted; {LOAD_S:g} s of load from 3 regions")
        for process in lab.start_callers(LOAD_S):
            process.wait(LOAD_S + 60)
        records, callers = lab.collect_records()
        _print_progress(started_s, "stopping")
    finally:
        statuses = lab.stop()
    report = check(layout, records, callers)
    report["exit_statuses"] = statuses
    (folder / "report.json").write_text(json.dumps(report, indent=1, ensure_ascii=False))
    _print_table(report)
    _print_progress(started_s, "done")
    violations = [name for name in VIOLATIONS if report[name]]
    failed_daemons = [name for name, status in statuses.items() if status]
    if violations or failed_daemons:
        print(f"FAILED: {', '.join((*violations, *failed_daemons))}")
    return 1 if violations or failed_daemons else 0


def _print_progress(started_s: float, text: str) -> None:
    """Prints a line of progress with the seconds since the start."""
    print(f"[{time.monotonic() - started_s:5.1f} s] {text}", flush=True)


def _print_table(report: dict[str, Any]) -> None:
    """Prints the report: results by class, peaks by region and service, and violations."""
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
