"""Tests of the table that lets each request id run at most once."""

import unittest

from lycheepin.errors import ErrorKind
from lycheepin.names import Address, Incarnation
from lycheepin.steering.request_ids import (
    MAX_ANSWER_BYTES,
    ForwardToOwner,
    Replay,
    RequestId,
    RequestIdTable,
    RequestRefusal,
    Run,
    Running,
    StoredAnswer,
)

OWNER = Address("127.0.0.1")
ANSWER = StoredAnswer(200, ((b"a", b"b"),), b"done")


def make_table(incarnation: int = 7, entries: int = 0) -> RequestIdTable:
    """Returns an empty table."""
    return RequestIdTable(OWNER, Incarnation(incarnation), 1000, entries)


def make_id(nonce: str = "n1", expires_ms: int = 1000) -> RequestId:
    """Returns an id that incarnation 7 owns."""
    return RequestId(OWNER, Incarnation(7), expires_ms, nonce)


class RequestIdTableTest(unittest.TestCase):
    def test_repeats_wait_for_the_first_run_and_then_get_its_answer(self) -> None:
        table = make_table()
        self.assertEqual(table.begin(make_id(), 0), Run())
        self.assertEqual(table.begin(make_id(), 1), Running())
        table.answered(make_id().key, ANSWER)
        self.assertEqual(table.begin(make_id(), 2), Replay(ANSWER))

    def test_id_with_unknown_outcome_does_not_run_again(self) -> None:
        table = make_table()
        table.begin(make_id(), 0)
        table.unknown(make_id().key)
        self.assertIsInstance(table.begin(make_id(), 1), RequestRefusal)

    def test_id_that_did_not_run_may_run_again(self) -> None:
        table = make_table()
        table.begin(make_id(), 0)
        table.not_run(make_id().key)
        self.assertEqual(table.begin(make_id(), 1), Run())

    def test_later_incarnation_forwards_ids_of_an_earlier_one(self) -> None:
        self.assertEqual(make_table(8).begin(make_id(), 0), ForwardToOwner(OWNER, Incarnation(7)))

    def test_ids_that_are_expired_or_valid_for_too_long_do_not_run(self) -> None:
        table = make_table()
        table.begin(make_id(), 0)
        table.expire(1000)
        self.assertEqual(len(table), 0)
        for now_ms, expires_ms, kind in (
            (1000, 1000, ErrorKind.ID_EXPIRED),
            (0, 10**9, ErrorKind.BAD_REQUEST),
        ):
            decision = table.begin(make_id(expires_ms=expires_ms), now_ms)
            assert isinstance(decision, RequestRefusal)
            self.assertIs(decision.fault.kind, kind)

    def test_full_table_refuses_new_ids(self) -> None:
        table = make_table(entries=1)
        table.begin(make_id("n1"), 0)
        decision = table.begin(make_id("n2"), 0)
        assert isinstance(decision, RequestRefusal)
        self.assertIs(decision.fault.kind, ErrorKind.QUEUE_FULL)

    def test_repeat_of_a_request_with_a_large_answer_is_refused(self) -> None:
        table = make_table()
        table.begin(make_id(), 0)
        table.answered(make_id().key, StoredAnswer(200, (), b"x" * (MAX_ANSWER_BYTES + 1)))
        decision = table.begin(make_id(), 1)
        assert isinstance(decision, RequestRefusal)
        self.assertIs(decision.fault.kind, ErrorKind.ANSWER_NOT_KEPT)


class RequestIdTest(unittest.TestCase):
    def test_id_parsed_from_its_text_form_is_equal(self) -> None:
        self.assertEqual(RequestId.parse(str(make_id())), make_id())

    def test_malformed_ids_raise_value_error(self) -> None:
        for text in ("", "a", "a_b_c_d", "127.0.0.1_7_3e8_", "127.0.0.1_-7_3e8_n", "_7_1_n"):
            with self.assertRaises(ValueError, msg=text):
                RequestId.parse(text)
