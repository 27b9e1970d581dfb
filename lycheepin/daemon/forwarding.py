"""Forwarding of requests: choice of the other daemon and the headers sent to it."""

from __future__ import annotations

import random

from lycheepin.cluster.member import Member, MemberState
from lycheepin.cluster.wire import peer_token
from lycheepin.daemon.exchange import Destination
from lycheepin.daemon.node import Node
from lycheepin.daemon.request_parser import (
    FLEET_HEADER,
    HOP_HEADER,
    HOP_HOLDER,
    HOP_SHIFT,
    ID_HEADER,
    ORIGIN_HEADER,
    PEER_HEADER,
    SERVICE_HEADER,
    RequestContext,
)
from lycheepin.names import RegionName

__all__ = ["Forwarder"]


class Forwarder:
    """Chooses daemons to forward requests to."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._random = random.Random(node.incarnation)

    def pick_holder(self, context: RequestContext) -> Member | None:
        """Returns a daemon of this cell that holds tokens of the request's service, or None.

        The choice is random, with the tokens as weights. The result is also None when this daemon
        holds tokens itself, or when the request was forwarded to it as a holder.
        """
        node = self._node
        if context.hop == HOP_HOLDER or node.admission.granted(context.ticket.service):
            return None
        tokens_by_member = [
            (member, node.granted_tokens(member.incarnation, context.ticket.service))
            for member in node.membership.members()
            if member.region == node.region and member.state is MemberState.ALIVE
        ]
        holders = [(member, tokens) for member, tokens in tokens_by_member if tokens]
        if not holders:
            return None
        members = [member for member, _ in holders]
        weights = [tokens for _, tokens in holders]
        return self._random.choices(members, weights)[0]

    def pick_member(self, region: RegionName) -> Member | None:
        """Returns a random daemon of a region that is alive, or None."""
        members = [
            member
            for member in self._node.membership.members()
            if member.region == region and member.state is MemberState.ALIVE
        ]
        return self._random.choice(members) if members else None

    def build_destination(self, context: RequestContext, member: Member, hop: str) -> Destination:
        """Returns the address of another daemon with the headers for a forwarded request."""
        node = self._node
        headers = [
            (PEER_HEADER, peer_token(node.peer_key, member.address).encode()),
            (HOP_HEADER, hop.encode()),
            (FLEET_HEADER, context.name.fleet.encode()),
            (SERVICE_HEADER, context.name.name.encode()),
        ]
        origin = context.ticket.origin or (node.region if hop == HOP_SHIFT else None)
        if origin is not None:
            headers.append((ORIGIN_HEADER, origin.encode()))
        if context.request_id is not None:
            headers.append((ID_HEADER, str(context.request_id).encode()))
        return Destination(member.address, member.port, tuple(headers))
