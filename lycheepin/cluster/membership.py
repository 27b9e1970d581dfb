"""Membership by probing: who can be reached, who is leaving, and which processes have ended.

Each daemon probes one member an interval, whatever the size of the cluster, and spreads changes
on the probes. Silence makes a member suspect and then unreachable, never ended: a process is
known to have ended only when its successor at the same address answers, or when the platform's
list no longer has the VM.
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

UPDATES_PER_HEARTBEAT = 6
KNOWN_PER_HEARTBEAT = 2
HELPERS = 2
FAREWELLS = 16
SUSPICION_INTERVALS = 4
PROBE_TIMEOUT_RATIO = 0.4
PAUSE_INTERVALS = 4
RETRANSMIT_FACTOR = 3
RETRY_UNREACHABLE_EVERY = 4


class HeartbeatKind(Enum):
    """Purpose of a heartbeat."""

    PROBE = 1
    ACKNOWLEDGEMENT = 2
    PROBE_REQUEST = 3


@dataclass(frozen=True)
class OutgoingHeartbeat:
    """A heartbeat to be sent."""

    address: Address
    port: int
    heartbeat: Heartbeat


@dataclass
class _Probe:
    """The probe of the current interval."""

    sequence: int
    address: Address
    sent_s: float
    helped: bool = False
    acknowledged: bool = False


@dataclass(frozen=True)
class _Relay:
    """A probe sent for another member."""

    address: Address
    port: int
    sequence: int
    target: Address


class Membership:
    """The members as one daemon knows them."""

    def __init__(self, own: Member, interval_s: float, seed: int) -> None:
        self.local_member = own
        self._interval_s = interval_s
        self._random = random.Random(seed)
        self._members: dict[Address, Member] = {}
        self._ended: set[Incarnation] = set()
        self._proposed: dict[Address, int] = {}
        self._suspect_since: dict[Address, float] = {}
        self._pending_updates: dict[Address, int] = {}
        self._round: list[Address] = []
        self._known_round: list[Address] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0
        self._rounds = 0
        self._last_advance_s: float | None = None
        self.document_versions: list[DocumentVersion] = []
        self.changes: list[Member] = []
        self.change_count = 0

    def members(self) -> list[Member]:
        """Returns all other members, whatever their state."""
        return list(self._members.values())

    def get(self, address: Address) -> Member | None:
        """Returns the member at an address, this daemon included."""
        return (
            self.local_member
            if address == self.local_member.address
            else self._members.get(address)
        )

    def reachable(self) -> list[Member]:
        """Returns the members that may be expected to answer, this daemon included."""
        found = [m for m in self._members.values() if m.state is not MemberState.UNREACHABLE]
        return [self.local_member, *found]

    def ended_incarnations(self) -> frozenset[Incarnation]:
        """Returns the incarnations that are known to have ended."""
        return frozenset(self._ended)

    def add_candidate(self, address: Address, port: int) -> None:
        """Adds an address to be probed, such as from settings or the VM list."""
        if address != self.local_member.address and address not in self._members:
            self._proposed[address] = port

    def remove_member(self, address: Address) -> None:
        """Removes a member whose VM the platform no longer has; its process has ended."""
        member = self._members.pop(address, None)
        self._proposed.pop(address, None)
        if member is not None:
            self._ended.add(member.incarnation)
            self._suspect_since.pop(address, None)
            self.change_count += 1

    def announce_leaving(self) -> None:
        """Announces that this daemon is leaving."""
        self.local_member = replace(
            self.local_member, version=self.local_member.version + 1, state=MemberState.LEAVING
        )
        self._spread(self.local_member)

    def announce_alive(self) -> None:
        """Announces that this daemon is not leaving any more."""
        self.local_member = replace(
            self.local_member, version=self.local_member.version + 1, state=MemberState.ALIVE
        )
        self._spread(self.local_member)

    def build_announcements(self) -> list[OutgoingHeartbeat]:
        """Returns heartbeats that tell some members at once what this daemon has announced."""
        reachable = [m for m in self._members.values() if m.state is not MemberState.UNREACHABLE]
        chosen = self._random.sample(reachable, min(FAREWELLS, len(reachable)))
        return [self._send(m.address, m.port, HeartbeatKind.PROBE, sequence=0) for m in chosen]

    def apply_records(self, records: Iterable[MemberRecord], now_s: float) -> None:
        """Takes news about members into account; malformed ones are ignored."""
        for record in records:
            try:
                self._apply_record(Member.from_record(record), now_s)
            except ValueError:
                continue

    def _apply_record(self, member: Member, now_s: float) -> None:
        """Takes one piece of news into account when it overrides what is known."""
        if member.address == self.local_member.address:
            self._refute(member)
            return
        known = self._members.get(member.address)
        if member.incarnation in self._ended:
            return
        if known is not None and member.precedence <= known.precedence:
            return
        if known is not None and member.incarnation > known.incarnation:
            self._ended.add(known.incarnation)
        self._members[member.address] = member
        self._proposed.pop(member.address, None)
        if member.state is MemberState.SUSPECT:
            self._suspect_since.setdefault(member.address, now_s)
        else:
            self._suspect_since.pop(member.address, None)
        if known is None or (known.state, known.incarnation) != (member.state, member.incarnation):
            self.changes.append(member)
        self._spread(member)

    def _refute(self, member: Member) -> None:
        """Answers news about this daemon that are wrong by a greater version."""
        if member.precedence <= self.local_member.precedence:
            return
        if member.incarnation > self.local_member.incarnation:
            return
        self.local_member = replace(self.local_member, version=member.version + 1)
        self._spread(self.local_member)

    def _spread(self, member: Member) -> None:
        """Puts a member on the next heartbeats."""
        self.change_count += 1
        self._pending_updates[member.address] = 0

    def advance(self, now_s: float) -> list[OutgoingHeartbeat]:
        """Returns the heartbeats that are due; to be called several times an interval."""
        paused = (
            self._last_advance_s is not None
            and now_s - self._last_advance_s > PAUSE_INTERVALS * self._interval_s
        )
        self._last_advance_s = now_s
        if paused:
            # This process was stopped, so missing answers say nothing about the others.
            self._probe = None
            self._suspect_since = dict.fromkeys(self._suspect_since, now_s)
        self._expire_suspects(now_s)
        probe = self._probe
        if probe is None or now_s - probe.sent_s >= self._interval_s:
            return self._next_probe(now_s)
        late = now_s - probe.sent_s >= PROBE_TIMEOUT_RATIO * self._interval_s
        if late and not probe.acknowledged and not probe.helped:
            probe.helped = True
            return self._ask_helpers(probe)
        return []

    def _expire_suspects(self, now_s: float) -> None:
        """Makes members unreachable that stayed suspect for too long."""
        size = max(1.0, math.log10(len(self._members) + 2))
        timeout_s = SUSPICION_INTERVALS * size * self._interval_s
        for address, since_s in list(self._suspect_since.items()):
            if now_s - since_s < timeout_s:
                continue
            del self._suspect_since[address]
            member = self._members.get(address)
            if member is not None and member.state is MemberState.SUSPECT:
                self._change(replace(member, state=MemberState.UNREACHABLE))

    def _change(self, member: Member) -> None:
        """Replaces a member by what this daemon found out itself."""
        self._members[member.address] = member
        self.changes.append(member)
        self._spread(member)

    def _next_probe(self, now_s: float) -> list[OutgoingHeartbeat]:
        """Ends the current probe and returns the next one."""
        probe = self._probe
        self._probe = None
        if probe is not None and not probe.acknowledged:
            self._suspect(probe.address, now_s)
        self._rounds += 1
        sends = self._probe_proposed()
        target = self._next_target()
        if target is not None:
            self._sequence += 1
            self._probe = _Probe(self._sequence, target.address, now_s)
            sends.append(self._send(target.address, target.port, HeartbeatKind.PROBE))
        return sends

    def _probe_proposed(self) -> list[OutgoingHeartbeat]:
        """Returns probes to addresses that have not answered yet, a few at a time."""
        proposed = list(self._proposed.items())[:HELPERS]
        for address, port in proposed:
            del self._proposed[address]
            self._proposed[address] = port
        self._sequence += 1
        return [self._send(address, port, HeartbeatKind.PROBE) for address, port in proposed]

    def _suspect(self, address: Address, now_s: float) -> None:
        """Makes a member suspect that did not answer its probe."""
        member = self._members.get(address)
        if member is None or member.state in (MemberState.SUSPECT, MemberState.UNREACHABLE):
            return
        self._suspect_since[address] = now_s
        self._change(replace(member, state=MemberState.SUSPECT))

    def _next_target(self) -> Member | None:
        """Returns the next member to probe; unreachable ones are tried more rarely."""
        gone = [m for m in self._members.values() if m.state is MemberState.UNREACHABLE]
        if gone and self._rounds % RETRY_UNREACHABLE_EVERY == 0:
            return self._random.choice(gone)
        while True:
            if not self._round:
                reachable = [m.address for m in self.reachable() if m is not self.local_member]
                if not reachable:
                    return None
                self._random.shuffle(reachable)
                self._round = reachable
            member = self._members.get(self._round.pop())
            if member is not None and member.state is not MemberState.UNREACHABLE:
                return member

    def _ask_helpers(self, probe: _Probe) -> list[OutgoingHeartbeat]:
        """Returns requests to other members to probe on behalf of this one."""
        others = [
            m
            for m in self._members.values()
            if m.state is MemberState.ALIVE and m.address != probe.address
        ]
        helpers = self._random.sample(others, min(HELPERS, len(others)))
        return [
            self._send(
                m.address, m.port, HeartbeatKind.PROBE_REQUEST, probe.address, probe.sequence
            )
            for m in helpers
        ]

    def receive(
        self, heartbeat: Heartbeat, address: Address, port: int, now_s: float
    ) -> list[OutgoingHeartbeat]:
        """Returns the answers to a heartbeat; raises ValueError for an unknown kind."""
        kind = HeartbeatKind(heartbeat.kind)
        self.apply_records(heartbeat.updates, now_s)
        match kind:
            case HeartbeatKind.PROBE:
                answer = HeartbeatKind.ACKNOWLEDGEMENT
                target = self.local_member.address
                return [self._send(address, port, answer, target, heartbeat.sequence)]
            case HeartbeatKind.PROBE_REQUEST:
                return self._help(heartbeat, address, port)
            case HeartbeatKind.ACKNOWLEDGEMENT:
                return self._acknowledge(heartbeat)

    def _help(self, heartbeat: Heartbeat, address: Address, port: int) -> list[OutgoingHeartbeat]:
        """Returns a probe on behalf of another member."""
        target = self._members.get(Address(heartbeat.target))
        if target is None:
            return []
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            address, port, heartbeat.sequence, Address(heartbeat.target)
        )
        while len(self._relays) > 4 * HELPERS:
            self._relays.pop(next(iter(self._relays)))
        return [self._send(target.address, target.port, HeartbeatKind.PROBE)]

    def _acknowledge(self, heartbeat: Heartbeat) -> list[OutgoingHeartbeat]:
        """Records an acknowledgement, and returns the one to pass on, if any."""
        relay = self._relays.pop(heartbeat.sequence, None)
        if relay is not None and relay.target == heartbeat.target:
            kind = HeartbeatKind.ACKNOWLEDGEMENT
            return [self._send(relay.address, relay.port, kind, relay.target, relay.sequence)]
        probe = self._probe
        if probe is None or probe.address != heartbeat.target:
            return []
        if probe.sequence == heartbeat.sequence:
            probe.acknowledged = True
        return []

    def _send(
        self,
        address: Address,
        port: int,
        kind: HeartbeatKind,
        target: str = "",
        sequence: int | None = None,
    ) -> OutgoingHeartbeat:
        """Returns a heartbeat with the news to spread."""
        number = self._sequence if sequence is None else sequence
        updates = self._take_updates(address)
        return OutgoingHeartbeat(
            address, port, Heartbeat(kind.value, number, target, updates, self.document_versions)
        )

    def _take_updates(self, receiver: Address) -> list[MemberRecord]:
        """Returns this daemon's record, the freshest news and a few known members."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        updates = [self.local_member.to_record()]
        fresh = sorted(self._pending_updates.items(), key=lambda item: item[1])[
            :UPDATES_PER_HEARTBEAT
        ]
        chosen = [address for address, _ in fresh]
        for address, sent in fresh:
            self._pending_updates[address] = sent + 1
            if sent + 1 >= limit:
                del self._pending_updates[address]
        about_receiver = self._members.get(receiver)
        if about_receiver is not None and about_receiver.state is not MemberState.ALIVE:
            chosen.append(receiver)
        chosen += self._next_known()
        for address in dict.fromkeys(chosen):
            member = self._members.get(address)
            if member is not None:
                updates.append(member.to_record())
        return updates

    def _next_known(self) -> list[Address]:
        """Returns a few members in turn, so that missed news are made up for."""
        if not self._known_round:
            self._known_round = list(self._members)
            self._random.shuffle(self._known_round)
        taken = self._known_round[-KNOWN_PER_HEARTBEAT:]
        del self._known_round[-KNOWN_PER_HEARTBEAT:]
        return taken
