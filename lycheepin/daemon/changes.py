"""Configuration changes: validation, the write to the store, and coverage of the daemons."""

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
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.errors import ErrorKind, Fault
from lycheepin.sources.store import Conflict, Missing, Store, StoreValue, Unavailable, Written
from lycheepin.transport.calls import CallAnswer, HttpClient

__all__ = ["ChangeWriter"]

MAX_COVERAGE_CALLS = 32
COVERAGE_TIMEOUT_S = 1.0
MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_DELAY_S = 0.3


class ChangeWriter:
    """Writes configuration changes to the store and publishes them."""

    def __init__(
        self, node: Node, peer_protocol: PeerProtocol, store: Store, http_client: HttpClient
    ) -> None:
        self._node = node
        self._peer_protocol = peer_protocol
        self._store = store
        self._http_client = http_client

    async def apply_change(self, value: Any) -> dict[str, Any] | Fault:
        """Validates a change, writes it to the store and publishes it.

        `value` has `change_id`, `author`, `summary`, `document` and optionally `base`, the number
        of the configuration that the change is based on. Without `base` the change applies to any
        configuration. A change with a known `change_id` is not written again.
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
            case Success(checked_document):
                pass
        for _ in range(MAX_WRITE_ATTEMPTS):
            store_result = await self._store.get(CONFIGURATION)
            if isinstance(store_result, Unavailable):
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                continue
            outcome = await self._write_change(
                store_result, change_id, author, summary, base, checked_document
            )
            if outcome is not None:
                return outcome
            await asyncio.sleep(WRITE_RETRY_DELAY_S)
        return Fault(ErrorKind.STORE_UNAVAILABLE, f"change {change_id}: ask for its history")

    async def _write_change(
        self,
        store_result: StoreValue | Missing,
        change_id: str,
        author: str,
        summary: str,
        base: Any,
        document: Any,
    ) -> dict[str, Any] | Fault | None:
        """Tries to write a change; returns None when the outcome must be read from the store."""
        latest_change, expected_revision = self._latest_change(store_result)
        if latest_change is not None:
            existing_outcome = _find_outcome(latest_change, change_id)
            if existing_outcome is not None:
                return existing_outcome
        if base is not None and base != (latest_change.number if latest_change else 0):
            text = f"made from {base}; now {_describe_change(latest_change)}"
            return Fault(ErrorKind.CONFLICT, text)
        change = create_change(latest_change, change_id, author, summary, document)
        content = encode_change(change)
        match await self._store.compare_and_swap(CONFIGURATION, expected_revision, content):
            case Written():
                self._peer_protocol.publish_document(
                    Document(CONFIGURATION, change.number, content)
                )
                return {"number": change.number, "change_id": change_id}
            case Conflict() if base is not None:
                latest = await self._store.get(CONFIGURATION)
                if isinstance(latest, StoreValue):
                    winning_change, _ = self._latest_change(latest)
                    return Fault(ErrorKind.CONFLICT, f"now {_describe_change(winning_change)}")
        return None

    def _latest_change(self, store_result: StoreValue | Missing) -> tuple[Change | None, int]:
        """Returns the latest change and the store's revision to expect in the next write.

        The change in force wins over one with a lower number in the store, so that a store
        restored from an older copy does not revert the configuration.
        """
        stored: Change | None = None
        expected_revision = 0
        if isinstance(store_result, StoreValue):
            stored = decode_change(store_result.content).value_or(None)
            expected_revision = store_result.revision
        change_in_force = self._node.change
        if change_in_force is not None and (
            stored is None or change_in_force.number > stored.number
        ):
            return change_in_force, expected_revision
        return stored, expected_revision

    async def collect_coverage(self, number: int) -> dict[str, Any]:
        """Returns the VMs of all daemons, grouped by the number of their configuration in force.

        The number is at least `number` for `in_force`, lower for `behind`, and could not be fetched
        for `unreachable`.
        """
        semaphore = asyncio.Semaphore(MAX_COVERAGE_CALLS)
        members = self._node.membership.members()
        numbers = await asyncio.gather(*(self._fetch_number(m, semaphore) for m in members))
        own_number = self._node.replicas.revision(CONFIGURATION)
        numbers_by_vm = [
            (self._node.settings.vm, own_number),
            *zip((m.vm for m in members), numbers, strict=True),
        ]
        return {
            "in_force": sorted(vm for vm, n in numbers_by_vm if n is not None and n >= number),
            "behind": sorted(vm for vm, n in numbers_by_vm if n is not None and n < number),
            "unreachable": sorted(vm for vm, n in numbers_by_vm if n is None),
        }

    async def _fetch_number(self, member: Member, semaphore: asyncio.Semaphore) -> int | None:
        """Returns the configuration number in force at a member, or None."""
        peer_headers = (("lycheepin-peer", peer_token(self._node.peer_key, member.address)),)
        async with semaphore:
            answer = await self._http_client.call(
                member.address,
                member.port,
                "GET",
                "/_lycheepin/peer/number",
                headers=peer_headers,
                timeout_s=COVERAGE_TIMEOUT_S,
            )
        match answer:
            case CallAnswer(status=200, body=body) if body.isdigit():
                return int(body)
        return None


def _describe_change(change: Change | None) -> str:
    """Returns the number, author and summary of a change as text."""
    if change is None:
        return "no configuration"
    return f"number {change.number} by {change.author}: {change.summary}"


def _find_outcome(change: Change, change_id: str) -> dict[str, Any] | None:
    """Returns the outcome of a change found in the history, or None."""
    if change.change_id == change_id:
        return {"number": change.number, "change_id": change_id}
    for entry in change.history:
        if entry["change_id"] == change_id:
            return {"number": entry["number"], "change_id": change_id}
    return None
