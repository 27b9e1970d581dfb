"""Changes of the configuration: checked, written once, and asked for on every daemon."""

from __future__ import annotations

import asyncio
from typing import Any

from returns.result import Failure, Success

from lycheepin.cluster.documents import CONFIGURATION, Document
from lycheepin.cluster.member import Member
from lycheepin.cluster.wire import peer_token
from lycheepin.configuration import (
    Change,
    check_configuration,
    create_change,
    decode_change,
    encode_change,
)
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerTask
from lycheepin.errors import ErrorKind, Fault
from lycheepin.sources.store import Conflict, Missing, Store, StoreValue, Unavailable, Written
from lycheepin.transport.calls import CallAnswer, HttpClient

__all__ = ["ChangeWriter"]

COVERAGE_CALLS = 32
COVERAGE_TIMEOUT_S = 1.0
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.3


class ChangeWriter:
    """Writes changes to the store and puts them in force."""

    def __init__(self, node: Node, peers: PeerTask, store: Store, http_client: HttpClient) -> None:
        self._node = node
        self._peers = peers
        self._store = store
        self._http_client = http_client

    async def apply(self, value: Any) -> dict[str, Any] | Fault:
        """Checks a change, writes it to the store and puts it in force.

        `value` has `change_id`, `author`, `summary`, `document`, and `base`: the number of the
        configuration that the change was made from, or none to go on from any.
        """
        try:
            change_id, author = str(value["change_id"]), str(value["author"])
            summary, base = str(value["summary"]), value.get("base")
            document = value["document"]
        except (KeyError, TypeError, AttributeError) as error:
            return Fault(ErrorKind.BAD_REQUEST, f"field {error}")
        match check_configuration(document):
            case Failure(problems):
                text = "; ".join(f"{p.field}: {p.message}" for p in problems)
                return Fault(ErrorKind.REFUSED_CONFIGURATION, text)
            case Success(built):
                pass
        for _ in range(SETTLE_ATTEMPTS):
            read = await self._store.get(CONFIGURATION)
            if isinstance(read, Unavailable):
                await asyncio.sleep(SETTLE_PAUSE_S)
                continue
            outcome = await self._write(read, change_id, author, summary, base, built)
            if outcome is not None:
                return outcome
            await asyncio.sleep(SETTLE_PAUSE_S)
        return Fault(ErrorKind.STORE_UNAVAILABLE, f"change {change_id}: ask for its history")

    async def _write(
        self,
        read: StoreValue | Missing,
        change_id: str,
        author: str,
        summary: str,
        base: Any,
        document: Any,
    ) -> dict[str, Any] | Fault | None:
        """Writes one change once; returns None when the outcome has to be read back."""
        before, expected = self._latest(read)
        if before is not None:
            settled = _find_change(before, change_id)
            if settled is not None:
                return settled
        if base is not None and base != (before.number if before else 0):
            text = f"made from {base}; now {_describe(before)}"
            return Fault(ErrorKind.CONFLICT, text)
        change = create_change(before, change_id, author, summary, document)
        content = encode_change(change)
        match await self._store.compare_and_swap(CONFIGURATION, expected, content):
            case Written():
                self._peers.publish(Document(CONFIGURATION, change.number, content))
                return {"number": change.number, "change_id": change_id}
            case Conflict() if base is not None:
                latest = await self._store.get(CONFIGURATION)
                if isinstance(latest, StoreValue):
                    rival, _ = self._latest(latest)
                    return Fault(ErrorKind.CONFLICT, f"now {_describe(rival)}")
        return None

    def _latest(self, read: StoreValue | Missing) -> tuple[Change | None, int]:
        """Returns the latest change known to store or daemon, and the store's revision.

        A store that came back with an older value must not lead back: the change in force here
        goes first when its number is higher.
        """
        stored: Change | None = None
        expected = 0
        if isinstance(read, StoreValue):
            stored = decode_change(read.content).value_or(None)
            expected = read.revision
        known = self._node.change
        if known is not None and (stored is None or known.number > stored.number):
            return known, expected
        return stored, expected

    async def coverage(self, number: int) -> dict[str, Any]:
        """Returns which daemons have a configuration in force, and which can't be asked."""
        limit = asyncio.Semaphore(COVERAGE_CALLS)
        members = self._node.membership.members()
        numbers = await asyncio.gather(*(self._ask_number(m, limit) for m in members))
        own = self._node.replicas.revision(CONFIGURATION)
        asked = [(self._node.settings.vm, own), *zip((m.vm for m in members), numbers, strict=True)]
        return {
            "in_force": sorted(vm for vm, n in asked if n is not None and n >= number),
            "behind": sorted(vm for vm, n in asked if n is not None and n < number),
            "unreachable": sorted(vm for vm, n in asked if n is None),
        }

    async def _ask_number(self, member: Member, limit: asyncio.Semaphore) -> int | None:
        """Returns the configuration number in force at a member, or None."""
        token = (("lycheepin-peer", peer_token(self._node.key, member.address)),)
        async with limit:
            answer = await self._http_client.call(
                member.address,
                member.port,
                "GET",
                "/_lycheepin/peer/number",
                headers=token,
                timeout_s=COVERAGE_TIMEOUT_S,
            )
        match answer:
            case CallAnswer(status=200, body=body):
                return int(body)
        return None


def _describe(change: Change | None) -> str:
    """Returns a change's number, author and summary as text."""
    if change is None:
        return "no configuration"
    return f"number {change.number} by {change.author}: {change.summary}"


def _find_change(change: Change, change_id: str) -> dict[str, Any] | None:
    """Returns the outcome of a change that has already taken effect, or None."""
    if change.change_id == change_id:
        return {"number": change.number, "change_id": change_id}
    for entry in change.history:
        if entry["change_id"] == change_id:
            return {"number": entry["number"], "change_id": change_id}
    return None
