"""`make models`: checks that every property holds and that every mutant violates one."""

from __future__ import annotations

import json
import pathlib
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from minicheck import Protocol, check_safety

from models import configuration, escrow, homes, restored_store, suspicions

ModelBuilder = Callable[[Any], Protocol]


@dataclass(frozen=True)
class Specification:
    """A model and its mutants; each of `builders` builds the model within other bounds."""

    name: str
    mutants: type[Enum]
    builders: tuple[ModelBuilder, ...]


SPECIFICATIONS = (
    Specification(
        "escrow",
        escrow.Mutant,
        (
            escrow.build_model,
            lambda mutant: escrow.build_model(mutant, escrow.TRIO),
        ),
    ),
    Specification("homes", homes.Mutant, (homes.build_model,)),
    Specification("configuration", configuration.Mutant, (configuration.build_model,)),
    Specification("restored store", restored_store.Mutant, (restored_store.build_model,)),
    Specification("suspicions", suspicions.Mutant, (suspicions.build_model,)),
)
# Maximum numbers of states to search; a search that hits one is repeated with the next.
STATE_LIMITS = (4_000, 40_000, 1_000_000)
COUNTEREXAMPLES_FILE = pathlib.Path("build/models/counterexamples.json")


@dataclass(frozen=True)
class CheckResult:
    """Result of checking a model or one of its mutants.

    `states` counts the states searched; `exhaustive` is False when the search hit a limit or found
    a counterexample. `trace` holds the labels of the shortest counterexample, or is empty.
    """

    states: int
    exhaustive: bool
    trace: tuple[str, ...]


def check_specification(specification: Specification, mutant: Enum) -> CheckResult:
    """Returns the result over all bounds; the search ends at the first counterexample."""
    states = 0
    exhaustive = True
    for builder in specification.builders:
        search_result: dict[str, Any] = {}
        for limit in STATE_LIMITS:
            search_result = check_safety(builder(mutant), max_states=limit)
            trace = _extract_counterexample(search_result)
            if trace:
                return CheckResult(search_result["reachable_states"], False, trace)
            if search_result["exhaustive"]:
                break
        states += search_result["reachable_states"]
        exhaustive = exhaustive and search_result["exhaustive"]
    return CheckResult(states, exhaustive, ())


def _extract_counterexample(search_result: dict[str, Any]) -> tuple[str, ...]:
    """Returns the labels of the first counterexample, or an empty tuple when there is none."""
    for property_result in search_result["properties"].values():
        if property_result["holds"] is False:
            return tuple(step["label"] for step in property_result["counterexample"][1:])
    return ()


def main() -> int:
    """Checks all models and mutants, prints a line for each and returns the exit status."""
    failures = 0
    traces: dict[str, dict[str, tuple[str, ...]]] = {}
    for specification in SPECIFICATIONS:
        for mutant in specification.mutants:
            started_s = time.monotonic()
            result = check_specification(specification, mutant)
            without_fault = mutant.name == "NONE"
            passed = (
                (result.exhaustive and not result.trace) if without_fault else bool(result.trace)
            )
            failures += not passed
            if not without_fault:
                traces.setdefault(specification.name, {})[mutant.name] = result.trace
            steps = len(result.trace)
            conclusion = f"caught in {steps} steps" if steps else "holds"
            if not result.exhaustive and not steps:
                conclusion = "not exhaustive"
            print(
                f"{'ok  ' if passed else 'FAIL'} {specification.name:14} {mutant.value:62}"
                f" {result.states:7} states {time.monotonic() - started_s:5.1f} s  {conclusion}",
                flush=True,
            )
    COUNTEREXAMPLES_FILE.parent.mkdir(parents=True, exist_ok=True)
    COUNTEREXAMPLES_FILE.write_text(json.dumps(traces, indent=1), encoding="utf-8")
    summary = f"{failures} checks failed" if failures else "all properties hold, all mutants caught"
    print(summary)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
