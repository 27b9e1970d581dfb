"""What callers get of the answers of endpoints: whole ones, and only their own."""

import asyncio
from unittest.mock import patch

from lycheepin.steering import fleet
from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, configuration, read_answer, request

# Time in seconds for which an endpoint may be silent in a test.
LIMIT_S = 0.3


class Answers(DeploymentCase):
    async def test_request_and_answer_are_forwarded_unchanged(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received, 201, b"x" * 5000, Server_Load="1,0,4")

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = request("/order/9?q=1", "POST", "r7", b"body", Connection="x-own", x_own="1")
        status, headers, body = await self.send_request(gateway, content)
        self.assertEqual((status, body), (201, b"x" * 5000))
        self.assertEqual(headers["request-id"], "r7")
        self.assertEqual(headers["response-signature"], "sig-r7")
        received = endpoint.received_requests[0]
        self.assertEqual((received.method, received.target), ("POST", "/order/9?q=1"))
        self.assertEqual(received.body, b"body")
        self.assertEqual(received.headers["target-instance"], "a")
        self.assertNotIn("x-own", received.headers)
        self.assertLessEqual(int(received.headers["deadline-ms"]), 1500)

    async def test_chunked_body_is_forwarded_completely(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        head = request("/order/1", "PUT").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        status, _, _ = await self.send_request(gateway, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(status, 200)
        self.assertEqual(endpoint.received_requests[0].body, b"abcde")

    async def test_body_larger_than_the_buffer_is_forwarded_completely(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        body = bytes(range(256)) * 8192
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST", "r1", body))
        self.assertEqual(status, 200)
        self.assertEqual(endpoint.received_requests[0].body, body)

    async def test_answer_without_length_ends_when_its_connection_closes(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            identifier = received.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\nResponse-Signature: s\r\n\r\n"
            received.writer.write(head.encode() + b"all of it")
            await received.writer.drain()
            received.writer.write_eof()
            await asyncio.sleep(5)
            return b""

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, body = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual((status, body), (200, b"all of it"))

    async def _end_within_answer(self, body: bytes) -> tuple[int, dict[str, str], bytes]:
        """Returns the answer of an endpoint that ends after a part of one without a length."""

        async def script(received: ReceivedRequest) -> bytes:
            identifier = received.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\nResponse-Signature: s\r\n\r\n"
            endpoint.stop_listening()
            received.writer.write(head.encode() + body)
            await received.writer.drain()
            received.writer.write_eof()
            await asyncio.sleep(5)
            return b""

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        return await self.send_request(gateway, request("/order/1", "POST"))

    async def test_answer_without_length_of_an_endpoint_that_ended_is_taken_for_whole(self) -> None:
        status, headers, _ = await self._end_within_answer(b"only a part")
        self.assertEqual(status, 502)
        self.assertNotIn("response-signature", headers)

    async def test_large_answer_without_length_of_an_endpoint_that_ended_is_ended(self) -> None:
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self._end_within_answer(b"x" * 2_000_000)

    async def test_caller_sees_that_a_large_answer_is_truncated(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            answer = build_answer(received, 200, b"x" * 3_000_000)
            received.writer.write(answer[:2_000_000])
            await received.writer.drain()
            return b""

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.send_request(gateway, request("/order/1", "POST"))

    # Guards against sockets that stay counted, so that later requests wait for them in vain.
    async def test_large_failure_that_is_tried_again_keeps_no_connection(self) -> None:
        async def fail(received: ReceivedRequest) -> bytes:
            return build_answer(received, 500, bytes(3_000_000))

        endpoints = [await self.add_endpoint(name, fail) for name in "ab"]
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.assertEqual((await self.send_request(gateway, request()))[0], 500)
        self.assertEqual([len(endpoint.received_requests) for endpoint in endpoints], [1, 1])
        pool = gateway._pool
        await self.wait_until(lambda: pool.open_count == pool.idle_count)

    async def test_malformed_or_unsigned_answer_is_answered_502(self) -> None:
        for content in (b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"):
            with self.subTest(content):

                async def script(received: ReceivedRequest, content: bytes = content) -> bytes:
                    return content

                endpoint = await self.add_endpoint("a", script, born=len(self.endpoints))
                gateway = await self.add_gateway()
                await self.wait_until_ready(gateway)
                status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
                self.assertEqual(status, 502)
                self.assertNotIn("response-signature", headers)
                self.assertEqual(len(endpoint.received_requests), 1)

    async def test_late_answer_with_the_id_of_an_earlier_request_is_skipped(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            if received.number == 0:
                return build_answer(received)
            stale = build_answer(received).replace(b"r2", b"r1")
            return stale + build_answer(received, 200, b"mine")

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self.send_request(gateway, request("/order/1", "POST", "r1"))
        status, headers, body = await self.send_request(gateway, request("/order/1", "POST", "r2"))
        self.assertEqual((status, headers["request-id"], body), (200, "r2", b"mine"))

    async def test_unrequested_answer_is_not_forwarded_to_the_next_caller(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received) + build_answer(received, 200, b"extra")

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(3):
            identifier = f"r{number}"
            answer = await self.send_request(gateway, request("/order/1", "POST", identifier))
            self.assertEqual(
                (answer[0], answer[1]["request-id"], answer[2]), (200, identifier, b"ok")
            )
        self.assertEqual(endpoint.accepted_connections, 3)

    async def test_refusal_is_written_again_before_the_answer_to_the_next_request(self) -> None:
        runs: list[str] = []
        refused_on: list[asyncio.StreamWriter] = []

        async def script(received: ReceivedRequest) -> bytes:
            refusal = build_answer(
                received,
                503,
                Request_Id="",
                Response_Signature="",
                Not_Executed="1",
                Server_Load="0,0,4",
            )
            if received.number == 0:
                refused_on.append(received.writer)
                return refusal
            runs.append(received.headers["request-id"])
            again = refusal if received.writer in refused_on else b""
            return again + build_answer(received, 200, b"mine")

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.assertEqual(
            (await self.send_request(gateway, request("/order/1", "POST", "r1")))[0], 503
        )
        status, _, body = await self.send_request(gateway, request("/order/1", "POST", "r2"))
        self.assertEqual((status, body, runs), (200, b"mine", ["r2"]))

    # Guards against an extra answer without an id being believed: a payment ran twice (review/1).
    async def test_extra_refusal_without_an_id_is_not_taken_for_the_next_answer(self) -> None:
        for follows in (True, False):
            with self.subTest(true_answer_follows=follows):
                await self.start_anew()
                await self._send_after_extra_refusal(follows)

    async def _send_after_extra_refusal(self, follows: bool) -> None:
        """Checks what callers get if the second answer on a connection is an extra refusal."""
        runs: list[str] = []

        async def script(received: ReceivedRequest) -> bytes:
            runs.append(received.headers["request-id"])
            answer = build_answer(received, 200, b"mine")
            if len(runs) == 1:
                return answer
            extra = build_answer(
                received, 503, Request_Id="", Response_Signature="", Not_Executed="1"
            )
            received.writer.write(extra)
            if not follows:
                await asyncio.Event().wait()
            return answer

        for name in ("a", "b"):
            await self.add_endpoint(name, script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number, status in ((1, 200), (2, 200 if follows else 502)):
            content = request("/order/1", "POST", f"r{number}")
            answer = await self.send_request(gateway, content)
            self.assertEqual(answer[0], status)
        self.assertEqual(runs, ["r1", "r2"])

    # Guards against cutting the right answer by the time that is granted after an extra one.
    async def test_long_answer_after_an_extra_refusal_has_time_to_its_deadline(self) -> None:
        body = bytes(3_000_000)
        extra_sent = asyncio.Event()

        async def script(received: ReceivedRequest) -> bytes:
            if received.number == 0:
                return build_answer(received)
            received.writer.write(build_answer(received, 503, Request_Id="", Not_Executed="1"))
            answer = build_answer(received, 200, body)
            received.writer.write(answer[:1000])
            extra_sent.set()
            await asyncio.sleep(LIMIT_S * 3)
            return answer[1000:]

        self.store.put("op/config", configuration(timeoutMs=15_000))
        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        with (
            patch.object(fleet, "MIN_UNRESPONSIVE_S", LIMIT_S),
            patch.object(fleet, "UNRESPONSIVE_FACTOR", 0.0),
        ):
            await self.send_request(gateway, request("/order/1", "POST", "r1"))
            content = request("/order/1", "POST", "r2", Deadline_Ms="15000")
            status, _, received = await self.send_request(gateway, content)
        self.assertTrue(extra_sent.is_set())
        self.assertEqual((status, len(received)), (200, len(body)))

    # Guards against taking the answers of an endpoint that names no ids for extra ones.
    async def test_endpoint_that_never_names_ids_is_answered_for_at_once(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received, Request_Id="")

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(3):
            status, _, _ = await self.send_request(gateway, request(identifier=f"r{number}"))
            self.assertEqual(status, 200)
        self.assertEqual(endpoint.accepted_connections, 3)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(b"".join(request("/read/1", "GET", f"r{n}") for n in range(3)))
        for number in range(3):
            _, headers, _ = await read_answer(reader)
            self.assertEqual(headers["request-id"], f"r{number}")
        writer.close()
