"""Tests of the order in which plans lower and raise limits."""

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


def make_evidence(
    *settled: Incarnation, ended: tuple[Incarnation, ...] = (), now: int = 0
) -> Evidence:
    """Returns evidence in which the settled holders are also clear."""
    return Evidence(frozenset(settled), frozenset(settled), frozenset(ended), now)


class RevisePlanTest(unittest.TestCase):
    def test_limits_are_raised_only_after_the_holder_of_a_lowered_one_is_settled(self) -> None:
        wanted = {A: {SLOT: 1}, B: {SLOT: 3}, C: {}}
        lowered = revise_plan(START, CAPS, wanted, make_evidence())
        assert lowered is not None
        self.assertEqual(lowered.grants[A][SLOT], Grant(1, 4))
        self.assertEqual(lowered.limits(B), {})
        self.assertIsNone(revise_plan(lowered, CAPS, wanted, make_evidence(B, C)))
        raised = revise_plan(lowered, CAPS, wanted, make_evidence(A))
        assert raised is not None
        self.assertEqual((raised.limits(A)[SLOT], raised.limits(B)[SLOT]), (1, 3))

    def test_tokens_of_an_unreachable_holder_are_not_granted_to_others(self) -> None:
        wanted = {A: {}, B: {SLOT: 4}, C: {}}
        lowered = revise_plan(START, CAPS, wanted, make_evidence())
        assert lowered is not None
        self.assertIsNone(revise_plan(lowered, CAPS, wanted, make_evidence(B, C, now=10**9)))

    def test_tokens_of_an_ended_holder_are_granted_after_quarantine_when_others_are_clear(
        self,
    ) -> None:
        wanted = {B: {SLOT: 4}, C: {}}
        retired = revise_plan(START, CAPS, wanted, make_evidence(ended=(A,)))
        assert retired is not None
        self.assertNotIn(A, retired.holders)
        early = make_evidence(B, C, ended=(A,), now=QUARANTINE_MS - 1)
        self.assertIsNone(revise_plan(retired, CAPS, wanted, early))
        unclear = make_evidence(B, ended=(A,), now=QUARANTINE_MS)
        self.assertIsNone(revise_plan(retired, CAPS, wanted, unclear))
        after = revise_plan(
            retired, CAPS, wanted, make_evidence(B, C, ended=(A,), now=QUARANTINE_MS)
        )
        assert after is not None
        self.assertEqual(after.limits(B)[SLOT], 4)
        self.assertNotIn(A, after.grants)

    def test_group_cap_limits_the_sum_over_its_resources(self) -> None:
        other = Resource("other")
        caps = Caps({SLOT: 4, other: 4}, {"desk": 5}, {SLOT: "desk", other: "desk"})
        plan = revise_plan(START, caps, {A: {SLOT: 4}, B: {other: 4}, C: {}}, make_evidence(A))
        assert plan is not None
        self.assertEqual(plan.limits(B)[other], 1)

    def test_revision_grows_by_one_and_decoded_plan_equals_the_encoded_one(self) -> None:
        plan = revise_plan(START, CAPS, {A: {SLOT: 2}, B: {}, C: {}}, make_evidence())
        assert plan is not None
        self.assertEqual(plan.revision, 2)
        self.assertEqual(decode_plan(encode_plan(plan)), plan)
