"""Replication of the store between daemons: a long poll that is answered in Thrift."""

from __future__ import annotations

import asyncio
import zlib
from urllib.parse import parse_qs

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Listing, Position, Removed
from lycheepin.generated.messages import RelayAnswer, StoreEntry, StoreNews
from lycheepin.transport.calls import CallAnswer, CallFailure, HttpClient
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["RELAY_PATH", "Relay", "PeerUpdates", "poll_peer", "decode_updates", "encode_updates"]

# Path of the polls. Other builds use /relay and /relay/positions, with positions of one number.
RELAY_PATH = "/relay/revisions"
# Longest wait of a follower's call, in seconds; a frozen peer is noticed after this time.
MAX_WAIT_S = 5.0
# Time in seconds that an answer may take in addition to its wait.
ANSWER_GRACE_S = 0.6
# Age in milliseconds that stands for an unknown age; the largest value of the message field.
UNKNOWN_AGE_MS = 2**31 - 1
# zlib level; compresses a configuration of 300 KB to a tenth in about 3 ms.
COMPRESSION_LEVEL = 1
# Limit of the decompressed size; a listing of the largest deployment is far smaller.
MAX_UPDATES_BYTES = 64 * 1024 * 1024
MS_PER_S = 1000

_PROTOCOL_FACTORY = TCyBinaryProtocolFactory()


class PeerUpdates:
    """Updates from a peer, and the age of its replica in seconds."""

    def __init__(self, updates: Listing | Changes, age_s: float) -> None:
        self.updates = updates
        self.age_s = age_s


class Relay:
    """Answers the polls of a daemon's followers.

    The last encoded updates are kept, since followers at the same position get the same ones.
    """

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica
        self._encoded_positions: tuple[Position, Position] | None = None
        self._encoded = b""

    async def answer_follower(self, request: IncomingRequest, store: SocketAddress) -> None:
        """Answers a follower with the updates after its position, once there are any."""
        loop = asyncio.get_running_loop()
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        try:
            era, revision, wait_ms = (
                int((query.get(name) or ["0"])[0]) for name in ("era", "after", "wait_ms")
            )
        except ValueError:
            request.respond(400, [], b"era, after and wait_ms must be whole numbers")
            return
        after = Position(era, revision)
        started_s = loop.time()
        await self._replica.wait_for_updates(after, min(MAX_WAIT_S, wait_ms / MS_PER_S))
        updates = self._replica.read_updates(after)
        if updates is None:
            request.respond(503, [], b"")
            return
        now_s = loop.time()
        answer = RelayAnswer(
            store=str(store),
            era=updates.as_of.era,
            revision=updates.as_of.revision,
            age_ms=int(min(UNKNOWN_AGE_MS, self._replica.age_s(now_s) * MS_PER_S)),
            complete=isinstance(updates, Listing),
            waited_ms=int((now_s - started_s) * MS_PER_S),
            news=self._encode_cached(updates, after),
        )
        request.respond(200, [], serialize(answer, _PROTOCOL_FACTORY))

    def _encode_cached(self, updates: Listing | Changes, after: Position) -> bytes:
        """Returns encoded updates; reuses the last ones if they are for the same positions."""
        positions = (after, updates.as_of)
        if self._encoded_positions != positions:
            self._encoded = encode_updates(updates)
            self._encoded_positions = positions
        return self._encoded


async def poll_peer(
    http_client: HttpClient,
    peer: SocketAddress,
    store: SocketAddress,
    after: Position,
    wait_s: float,
) -> PeerUpdates | str:
    """Returns a peer's updates after a position, or the reason why there are none.

    The transfer time counts as age, since a congested link delays updates.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    target = f"{RELAY_PATH}?era={after.era}&after={after.revision}"
    target += f"&wait_ms={int(wait_s * MS_PER_S)}"
    answer = await http_client.call(
        peer.host, peer.port, "GET", target, timeout_s=wait_s + ANSWER_GRACE_S
    )
    match answer:
        case CallFailure(reason=reason):
            return reason
        case CallAnswer() if answer.header(b"content-length") is None:
            # The codec takes a message that breaks off between two fields for a whole one.
            return "answer without a length"
        case CallAnswer(status=200, body=body):
            try:
                message = deserialize(RelayAnswer(), body, _PROTOCOL_FACTORY)
                updates = decode_updates(message, str(store))
            except Exception as error:  # a damaged length makes the codec raise any error
                return f"answer: {error!r}"
            transfer_s = loop.time() - started_s - message.waited_ms / MS_PER_S
            return PeerUpdates(updates, message.age_ms / MS_PER_S + max(0.0, transfer_s))
        case CallAnswer(status=status):
            return f"status {status}"
    raise AssertionError(answer)


def encode_updates(updates: Listing | Changes) -> bytes:
    """Returns updates as compressed Thrift; empty if nothing has changed."""
    match updates:
        case Listing(items=items):
            events: tuple[Item | Removed, ...] = items
        case Changes(events=events):
            pass
    if not events:
        return b""
    entries = [
        (
            StoreEntry(event.key, event.value, event.position.revision, False)
            if isinstance(event, Item)
            else StoreEntry(event.key, b"", event.position.revision, True)
        )
        for event in events
    ]
    return zlib.compress(serialize(StoreNews(entries), _PROTOCOL_FACTORY), COMPRESSION_LEVEL)


def decode_updates(answer: RelayAnswer, store: str) -> Listing | Changes:
    """Returns the updates of an answer.

    Raises ValueError for one of another deployment and for updates that are not whole.
    """
    if answer.store != store:
        raise ValueError(f"store {answer.store!r} belongs to another deployment")
    as_of = Position(answer.era, answer.revision)
    entries: list[StoreEntry] = []
    if answer.news:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(_to_bytes(answer.news), MAX_UPDATES_BYTES)
        if not decompressor.eof:
            raise ValueError(f"updates truncated or larger than {MAX_UPDATES_BYTES} bytes")
        entries = deserialize(StoreNews(), content, _PROTOCOL_FACTORY).entries
    events = tuple(
        (
            Removed(entry.key, Position(answer.era, entry.revision))
            if entry.removed
            else Item(entry.key, _to_bytes(entry.value), Position(answer.era, entry.revision))
        )
        for entry in entries
    )
    if answer.complete:
        items = tuple(event for event in events if isinstance(event, Item))
        return Listing(items, as_of)
    return Changes(events, as_of)


def _to_bytes(value: bytes | str) -> bytes:
    """Returns a value as bytes; the codec gives text for bytes that are valid UTF-8."""
    return value.encode() if isinstance(value, str) else value
