"""Passes the copy of the store on between daemons: a long poll with a thrift answer."""

from __future__ import annotations

import asyncio
import zlib
from urllib.parse import parse_qs

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.gateway.incoming import IncomingRequest
from lycheepin.gateway.replica import StoreReplica
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Listing, Removed
from lycheepin.generated.messages import RelayAnswer, StoreEntry, StoreNews
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient

__all__ = ["RELAY_PATH", "Relay", "Relayed", "ask_peer", "decode_news", "encode_news"]

RELAY_PATH = "/relay"
# Longest time in seconds that a follower's call waits; a peer that froze is noticed after it.
MAX_WAIT_S = 5.0
# Time in seconds that the answer may take beyond the waiting time.
GRACE_S = 0.6
# What tells an unknown age of the news, in milliseconds.
UNKNOWN_AGE_MS = 2**31 - 1
# Level of zlib at which a configuration of 300 KB takes some 3 ms and shrinks to a tenth.
COMPRESSION_LEVEL = 1
# Bytes of decompressed news that are read: far above a listing of the largest deployment.
MAX_NEWS_BYTES = 64 * 1024 * 1024
MS_PER_S = 1000

_FACTORY = TCyBinaryProtocolFactory()


class Relayed:
    """What a peer knows: its news, and how old they are in seconds."""

    def __init__(self, news: Listing | Changes, age_s: float) -> None:
        self.news = news
        self.age_s = age_s


class Relay:
    """Answers the followers of a daemon; followers at one revision share one encoded answer."""

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica
        self._encoded_of: tuple[int, int] | None = None
        self._encoded = b""

    async def answer(self, request: IncomingRequest, store: SocketAddress) -> None:
        """Answers a peer's call with what it lacks, as soon as there is something."""
        loop = asyncio.get_running_loop()
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        after = int((query.get("after") or ["0"])[0])
        wait_s = min(MAX_WAIT_S, int((query.get("wait_ms") or ["0"])[0]) / MS_PER_S)
        started_s = loop.time()
        await self._replica.wait(after, wait_s)
        news = self._replica.read(after)
        if news is None:
            request.respond(503, [], b"")
            return
        now_s = loop.time()
        answer = RelayAnswer(
            store=str(store),
            as_of=news.as_of,
            age_ms=int(min(UNKNOWN_AGE_MS, self._replica.age_s(now_s) * MS_PER_S)),
            complete=isinstance(news, Listing),
            waited_ms=int((now_s - started_s) * MS_PER_S),
            news=self._encode(news, after),
        )
        request.respond(200, [], serialize(answer, _FACTORY))

    def _encode(self, news: Listing | Changes, after: int) -> bytes:
        """Returns the encoded news of a follower at a revision."""
        encoded_of = (after, news.as_of)
        if self._encoded_of != encoded_of:
            self._encoded = encode_news(news)
            self._encoded_of = encoded_of
        return self._encoded


async def ask_peer(
    http_client: HttpClient, peer: SocketAddress, store: SocketAddress, after: int, wait_s: float
) -> Relayed | str:
    """Returns what a peer knows after a revision, or why it told nothing of use.

    The time that the answer was on its way counts as age: a choked link delays news.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    target = f"{RELAY_PATH}?after={after}&wait_ms={int(wait_s * MS_PER_S)}"
    answer = await http_client.call(peer.host, peer.port, "GET", target, timeout_s=wait_s + GRACE_S)
    match answer:
        case CallFailure(reason=reason):
            return reason
        case CallAnswer(status=200, body=body):
            try:
                relayed = deserialize(RelayAnswer(), body, _FACTORY)
                news = decode_news(relayed, str(store))
            except Exception as error:  # the codec raises whatever a damaged length leads to
                return f"answer: {error!r}"
            way_s = loop.time() - started_s - relayed.waited_ms / MS_PER_S
            return Relayed(news, relayed.age_ms / MS_PER_S + max(0.0, way_s))
        case CallAnswer(status=status):
            return f"status {status}"
    raise AssertionError(answer)


def encode_news(news: Listing | Changes) -> bytes:
    """Returns the compressed entries of some news; empty without any."""
    match news:
        case Listing(items=items):
            events: tuple[Item | Removed, ...] = items
        case Changes(events=events):
            pass
    if not events:
        return b""
    entries = [
        (
            StoreEntry(event.key, event.value, event.revision, False)
            if isinstance(event, Item)
            else StoreEntry(event.key, b"", event.revision, True)
        )
        for event in events
    ]
    return zlib.compress(serialize(StoreNews(entries), _FACTORY), COMPRESSION_LEVEL)


def decode_news(answer: RelayAnswer, store: str) -> Listing | Changes:
    """Returns the news of an answer; raises ValueError for another deployment's."""
    if answer.store != store:
        raise ValueError(f"store {answer.store!r} is another deployment's")
    entries: list[StoreEntry] = []
    if answer.news:
        content = zlib.decompressobj().decompress(_bytes(answer.news), MAX_NEWS_BYTES)
        entries = deserialize(StoreNews(), content, _FACTORY).entries
    events = tuple(
        (
            Removed(entry.key, entry.revision)
            if entry.removed
            else Item(entry.key, _bytes(entry.value), entry.revision)
        )
        for entry in entries
    )
    if answer.complete:
        items = tuple(event for event in events if isinstance(event, Item))
        return Listing(items, answer.as_of)
    return Changes(events, answer.as_of)


def _bytes(value: bytes | str) -> bytes:
    """Returns a value as bytes; the codec gives text for bytes that are valid UTF-8."""
    return value.encode() if isinstance(value, str) else value
