"""Tests of admission, fairness and endpoint selection."""

import unittest

from lycheepin.errors import ErrorKind
from lycheepin.generated.settings import WorkClass
from lycheepin.names import FleetName, Incarnation, RegionName, Resource, Revision, ServiceName
from lycheepin.steering.admission import (
    Admission,
    AdmissionRefusal,
    RetryTokenBucket,
    Shift,
    Start,
    Ticket,
    Wait,
)
from lycheepin.steering.capacity import link_resource, shift_resource
from lycheepin.steering.endpoints import SLOW_START_S, EndpointSelector, ExchangeResult
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.plan import Grant, Plan

DESK = ServiceName("desk")
FAR = RegionName("far")
ONE, TWO = Resource("slot|1"), Resource("slot|2")
BROWSE = WorkClass("browse", answer_target_ms=100)
ORDER = WorkClass("order", protected=True, answer_target_ms=100)
PHOTO = WorkClass("photo", upload=True, answer_target_ms=1000)


def make_admission(selector: EndpointSelector | None = None, **tokens: int) -> Admission:
    """Returns an Admission with the given tokens by resource; `one` and `two` are endpoints."""
    names = {"one": ONE, "two": TWO, "shift": shift_resource(DESK, FAR), "link": link_resource(FAR)}
    ledger = Ledger(Incarnation(1))
    grants = {names[name]: Grant(count, count) for name, count in tokens.items()}
    ledger.apply_plan(Plan(Revision(1), {Incarnation(1): grants}))
    selector = selector or EndpointSelector()
    selector.update((ONE, TWO), 0.0)
    admission = Admission(ledger, selector)
    admission.set_endpoints({DESK: (ONE, TWO)})
    admission.set_capped_shifts(frozenset((names["shift"], names["link"])))
    return admission


def make_ticket(fleet: str = "a", work_class: WorkClass = BROWSE, **fields: object) -> Ticket:
    """Returns a ticket with a deadline of ten seconds."""
    return Ticket(FleetName(fleet), DESK, work_class, 10.0, **fields)  # type: ignore[arg-type]


class SubmitTest(unittest.TestCase):
    def test_requests_start_while_tokens_are_free_and_then_wait(self) -> None:
        admission = make_admission(one=1, two=1)
        kinds = [type(admission.submit(make_ticket(), 0.0)) for _ in range(3)]
        self.assertEqual(kinds, [Start, Start, Wait])

    def test_waiting_request_starts_when_a_token_is_free(self) -> None:
        admission = make_admission(one=1)
        first = admission.submit(make_ticket(), 0.0)
        second = make_ticket()
        admission.submit(second, 0.0)
        assert isinstance(first, Start)
        admission.finish(first, ExchangeResult.ANSWERED, 0.01, 0.01)
        (started,) = admission.poll(0.01)
        self.assertIs(started.ticket, second)

    def test_refuses_a_request_that_cannot_meet_its_deadline(self) -> None:
        admission = make_admission(one=1)
        start = admission.submit(make_ticket(), 0.0)
        assert isinstance(start, Start)
        admission.finish(start, ExchangeResult.ANSWERED, 8.0, 8.0)
        admission.submit(make_ticket(), 8.0)
        refused = admission.submit(make_ticket(), 8.0)
        assert isinstance(refused, AdmissionRefusal)
        self.assertIs(refused.fault.kind, ErrorKind.DEADLINE)

    def test_shifts_a_request_that_would_miss_its_target(self) -> None:
        admission = make_admission(one=1)
        start = admission.submit(make_ticket(), 0.0)
        assert isinstance(start, Start)
        admission.finish(start, ExchangeResult.ANSWERED, 0.08, 0.1)
        admission.submit(make_ticket(), 0.1)
        self.assertIsInstance(admission.submit(make_ticket(may_shift=True), 0.1), Shift)

    def test_full_queue_of_one_fleet_does_not_refuse_others(self) -> None:
        admission = make_admission(one=1)
        outcomes = [admission.submit(make_ticket("greedy"), 0.0) for _ in range(40)]
        self.assertIsInstance(outcomes[-1], AdmissionRefusal)
        self.assertIsInstance(admission.submit(make_ticket("modest"), 0.0), Wait)


class ShiftTest(unittest.TestCase):
    def test_shift_cap_limits_requests_in_any_second(self) -> None:
        admission = make_admission(one=9, shift=2)
        shifted = [admission.submit(make_ticket(origin=FAR), t) for t in (0.0, 0.5, 0.9, 1.0, 1.2)]
        kinds = [type(item) for item in shifted]
        self.assertEqual(kinds, [Start, Start, AdmissionRefusal, Start, AdmissionRefusal])

    def test_shifted_request_does_not_wait(self) -> None:
        admission = make_admission(one=1, shift=5)
        admission.submit(make_ticket(), 0.0)
        refused = admission.submit(make_ticket(origin=FAR), 0.0)
        assert isinstance(refused, AdmissionRefusal)
        self.assertIs(refused.fault.kind, ErrorKind.NO_CAPACITY)

    def test_shifted_upload_reserves_link_capacity(self) -> None:
        admission = make_admission(one=9, shift=9, link=10)
        upload = {"origin": FAR, "body_bytes": 750_000}
        first = admission.submit(make_ticket(work_class=PHOTO, **upload), 0.0)
        assert isinstance(first, Start)
        self.assertEqual(first.link_mbit, 6)
        refused = admission.submit(make_ticket(work_class=PHOTO, **upload), 0.0)
        assert isinstance(refused, AdmissionRefusal)
        self.assertIs(refused.fault.kind, ErrorKind.LINK_FULL)
        admission.finish(first, ExchangeResult.ANSWERED, 1.0, 1.0)
        self.assertIsInstance(admission.submit(make_ticket(work_class=PHOTO, **upload), 1.0), Start)


