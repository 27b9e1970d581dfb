"""Membership protocol of the daemons: failure detection and dissemination of member states.

The protocol follows SWIM. Each daemon probes one member per interval, whatever the size of the
cluster, and piggybacks changes of members on its heartbeats. A member that does not answer
becomes suspect and then unreachable, but is not considered ended: a process is known to have
ended only when its successor at the same address answers, or when the platform's list no longer
contains the VM.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from lycheepin.cluster.member import Member, MemberState
from lycheepin.generated.messages import DocumentVersion, Heartbeat, MemberRecord
from lycheepin.names import Address, Incarnation

__all__ = ["HeartbeatKind", "Member", "MemberState", "Membership", "OutgoingHeartbeat"]

MAX_CHANGED_RECORDS = 6  # Changed members in one heartbeat.
REFRESHED_RECORDS = 2  # Members sent in turn in one heartbeat, changed or not.
INDIRECT_PROBES = 2  # Also the number of candidates probed per interval.
ANNOUNCEMENT_RECIPIENTS = 16
SUSPICION_TIMEOUT_INTERVALS = 4  # Multiplied by log10 of the cluster size.
PROBE_TIMEOUT_RATIO = 0.4  # Fraction of the interval after which indirect probes are requested.
MAX_PAUSE_INTERVALS = 4  # A longer time between calls of `advance` means a stopped process.
RETRANSMIT_FACTOR = 3  # Transmissions of a change per log2 of the cluster size.
UNREACHABLE_PROBE_PERIOD = 4  # Intervals between probes of unreachable members.
MAX_ENDED = 4096  # Ended incarnations that are remembered: seven weeks at 76 restarts a day.


class HeartbeatKind(Enum):
    """Purpose of a heartbeat, by its number in the message."""

    PROBE = 1
    ACKNOWLEDGEMENT = 2
    PROBE_REQUEST = 3


@dataclass(frozen=True)
class OutgoingHeartbeat:
    """A heartbeat and the address to which it is to be sent."""

    address: Address
    port: int
    heartbeat: Heartbeat


@dataclass
class _Probe:
    """The probe that this daemon sent in the current interval."""

    sequence: int
    address: Address
    sent_s: float
    indirect_requested: bool = False
    acknowledged: bool = False


@dataclass(frozen=True)
class _RelayedProbe:
    """A probe of `target` sent on behalf of the member at `address`.

    `sequence` is the requester's number of the probe.
    """

    address: Address
    port: int
    sequence: int
    target: Address


class Membership:
    """The members of the cluster as known to one daemon.

    Methods return the heartbeats that the daemon is to send. `document_versions` is sent with
    each heartbeat, `changes` collects members whose state or incarnation changed until the daemon
    clears it, and `change_count` increases with every change of the membership.
    """

    def __init__(self, local_member: Member, interval_s: float, seed: int) -> None:
        self.local_member = local_member
        self._interval_s = interval_s
        self._random = random.Random(seed)
        self._members: dict[Address, Member] = {}
        self._ended: dict[Incarnation, None] = {}  # In order of detection.
        self._candidates: dict[Address, int] = {}  # Ports by address.
        self._suspect_since_s: dict[Address, float] = {}
        self._pending_updates: dict[Address, int] = {}  # Times sent by address.
        self._probe_order: list[Address] = []  # Remaining members of the current round.
        self._refresh_order: list[Address] = []
        self._probe: _Probe | None = None
        self._relayed_probes: dict[int, _RelayedProbe] = {}  # By this daemon's sequence number.
        self._last_sequence = 0
        self._interval_count = 0
        self._last_advance_s: float | None = None
        self.document_versions: list[DocumentVersion] = []
        self.changes: list[Member] = []
        self.change_count = 0

    def members(self) -> list[Member]:
        """Returns all members except this daemon, in any state."""
        return list(self._members.values())

    def get(self, address: Address) -> Member | None:
        """Returns the member at an address, which may be this daemon, or None."""
        return (
            self.local_member
            if address == self.local_member.address
            else self._members.get(address)
        )

    def reachable(self) -> list[Member]:
        """Returns this daemon and all members that are not unreachable."""
        reachable = [m for m in self._members.values() if m.state is not MemberState.UNREACHABLE]
        return [self.local_member, *reachable]

    def ended_incarnations(self) -> frozenset[Incarnation]:
        """Returns the incarnations whose process is known to have ended."""
        return frozenset(self._ended)

    def add_candidate(self, address: Address, port: int) -> None:
        """Adds an address to probe until it answers, such as one from settings or the VM list."""
        if address != self.local_member.address and address not in self._members:
            self._candidates[address] = port

    def remove_member(self, address: Address) -> None:
        """Removes a member whose VM is gone from the platform, and marks its process as ended."""
        member = self._members.pop(address, None)
        self._candidates.pop(address, None)
        if member is not None:
            self._record_end(member.incarnation)
            self._suspect_since_s.pop(address, None)
            self.change_count += 1

    def _record_end(self, incarnation: Incarnation) -> None:
        """Remembers that a process has ended, and forgets the oldest ones beyond MAX_ENDED."""
        self._ended[incarnation] = None
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def announce_leaving(self) -> None:
        """Sets this daemon's state to leaving and queues it for dissemination."""
        self.local_member = replace(
            self.local_member, version=self.local_member.version + 1, state=MemberState.LEAVING
        )
        self._queue_update(self.local_member)

    def announce_alive(self) -> None:
        """Sets this daemon's state back to alive and queues it for dissemination."""
        self.local_member = replace(
            self.local_member, version=self.local_member.version + 1, state=MemberState.ALIVE
        )
        self._queue_update(self.local_member)

    def build_announcements(self) -> list[OutgoingHeartbeat]:
        """Returns heartbeats that announce this daemon's state to random members immediately."""
        reachable = [m for m in self._members.values() if m.state is not MemberState.UNREACHABLE]
        recipients = self._random.sample(reachable, min(ANNOUNCEMENT_RECIPIENTS, len(reachable)))
        return [
            self._build_heartbeat(m.address, m.port, HeartbeatKind.PROBE, sequence=0)
            for m in recipients
        ]

    def apply_records(self, records: Iterable[MemberRecord], now_s: float) -> None:
        """Applies received records of members; malformed ones are ignored."""
        for record in records:
            try:
                self._apply_record(Member.from_record(record), now_s)
            except ValueError:
                continue

    def _apply_record(self, member: Member, now_s: float) -> None:
        """Applies a received record if it overrides the known one of the same address."""
        if member.address == self.local_member.address:
            self._refute_record(member)
            return
        known = self._members.get(member.address)
        if member.incarnation in self._ended:
            return
        if known is not None and member.precedence <= known.precedence:
            return
        if known is not None and member.incarnation > known.incarnation:
            self._record_end(known.incarnation)
        self._members[member.address] = member
        self._candidates.pop(member.address, None)
        if member.state is MemberState.SUSPECT:
            self._suspect_since_s.setdefault(member.address, now_s)
        else:
            self._suspect_since_s.pop(member.address, None)
        if known is None or (known.state, known.incarnation) != (member.state, member.incarnation):
            self.changes.append(member)
        self._queue_update(member)

    def _refute_record(self, member: Member) -> None:
        """Overrides a wrong record about this daemon by announcing a higher version.

        Records of a later incarnation at this address are ignored.
        """
        if member.precedence <= self.local_member.precedence:
            return
        if member.incarnation > self.local_member.incarnation:
            return
        self.local_member = replace(self.local_member, version=member.version + 1)
        self._queue_update(self.local_member)

    def _queue_update(self, member: Member) -> None:
        """Queues a changed member for the next heartbeats."""
        self.change_count += 1
        self._pending_updates[member.address] = 0

    def advance(self, now_s: float) -> list[OutgoingHeartbeat]:
        """Returns the heartbeats that are due; to be called several times per interval."""
        paused = (
            self._last_advance_s is not None
            and now_s - self._last_advance_s > MAX_PAUSE_INTERVALS * self._interval_s
        )
        self._last_advance_s = now_s
        if paused:
            # This process was stopped, so missing answers are no evidence about other members.
            self._probe = None
            self._suspect_since_s = dict.fromkeys(self._suspect_since_s, now_s)
        self._expire_suspicions(now_s)
        probe = self._probe
        if probe is None or now_s - probe.sent_s >= self._interval_s:
            return self._next_probe(now_s)
        timed_out = now_s - probe.sent_s >= PROBE_TIMEOUT_RATIO * self._interval_s
        if timed_out and not probe.acknowledged and not probe.indirect_requested:
            probe.indirect_requested = True
            return self._request_indirect_probes(probe)
        return []

    def _expire_suspicions(self, now_s: float) -> None:
        """Marks members as unreachable that have been suspect for the suspicion timeout."""
        scale = max(1.0, math.log10(len(self._members) + 2))
        timeout_s = SUSPICION_TIMEOUT_INTERVALS * scale * self._interval_s
        for address, since_s in list(self._suspect_since_s.items()):
            if now_s - since_s < timeout_s:
                continue
            del self._suspect_since_s[address]
            member = self._members.get(address)
            if member is not None and member.state is MemberState.SUSPECT:
                self._apply_local_finding(replace(member, state=MemberState.UNREACHABLE))

    def _apply_local_finding(self, member: Member) -> None:
        """Replaces a member by the state that this daemon itself has detected."""
        self._members[member.address] = member
        self.changes.append(member)
        self._queue_update(member)

    def _next_probe(self, now_s: float) -> list[OutgoingHeartbeat]:
        """Starts the next interval: evaluates the last probe and returns the next ones."""
        probe = self._probe
        self._probe = None
        if probe is not None and not probe.acknowledged:
            self._mark_suspect(probe.address, now_s)
        self._interval_count += 1
        heartbeats = self._probe_candidates()
        target = self._choose_probe_target()
        if target is not None:
            self._last_sequence += 1
            self._probe = _Probe(self._last_sequence, target.address, now_s)
            heartbeats.append(
                self._build_heartbeat(target.address, target.port, HeartbeatKind.PROBE)
            )
        return heartbeats

    def _probe_candidates(self) -> list[OutgoingHeartbeat]:
        """Returns probes of the next candidates, which have not answered yet."""
        candidates = list(self._candidates.items())[:INDIRECT_PROBES]
        for address, port in candidates:
            del self._candidates[address]
            self._candidates[address] = port
        self._last_sequence += 1
        return [
            self._build_heartbeat(address, port, HeartbeatKind.PROBE)
            for address, port in candidates
        ]

    def _mark_suspect(self, address: Address, now_s: float) -> None:
        """Marks a member as suspect because it did not answer its probe."""
        member = self._members.get(address)
        if member is None or member.state in (MemberState.SUSPECT, MemberState.UNREACHABLE):
            return
        self._suspect_since_s[address] = now_s
        self._apply_local_finding(replace(member, state=MemberState.SUSPECT))

    def _choose_probe_target(self) -> Member | None:
        """Returns the next member to probe, or None; unreachable members are probed less often."""
        unreachable = [m for m in self._members.values() if m.state is MemberState.UNREACHABLE]
        if unreachable and self._interval_count % UNREACHABLE_PROBE_PERIOD == 0:
            return self._random.choice(unreachable)
        while True:
            if not self._probe_order:
                reachable = [m.address for m in self.reachable() if m is not self.local_member]
                if not reachable:
                    return None
                self._random.shuffle(reachable)
                self._probe_order = reachable
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.UNREACHABLE:
                return member

    def _request_indirect_probes(self, probe: _Probe) -> list[OutgoingHeartbeat]:
        """Returns requests to other members to probe the same member for this daemon."""
        alive = [
            m
            for m in self._members.values()
            if m.state is MemberState.ALIVE and m.address != probe.address
        ]
        relays = self._random.sample(alive, min(INDIRECT_PROBES, len(alive)))
        return [
            self._build_heartbeat(
                m.address, m.port, HeartbeatKind.PROBE_REQUEST, probe.address, probe.sequence
            )
            for m in relays
        ]

    def receive(
        self, heartbeat: Heartbeat, address: Address, port: int, now_s: float
    ) -> list[OutgoingHeartbeat]:
        """Applies a received heartbeat and returns the heartbeats to send in response.

        Raises ValueError for an unknown kind.
        """
        kind = HeartbeatKind(heartbeat.kind)
        self.apply_records(heartbeat.updates, now_s)
        match kind:
            case HeartbeatKind.PROBE:
                answer = HeartbeatKind.ACKNOWLEDGEMENT
                target = self.local_member.address
                return [self._build_heartbeat(address, port, answer, target, heartbeat.sequence)]
            case HeartbeatKind.PROBE_REQUEST:
                return self._relay_probe(heartbeat, address, port)
            case HeartbeatKind.ACKNOWLEDGEMENT:
                return self._handle_acknowledgement(heartbeat)

    def _relay_probe(
        self, heartbeat: Heartbeat, address: Address, port: int
    ) -> list[OutgoingHeartbeat]:
        """Returns a probe on behalf of another member, or nothing for an unknown target."""
        target = self._members.get(Address(heartbeat.target))
        if target is None:
            return []
        self._last_sequence += 1
        self._relayed_probes[self._last_sequence] = _RelayedProbe(
            address, port, heartbeat.sequence, Address(heartbeat.target)
        )
        while len(self._relayed_probes) > 4 * INDIRECT_PROBES:
            self._relayed_probes.pop(next(iter(self._relayed_probes)))
        return [self._build_heartbeat(target.address, target.port, HeartbeatKind.PROBE)]

    def _handle_acknowledgement(self, heartbeat: Heartbeat) -> list[OutgoingHeartbeat]:
        """Records an acknowledgement; returns the one to forward to a requester, if any."""
        relayed = self._relayed_probes.pop(heartbeat.sequence, None)
        if relayed is not None and relayed.target == heartbeat.target:
            kind = HeartbeatKind.ACKNOWLEDGEMENT
            return [
                self._build_heartbeat(
                    relayed.address, relayed.port, kind, relayed.target, relayed.sequence
                )
            ]
        probe = self._probe
        if probe is None or probe.address != heartbeat.target:
            return []
        if probe.sequence == heartbeat.sequence:
            probe.acknowledged = True
        return []

    def _build_heartbeat(
        self,
        address: Address,
        port: int,
        kind: HeartbeatKind,
        target: str = "",
        sequence: int | None = None,
    ) -> OutgoingHeartbeat:
        """Returns a heartbeat that carries records of members and document versions."""
        sequence_number = self._last_sequence if sequence is None else sequence
        records = self._collect_records(address)
        return OutgoingHeartbeat(
            address,
            port,
            Heartbeat(kind.value, sequence_number, target, records, self.document_versions),
        )

    def _collect_records(self, receiver: Address) -> list[MemberRecord]:
        """Returns the records for a heartbeat.

        These are this daemon's own record, the changes that were sent least often, the receiver's
        record unless it is alive, so that the receiver can refute it, and a few other members.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        records = [self.local_member.to_record()]
        pending = sorted(self._pending_updates.items(), key=lambda item: item[1])[
            :MAX_CHANGED_RECORDS
        ]
        addresses = [address for address, _ in pending]
        for address, sent_count in pending:
            self._pending_updates[address] = sent_count + 1
            if sent_count + 1 >= limit:
                del self._pending_updates[address]
        receiver_member = self._members.get(receiver)
        if receiver_member is not None and receiver_member.state is not MemberState.ALIVE:
            addresses.append(receiver)
        addresses += self._next_refreshed()
        for address in dict.fromkeys(addresses):
            member = self._members.get(address)
            if member is not None:
                records.append(member.to_record())
        return records

    def _next_refreshed(self) -> list[Address]:
        """Returns the next few members in a random order, to repair lost updates."""
        if not self._refresh_order:
            self._refresh_order = list(self._members)
            self._random.shuffle(self._refresh_order)
        addresses = self._refresh_order[-REFRESHED_RECORDS:]
        del self._refresh_order[-REFRESHED_RECORDS:]
        return addresses
