"""Requests to the project's own interface whose form is odd but legal."""

from __future__ import annotations

import asyncio
import unittest
from asyncio import FIRST_COMPLETED

from lycheepin.steering.holdings import Holdings, Machine
from standins.messages import read_answer
from tests.daemon.test_requests import HOST, LONG_BODY, DaemonFixture, build_reply

TIMEOUT_S = 20.0
HEAD = b"POST /o/1 HTTP/1.1\r\nHost: x\r\nlycheepin-fleet: f\r\nlycheepin-service: s\r\n"


async def answer_with_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with the body of a request whose head ends with the size of its body."""
    body = await reader.readexactly(3)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n" + body)


class Framing(unittest.IsolatedAsyncioTestCase):
    async def _exchange(
        self, fixture: DaemonFixture, content: bytes, answers: int = 1
    ) -> list[tuple[int, dict[str, str], bytes]]:
        """Returns the answers to what is sent on one connection before anything is read."""
        reader, writer = await asyncio.open_connection(HOST, fixture.port)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                for start in range(0, len(content), 65_536):
                    writer.write(content[start : start + 65_536])
                    await writer.drain()
                return [await read_answer(reader) for _ in range(answers)]
        finally:
            writer.close()

    # Guards against a trailer being taken for a header of the request.
    async def test_trailers_change_no_header(self) -> None:
        reply = build_reply(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        async with DaemonFixture([reply]) as fixture:
            content = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
            (answer,) = await self._exchange(fixture, content + b"lycheepin-service: t\r\n\r\n")
            self.assertEqual(answer[0], 200)

    # Guards against a request running without its body.
    async def test_offer_to_upgrade_leaves_the_body_as_it_is(self) -> None:
        async with DaemonFixture([answer_with_body]) as fixture:
            offer = HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc"
            plain = HEAD + b"Content-Length: 3\r\n\r\nxyz"
            answers = await self._exchange(fixture, offer + plain, 2)
            self.assertEqual([body for _, _, body in answers], [b"abc", b"xyz"])

    # Guards against a refusal being lost in the reset of a connection with unread bytes.
    async def test_caller_that_sends_on_gets_the_refusal(self) -> None:
        async with DaemonFixture([answer_with_body]) as fixture:
            head = HEAD.replace(b"/o/1", b"/none") + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
            (answer,) = await self._exchange(fixture, head + LONG_BODY)
            self.assertEqual((answer[0], answer[1]["lycheepin-error"]), (404, "unknown_class"))

    # Guards against bodies that stop short of their end taking the memory of a process.
    async def test_body_is_refused_when_memory_is_short(self) -> None:
        async with DaemonFixture([answer_with_body]) as fixture:
            fixture._server._listener.holdings = Holdings(Machine.from_limits(1))
            body = HEAD + b"Content-Length: 60000\r\n\r\n" + bytes(59_999)
            opened = [await asyncio.open_connection(HOST, fixture.port) for _ in range(4)]
            for _, writer in opened:
                writer.write(body)
            answers = [asyncio.create_task(read_answer(reader)) for reader, _ in opened]
            done, _ = await asyncio.wait(answers, timeout=TIMEOUT_S, return_when=FIRST_COMPLETED)
            refusals = [task.result() for task in done]
            self.assertEqual({status for status, _, _ in refusals}, {503})
            self.assertEqual(refusals[0][1]["lycheepin-error"], "no_memory")
            self.assertEqual(fixture.requests, [])
            for task, (_, writer) in zip(answers, opened, strict=True):
                task.cancel()
                writer.close()

    # Guards against a caller sending a body that nobody needs.
    async def test_body_of_a_refused_request_is_not_asked_for(self) -> None:
        async with DaemonFixture([answer_with_body]) as fixture:
            head = (
                HEAD.replace(b"/o/1", b"/none") + b"Content-Length: 9\r\nExpect: 100-continue\r\n"
            )
            (answer,) = await self._exchange(fixture, head + b"\r\n")
            self.assertEqual((answer[0], answer[1]["connection"]), (404, "close"))

    # Guards against an endpoint's early answer waiting for a caller that has stopped sending.
    async def test_early_answer_reaches_a_caller_that_pauses(self) -> None:
        reply = build_reply(b"HTTP/1.1 507 Full\r\ncontent-length: 2\r\n\r\nno")
        async with DaemonFixture([reply]) as fixture:
            head = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
            (answer,) = await self._exchange(fixture, head + LONG_BODY[:200_000])
            self.assertEqual((answer[0], answer[2]), (507, b"no"))

    async def test_answer_to_head_without_a_length_has_no_body(self) -> None:
        reply = build_reply(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        async with DaemonFixture([reply]) as fixture:
            head = HEAD.replace(b"POST /o/1", b"HEAD /b/1") + b"\r\n"
            reader, writer = await asyncio.open_connection(HOST, fixture.port)
            writer.write(head + head.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            async with asyncio.timeout(TIMEOUT_S):
                answers = (await reader.read()).split(b"\r\n\r\n")
            self.assertEqual(len(answers), 3)
            for answer in answers[:2]:
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertEqual(answers[2], b"")
            writer.close()
