"""Cells in the synchronous core: decisions of the product, a seeded scheduler, own records.

A flow runs in rounds. Each of its steps is a named point; at its second passing the cell's fault
strikes there. The last rounds are free of faults, so that recovery is judged too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from matrix.cells import Cell, CellState
from matrix.configuration_flow import ConfigurationFlow
from matrix.escrow_flow import EscrowFlow
from matrix.faults import Broken, Fault, Striker
from matrix.request_flow import RequestFlow

__all__ = ["run_core_cells"]

SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class _FlowKind:
    """A flow, and the faults that mean something in it."""

    name: str
    build: Callable[[Striker, int], Any]
    steps: tuple[str, ...]
    faults: tuple[Fault, ...] = field(default=tuple(Fault))


NO_STORE = tuple(fault for fault in Fault if fault is not Fault.STORE_DOWN)
FLOWS = (
    _FlowKind("plan and lending", EscrowFlow, EscrowFlow.steps),
    _FlowKind("protected request", RequestFlow, RequestFlow.steps, NO_STORE),
    _FlowKind("configuration", ConfigurationFlow, ConfigurationFlow.steps),
)


def run_core_cells() -> list[Cell]:
    """Returns the cells of all flows; each runs with several seeds."""
    cells = []
    for flow in FLOWS:
        for step in flow.steps:
            for fault in flow.faults:
                cells.append(_run_cell(flow, step, fault))
    return cells


def _run_cell(flow: _FlowKind, step: str, fault: Fault) -> Cell:
    """Returns a cell; it counts as not run when the fault did not strike with every seed."""
    state, note = CellState.PASS, ""
    for seed in SEEDS:
        striker = Striker(step, fault)
        try:
            flow.build(striker, seed).run()
        except Broken as error:
            state, note = CellState.FAIL, f"seed {seed}: {error}"
        if not striker.struck and state is CellState.PASS:
            state, note = CellState.NOT_RUN, f"seed {seed}: the step was not passed twice"
    return Cell("core", flow.name, step, fault.value, state, note)
