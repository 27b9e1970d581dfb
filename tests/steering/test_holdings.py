import unittest
from dataclasses import dataclass

from lycheepin.steering.holdings import Holder, Holdings, Machine, Stage

KB = 1024


@dataclass(eq=False)
class Connection:
    """A holder that does nothing when it is told to end."""

    caller_host: str
    stage: Stage
    active_since_s: float = 0.0

    def evict(self, reason: str) -> None:
        raise AssertionError("decisions end nothing themselves")


class HoldingsTest(unittest.TestCase):
    def setUp(self) -> None:
        # 1 MB: short above 122 KB, full above 204 KB. 76 sockets: 25 for endpoints at least.
        self.holdings = Holdings(Machine.from_limits(1, 300))

    def _add(self, host: str, stage: Stage, held_kb: int = 1, since_s: float = 0.0) -> Holder:
        """Returns a holder that is recorded with what it holds."""
        connection = Connection(host, stage, since_s)
        self.holdings.record(connection, held_kb * KB)
        return connection

    def test_address_that_holds_most_loses_its_largest_connection_first(self) -> None:
        alone = self._add("10.0.0.2", Stage.BODY, 70)
        crowd = [self._add("10.0.0.1", Stage.BODY, 40 + n) for n in range(5)]
        self.assertEqual(self.holdings.choose_largest(), crowd[:-3:-1])
        for holder in crowd[-2:]:
            self.holdings.remove(holder)
        self.assertFalse(self.holdings.is_full)
        self.assertEqual(self.holdings.find_bytes(alone), 70 * KB)

    def test_request_that_runs_ends_after_one_whose_body_has_not_come(self) -> None:
        self._add("10.0.0.1", Stage.RUNNING, 150)
        waiting = self._add("10.0.0.2", Stage.BODY, 60)
        self.assertEqual(self.holdings.choose_largest(), [waiting])

    def test_only_stalled_connections_end_while_memory_is_short(self) -> None:
        self._add("10.0.0.1", Stage.RUNNING, 110)
        self._add("10.0.0.1", Stage.BODY, 10, since_s=9.9)
        slow_reader = self._add("10.0.0.1", Stage.ANSWER, 30, since_s=8.0)
        stalled = self._add("10.0.0.1", Stage.BODY, 30, since_s=8.0)
        self.assertEqual(self.holdings.choose_stalled(10.0), [stalled])
        self.assertEqual(self.holdings.choose_stalled(12.0), [stalled, slow_reader])

    def test_connection_without_work_of_the_address_with_most_gives_up_its_socket(self) -> None:
        self._add("10.0.0.2", Stage.IDLE, since_s=0.0)
        busy = [self._add("10.0.0.1", Stage.RUNNING) for _ in range(47)]
        self.assertTrue(self.holdings.admits_connection)
        oldest = self._add("10.0.0.1", Stage.IDLE, since_s=1.0)
        self._add("10.0.0.1", Stage.HEAD, since_s=0.0)
        self._add("10.0.0.1", Stage.IDLE, since_s=1.9)
        self.assertFalse(self.holdings.admits_connection)
        self.assertEqual(self.holdings.choose_idlest(2.0), [oldest])
        self.assertEqual(len(busy), 47)

    def test_endpoints_have_sockets_whatever_callers_take(self) -> None:
        for _ in range(51):
            self._add("10.0.0.1", Stage.RUNNING)
        self.assertEqual(self.holdings.choose_idlest(9.0), [])
        used = 24
        self.holdings.count_endpoint_sockets = lambda: used
        self.assertTrue(self.holdings.admits_attempt)
        used = 25
        self.assertFalse(self.holdings.admits_attempt)
        self.holdings.count_idle_sockets = lambda: 1
        self.assertTrue(self.holdings.admits_attempt)
        self.assertFalse(self.holdings.has_endpoint_socket)