class FairnessTest(unittest.TestCase):
    def test_free_slot_goes_to_the_fleet_with_fewest_slots_and_protected_requests_first(
        self,
    ) -> None:
        admission = make_admission(one=2)
        running = [admission.submit(make_ticket("greedy"), 0.0) for _ in range(2)]
        waiting = [make_ticket("greedy"), make_ticket("modest"), make_ticket("modest", ORDER)]
        for item in waiting:
            admission.submit(item, 0.0)
        order = []
        for start in running:
            assert isinstance(start, Start)
            admission.finish(start, ExchangeResult.ANSWERED, 0.01, 0.01)
            order += [decision.ticket for decision in admission.poll(0.01)]
        self.assertEqual(order, [waiting[2], waiting[0]])


class SlowEndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = EndpointSelector()
        self.admission = make_admission(selector=self.selector, one=1, two=1)
        for _ in range(200):
            self.selector.record_result(ONE, "desk/browse", ExchangeResult.ANSWERED, 0.4, 0.0)
            self.selector.record_result(TWO, "desk/browse", ExchangeResult.ANSWERED, 0.01, 0.0)
            self.selector.record_result(TWO, "desk/browse", ExchangeResult.ANSWERED, 0.01, 0.0)

    def test_waits_for_a_fast_endpoint_when_the_free_one_would_miss_the_target(self) -> None:
        first = self.admission.submit(make_ticket(), 0.0)
        assert isinstance(first, Start)
        self.assertEqual(first.endpoint, TWO)
        second = make_ticket()
        self.assertIsInstance(self.admission.submit(second, 0.0), Wait)
        self.admission.finish(first, ExchangeResult.ANSWERED, 0.01, 0.01)
        (started,) = self.admission.poll(0.01)
        assert isinstance(started, Start)
        self.assertEqual((started.ticket, started.endpoint), (second, TWO))

    def test_late_request_starts_at_the_slow_endpoint(self) -> None:
        self.admission.submit(make_ticket(), 0.0)
        self.admission.submit(make_ticket(), 0.0)
        self.assertEqual(self.admission.poll(0.001), [])
        (started,) = self.admission.poll(0.2)
        assert isinstance(started, Start)
        self.assertEqual(started.endpoint, ONE)

    def test_request_that_can_meet_its_target_starts_before_a_late_one(self) -> None:
        admission = make_admission(one=1)
        running = admission.submit(make_ticket(), 0.0)
        late, timely = make_ticket(), make_ticket()
        admission.submit(late, 0.0)
        admission.submit(timely, 1.0)
        assert isinstance(running, Start)
        admission.finish(running, ExchangeResult.ANSWERED, 0.01, 1.0)
        self.assertIs(admission.poll(1.0)[0].ticket, timely)


class EndpointSelectorTest(unittest.TestCase):
    def test_faster_endpoint_is_chosen(self) -> None:
        selector = EndpointSelector()
        selector.update((ONE, TWO), 0.0)
        for _ in range(20):
            selector.record_result(ONE, "w", ExchangeResult.ANSWERED, 0.1, 1.0)
            selector.record_result(TWO, "w", ExchangeResult.ANSWERED, 0.01, 1.0)
        self.assertEqual(selector.choose_endpoint({ONE: 9, TWO: 1}, {}, 1.0), TWO)

    def test_failed_endpoint_is_not_chosen_until_its_backoff_ends(self) -> None:
        selector = EndpointSelector()
        selector.update((ONE,), 0.0)
        selector.record_result(ONE, "w", ExchangeResult.FAILED, 0.0, 0.0)
        self.assertIsNone(selector.choose_endpoint({ONE: 1}, {}, 0.1))
        self.assertEqual(selector.choose_endpoint({ONE: 1}, {}, 0.3), ONE)

    def test_new_endpoint_gets_few_requests_at_first(self) -> None:
        selector = EndpointSelector()
        selector.update((ONE,), 0.0)
        selector.update((ONE, TWO), 10.0)
        self.assertIsNone(selector.choose_endpoint({TWO: 8}, {TWO: 1}, 10.0))
        self.assertEqual(selector.choose_endpoint({TWO: 8}, {TWO: 1}, 10.0 + SLOW_START_S), TWO)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_a_fraction_of_requests(self) -> None:
        budget = RetryTokenBucket(balance=0.0)
        for _ in range(100):
            budget.record_request()
        spent = sum(budget.try_spend() for _ in range(100))
        self.assertIn(spent, (9, 10))
