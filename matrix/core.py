"""Matrix cells in one process: the decision code under a seeded scheduler.

A flow runs in rounds and has named steps. The fault of a cell is injected at the second execution
of the cell's step. The last rounds are free of faults, so that recovery is checked too. A flow
checks its invariants by records that it keeps itself, independently of the decision code.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from matrix.cells import Cell, CellState
from matrix.configuration_flow import ConfigurationFlow
from matrix.escrow_flow import EscrowFlow
from matrix.faults import Fault, FaultInjector, InvariantViolation
from matrix.request_flow import RequestFlow

__all__ = ["run_core_cells"]

SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class _FlowDefinition:
    """A flow, its steps, and the faults that can occur in it."""

    name: str
    create_flow: Callable[[FaultInjector, int], Any]
    steps: tuple[str, ...]
    faults: tuple[Fault, ...] = field(default=tuple(Fault))


FAULTS_WITHOUT_STORE = tuple(fault for fault in Fault if fault is not Fault.STORE_DOWN)
FLOWS = (
    _FlowDefinition("plan and lending", EscrowFlow, EscrowFlow.steps),
    _FlowDefinition("protected request", RequestFlow, RequestFlow.steps, FAULTS_WITHOUT_STORE),
    _FlowDefinition("configuration", ConfigurationFlow, ConfigurationFlow.steps),
)


def run_core_cells() -> list[Cell]:
    """Runs each cell of each flow with several seeds and returns the cells."""
    cells = []
    for flow in FLOWS:
        for step in flow.steps:
            for fault in flow.faults:
                cells.append(_run_cell(flow, step, fault))
    return cells


def _run_cell(flow: _FlowDefinition, step: str, fault: Fault) -> Cell:
    """Runs a flow with a fault at a step, with each seed, and returns the cell.

    A cell without failure counts as not run when the fault was not injected with every seed.
    """
    state, note = CellState.PASS, ""
    for seed in SEEDS:
        injector = FaultInjector(step, fault)
        try:
            flow.create_flow(injector, seed).run()
        except InvariantViolation as error:
            state, note = CellState.FAIL, f"seed {seed}: {error}"
        if not injector.injected and state is CellState.PASS:
            state, note = CellState.NOT_RUN, f"seed {seed}: the step was not executed twice"
    return Cell("core", flow.name, step, fault.value, state, note)
