"""`make matrix`: runs all cells, prints the table and writes build/matrix/report.json."""

from __future__ import annotations

import json
import pathlib
import sys

from matrix.cells import Cell, CellState, print_table, summarize
from matrix.core import run_core_cells
from matrix.real import run_real_cells

NO_CUT = "links between processes on loopback can't be cut without changing the machine"
NOT_RUN = (
    ("request", "in flight", "region cut from region"),
    ("configuration", "spread", "region cut from region"),
    ("plan", "spread", "region cut from region"),
)
REPORT = pathlib.Path("build/matrix/report.json")


def main() -> int:
    """Returns 1 when a cell failed."""
    cells = run_core_cells()
    cells += run_real_cells(sys.argv[1] if len(sys.argv) > 1 else "")
    cells += [Cell("real", *row, CellState.NOT_RUN, NO_CUT) for row in NOT_RUN]
    report = summarize(cells)
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text(json.dumps(report, indent=1), encoding="utf-8")
    print_table(cells)
    print(" ".join(f"{k} {report[k]}" for k in ("cells", "passed", "failed", "not_run")))
    return 1 if report["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
