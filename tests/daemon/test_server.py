"""Tests of the HTTP server: operator key, look-ups, and framing of arbitrary bytes."""

import asyncio
import json
import random
import unittest
from dataclasses import replace

from standins.http_client import Answer, fetch
from tests.daemon.test_requests import HOST, OK, System

PATHS = ("status", "events", "config", "explain?fleet=f&service=s&caller=127.0.0.1")
SEED = 9
PIECES = (
    b"GET ", b"POST ", b"/o/1", b"/b/1", b" HTTP/1.1\r\n", b" HTTP/9\r\n", b"Host: x\r\n",
    b"Content-Length: 5\r\n", b"Content-Length: -1\r\n", b"Content-Length: 5, 6\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked, identity\r\n",
    b" folded: 1\r\n", b"Bad Name: 1\r\n", b"\x00", b"\r\n", b"\n", b"0\r\n\r\n",
    b"5\r\nhello\r\n", b"fffffffffffffffff\r\n", b"Expect: 100-continue\r\n",
)  # fmt: skip


class OperatorKeyTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, system: System, path: str, *headers: tuple[str, str]) -> Answer:
        answer = await fetch(
            HOST, HOST, system.port, "GET", f"/_lycheepin/{path}", list(headers), timeout_s=30.0
        )
        assert isinstance(answer, Answer)
        return answer

    async def test_calls_need_the_key_when_there_is_one(self) -> None:
        async with System([OK]) as system:
            system.node.settings = replace(system.node.settings, operator_key="secret")
            for path in PATHS:
                self.assertEqual((await self.ask(system, path)).status, 403, path)
                wrong = await self.ask(system, path, ("lycheepin-operator-key", "guess"))
                self.assertEqual(wrong.status, 403, path)
                right = await self.ask(system, path, ("lycheepin-operator-key", "secret"))
                self.assertEqual(right.status, 200, path)

    async def test_without_a_key_only_loopback_is_served(self) -> None:
        async with System([OK]) as system:
            self.assertEqual((await self.ask(system, "status")).status, 200)
            system.node.settings = replace(system.node.settings, address="192.0.2.1")
            self.assertEqual((await self.ask(system, "status")).status, 403)

    async def test_peers_documents_need_the_peers_token(self) -> None:
        async with System([OK]) as system:
            for path in ("peer/document?name=config", "peer/members", "peer/number"):
                self.assertEqual((await self.ask(system, path)).status, 403)

    async def test_bad_queries_are_answers(self) -> None:
        async with System([OK]) as system:
            for path, status in (
                ("lookup", 404),
                ("lookup?fleet=f&service=s&caller=nonsense", 400),
                ("events?since=x", 400),
                ("config/coverage?number=x", 400),
            ):
                self.assertEqual((await self.ask(system, path)).status, status, path)

    async def test_refused_configuration_changes_nothing(self) -> None:
        async with System([OK]) as system:
            before = system.node.view
            for body in (b"", b"[]", b"{}", json.dumps({"change_id": "x"}).encode()):
                answer = await fetch(
                    HOST, HOST, system.port, "POST", "/_lycheepin/config", [], body, 30.0
                )
                assert isinstance(answer, Answer)
                self.assertEqual(answer.status, 400)
            self.assertIs(system.node.view, before)

    async def test_lookup_names_an_id_for_each_entry(self) -> None:
        async with System([OK]) as system:
            answer = await self.ask(system, "lookup?fleet=f&service=s")
            (entry,) = json.loads(answer.body)["entries"]
            self.assertTrue(entry["request_id"].startswith(f"{HOST}_5_"))


class FramingTest(unittest.IsolatedAsyncioTestCase):
    async def test_arbitrary_bytes_never_reach_an_endpoint_half_understood(self) -> None:
        source = random.Random(SEED)
        async with System([OK]) as system:
            for _ in range(120):
                pieces = [source.choice(PIECES) for _ in range(source.randrange(1, 12))]
                reader, writer = await asyncio.open_connection(HOST, system.port)
                writer.write(b"".join(pieces) + b"\r\n\r\n")
                writer.write_eof()
                async with asyncio.timeout(30):
                    answer = await reader.read()
                writer.close()
                if answer:
                    self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer[:60])
            self.assertEqual(system.requests, [])
            whole = await system.ask()
            self.assertIsInstance(whole, Answer)
            self.assertEqual(system.node.in_flight, 0)
