"""What callers get while memory or sockets are short: true refusals, whole or broken answers."""

import asyncio
from unittest.mock import patch

from standins.servers import ReceivedRequest, build_answer, reset_connection
from tests.gateway.deployment import TIMEOUT_S, DeploymentCase, configuration, request

# Memory of a machine on which a body and an answer of this size are too much.
MEMORY_MB, SIZE = 2, 600_000
# Descriptors of a machine, and callers of which not all can have sockets to endpoints.
MAX_FDS, CALLERS = 300, 46


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


class FewSockets(DeploymentCase):
    # Guards against requests waiting for sockets that are free, since nobody wakes them.
    @patch("lycheepin.gateway.attempt.SOCKET_WAIT_S", TIMEOUT_S)
    async def test_requests_that_wait_for_sockets_get_those_of_callers_that_left(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            await asyncio.Event().wait()
            return b""

        self.store.put("op/config", configuration(timeoutMs=60_000, targetLatencyMs=60_000))
        endpoint = await self.add_endpoint("a", script, slots=1000)
        gateway = await self.add_gateway(max_fds=MAX_FDS)
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        opened = [await asyncio.open_connection(front.host, front.port) for _ in range(CALLERS)]
        writers = [writer for _, writer in opened]
        await self.wait_until(lambda: gateway.holdings.connections == CALLERS)
        for number, writer in enumerate(writers):
            writer.write(request(identifier=f"r{number}", Deadline_Ms="60000"))
        await self.wait_until(lambda: gateway._caller_listener.in_flight == CALLERS)
        sockets = gateway.holdings.count_endpoint_sockets()
        self.assertLess(sockets, CALLERS)
        await self.wait_until(lambda: len(endpoint.received_requests) == sockets)
        sent = {received.headers["request-id"] for received in endpoint.received_requests}
        for number, writer in enumerate(writers):
            if f"r{number}" in sent:
                writer.close()
        await self.wait_until(lambda: len(endpoint.received_requests) == CALLERS)
        for writer in writers:
            writer.close()

    # Guards against a request that waits for a socket being answered after its time has passed.
    @patch("lycheepin.gateway.attempt.SOCKET_WAIT_S", 1000 * TIMEOUT_S)
    async def test_wait_for_a_socket_ends_with_the_time_of_the_request(self) -> None:
        gateway = await self.add_gateway(max_fds=MAX_FDS)
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        await self.wait_until(lambda: gateway.holdings.connections == 1)
        gateway._pool.open_count += MAX_FDS
        writer.write(request(Deadline_Ms="50"))
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIn(b" 503 ", await reader.readline())
        writer.close()
