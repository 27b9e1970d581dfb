"""Times at which the callers that an endpoint refuses within a moment are told to come back."""

import unittest

from lycheepin.names import WorkspaceName
from lycheepin.steering.choices import Refusal, RefusalRule, SelectedEndpoint
from lycheepin.steering.return_times import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from lycheepin.steering.workspaces import Workspace
from tests.steering.builders import (
    SPEC,
    build_dispatcher,
    build_registry,
    build_requirements,
    record,
)

WORKSPACE = Workspace(WorkspaceName("w"))
PROCESSING_S = 0.2
SLOTS = 4
CALLERS = 200


class ReturnTimes(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = build_registry(record("only", slots=SLOTS))
        self.dispatcher = build_dispatcher(self.registry)
        (self.endpoint,) = self.registry.all()
        for _ in range(200):
            self.registry.observe_answer(self.endpoint, 0.0, PROCESSING_S)
        self.endpoint.in_flight = 2 * SLOTS

    def _refuse(self, now_s: float = 0.0, **changes: object) -> Refusal:
        values = {"workspace": WORKSPACE, "target_at_s": 0.8 + now_s, "deadline_s": 2.0 + now_s}
        choice = self.dispatcher.choose_endpoint(
            build_requirements(**(values | changes)), SPEC, now_s
        )
        assert isinstance(choice, Refusal)
        return choice

    def test_callers_refused_in_one_moment_do_not_return_in_one(self) -> None:
        times_s = [self._refuse(jitter=number / CALLERS).retry_after_s for number in range(CALLERS)]
        self.assertGreaterEqual(min(times_s), MIN_RETRY_AFTER_S)
        self.assertLessEqual(max(times_s), MAX_RETRY_AFTER_S)
        tenth_s = (MAX_RETRY_AFTER_S - min(times_s)) / 10
        most = max(sum(s <= t < s + tenth_s for t in times_s) for s in times_s)
        self.assertLess(most, 2 * CALLERS / 10)

    def test_while_there_are_places_callers_return_as_room_comes(self) -> None:
        first, second = (self._refuse().retry_after_s for _ in range(2))
        self.assertAlmostEqual(second - first, PROCESSING_S / SLOTS, delta=0.001)
        self.assertLess(self._refuse(priority=0).retry_after_s, second)
        self.assertAlmostEqual(self._refuse(now_s=5.0).retry_after_s, first, delta=0.001)

    def test_daemon_with_a_part_of_the_load_tells_a_part_of_the_room(self) -> None:
        self.endpoint.in_flight = SLOTS
        self.endpoint.observe_full(0.0)
        for _ in range(20):
            self.endpoint.observe_load(0.0, SLOTS, 3 * SLOTS)
        first, second = (self._refuse().retry_after_s for _ in range(2))
        expected_s = PROCESSING_S / SLOTS * self.endpoint.load(0.0) / SLOTS
        self.assertAlmostEqual(second - first, expected_s, delta=0.001)

    def test_question_for_capacity_takes_no_place(self) -> None:
        expected_s = self._refuse().retry_after_s + PROCESSING_S / SLOTS
        requirements = build_requirements(workspace=WORKSPACE)
        for _ in range(5):
            self.assertFalse(self.dispatcher.has_warm_capacity(requirements, 0.0))
        self.assertAlmostEqual(self._refuse().retry_after_s, expected_s, delta=0.001)

    def test_retry_that_can_not_be_answered_in_time_is_refused_with_free_slots(self) -> None:
        self.endpoint.in_flight = 0
        retry = {"is_caller_retry": True, "target_at_s": -1.0}
        refusal = self._refuse(deadline_s=PROCESSING_S / 4, **retry)
        self.assertIs(refusal.rule, RefusalRule.HOPELESS)
        for values in (retry | {"deadline_s": PROCESSING_S}, {"deadline_s": PROCESSING_S / 4}):
            requirements = build_requirements(workspace=WORKSPACE, **values)
            choice = self.dispatcher.choose_endpoint(requirements, SPEC, 0.0)
            self.assertIsInstance(choice, SelectedEndpoint, values)
