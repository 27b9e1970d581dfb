"""Tests of the adapters to the store and the list of VMs."""

import asyncio
import json
import unittest
from typing import Any

from lycheepin.generated.settings import Address
from lycheepin.sources.store import (
    Conflict,
    HttpStore,
    Missing,
    StoreValue,
    Unavailable,
    Unchanged,
    Written,
)
from lycheepin.sources.vms import decode_vm_list
from lycheepin.transport.calls import HttpClient
from standins.layouts import LAYOUTS, vm_list

HOST = "127.77.0.3"


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, raw: bytes) -> HttpStore:
        """Returns an adapter to a server that answers each connection with `raw` and closes it."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(raw)
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        self.addCleanup(server.close)
        return HttpStore(HttpClient(HOST), Address(HOST, server.sockets[0].getsockname()[1]))

    async def test_statuses_give_values_and_conflicts(self) -> None:
        empty = b"content-length: 0\r\n"
        cases = (
            (b"HTTP/1.1 200 OK\r\nx-revision: 7\r\n" + empty, StoreValue(b"", 7), Written(7)),
            (b"HTTP/1.1 404 X\r\n" + empty, Missing(), None),
            (b"HTTP/1.1 409 X\r\n" + empty, None, Conflict()),
        )
        for head, read, written in cases:
            store = await self.serve(head + b"\r\n")
            if read is not None:
                self.assertEqual(await store.get("k"), read)
            if written is not None:
                self.assertEqual(await store.compare_and_swap("k", 1, b""), written)

    async def test_write_without_a_valid_answer_may_have_taken_effect(self) -> None:
        for raw in (
            b"",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut",
            b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n",
            b"nonsense\r\n\r\n",
        ):
            store = await self.serve(raw)
            outcome = await store.compare_and_swap("k", 1, b"v")
            assert isinstance(outcome, Unavailable), raw
            self.assertTrue(outcome.sent)

    async def test_write_without_a_connection_has_taken_no_effect(self) -> None:
        store = HttpStore(HttpClient(HOST), Address(HOST, 1))
        outcome = await store.compare_and_swap("k", 1, b"v")
        assert isinstance(outcome, Unavailable)
        self.assertFalse(outcome.sent)

    async def test_watch_without_a_change_is_unchanged(self) -> None:
        store = await self.serve(b"HTTP/1.1 304 X\r\n\r\n")
        self.assertEqual(await store.watch("k", 3, 0.1), Unchanged())


class VmListTest(unittest.TestCase):
    def test_malformed_lists_raise_value_error(self) -> None:
        nested = b"[" * 100_000
        for content in (
            b"",
            b"[]",
            b"{}",
            nested,
            b'{"revision": -1, "endpoints": [], "entries": []}',
            b'{"revision": 1, "endpoints": {}, "entries": []}',
            b'{"revision": 1, "endpoints": [' + nested,
        ):
            with self.assertRaises(ValueError):
                decode_vm_list(content)

    # Guards against one VM that can't be read stopping the daemon from following the list.
    def test_malformed_vm_is_left_out_and_the_others_hold(self) -> None:
        document = vm_list(LAYOUTS["prairie"])
        endpoint, entry = document["endpoints"][0], document["entries"][0]
        odd: list[Any] = [{}, None, 7, [], "x", [[[]]]]
        for good in (endpoint, entry):
            odd += [good | {"port": port} for port in (0, -1, 65_536, 10**400, "80", 1.5, True)]
            odd += [good | {"address": a} for a in (7, "", "bad..name", "10.0.0.1\0", "x" * 999)]
            odd += [good | {"zone": zone} for zone in ([], None, 7, "")]
            odd += [good | {"name": name} for name in ("", "no-fleet", "/", 7, "\ud800/x")]
            odd += [good | {"state": "odd"}]
        odd += [endpoint | {"slots": slots} for slots in (0, -1, 10**400, 2.5, "4")]
        deep = "@"
        odd.append(deep)
        for group in ("endpoints", "entries"):
            for vm in odd:
                with self.subTest(group=group, vm=repr(vm)[:60]):
                    changed = document | {group: [vm, *document[group]]}
                    content = json.dumps(changed).encode()
                    nested = b"[" * 5000 + b"]" * 5000
                    decoded = decode_vm_list(content.replace(b'"@"', nested))
                    vms = decoded.endpoints if group == "endpoints" else decoded.entries
                    is_entry_vm = (
                        group == "entries" and vm in odd[-6:-1]
                    )  # slots are not read there
                    self.assertEqual(len(vms), len(document[group]) + is_entry_vm)
                    self.assertEqual(len(decoded.unreadable), 1 - is_entry_vm)
