"""`make matrix`: runs all cells, prints the table and writes build/matrix/report.json.

The optional argument limits the cells on real processes to those whose function names contain it.
"""

from __future__ import annotations

import json
import pathlib
import sys

from matrix.cells import Cell, CellState, print_table, summarize
from matrix.core import run_core_cells
from matrix.real import run_real_cells

NOT_RUN_REASON = "links between processes on loopback can't be cut without changing the machine"
CELLS_NOT_RUN = (
    ("request", "in flight", "region cut from region"),
    ("configuration", "spread", "region cut from region"),
    ("plan", "spread", "region cut from region"),
)
REPORT_FILE = pathlib.Path("build/matrix/report.json")


def main() -> int:
    """Runs the matrix and returns the exit status: 1 when a cell failed, otherwise 0."""
    cells = run_core_cells()
    cells += run_real_cells(sys.argv[1] if len(sys.argv) > 1 else "")
    cells += [
        Cell("real", *position, CellState.NOT_RUN, NOT_RUN_REASON) for position in CELLS_NOT_RUN
    ]
    report = summarize(cells)
    REPORT_FILE.parent.mkdir(parents=True, exist_ok=True)
    REPORT_FILE.write_text(json.dumps(report, indent=1), encoding="utf-8")
    print_table(cells)
    print(" ".join(f"{key} {report[key]}" for key in ("cells", "passed", "failed", "not_run")))
    return 1 if report["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
