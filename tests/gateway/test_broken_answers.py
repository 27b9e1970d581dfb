"""What callers get if an endpoint's answer is reset, or if its bytes are no answer."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from lycheepin.gateway import process
from standins.messages import read_head
from standins.servers import Peer, ReceivedRequest, build_answer
from tests.gateway.deployment import HOST, DeploymentCase, configuration, request
from tests.transport.test_broken_answers import ENDS, START_LINES, end_and_read

# Size of a body that is streamed, and more than the buffers of the sockets take.
UPLOAD_BYTES = 4_000_000
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n"


class BrokenAnswers(DeploymentCase):
    async def _upload(self, end: Peer, part: bytes) -> tuple[int, dict[str, str], bytes]:
        """Returns what a caller gets whose upload is answered early with a part that ends so."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                start_line, _ = await read_head(reader)
                self.runs += start_line.startswith("POST /order/")
                writer.write(HEAD + part)
                await writer.drain()
                await end(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # the gateway has closed the connection, or the test has ended
            finally:
                writer.close()

        await self.start_anew()
        self.runs = 0
        server = await asyncio.start_server(serve, HOST, 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        await self.add_endpoint("a", address=address)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        try:
            content = request("/order/1", "POST", "r1", bytes(UPLOAD_BYTES), Deadline_Ms="60000")
            return await self.send_request(gateway, content)
        finally:
            server.close()

    # Guards against the part of an answer before a reset reaching the caller as the whole one.
    async def test_part_before_a_reset_within_an_upload_is_no_answer(self) -> None:
        for end in ENDS:
            with self.subTest(end.__name__):
                status, headers, body = await self._upload(end, b"a part")
                self.assertEqual(status, 502)
                self.assertNotIn("response-signature", headers)
                self.assertNotIn(b"a part", body)
                self.assertEqual(self.runs, 1)

    async def test_large_part_before_a_reset_is_cut_for_the_caller(self) -> None:
        for end in ENDS:
            with (
                self.subTest(end.__name__),
                self.assertRaises((asyncio.IncompleteReadError, ConnectionError)),
            ):
                status, _, _ = await self._upload(end, bytes(3_000_000))
                if status == 502:  # the reset came before the part had arrived
                    raise ConnectionError

    async def test_answer_of_an_endpoint_that_reads_on_is_sent_on(self) -> None:
        status, _, body = await self._upload(end_and_read, b"all of it")
        self.assertEqual((status, body), (200, b"all of it"))

    # Guards against a request being answered with what is no answer: a status of 000 was.
    async def test_start_line_of_no_answer_is_answered_502(self) -> None:
        for line in START_LINES:
            with self.subTest(line[:60]):
                await self.start_anew()

                async def script(received: ReceivedRequest, line: bytes = line) -> bytes:
                    answer = build_answer(received)
                    return line + answer[answer.index(b"\r\n") :]

                self.store.put("op/config", configuration(timeoutMs=15_000))
                endpoint = await self.add_endpoint("a", script)
                with patch.object(process, "CONNECT_TIMEOUT_S", 10.0):
                    gateway = await self.add_gateway()
                await self.wait_until_ready(gateway)
                for identifier in ("r1", "r2"):
                    content = request("/order/1", "POST", identifier, Deadline_Ms="15000")
                    status, headers, _ = await self.send_request(gateway, content)
                    self.assertEqual(status, 502)
                    self.assertNotIn("response-signature", headers)
                sent = [received.headers["request-id"] for received in endpoint.received_requests]
                self.assertEqual(sorted(set(sent)), sorted(sent))

    # Guards against a request that may be repeated being given up after a status that is none.
    async def test_repeatable_request_is_sent_again_after_no_answer(self) -> None:
        runs: list[str] = []

        async def script(received: ReceivedRequest) -> bytes:
            runs.append(received.headers["target-instance"])
            answer = build_answer(received)
            return answer.replace(b" 200 ", b" 000 ") if len(runs) == 1 else answer

        for name in ("a", "b"):
            await self.add_endpoint(name, script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, body = await self.send_request(gateway, request())
        self.assertEqual((status, body, sorted(runs)), (200, b"ok", ["a", "b"]))
