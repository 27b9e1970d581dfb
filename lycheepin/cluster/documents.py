"""Documents that every daemon of a cell, or every daemon, holds a copy of.

A copy is replaced only by a higher revision. A new revision spreads down a tree that each daemon
computes by itself from the members; whoever is missed hears of the revision on a heartbeat and
fetches it.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lycheepin.generated.messages import DocumentVersion
from lycheepin.names import Address, RegionName, Revision

__all__ = [
    "CONFIGURATION",
    "Document",
    "DocumentReplicas",
    "choose_responsible_members",
    "compress",
    "decompress",
    "plan_document_name",
    "choose_relay_targets",
    "vms_document_name",
]

CONFIGURATION = "config"
FAN_OUT = 4
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def plan_document_name(region: RegionName) -> str:
    """Returns the name of the plan of a cell."""
    return f"plan/{region}"


def vms_document_name(region: RegionName) -> str:
    """Returns the name of the VM list as held by a cell."""
    return f"vms/{region}"


def compress(content: bytes) -> bytes:
    """Returns content as sent between daemons."""
    return zlib.compress(content, level=6)


def decompress(content: bytes) -> bytes:
    """Returns the content sent by another daemon; raises ValueError when it is broken."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(content, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"broken document: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"document cut short or over {MAX_DOCUMENT_BYTES} bytes")
    return plain


@dataclass(frozen=True)
class Document:
    """One revision of a document."""

    name: str
    revision: Revision
    content: bytes


class DocumentReplicas:
    """The copies that one daemon holds."""

    def __init__(self, names: Iterable[str]) -> None:
        self._names = frozenset(names)
        self._documents: dict[str, Document] = {}

    def get(self, name: str) -> Document | None:
        """Returns the copy of a document, or None."""
        return self._documents.get(name)

    def revision(self, name: str) -> Revision:
        """Returns the revision held; 0 when there is no copy."""
        copy = self._documents.get(name)
        return copy.revision if copy is not None else Revision(0)

    def accept(self, copy: Document) -> bool:
        """Replaces a copy by one with a higher revision; returns whether it did."""
        if copy.name not in self._names or copy.revision <= self.revision(copy.name):
            return False
        self._documents[copy.name] = copy
        return True

    def versions(self) -> list[DocumentVersion]:
        """Returns what is held, for heartbeats."""
        return [DocumentVersion(copy.name, copy.revision) for copy in self._documents.values()]

    def find_outdated(self, versions: Iterable[DocumentVersion]) -> list[str]:
        """Returns the documents of which a peer holds a higher revision."""
        return [
            version.name
            for version in versions
            if version.name in self._names and version.revision > self.revision(version.name)
        ]


def choose_relay_targets(
    copy_name: str,
    revision: Revision,
    own: Address,
    members: Sequence[Address],
    is_origin: bool,
) -> list[Address]:
    """Returns the members to which this daemon passes a new revision on.

    The origin feeds the roots of the tree, and its own children, whom nobody else feeds. All
    daemons that know the same members compute the same tree. Its order differs for each
    revision, so that the work of passing on is spread.
    """
    ordered = sorted({*members, own}, key=lambda a: _digest(f"{copy_name}:{revision}:{a}"))
    first = (ordered.index(own) + 1) * FAN_OUT
    children = ordered[first : first + FAN_OUT]
    if not is_origin:
        return children
    roots = [address for address in ordered[:FAN_OUT] if address != own]
    return list(dict.fromkeys((*roots, *children)))


def choose_responsible_members(members: Iterable[Address], topic: str, count: int) -> list[Address]:
    """Returns the members that read a topic from the platform, by rendezvous hashing."""
    return sorted(members, key=lambda address: _digest(f"{topic}:{address}"))[:count]


def _digest(word: str) -> bytes:
    """Returns a hash to order members by."""
    return hashlib.blake2s(word.encode(), digest_size=8).digest()
