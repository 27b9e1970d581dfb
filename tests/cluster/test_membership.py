"""Tests of membership: failure detection, partitions, restarts and announcements."""

import random
import unittest
from collections.abc import Callable
from unittest.mock import patch

from lycheepin.cluster import membership as membership_module
from lycheepin.cluster.documents import compress
from lycheepin.cluster.member import decode_members, encode_members
from lycheepin.cluster.membership import (
    HeartbeatKind,
    Member,
    Membership,
    MemberState,
    OutgoingHeartbeat,
)
from lycheepin.generated.messages import Heartbeat, MemberRecord
from lycheepin.names import Address, Incarnation, RegionName, ZoneName

INTERVAL_S = 1.0
STEP_S = 0.2
PORT = 8400


def make_member(number: int, incarnation: int = 1) -> Member:
    """Returns a member at address 127.0.0.`number`."""
    address = Address(f"127.0.0.{number}")
    zone, region = ZoneName("z"), RegionName("r")
    return Member(address, PORT, f"f/vm-{number}", zone, region, Incarnation(incarnation))


class Network:
    """Memberships that exchange heartbeats without delay, except over links that are cut.

    Paused members neither send nor receive.
    """

    def __init__(self, size: int) -> None:
        self.now_s = 0.0
        self.nodes = {}
        self.paused: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self.heartbeats_sent = 0
        for number in range(1, size + 1):
            self.add(make_member(number))

    def add(self, member: Member) -> Membership:
        node = Membership(member, INTERVAL_S, seed=member.incarnation * 100 + len(self.nodes))
        node.add_candidate(Address("127.0.0.1"), PORT)
        self.nodes[member.address] = node
        return node

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for address, node in list(self.nodes.items()):
                if address not in self.paused:
                    self.deliver(address, node.advance(self.now_s))

    def deliver(self, source: Address, heartbeats: list[OutgoingHeartbeat]) -> None:
        for outgoing in heartbeats:
            self.heartbeats_sent += 1
            node = self.nodes.get(outgoing.address)
            if (
                node is None
                or outgoing.address in self.paused
                or self.is_cut(source, outgoing.address)
            ):
                continue
            replies = node.receive(outgoing.heartbeat, source, PORT, self.now_s)
            self.deliver(outgoing.address, replies)

    def states(self, viewer: int) -> dict[str, MemberState]:
        node = self.nodes[Address(f"127.0.0.{viewer}")]
        return {member.address: member.state for member in node.members()}


class MembershipTest(unittest.TestCase):
    def test_all_members_know_each_other_from_one_seed_address(self) -> None:
        network = Network(11)
        network.run(20)
        for viewer in range(1, 12):
            self.assertEqual(set(network.states(viewer).values()), {MemberState.ALIVE})
            self.assertEqual(len(network.states(viewer)), 10)

    def test_paused_member_becomes_unreachable_but_not_ended(self) -> None:
        network = Network(11)
        network.run(20)
        network.paused.add("127.0.0.5")
        network.run(30)
        for viewer in (1, 2, 11):
            self.assertIs(network.states(viewer)["127.0.0.5"], MemberState.UNREACHABLE)
        self.assertEqual(network.nodes[Address("127.0.0.1")].ended_incarnations(), frozenset())

    def test_resumed_member_is_alive_again_and_suspects_no_other(self) -> None:
        network = Network(11)
        network.run(20)
        network.paused.add("127.0.0.5")
        network.run(30)
        network.paused.clear()
        network.run(20)
        for viewer in range(1, 12):
            self.assertEqual(set(network.states(viewer).values()), {MemberState.ALIVE}, viewer)

    def test_members_are_alive_again_after_a_partition_heals(self) -> None:
        network = Network(10)
        network.run(20)
        network.is_cut = lambda a, b: (int(a.split(".")[3]) <= 5) != (int(b.split(".")[3]) <= 5)
        network.run(30)
        self.assertIs(network.states(1)["127.0.0.9"], MemberState.UNREACHABLE)
        network.is_cut = lambda a, b: False
        network.run(60)
        for viewer in range(1, 11):
            self.assertEqual(set(network.states(viewer).values()), {MemberState.ALIVE}, viewer)

    def test_one_cut_link_leaves_members_alive(self) -> None:
        network = Network(11)
        network.run(20)
        network.is_cut = lambda a, b: {a, b} == {"127.0.0.2", "127.0.0.3"}
        network.run(40)
        self.assertIs(network.states(2)["127.0.0.3"], MemberState.ALIVE)

    def test_new_incarnation_at_an_address_ends_the_previous_one(self) -> None:
        network = Network(11)
        network.run(20)
        network.add(make_member(5, incarnation=2))
        network.run(20)
        for viewer in (1, 7, 11):
            node = network.nodes[Address(f"127.0.0.{viewer}")]
            self.assertEqual(node.ended_incarnations(), {Incarnation(1)})
            member = node.get(Address("127.0.0.5"))
            self.assertEqual(member.incarnation if member else 0, 2)

    def test_number_of_remembered_ended_processes_is_limited(self) -> None:
        membership = Membership(make_member(1), INTERVAL_S, 1)
        with patch.object(membership_module, "MAX_ENDED", 3):
            for incarnation in range(1, 7):
                membership.apply_records([make_member(2, incarnation).to_record()], 0.0)
        self.assertEqual(membership.ended_incarnations(), {3, 4, 5})

    def test_announcements_report_a_leaving_member_at_once(self) -> None:
        network = Network(11)
        network.run(20)
        leaving = network.nodes[Address("127.0.0.5")]
        leaving.announce_leaving()
        network.deliver(Address("127.0.0.5"), leaving.build_announcements())
        for viewer in (1, 4, 11):
            self.assertIs(network.states(viewer)["127.0.0.5"], MemberState.LEAVING)

    def test_heartbeat_rate_does_not_grow_with_the_cluster(self) -> None:
        rates = []
        for size in (11, 44, 100):
            network = Network(size)
            network.run(40)
            network.heartbeats_sent = 0
            network.run(10)
            rates.append(network.heartbeats_sent / size / 10)
        self.assertLess(max(rates), 4.0)

    def test_members_are_complete_after_encoding_and_decoding(self) -> None:
        network = Network(5)
        network.run(20)
        node = network.nodes[Address("127.0.0.2")]
        records = decode_members(encode_members([node.local_member, *node.members()]))
        self.assertEqual({r.address for r in records}, {f"127.0.0.{n}" for n in range(1, 6)})
        for malformed in (b"", b"x", compress(b"[1]"), compress(b'{"a": 1}')):
            with self.assertRaises(ValueError):
                decode_members(malformed)

    def test_malformed_records_are_ignored(self) -> None:
        node = Membership(make_member(1), INTERVAL_S, seed=1)
        random_source = random.Random(3)
        for _ in range(200):
            record = MemberRecord(
                "127.0.0.2", PORT, "f/x", "z", "r", random_source.getrandbits(62),
                random_source.randrange(9), random_source.randrange(-2, 9),
            )  # fmt: skip
            kind = HeartbeatKind.PROBE.value
            node.receive(Heartbeat(kind, 1, "", [record], []), Address("127.0.0.2"), PORT, 0.0)
        self.assertLessEqual(len(node.members()), 1)
