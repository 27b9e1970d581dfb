"""What callers get while memory is short: true refusals, and answers that are whole or broken."""

import asyncio

from standins.servers import ReceivedRequest, build_answer, reset_connection
from tests.gateway.deployment import TIMEOUT_S, DeploymentCase, request

# Memory of a machine on which a body and an answer of this size are too much.
MEMORY_MB, SIZE = 2, 600_000


class ShortMemory(DeploymentCase):
    async def test_body_that_is_too_much_is_refused_and_its_request_is_not_sent(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway(memory_mb=MEMORY_MB)
        await self.wait_until_ready(gateway)
        whole = request("/order/1", "POST", "r1", b"x" * SIZE)
        status, headers, _ = await self.send_request(gateway, whole[:-1])
        self.assertEqual((status, headers["request-id"]), (503, "r1"))
        self.assertIn("retry-after", headers)
        self.assertEqual(endpoint.received_requests, [])
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_large_answer_is_whole_or_shorter_than_its_length(self) -> None:
        may_end = asyncio.Event()

        async def script(received: ReceivedRequest) -> bytes:
            content = build_answer(received, body=b"x" * SIZE)
            received.writer.write(content[:-1])
            await may_end.wait()
            if received.target == "/read/whole":
                return content[-1:]
            reset_connection(received.writer)
            return b""

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway(memory_mb=MEMORY_MB)
        await self.wait_until_ready(gateway)
        for path, size in (("/read/whole", SIZE), ("/read/broken", SIZE - 1)):
            with self.subTest(path):
                may_end.clear()
                front = gateway.settings.front
                reader, writer = await asyncio.open_connection(front.host, front.port)
                writer.write(request(path))
                async with asyncio.timeout(TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertIn(b"content-length: %d\r\n" % SIZE, head.lower())
                    body = await reader.readexactly(SIZE // 2)
                    may_end.set()
                    try:
                        body += await reader.readexactly(SIZE - len(body))
                    except (asyncio.IncompleteReadError, ConnectionError):
                        body = body[:size]
                self.assertEqual(len(body) == SIZE, path == "/read/whole")
                writer.close()
