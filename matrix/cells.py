"""Cells of the fault matrix, their summary and their table."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

__all__ = ["Cell", "CellState", "print_table", "summarize"]


class CellState(Enum):
    """Outcome of a cell."""

    PASS = "pass"
    FAIL = "fail"
    NOT_RUN = "not run"


@dataclass(frozen=True)
class Cell:
    """A fault at a step of a flow, and its outcome.

    `level` is `core` for the decision code in one process and `real` for real processes.
    """

    level: str
    flow: str
    step: str
    fault: str
    state: CellState
    note: str = ""

    def to_json(self) -> dict[str, Any]:
        """Returns the cell as a JSON object."""
        return {**asdict(self), "state": self.state.value}


def summarize(cells: list[Cell]) -> dict[str, Any]:
    """Returns the report: counts by outcome, and all cells as rows."""
    cells_run = [cell for cell in cells if cell.state is not CellState.NOT_RUN]
    return {
        "cells": len(cells_run),
        "passed": sum(cell.state is CellState.PASS for cell in cells),
        "failed": sum(cell.state is CellState.FAIL for cell in cells),
        "not_run": sum(cell.state is CellState.NOT_RUN for cell in cells),
        "real_process_cells": sum(cell.level == "real" for cell in cells_run),
        "rows": [cell.to_json() for cell in cells],
    }


def print_table(cells: list[Cell]) -> None:
    """Prints a table of faults and steps for each flow, then the cells that did not pass."""
    marks = {CellState.PASS: "pass", CellState.FAIL: "FAIL", CellState.NOT_RUN: "-"}
    for group in dict.fromkeys((cell.level, cell.flow) for cell in cells):
        group_cells = [cell for cell in cells if (cell.level, cell.flow) == group]
        steps = list(dict.fromkeys(cell.step for cell in group_cells))
        print(f"\n{group[0]}: {group[1]}")
        print(f"{'':34}" + "".join(f"{step[:13]:>14}" for step in steps))
        for fault in dict.fromkeys(cell.fault for cell in group_cells):
            states = {cell.step: cell.state for cell in group_cells if cell.fault == fault}
            row = "".join(f"{marks[states[step]] if step in states else '.':>14}" for step in steps)
            print(f"{fault[:33]:34}{row}")
    for cell in cells:
        if cell.state is not CellState.PASS:
            print(f"{cell.state.value}: {cell.flow} / {cell.step} / {cell.fault}: {cell.note}")
