"""Answers before the end of a request's body, to callers that are still sending it."""

from __future__ import annotations

import asyncio

from lycheepin.steering.routes import CallerLimits
from tests.gateway.deployment import HOST, TIMEOUT_S, DeploymentCase, read_answer, request

# Size of a body that no socket buffers.
LARGE_BYTES = 24_000_000
# Size of a body that is too large to be buffered before it is sent on.
STREAMED_BYTES = 2_000_000


class EarlyAnswers(DeploymentCase):
    async def _send_all(self, content: bytes) -> tuple[int, dict[str, str]]:
        """Returns status and headers of the answer to a caller that sends before it reads."""
        reader, writer = await asyncio.open_connection(*self.front)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                for start in range(0, len(content), 65_536):
                    writer.write(content[start : start + 65_536])
                    await writer.drain()
                status, headers, _ = await read_answer(reader)
                self.assertEqual(await reader.read(), b"")
                return status, headers
        finally:
            writer.close()

    async def _start(self, limits: CallerLimits) -> None:
        """Starts a gateway with limits on callers."""
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        gateway._caller_listener.limits = limits
        self.gateway = gateway
        self.front = (gateway.settings.front.host, gateway.settings.front.port)

    # Guards against a refusal being lost in the reset of a connection with unread bytes.
    async def test_caller_that_sends_on_gets_the_refusal(self) -> None:
        await self.add_endpoint("a")
        await self._start(CallerLimits(max_body_bytes=1000))
        content = request("/order/1", "POST", "r1", b"x" * LARGE_BYTES)
        status, headers = await self._send_all(content)
        self.assertEqual((status, headers["connection"]), (413, "close"))
        unrouted = request("/none/1", "POST", "r1", b"x" * LARGE_BYTES)
        self.gateway._caller_listener.limits = CallerLimits()
        self.assertEqual((await self._send_all(unrouted))[0], 404)

    # Guards against an endpoint's early answer waiting for a caller that has stopped sending.
    async def test_early_answer_reaches_a_caller_that_pauses(self) -> None:
        async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"content-length: %d" % STREAMED_BYTES, head.lower())
            writer.write(
                b"HTTP/1.1 507 Full\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                b"Content-Length: 2\r\n\r\nno"
            )
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer_early, HOST, 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        await self.add_endpoint("a", address=address)
        await self._start(CallerLimits())
        reader, writer = await asyncio.open_connection(*self.front)
        body = b"x" * STREAMED_BYTES
        writer.write(request("/order/1", "POST", "r1", body, Deadline_Ms="60000")[:-1000])
        async with asyncio.timeout(TIMEOUT_S):
            status, headers, content = await read_answer(reader)
        self.assertEqual((status, headers["connection"], content), (507, "close", b"no"))
        writer.close()
        server.close()
