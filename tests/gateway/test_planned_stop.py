"""Requests that reach a daemon while it drains, before and after it stops listening."""

from __future__ import annotations

import asyncio

from lycheepin.gateway.process import Gateway
from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, configuration, read_answer, request
from tests.transport.slow_clients import Reader, open_client, read_answers

# Times in seconds after the start of a stop: shortly before and after the daemon stops listening.
LAST_CONNECTION_S = 2.7
LATE_S = 3.3


class PipelinedRequestDuringAStop(DeploymentCase):
    # Guards against the request behind an answer that closes its connection resetting it: the
    # client got a part of the answer (review/9).
    async def test_pipelined_request_cuts_no_answer_during_a_stop(self) -> None:
        size = 540_000

        async def script(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(0.2)
            return build_answer(received, body=b"x" * size)

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        loop = asyncio.get_running_loop()
        client = await open_client(gateway.settings.front.port, 32 * 1024)
        self.addCleanup(client.close)
        await loop.sock_sendall(client, request("/read/1", "GET", "r1"))
        await self.wait_until(lambda: self.endpoints[0].received_requests)
        gateway.stop()
        await self.wait_until(lambda: gateway.metrics.value("answers", "200"))
        await loop.sock_sendall(client, request("/read/2", "GET", "r2"))
        content = await read_answers(client, Reader(delay_s=0.3))
        head, _, body = content.partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(len(body), size)


class LateRequestIsPassedOnAndCutAtTheEndOfAStop(DeploymentCase):
    async def _start(self, answer_s: float) -> Gateway:
        """Starts a gateway and an endpoint that answers after `answer_s` seconds."""

        async def script(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(answer_s)
            return build_answer(received)

        await self.add_endpoint("a", script)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        return gateway

    async def _send_late(
        self, gateway: Gateway, content: bytes, first_bytes: int
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request whose last part arrives late in a stop; returns the answer."""
        front = gateway.settings.front
        await asyncio.sleep(LAST_CONNECTION_S)
        reader, writer = await asyncio.open_connection(front.host, front.port)
        try:
            writer.write(content[:first_bytes])
            await asyncio.sleep(LATE_S - LAST_CONNECTION_S)
            writer.write(content[first_bytes:])
            async with asyncio.timeout(20):
                return await read_answer(reader)
        finally:
            writer.close()

    async def test_requests_whose_end_arrives_late_are_refused_unsent(self) -> None:
        gateway = await self._start(answer_s=10.0)
        order = request("/order/1", "POST", "r1", b"x" * 100)
        read = request("/read/1", "GET", "r2")
        gateway.stop()
        answers = await asyncio.gather(
            self._send_late(gateway, order, len(order) - 50),
            self._send_late(gateway, order, 40),
            self._send_late(gateway, read, 40),
        )
        for status, headers, _ in answers:
            self.assertEqual((status, headers["connection"]), (503, "close"))
        self.assertEqual(self.endpoints[0].received_requests, [])

    async def test_request_that_can_be_answered_in_time_is_still_served(self) -> None:
        gateway = await self._start(answer_s=0.0)
        for number in range(30):
            await self.send_request(gateway, request("/read/1", "GET", f"w{number}"))
        gateway.stop()
        await self.wait_until(lambda: gateway.draining)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST", "early"))
        self.assertEqual(status, 200)
        late = request("/order/1", "POST", "late", Deadline_Ms="1000")
        status, _, _ = await self._send_late(gateway, late, 40)
        self.assertEqual(status, 200)
