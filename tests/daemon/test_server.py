"""Tests of the HTTP server: operator key, look-ups and framing of random bytes."""

import asyncio
import json
import random
import unittest
from dataclasses import replace

from standins.http_client import Answer, fetch
from tests.daemon.test_requests import HOST, OK_ANSWER, DaemonFixture

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
    async def call_api(
        self, fixture: DaemonFixture, path: str, *headers: tuple[str, str]
    ) -> Answer:
        answer = await fetch(
            HOST, HOST, fixture.port, "GET", f"/_lycheepin/{path}", list(headers), timeout_s=30.0
        )
        assert isinstance(answer, Answer)
        return answer

    async def test_calls_require_the_operator_key_when_configured(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            fixture.node.settings = replace(fixture.node.settings, operator_key="secret")
            for path in PATHS:
                self.assertEqual((await self.call_api(fixture, path)).status, 403, path)
                wrong_key = await self.call_api(fixture, path, ("lycheepin-operator-key", "guess"))
                self.assertEqual(wrong_key.status, 403, path)
                right_key = await self.call_api(fixture, path, ("lycheepin-operator-key", "secret"))
                self.assertEqual(right_key.status, 200, path)

    async def test_calls_without_a_configured_key_require_a_loopback_address(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            self.assertEqual((await self.call_api(fixture, "status")).status, 200)
            fixture.node.settings = replace(fixture.node.settings, address="192.0.2.1")
            self.assertEqual((await self.call_api(fixture, "status")).status, 403)

    async def test_peer_routes_require_the_peer_token(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for path in ("peer/document?name=config", "peer/members", "peer/number"):
                self.assertEqual((await self.call_api(fixture, path)).status, 403)

    async def test_invalid_queries_get_an_error_status(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for path, status in (
                ("lookup", 404),
                ("lookup?fleet=f&service=s&caller=nonsense", 400),
                ("events?since=x", 400),
                ("config/coverage?number=x", 400),
            ):
                self.assertEqual((await self.call_api(fixture, path)).status, status, path)

    async def test_refused_configuration_keeps_the_one_in_force(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            before = fixture.node.view
            for body in (b"", b"[]", b"{}", json.dumps({"change_id": "x"}).encode()):
                answer = await fetch(
                    HOST, HOST, fixture.port, "POST", "/_lycheepin/config", [], body, 30.0
                )
                assert isinstance(answer, Answer)
                self.assertEqual(answer.status, 400)
            self.assertIs(fixture.node.view, before)

    async def test_lookup_returns_a_request_id_for_each_entry(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            answer = await self.call_api(fixture, "lookup?fleet=f&service=s")
            (entry,) = json.loads(answer.body)["entries"]
            self.assertTrue(entry["request_id"].startswith(f"{HOST}_5_"))


class FramingTest(unittest.IsolatedAsyncioTestCase):
    async def test_random_bytes_are_never_forwarded_to_an_endpoint(self) -> None:
        generator = random.Random(SEED)
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for _ in range(120):
                pieces = [generator.choice(PIECES) for _ in range(generator.randrange(1, 12))]
                reader, writer = await asyncio.open_connection(HOST, fixture.port)
                writer.write(b"".join(pieces) + b"\r\n\r\n")
                writer.write_eof()
                async with asyncio.timeout(30):
                    answer = await reader.read()
                writer.close()
                if answer:
                    self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer[:60])
            self.assertEqual(fixture.requests, [])
            complete = await fixture.send_request()
            self.assertIsInstance(complete, Answer)
            self.assertEqual(fixture.node.in_flight, 0)
