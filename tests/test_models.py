"""Tests of the models: properties hold, and mutants are caught with counterexamples."""

import unittest

from minicheck import check_safety

from models import configuration, escrow, homes, restored_store, suspicions
from models.__main__ import SPECIFICATIONS, check_specification

MAX_TRACE_STEPS = 12
FAST_ESCROW_MUTANTS = (
    escrow.Mutant.RAISE_BEFORE_LOWERED,
    escrow.Mutant.ANY_REVISION,
    escrow.Mutant.LOAN_TWICE,
    escrow.Mutant.LOWER_LATER,
    escrow.Mutant.SILENCE_IS_DEATH,
)


def holds_along_trace(build_model, labels):
    """Returns whether all properties hold in each state along a trace of the model.

    The trace is followed until the model has no step with the next label.
    """
    model = build_model()
    state = model.initial
    for label in labels:
        enabled = dict(model.transitions(state))
        if label not in enabled:
            break
        state = enabled[label]
        fields = dict(zip(model.fields, state, strict=True))
        if not all(invariant(fields) for invariant in model.invariants.values()):
            return False
    return True


class ModelsTest(unittest.TestCase):
    def test_models_other_than_escrow_hold_in_all_states(self) -> None:
        for module in (homes, configuration, restored_store, suspicions):
            result = check_safety(module.build_model(), max_states=50_000)
            self.assertTrue(result["exhaustive"])
            for name, property_result in result["properties"].items():
                self.assertTrue(property_result["holds"], name)

    def test_mutants_are_caught_and_code_holds_along_their_traces(self) -> None:
        for specification in SPECIFICATIONS:
            builders = {
                "escrow": escrow,
                "homes": homes,
                "configuration": configuration,
                "restored store": restored_store,
                "suspicions": suspicions,
            }
            for mutant in specification.mutants:
                is_fast = specification.name != "escrow" or mutant in FAST_ESCROW_MUTANTS
                if mutant.name == "NONE" or not is_fast:
                    continue
                with self.subTest(model=specification.name, mutant=mutant.name):
                    result = check_specification(specification, mutant)
                    self.assertTrue(0 < len(result.trace) <= MAX_TRACE_STEPS)
                    self.assertTrue(
                        holds_along_trace(builders[specification.name].build_model, result.trace)
                    )
