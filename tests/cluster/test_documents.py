"""Tests of document copies, the relay tree and datagrams."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.cluster.documents import (
    CONFIGURATION,
    FAN_OUT,
    Document,
    DocumentReplicas,
    choose_relay_targets,
    choose_responsible_members,
    compress,
    decompress,
)
from lycheepin.cluster.wire import decode_envelope, encode_envelope
from lycheepin.generated.messages import (
    DocumentPush,
    DocumentVersion,
    Envelope,
    HoldingReport,
    ServiceLoad,
)
from lycheepin.names import Address, Revision

KEY = b"0123456789abcdef"


class ReplicasTest(unittest.TestCase):
    def test_only_a_higher_revision_is_accepted(self) -> None:
        replicas = DocumentReplicas([CONFIGURATION])
        accepted = [
            replicas.accept(Document(CONFIGURATION, Revision(number), content))
            for number, content in ((2, b"a"), (2, b"b"), (1, b"c"), (3, b"d"))
        ]
        self.assertEqual(accepted, [True, False, False, True])

    def test_documents_of_other_cells_are_not_kept(self) -> None:
        replicas = DocumentReplicas([CONFIGURATION])
        self.assertFalse(replicas.accept(Document("plan/elsewhere", Revision(1), b"")))
        self.assertEqual(replicas.find_outdated([DocumentVersion("plan/elsewhere", 9)]), [])

    def test_broken_and_oversized_content_is_refused(self) -> None:
        content = compress(b"x" * 1000)
        self.assertEqual(decompress(content), b"x" * 1000)
        for broken in (b"", b"nonsense", content[:-3], compress(b"0" * (9 * 1024 * 1024))):
            with self.assertRaises(ValueError):
                decompress(broken)


class RelayTest(unittest.TestCase):
    def test_tree_reaches_everyone_once_with_bounded_fan_out(self) -> None:
        for size in (1, 2, 11, 155):
            members = [Address(f"10.0.{n // 200}.{n % 200}") for n in range(size)]
            origin = members[size // 2]
            reached = {origin}
            frontier = choose_relay_targets("config", Revision(7), origin, members, True)
            depth = 0
            while frontier:
                depth += 1
                following = []
                for address in frontier:
                    self.assertTrue(address not in reached or address == origin)
                    reached.add(address)
                    targets = choose_relay_targets("config", Revision(7), address, members, False)
                    self.assertNotIn(address, targets)
                    self.assertLessEqual(len(targets), FAN_OUT)
                    following += [t for t in targets if t not in reached]
                frontier = following
            self.assertEqual(len(reached), size)
            self.assertLessEqual(depth, 5)

    def test_origin_inside_the_tree_still_passes_its_part_on(self) -> None:
        members = [Address(f"10.0.0.{n}") for n in range(30)]
        for origin in members:
            reached = {origin}
            frontier = choose_relay_targets("config", Revision(3), origin, members, True)
            while frontier:
                reached |= set(frontier)
                frontier = [
                    target
                    for address in frontier
                    for target in choose_relay_targets(
                        "config", Revision(3), address, members, False
                    )
                    if target not in reached
                ]
            self.assertEqual(len(reached), 30, origin)

    def test_watchers_move_little_when_members_change(self) -> None:
        members = [Address(f"10.0.0.{n}") for n in range(20)]
        before = choose_responsible_members(members, "config", 2)
        gone = [address for address in members if address != before[0]]
        self.assertIn(before[1], choose_responsible_members(gone, "config", 2))


class WireTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        loads = [ServiceLoad("desk", 3, 2, 1)]
        envelope = Envelope(5, 6, report=HoldingReport(4, True, loads, True))
        self.assertEqual(decode_envelope(encode_envelope(envelope, KEY), KEY), envelope)
        push = Envelope(5, 6, push=DocumentPush("config", 3, b"\x00\xff", 0))
        self.assertEqual(decode_envelope(encode_envelope(push, KEY), KEY), push)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes_without_the_key_never_reach_the_codec(self, data: bytes) -> None:
        with self.assertRaises(ValueError):
            decode_envelope(data, KEY)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_changed_or_cut_datagram_is_refused(self, position: int, change: int) -> None:
        datagram = bytearray(encode_envelope(Envelope(1, 2, report=HoldingReport(3, True)), KEY))
        position %= len(datagram)
        with self.assertRaises(ValueError):
            decode_envelope(bytes(datagram[:position]), KEY)
        datagram[position] ^= change
        with self.assertRaises(ValueError):
            decode_envelope(bytes(datagram), KEY)
