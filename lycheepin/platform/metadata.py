"""Client of the platform's metadata store: listings, watches, leases and writes."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from lycheepin.decoding import require_int
from lycheepin.errors import DECODE_ERRORS
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseEnded,
    Listing,
    Position,
    Removed,
    Stored,
    StoreFailure,
)
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient

__all__ = ["MetadataStore"]

# Timeout in seconds of calls, which a healthy store answers in a few milliseconds.
CALL_TIMEOUT_S = 1.0
# Time in seconds by which the answer to a watch may exceed the requested waiting time.
WATCH_GRACE_S = 0.6
MS_PER_S = 1000
# Status of the answer to a watch whose changes the store no longer has.
HISTORY_GONE = 410
# Header of all answers: how often the store has come back from a copy.
ERA_HEADER = b"store-era"
# Longest era that is read, in digits: the ones that 64 bits have room for.
MAX_ERA_DIGITS = 18


@dataclass(frozen=True)
class _Answer:
    """The era of an answer and its decoded body, None if its status says that something is gone."""

    era: int
    document: Any


class MetadataStore:
    """The store over HTTP, with pooled connections. Each call is sent once, without retries.

    Answers of an earlier era than the latest one that was seen count as failures.
    """

    def __init__(
        self, http_client: HttpClient, address: SocketAddress, min_lease_s: float = 0.0
    ) -> None:
        self._http_client = http_client
        self.address = address
        self._min_lease_s = min_lease_s
        self.calls = 0
        self._era = 0

    async def list_items(self, prefix: str) -> Listing | StoreFailure:
        """Returns all items whose keys have a prefix, reading page by page."""
        items: list[Item] = []
        as_of: Position | None = None
        after = ""
        while True:
            query = f"/api/kv-range?prefix={quote(prefix, safe='/')}"
            if after:
                query += f"&after={quote(after, safe='/', errors='surrogatepass')}"
            answer = await self._call("GET", query)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                document = answer.document
                page = [_decode_item(item, answer.era) for item in document["items"]]
                position = Position(answer.era, require_int(document["asOf"]))
                more = bool(document.get("hasMore"))
            except DECODE_ERRORS as error:
                return StoreFailure(f"malformed listing: {error!r}")
            as_of = position if as_of is None else as_of
            if as_of.era != answer.era:
                return StoreFailure("the store came back from a copy between two pages")
            items += page
            if not more or not page:
                return Listing(tuple(items), as_of)
            after = document["items"][-1]["key"]

    async def watch(
        self, prefix: str, after: Position, wait_s: float
    ) -> Changes | HistoryLost | StoreFailure:
        """Waits up to `wait_s` for changes after a position and returns them.

        Changes that can't be read, or are too many for an answer, count as lost history: the same
        call would bring them again, and a listing has what they led to.
        """
        if after.era < self._era:
            return HistoryLost()
        query = f"/api/kv-watch?prefix={quote(prefix, safe='/')}&after={after.revision}"
        query += f"&waitMs={int(wait_s * MS_PER_S)}"
        answer = await self._call(
            "GET", query, timeout_s=wait_s + WATCH_GRACE_S, gone_status=HISTORY_GONE
        )
        if isinstance(answer, StoreFailure):
            return answer
        if answer.document is None or answer.era != after.era:
            return HistoryLost()
        try:
            events = tuple(_decode_event(event, answer.era) for event in answer.document["events"])
            return Changes(events, Position(answer.era, require_int(answer.document["asOf"])))
        except DECODE_ERRORS:
            return HistoryLost()

    async def grant_lease(self, ttl_s: float) -> Lease | StoreFailure:
        """Returns a new lease; it lives longer than `ttl_s` if the store grants no shorter one."""
        ttl_ms = int(max(ttl_s, self._min_lease_s) * MS_PER_S)
        answer = await self._call("POST", "/api/kv-lease", {"ttlMs": ttl_ms})
        if isinstance(answer, StoreFailure):
            return answer
        try:
            document = answer.document
            return Lease(int(document["lease"]), document["ttlMs"] / MS_PER_S, answer.era)
        except DECODE_ERRORS as error:
            return StoreFailure(f"malformed lease: {error!r}")

    async def renew_lease(self, lease: Lease) -> Lease | LeaseEnded | StoreFailure:
        """Renews a lease and returns it; LeaseEnded when the store no longer has it.

        The leases of earlier eras count as ended: their ids may belong to others by now.
        """
        answer = await self._call("POST", f"/api/kv-keep/{lease.id}", {}, gone_status=404)
        if isinstance(answer, StoreFailure):
            return answer
        ended = answer.document is None or answer.era != lease.era
        return LeaseEnded() if ended else lease

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        """Ends a lease, which removes its keys; a lease that has already ended is no failure.

        Leases of eras that are known to be over are left to expire.
        """
        if lease.era != self._era:
            return None
        answer = await self._call("DELETE", f"/api/kv-lease-end/{lease.id}", gone_status=404)
        return answer if isinstance(answer, StoreFailure) else None

    async def put(
        self, values: Mapping[str, bytes], lease: Lease
    ) -> Stored | LeaseEnded | StoreFailure:
        """Writes values by key, all or none; they are removed when the lease ends."""
        writes = [
            {"key": key, "value": base64.b64encode(value).decode(), "lease": lease.id}
            for key, value in values.items()
        ]
        body = {"precondition": [], "writes": writes, "deletes": []}
        answer = await self._call("POST", "/api/kv-txn", body, gone_status=404)
        if isinstance(answer, StoreFailure):
            return answer
        if answer.document is None or answer.era != lease.era:
            return LeaseEnded()
        return Stored(int(answer.document.get("revision", 0)))

    async def _call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        gone_status: int = 0,
    ) -> _Answer | StoreFailure:
        """Returns the answer with status 200 or `gone_status`, else a failure."""
        self.calls += 1
        content = json.dumps(body).encode() if body is not None else b""
        headers = (("Content-Type", "application/json"),) if body is not None else ()
        answer = await self._http_client.call(
            self.address.host,
            self.address.port,
            method,
            target,
            content,
            headers,
            timeout_s,
        )
        if isinstance(answer, CallFailure):
            if answer.too_large and gone_status == HISTORY_GONE:
                return _Answer(self._era, None)
            return StoreFailure(answer.reason, answer.silent_s, closed=not answer.silent_s)
        era = self._read_era(answer)
        if era < self._era:
            return StoreFailure(f"answer of era {era}, the store is in era {self._era}")
        self._era = era
        if answer.status == gone_status:
            return _Answer(era, None)
        if answer.status != 200:
            return StoreFailure(f"status {answer.status}")
        try:
            return _Answer(era, json.loads(answer.body) if answer.body else {})
        except ValueError as error:
            return StoreFailure(f"answer is not JSON: {error!r}")

    def _read_era(self, answer: CallAnswer) -> int:
        """Returns the era of an answer, or the latest one that was seen if it names none."""
        value = answer.header(ERA_HEADER) or b""
        return int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else self._era


def _decode_item(item: Any, era: int) -> Item:
    """Returns an item; raises one of DECODE_ERRORS when it is malformed.

    A value that isn't valid base64 becomes an empty one, which no decoder accepts. So only this
    entry is rejected and not the whole listing; the same holds for a key that is not valid text.
    """
    key = _decode_key(item["key"])
    try:
        value = base64.b64decode(item["value"], validate=True) if key == item["key"] else b""
    except (binascii.Error, TypeError):
        value = b""
    return Item(key, value, Position(era, require_int(item["revision"])))


def _decode_key(key: str) -> str:
    """Returns a key, with a backslash sequence for each unpaired surrogate, which no text has."""
    return key.encode(errors="backslashreplace").decode()


def _decode_event(event: Any, era: int) -> Item | Removed:
    """Returns a changed or removed item; raises one of DECODE_ERRORS when it is malformed."""
    if event.get("tombstone"):
        return Removed(_decode_key(event["key"]), Position(era, require_int(event["revision"])))
    return _decode_item(event, era)
