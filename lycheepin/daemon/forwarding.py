"""Which other daemon a request goes to, and what it is told."""

from __future__ import annotations

import random

from lycheepin.cluster.member import Member, MemberState
from lycheepin.cluster.wire import peer_token
from lycheepin.daemon.exchange import Target
from lycheepin.daemon.node import Node
from lycheepin.daemon.request_parser import (
    DEADLINE_HEADER,
    FLEET_HEADER,
    HOP_HEADER,
    HOP_HOLDER,
    HOP_SHIFT,
    ID_HEADER,
    ORIGIN_HEADER,
    PEER_HEADER,
    SERVICE_HEADER,
    Call,
)
from lycheepin.names import RegionName

__all__ = ["Forwarder"]

MS_PER_S = 1000


class Forwarder:
    """Picks daemons to pass requests on to."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._random = random.Random(node.incarnation)

    def pick_holder(self, call: Call) -> Member | None:
        """Returns a daemon of this cell that holds slots, when this one holds none."""
        node = self._node
        if call.hop == HOP_HOLDER or node.admission.granted(call.ticket.service):
            return None
        weighted = [
            (member, node.tokens_of(member.incarnation, call.ticket.service))
            for member in node.membership.members()
            if member.region == node.region and member.state is MemberState.ALIVE
        ]
        holders = [(member, tokens) for member, tokens in weighted if tokens]
        if not holders:
            return None
        members = [member for member, _ in holders]
        weights = [tokens for _, tokens in holders]
        return self._random.choices(members, weights)[0]

    def pick_member(self, region: RegionName) -> Member | None:
        """Returns a reachable daemon of another region, or None."""
        members = [
            member
            for member in self._node.membership.members()
            if member.region == region and member.state is MemberState.ALIVE
        ]
        return self._random.choice(members) if members else None

    def target(self, call: Call, member: Member, hop: str) -> Target:
        """Returns where and with which headers a request goes to another daemon."""
        node = self._node
        remaining_ms = int((call.ticket.deadline_s - node.clock.monotonic()) * MS_PER_S)
        headers = [
            (PEER_HEADER, peer_token(node.key, member.address).encode()),
            (HOP_HEADER, hop.encode()),
            (FLEET_HEADER, call.name.fleet.encode()),
            (SERVICE_HEADER, call.name.name.encode()),
            (DEADLINE_HEADER, str(max(1, remaining_ms)).encode()),
        ]
        origin = call.ticket.origin or (node.region if hop == HOP_SHIFT else None)
        if origin is not None:
            headers.append((ORIGIN_HEADER, origin.encode()))
        if call.request_id is not None:
            headers.append((ID_HEADER, str(call.request_id).encode()))
        return Target(member.address, member.port, tuple(headers))
