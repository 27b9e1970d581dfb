"""Calls to the store and to peers whose answer is none, or breaks off."""

from __future__ import annotations

import asyncio
import unittest

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from lycheepin.gateway.relay import PeerUpdates, encode_updates, poll_peer
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.storage import Changes, Item, Lease, Position, StoreFailure
from lycheepin.generated.messages import RelayAnswer
from lycheepin.names import Address
from lycheepin.platform.metadata import MetadataStore
from lycheepin.transport.calls import HttpClient

HOST = Address("127.0.0.1")
OPEN_ENDED = b"HTTP/1.1 200 OK\r\n\r\n"
LISTING = b'{"items":[],"asOf":7,"hasMore":false,"events":[],"lease":1,"ttlMs":5000,"revision":7}'
STATUSES = (b"000", b"099", b"600", b"999", b"101")


class BrokenCalls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.content = b""
        self.server = await asyncio.start_server(self._answer, HOST, 0)
        self.addCleanup(self.server.close)
        self.address = SocketAddress(HOST, self.server.sockets[0].getsockname()[1])
        self.client = HttpClient(HOST)
        self.addCleanup(self.client.close)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers a call with the bytes that the test has set, and closes the connection."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.content)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the client has left
        finally:
            writer.close()

    async def _call_store(self) -> list[object]:
        """Returns the results of all kinds of calls to the store."""
        store = MetadataStore(self.client, self.address)
        lease = Lease(1, 5.0, 0)
        return [
            await store.list_items("op/"),
            await store.watch("op/", Position(0, 1), 0.1),
            await store.grant_lease(5.0),
            await store.renew_lease(lease),
            await store.put({"k/a": b""}, lease),
            await store.end_lease(lease),
        ]

    # Guards against a write or a lease being taken for granted by what is no answer.
    async def test_call_to_the_store_without_an_answer_fails(self) -> None:
        for status in STATUSES:
            head = b"HTTP/1.1 %b OK\r\nContent-Length: %d\r\n\r\n" % (status, len(LISTING))
            self.content = head + LISTING
            for result in await self._call_store():
                with self.subTest(status):
                    self.assertIsInstance(result, StoreFailure)
                    assert isinstance(result, StoreFailure)
                    self.assertIn("no answer", result.reason)

    async def test_listing_that_breaks_off_is_a_failure(self) -> None:
        for size in range(len(LISTING)):
            self.content = OPEN_ENDED + LISTING[:size]
            store = MetadataStore(self.client, self.address)
            self.assertIsInstance(await store.list_items("op/"), StoreFailure)

    async def _poll(self) -> PeerUpdates | str:
        """Returns what a poll of a peer gives."""
        return await poll_peer(self.client, self.address, self.address, Position(0, 1), 0.1)

    async def test_updates_of_a_peer_that_break_off_are_not_used(self) -> None:
        updates = Changes((Item("op/config", b"x" * 40, Position(0, 9)),), Position(0, 9))
        answer = RelayAnswer(str(self.address), 0, 9, 0, False, 0, encode_updates(updates))
        body = serialize(answer, TCyBinaryProtocolFactory())
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        for size in range(len(body)):
            for start in (OPEN_ENDED, head):
                self.content = start + body[:size]
                with self.subTest(start, size=size):
                    self.assertIsInstance(await self._poll(), str)
        self.content = head + body
        self.assertIsInstance(await self._poll(), PeerUpdates)
        for status in STATUSES:
            self.content = b"HTTP/1.1 %b OK\r\nContent-Length: 0\r\n\r\n" % status
            self.assertIn("no answer", str(await self._poll()))
