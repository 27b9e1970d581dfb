"""What callers of the project's own interface get if an answer is reset, or is none."""

from __future__ import annotations

import asyncio
import unittest

from standins.http_client import Answer, FetchFailure
from standins.servers import Peer
from tests.daemon.test_requests import LONG_BODY, DaemonFixture, ScriptedReply, build_reply
from tests.transport.test_broken_answers import ENDS, OPEN_ENDED, PAUSE_S, START_LINES, end_and_read


def build_end(end: Peer) -> ScriptedReply:
    """Returns a reply to an upload that goes on: a part of an answer, which ends so."""

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        await reader.readexactly(1000)
        await asyncio.sleep(PAUSE_S)
        writer.write(OPEN_ENDED + b"a part")
        await writer.drain()
        await end(reader, writer)
        writer.close()

    return reply


class BrokenAnswers(unittest.IsolatedAsyncioTestCase):
    async def _upload(self, end: Peer) -> Answer | FetchFailure:
        """Returns the answer to an upload that is answered early with a part that ends so."""
        async with DaemonFixture([build_end(end)]) as fixture:
            answer = await fixture.send_request(
                "POST", "/o/1", LONG_BODY, lycheepin_request_id=fixture.new_id("u")
            )
            self.assertEqual(len(fixture.requests), 1)
            return answer

    # Guards against the part of an answer before a reset reaching the caller as the whole one.
    async def test_part_before_a_reset_within_an_upload_is_no_answer(self) -> None:
        for end in ENDS:
            with self.subTest(end.__name__):
                answer = await self._upload(end)
                if isinstance(answer, Answer):
                    self.assertEqual(answer.headers["lycheepin-outcome"], "OUTCOME_UNKNOWN")

    async def test_answer_of_an_endpoint_that_reads_on_is_sent_on(self) -> None:
        answer = await self._upload(end_and_read)
        assert isinstance(answer, Answer), answer
        self.assertEqual((answer.status, answer.body), (200, b"a part"))

    # Guards against a request being answered with what is no answer: a status of 000 was.
    async def test_start_line_of_no_answer_leaves_the_outcome_unknown(self) -> None:
        for line in START_LINES:
            reply = build_reply(line + b"\r\ncontent-length: 2\r\n\r\nok")
            with self.subTest(line[:60]):
                async with DaemonFixture([reply]) as fixture:
                    answer = await fixture.send_request(
                        "POST", "/o/1", lycheepin_request_id=fixture.new_id("s")
                    )
                    assert isinstance(answer, Answer), answer
                    self.assertEqual(answer.status, 502)
                    self.assertEqual(answer.headers["lycheepin-outcome"], "OUTCOME_UNKNOWN")
                    self.assertEqual(len(fixture.requests), 1)
