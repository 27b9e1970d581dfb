"""`make models`: checks every property, and that every mutant is caught."""

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

from models import configuration, escrow, homes

Builder = Callable[[Any], Protocol]


@dataclass(frozen=True)
class Specification:
    """A model with its mutants; `builders` give the model within different bounds."""

    name: str
    mutants: type[Enum]
    builders: tuple[Builder, ...]


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
)
STATE_LIMITS = (4_000, 40_000, 1_000_000)
TRACES = pathlib.Path("build/models/counterexamples.json")


@dataclass(frozen=True)
class Verdict:
    """What the checks of one model or mutant came to; `trace` is the shortest counterexample."""

    states: int
    exhaustive: bool
    trace: tuple[str, ...]


def check(specification: Specification, mutant: Enum) -> Verdict:
    """Returns the verdict over all bounds; the search ends at the first counterexample."""
    states = 0
    exhaustive = True
    for build in specification.builders:
        found: dict[str, Any] = {}
        for limit in STATE_LIMITS:
            found = check_safety(build(mutant), max_states=limit)
            trace = _counterexample(found)
            if trace:
                return Verdict(found["reachable_states"], False, trace)
            if found["exhaustive"]:
                break
        states += found["reachable_states"]
        exhaustive = exhaustive and found["exhaustive"]
    return Verdict(states, exhaustive, ())


def _counterexample(found: dict[str, Any]) -> tuple[str, ...]:
    """Returns the labels of the first counterexample; empty when all properties hold."""
    for item in found["properties"].values():
        if item["holds"] is False:
            return tuple(step["label"] for step in item["counterexample"][1:])
    return ()


def main() -> int:
    """Checks all models and prints a line for each; returns the exit status."""
    failures = 0
    traces: dict[str, dict[str, tuple[str, ...]]] = {}
    for specification in SPECIFICATIONS:
        for mutant in specification.mutants:
            started_s = time.monotonic()
            verdict = check(specification, mutant)
            sound = mutant.name == "NONE"
            good = (verdict.exhaustive and not verdict.trace) if sound else bool(verdict.trace)
            failures += not good
            if not sound:
                traces.setdefault(specification.name, {})[mutant.name] = verdict.trace
            steps = len(verdict.trace)
            text = f"caught in {steps} steps" if steps else "holds"
            if not verdict.exhaustive and not steps:
                text = "not exhaustive"
            print(
                f"{'ok  ' if good else 'FAIL'} {specification.name:14} {mutant.value:62}"
                f" {verdict.states:7} states {time.monotonic() - started_s:5.1f} s  {text}",
                flush=True,
            )
    TRACES.parent.mkdir(parents=True, exist_ok=True)
    TRACES.write_text(json.dumps(traces, indent=1), encoding="utf-8")
    summary = f"{failures} checks failed" if failures else "all properties hold, all mutants caught"
    print(summary)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
