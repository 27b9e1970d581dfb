"""Tests of replicated documents, the relay tree and the datagram format."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.cluster.documents import (
    CONFIGURATION,
    RELAY_FAN_OUT,
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


class DocumentReplicasTest(unittest.TestCase):
    def test_only_a_higher_revision_is_accepted(self) -> None:
        replicas = DocumentReplicas([CONFIGURATION])
        accepted = [
            replicas.accept(Document(CONFIGURATION, Revision(revision), content))
            for revision, content in ((2, b"a"), (2, b"b"), (1, b"c"), (3, b"d"))
        ]
        self.assertEqual(accepted, [True, False, False, True])

    def test_documents_of_other_cells_are_not_accepted(self) -> None:
        replicas = DocumentReplicas([CONFIGURATION])
        self.assertFalse(replicas.accept(Document("plan/elsewhere", Revision(1), b"")))
        self.assertEqual(replicas.find_outdated([DocumentVersion("plan/elsewhere", 9)]), [])

    def test_corrupt_and_oversized_content_raises_value_error(self) -> None:
        content = compress(b"x" * 1000)
        self.assertEqual(decompress(content), b"x" * 1000)
        for corrupt in (b"", b"nonsense", content[:-3], compress(b"0" * (9 * 1024 * 1024))):
            with self.assertRaises(ValueError):
                decompress(corrupt)


class RelayTest(unittest.TestCase):
    def test_relay_tree_reaches_each_member_once_with_bounded_fan_out_and_depth(self) -> None:
        for size in (1, 2, 11, 155):
            members = [Address(f"10.0.{number // 200}.{number % 200}") for number in range(size)]
            origin = members[size // 2]
            reached = {origin}
            frontier = choose_relay_targets("config", Revision(7), origin, members, True)
            depth = 0
            while frontier:
                depth += 1
                next_frontier = []
                for address in frontier:
                    self.assertTrue(address not in reached or address == origin)
                    reached.add(address)
                    targets = choose_relay_targets("config", Revision(7), address, members, False)
                    self.assertNotIn(address, targets)
                    self.assertLessEqual(len(targets), RELAY_FAN_OUT)
                    next_frontier += [target for target in targets if target not in reached]
                frontier = next_frontier
            self.assertEqual(len(reached), size)
            self.assertLessEqual(depth, 5)

    def test_relay_tree_reaches_all_members_from_any_origin(self) -> None:
        members = [Address(f"10.0.0.{number}") for number in range(30)]
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

    def test_second_responsible_member_stays_responsible_when_the_first_leaves(self) -> None:
        members = [Address(f"10.0.0.{number}") for number in range(20)]
        before = choose_responsible_members(members, "config", 2)
        remaining = [address for address in members if address != before[0]]
        self.assertIn(before[1], choose_responsible_members(remaining, "config", 2))


class WireTest(unittest.TestCase):
    def test_envelope_is_unchanged_by_encoding_and_decoding(self) -> None:
        loads = [ServiceLoad("desk", 3, 2, 1)]
        envelope = Envelope(5, 6, report=HoldingReport(4, True, loads, True))
        self.assertEqual(decode_envelope(encode_envelope(envelope, KEY), KEY), envelope)
        push = Envelope(5, 6, push=DocumentPush("config", 3, b"\x00\xff", 0))
        self.assertEqual(decode_envelope(encode_envelope(push, KEY), KEY), push)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_value_error(self, data: bytes) -> None:
        """Unauthenticated data must not reach the codec, which does not validate lengths."""
        with self.assertRaises(ValueError):
            decode_envelope(data, KEY)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_changed_or_truncated_datagram_raises_value_error(
        self, position: int, change: int
    ) -> None:
        datagram = bytearray(encode_envelope(Envelope(1, 2, report=HoldingReport(3, True)), KEY))
        position %= len(datagram)
        with self.assertRaises(ValueError):
            decode_envelope(bytes(datagram[:position]), KEY)
        datagram[position] ^= change
        with self.assertRaises(ValueError):
            decode_envelope(bytes(datagram), KEY)
