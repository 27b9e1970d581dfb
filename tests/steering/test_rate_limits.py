import unittest

from lycheepin.names import EndpointId
from lycheepin.steering.rate_limits import RateLimits

ENDPOINT = EndpointId("e")


class Observation(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = RateLimits()

    def test_limit_holds_until_an_answer_names_none(self) -> None:
        self.assertFalse(self.limits.observe_answer(ENDPOINT, None, 0.0, 1.0))
        self.assertTrue(self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0))
        self.assertFalse(self.limits.observe_answer(ENDPOINT, 2.5, 2.5, 3.0))
        self.assertEqual((self.limits.find_limit(ENDPOINT), len(self.limits)), (2.5, 1))
        self.assertTrue(self.limits.observe_answer(ENDPOINT, None, 3.0, 4.0))
        self.assertEqual((self.limits.find_limit(ENDPOINT), len(self.limits)), (None, 0))

    def test_answer_that_was_given_before_the_limit_does_not_end_or_raise_it(self) -> None:
        self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0)
        self.assertFalse(self.limits.observe_answer(ENDPOINT, None, 1.9, 2.1))
        self.assertFalse(self.limits.observe_answer(ENDPOINT, 9.0, 1.9, 2.1))
        self.assertEqual(self.limits.find_limit(ENDPOINT), 2.5)
        self.assertTrue(self.limits.observe_answer(ENDPOINT, 1.0, 1.9, 2.1))
        self.assertEqual(self.limits.find_limit(ENDPOINT), 1.0)

    def test_limit_of_a_replaced_endpoint_is_forgotten(self) -> None:
        self.limits.observe_answer(ENDPOINT, 2.5, 1.0, 2.0)
        self.limits.forget_endpoint(ENDPOINT)
        self.assertIsNone(self.limits.find_limit(ENDPOINT))
