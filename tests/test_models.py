"""The models within small bounds: mutants are caught, and their counterexamples are harmless."""

import unittest

from minicheck import check_safety

from models import configuration, escrow, homes
from models.__main__ import SPECIFICATIONS, check

TRACE_STEPS = 12
QUICK_ESCROW = (
    escrow.Mutant.RAISE_BEFORE_LOWERED,
    escrow.Mutant.ANY_REVISION,
    escrow.Mutant.LOAN_TWICE,
    escrow.Mutant.LOWER_LATER,
    escrow.Mutant.SILENCE_IS_DEATH,
)


def follow(build, labels):
    """Follows the labels of a trace through the sound model as far as it allows.

    Returns whether all properties hold in each state on the way.
    """
    model = build()
    state = model.initial
    for label in labels:
        enabled = dict(model.transitions(state))
        if label not in enabled:
            break
        state = enabled[label]
        fields = dict(zip(model.fields, state, strict=True))
        if not all(holds(fields) for holds in model.invariants.values()):
            return False
    return True


class ModelsTest(unittest.TestCase):
    def test_homes_and_configuration_hold_exhaustively(self) -> None:
        for module in (homes, configuration):
            verdict = check_safety(module.build_model(), max_states=50_000)
            self.assertTrue(verdict["exhaustive"])
            for name, item in verdict["properties"].items():
                self.assertTrue(item["holds"], name)

    def test_mutants_are_caught_and_their_traces_do_no_harm_to_the_code(self) -> None:
        for specification in SPECIFICATIONS:
            builders = {"escrow": escrow, "homes": homes, "configuration": configuration}
            for mutant in specification.mutants:
                quick = specification.name != "escrow" or mutant in QUICK_ESCROW
                if mutant.name == "NONE" or not quick:
                    continue
                with self.subTest(model=specification.name, mutant=mutant.name):
                    verdict = check(specification, mutant)
                    self.assertTrue(0 < len(verdict.trace) <= TRACE_STEPS)
                    self.assertTrue(follow(builders[specification.name].build_model, verdict.trace))
