"""Documents that are replicated to all daemons, or to all daemons of a cell (of one region).

A replica is replaced only by a higher revision. A new revision is relayed along a tree that each
daemon computes from the member list. A daemon that misses it learns of the revision from a
heartbeat and fetches the document.
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
    "choose_relay_targets",
    "choose_responsible_members",
    "compress",
    "decompress",
    "plan_document_name",
    "vms_document_name",
]

CONFIGURATION = "config"
RELAY_FAN_OUT = 4  # Children of a daemon in the relay tree.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def plan_document_name(region: RegionName) -> str:
    """Returns the document name of the plan of the cell in a region."""
    return f"plan/{region}"


def vms_document_name(region: RegionName) -> str:
    """Returns the document name of the VM list of the cell in a region."""
    return f"vms/{region}"


def compress(content: bytes) -> bytes:
    """Returns content in the compressed form that daemons exchange."""
    return zlib.compress(content, level=6)


def decompress(content: bytes) -> bytes:
    """Returns the original content of compressed data.

    Raises ValueError for corrupt or truncated data and for content over MAX_DOCUMENT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"corrupt document: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"document truncated or larger than {MAX_DOCUMENT_BYTES} bytes")
    return decompressed


@dataclass(frozen=True)
class Document:
    """One revision of a document, with its uncompressed content."""

    name: str
    revision: Revision
    content: bytes


class DocumentReplicas:
    """The replicas that one daemon holds, at most one for each of the given names."""

    def __init__(self, names: Iterable[str]) -> None:
        self._names = frozenset(names)
        self._documents: dict[str, Document] = {}

    def get(self, name: str) -> Document | None:
        """Returns the replica of a document, or None."""
        return self._documents.get(name)

    def revision(self, name: str) -> Revision:
        """Returns the revision of a replica, or 0 when there is none."""
        document = self._documents.get(name)
        return document.revision if document is not None else Revision(0)

    def accept(self, document: Document) -> bool:
        """Replaces a replica by a higher revision; returns whether it was replaced."""
        if document.name not in self._names or document.revision <= self.revision(document.name):
            return False
        self._documents[document.name] = document
        return True

    def versions(self) -> list[DocumentVersion]:
        """Returns names and revisions of all replicas, as sent on heartbeats."""
        return [
            DocumentVersion(document.name, document.revision)
            for document in self._documents.values()
        ]

    def find_outdated(self, versions: Iterable[DocumentVersion]) -> list[str]:
        """Returns the names of documents of which a peer's versions have a higher revision."""
        return [
            version.name
            for version in versions
            if version.name in self._names and version.revision > self.revision(version.name)
        ]


def choose_relay_targets(
    name: str,
    revision: Revision,
    local_address: Address,
    members: Sequence[Address],
    is_origin: bool,
) -> list[Address]:
    """Returns the members to which this daemon relays a new revision of a document.

    The origin sends to the roots of the tree and to its own children, which get the revision from
    no other daemon. Daemons with equal member lists compute the same tree. Its order differs by
    revision, so that the load of relaying is distributed.
    """
    tree = sorted(
        {*members, local_address}, key=lambda address: _hash_key(f"{name}:{revision}:{address}")
    )
    first_child = (tree.index(local_address) + 1) * RELAY_FAN_OUT
    children = tree[first_child : first_child + RELAY_FAN_OUT]
    if not is_origin:
        return children
    roots = [address for address in tree[:RELAY_FAN_OUT] if address != local_address]
    return list(dict.fromkeys((*roots, *children)))


def choose_responsible_members(members: Iterable[Address], topic: str, count: int) -> list[Address]:
    """Returns the first `count` members for a topic, in the order of rendezvous hashing.

    The choice changes little when members join or leave.
    """
    return sorted(members, key=lambda address: _hash_key(f"{topic}:{address}"))[:count]


def _hash_key(text: str) -> bytes:
    """Returns a hash by which members are ordered."""
    return hashlib.blake2s(text.encode(), digest_size=8).digest()
