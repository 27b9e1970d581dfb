"""One daemon as seen by others: its record, state and encoding."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import astuple, dataclass
from enum import Enum

from lycheepin.cluster.documents import compress, decompress
from lycheepin.generated.messages import MemberRecord
from lycheepin.names import Address, Incarnation, RegionName, ZoneName

__all__ = ["Member", "MemberState", "decode_members", "encode_members"]


class MemberState(Enum):
    """State of a member, in the order in which news of one version override each other."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    UNREACHABLE = 3


@dataclass(frozen=True)
class Member:
    """One daemon as seen from another."""

    address: Address
    port: int
    vm: str
    zone: ZoneName
    region: RegionName
    incarnation: Incarnation
    version: int = 0
    state: MemberState = MemberState.ALIVE

    @classmethod
    def from_record(cls, record: MemberRecord) -> Member:
        """Returns the member in a message; raises ValueError for an unknown state."""
        return cls(
            Address(record.address),
            record.port,
            record.vm,
            ZoneName(record.zone),
            RegionName(record.region),
            Incarnation(record.incarnation),
            record.version,
            MemberState(record.state),
        )

    def to_record(self) -> MemberRecord:
        """Returns the member as a message."""
        return MemberRecord(
            self.address,
            self.port,
            self.vm,
            self.zone,
            self.region,
            self.incarnation,
            self.version,
            self.state.value,
        )

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The order of news about one address: the greatest is believed."""
        return (self.incarnation, self.version, self.state.value)


def encode_members(members: Iterable[Member]) -> bytes:
    """Returns members as sent to a daemon that joins."""
    rows = [[*astuple(member)[:-1], member.state.value] for member in members]
    return compress(json.dumps(rows).encode())


def decode_members(content: bytes) -> list[MemberRecord]:
    """Returns the members in an answer; raises ValueError when it is broken."""
    rows = json.loads(decompress(content))
    columns = len(MemberRecord.thrift_spec)
    if not isinstance(rows, list) or any(
        not isinstance(row, list) or len(row) != columns for row in rows
    ):
        raise ValueError("not a list of members")
    return [MemberRecord(*row) for row in rows]
