"""Shares of regions while the own region's endpoints are full, and while they have gone."""

from __future__ import annotations

import random
import unittest

from lycheepin.names import RegionName, ServiceName
from lycheepin.steering.region_shares import BIN_S, WINDOW_S, RegionShares

OWN, OTHER = RegionName("own"), RegionName("other")
SERVICE = ServiceName("desk")
MAX_SHIFT = 0.15
SLOTS = 90
# Requests a second before and in a burst, of which a quarter prefers the other region.
USUAL_PER_S, BURST_PER_S = 160, 960
OTHER_FRACTION = 0.25
# Requests a second that the own region's endpoints can take.
OWN_CAPACITY_PER_S = 160
BURST_S = 6.0
END_S = 12.0
# Daemons of the region, each of which sees a part of its requests.
DAEMONS = 4


class Burst:
    """The requests of a region's daemons in a burst in which its endpoints are full."""

    def __init__(self, max_shift: float | None, seed: int, slots_left: int = SLOTS) -> None:
        self._shares = [RegionShares(OWN, max_shift) for _ in range(DAEMONS)]
        self.sent: list[tuple[float, RegionName]] = []
        self._random = random.Random(seed)
        self._slots_left = slots_left

    def play(self) -> None:
        """Sends the requests; the burst begins at BURST_S."""
        now_s, own_free = 0.0, 0.0
        while now_s < END_S:
            shares = self._random.choice(self._shares)
            in_burst = now_s >= BURST_S
            pause_s = self._random.expovariate(BURST_PER_S if in_burst else USUAL_PER_S)
            now_s += pause_s
            own_free = min(20.0, own_free + pause_s * OWN_CAPACITY_PER_S)
            if shares.needs_capacity(SERVICE, now_s):
                slots = self._slots_left if in_burst else SLOTS
                shares.observe_capacity(SERVICE, slots, now_s)
            region = OTHER if self._random.random() < OTHER_FRACTION else OWN
            if region == OWN and own_free < 1:
                shares.count_refused(SERVICE, True, now_s)
                continue
            if not shares.may_send(SERVICE, region, now_s):
                shares.count_refused(SERVICE, False, now_s)
                continue
            own_free -= region == OWN
            shares.count_sent(SERVICE, region, now_s)
            self.sent.append((now_s, region))

    def largest_shift(self) -> float:
        """Returns the largest change of the other region's share between two windows."""
        largest = 0.0
        for step in range(int(WINDOW_S * 4), int((END_S - WINDOW_S) * 4)):
            shares = []
            for start_s in (step / 4 - WINDOW_S, step / 4):
                window = [r for at_s, r in self.sent if start_s <= at_s < start_s + WINDOW_S]
                shares.append(window.count(OTHER) / len(window))
            largest = max(largest, abs(shares[1] - shares[0]))
        return largest


class RegionSharesTest(unittest.TestCase):
    # Guards against half of a region's requests running elsewhere a second after a burst begins.
    def test_shares_are_held_while_the_own_region_is_full(self) -> None:
        for seed in range(5):
            with self.subTest(seed):
                held, free = Burst(MAX_SHIFT, seed), Burst(None, seed)
                held.play()
                free.play()
                self.assertLessEqual(held.largest_shift(), MAX_SHIFT)
                self.assertGreater(free.largest_shift(), MAX_SHIFT)

    # Guards against requests being refused where they have to move.
    def test_requests_move_where_endpoints_of_the_own_region_have_gone(self) -> None:
        moved, free = Burst(MAX_SHIFT, 1, slots_left=SLOTS // 2), Burst(None, 1)
        moved.play()
        free.play()
        seen_s = BURST_S + BIN_S
        self.assertEqual(
            [request for request in moved.sent if request[0] >= seen_s],
            [request for request in free.sent if request[0] >= seen_s],
        )

    def test_nothing_is_held_at_the_usual_load(self) -> None:
        shares = RegionShares(OWN, MAX_SHIFT)
        shares.observe_capacity(SERVICE, SLOTS, 0.0)
        for number in range(400):
            now_s = number / 40
            self.assertTrue(shares.may_send(SERVICE, OTHER, now_s))
            shares.count_sent(SERVICE, OWN if now_s < 5 else OTHER, now_s)
