"""Tests of the order in which plans lower and raise."""

import unittest

from lycheepin.names import Incarnation, Resource, Revision
from lycheepin.steering.plan import (
    QUARANTINE_MS,
    Caps,
    Evidence,
    Grant,
    Plan,
    decode_plan,
    encode_plan,
    revise_plan,
)

SLOT = Resource("slot")
A, B, C = Incarnation(1), Incarnation(2), Incarnation(3)
CAPS = Caps({SLOT: 4})
START = Plan(Revision(1), {A: {SLOT: Grant(4, 4)}, B: {}, C: {}})


def evidence(*settled: Incarnation, ended: tuple[Incarnation, ...] = (), now: int = 0) -> Evidence:
    """Returns evidence in which the settled holders are also clear."""
    return Evidence(frozenset(settled), frozenset(settled), frozenset(ended), now)


class LowerThenRaiseTest(unittest.TestCase):
    def test_raises_only_after_the_lowering_is_acknowledged(self) -> None:
        wanted = {A: {SLOT: 1}, B: {SLOT: 3}, C: {}}
        lowered = revise_plan(START, CAPS, wanted, evidence())
        assert lowered is not None
        self.assertEqual(lowered.grants[A][SLOT], Grant(1, 4))
        self.assertEqual(lowered.limits(B), {})
        self.assertIsNone(revise_plan(lowered, CAPS, wanted, evidence(B, C)))
        raised = revise_plan(lowered, CAPS, wanted, evidence(A))
        assert raised is not None
        self.assertEqual((raised.limits(A)[SLOT], raised.limits(B)[SLOT]), (1, 3))

    def test_silence_frees_nothing(self) -> None:
        wanted = {A: {}, B: {SLOT: 4}, C: {}}
        lowered = revise_plan(START, CAPS, wanted, evidence())
        assert lowered is not None
        self.assertIsNone(revise_plan(lowered, CAPS, wanted, evidence(B, C, now=10**9)))

    def test_tokens_of_an_ended_holder_wait_for_quarantine_and_clearance(self) -> None:
        wanted = {B: {SLOT: 4}, C: {}}
        retired = revise_plan(START, CAPS, wanted, evidence(ended=(A,)))
        assert retired is not None
        self.assertNotIn(A, retired.holders)
        early = evidence(B, C, ended=(A,), now=QUARANTINE_MS - 1)
        self.assertIsNone(revise_plan(retired, CAPS, wanted, early))
        unclear = evidence(B, ended=(A,), now=QUARANTINE_MS)
        self.assertIsNone(revise_plan(retired, CAPS, wanted, unclear))
        after = revise_plan(retired, CAPS, wanted, evidence(B, C, ended=(A,), now=QUARANTINE_MS))
        assert after is not None
        self.assertEqual(after.limits(B)[SLOT], 4)
        self.assertNotIn(A, after.grants)

    def test_group_cap_holds_over_resources(self) -> None:
        other = Resource("other")
        caps = Caps({SLOT: 4, other: 4}, {"desk": 5}, {SLOT: "desk", other: "desk"})
        plan = revise_plan(START, caps, {A: {SLOT: 4}, B: {other: 4}, C: {}}, evidence(A))
        assert plan is not None
        self.assertEqual(plan.limits(B)[other], 1)

    def test_revision_rises_and_survives_encoding(self) -> None:
        plan = revise_plan(START, CAPS, {A: {SLOT: 2}, B: {}, C: {}}, evidence())
        assert plan is not None
        self.assertEqual(plan.revision, 2)
        self.assertEqual(decode_plan(encode_plan(plan)), plan)
