"""Passes the copy of the store on between daemons: a long poll with a thrift answer."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.gateway.ingress import IncomingRequest
from lycheepin.gateway.mirror import Mirror
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Listing, Removed
from lycheepin.generated.messages import RelayAnswer, StoreEntry
from lycheepin.transport.calls import Called, Caller, CallFailed

__all__ = ["RELAY_PATH", "Relayed", "answer_follower", "ask_peer"]

RELAY_PATH = "/relay"
# Longest time in seconds that a follower's call waits; a peer that froze is noticed after it.
MAX_WAIT_S = 5.0
# Time in seconds that the answer may take beyond the waiting time.
GRACE_S = 0.6
# What tells an unknown age of the news, in milliseconds.
UNKNOWN_AGE_MS = 2**31 - 1
MS_PER_S = 1000

_FACTORY = TCyBinaryProtocolFactory()


class Relayed:
    """What a peer knows: its news, and how old they are in seconds."""

    def __init__(self, news: Listing | Changes, age_s: float) -> None:
        self.news = news
        self.age_s = age_s


async def answer_follower(request: IncomingRequest, mirror: Mirror, store: SocketAddress) -> None:
    """Answers a peer's call with what it lacks, as soon as there is something."""
    query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
    after = int((query.get("after") or ["0"])[0])
    wait_s = min(MAX_WAIT_S, int((query.get("wait_ms") or ["0"])[0]) / MS_PER_S)
    await mirror.wait(after, wait_s)
    news = mirror.read(after)
    if news is None:
        request.respond(503, [], b"")
        return
    age_s = mirror.age_s(asyncio.get_running_loop().time())
    answer = _encode(news, str(store), min(UNKNOWN_AGE_MS, age_s * MS_PER_S))
    request.respond(200, [], serialize(answer, _FACTORY))


async def ask_peer(
    caller: Caller, peer: SocketAddress, store: SocketAddress, after: int, wait_s: float
) -> Relayed | str:
    """Returns what a peer knows after a revision, or why it told nothing of use."""
    target = f"{RELAY_PATH}?after={after}&wait_ms={int(wait_s * MS_PER_S)}"
    answer = await caller.call(peer.host, peer.port, "GET", target, timeout_s=wait_s + GRACE_S)
    match answer:
        case CallFailed(reason=reason):
            return reason
        case Called(status=200, body=body):
            try:
                return _decode(deserialize(RelayAnswer(), body, _FACTORY), str(store))
            except Exception as error:  # the codec raises whatever a damaged length leads to
                return f"answer: {error!r}"
        case Called(status=status):
            return f"status {status}"
    raise AssertionError(answer)


def _encode(news: Listing | Changes, store: str, age_ms: float) -> RelayAnswer:
    """Returns the message of some news."""
    match news:
        case Listing(items=items, as_of=as_of):
            events: tuple[Item | Removed, ...] = items
        case Changes(events=events, as_of=as_of):
            pass
    entries = [
        (
            StoreEntry(event.key, event.value, event.revision, False)
            if isinstance(event, Item)
            else StoreEntry(event.key, b"", event.revision, True)
        )
        for event in events
    ]
    return RelayAnswer(store, as_of, int(age_ms), isinstance(news, Listing), entries)


def _decode(answer: RelayAnswer, store: str) -> Relayed:
    """Returns the news of a message; raises ValueError for another deployment's."""
    if answer.store != store:
        raise ValueError(f"store {answer.store!r} is another deployment's")
    events = tuple(
        (
            Removed(entry.key, entry.revision)
            if entry.removed
            else Item(entry.key, _bytes(entry.value), entry.revision)
        )
        for entry in answer.entries
    )
    age_s = answer.age_ms / MS_PER_S
    if answer.complete:
        items = tuple(event for event in events if isinstance(event, Item))
        return Relayed(Listing(items, answer.as_of), age_s)
    return Relayed(Changes(events, answer.as_of), age_s)


def _bytes(value: bytes | str) -> bytes:
    """Returns a value as bytes; the codec gives text for bytes that are valid UTF-8."""
    return value.encode() if isinstance(value, str) else value
