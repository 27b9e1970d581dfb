"""Members of the cluster: state, precedence of records, and encoding."""

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
    """State of a member. Between records of equal version, the higher state takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    UNREACHABLE = 3


@dataclass(frozen=True)
class Member:
    """A daemon of the cluster: its location, its incarnation and its last known state."""

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
        """Returns the member described by a record; raises ValueError for an unknown state."""
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
        """Returns the member as a record for a message."""
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
        """The sort key of records about one address; the record with the greatest key applies."""
        return (self.incarnation, self.version, self.state.value)


def encode_members(members: Iterable[Member]) -> bytes:
    """Returns members in the compressed JSON form that is sent to a joining daemon."""
    rows = [[*astuple(member)[:-1], member.state.value] for member in members]
    return compress(json.dumps(rows).encode())


def decode_members(content: bytes) -> list[MemberRecord]:
    """Returns the records in the output of `encode_members`; raises ValueError if malformed."""
    rows = json.loads(decompress(content))
    field_count = len(MemberRecord.thrift_spec)
    if not isinstance(rows, list) or any(
        not isinstance(row, list) or len(row) != field_count for row in rows
    ):
        raise ValueError("malformed member list")
    return [MemberRecord(*row) for row in rows]
