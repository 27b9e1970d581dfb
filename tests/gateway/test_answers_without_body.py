"""Answers that have a length and no body: to HEAD, and those with status 204 or 304."""

from __future__ import annotations

import asyncio

from lycheepin.gateway.process import Gateway
from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, request


class AnswersWithoutBody(DeploymentCase):
    async def _read_head(self, gateway: Gateway, content: bytes) -> tuple[int, dict[str, str]]:
        """Returns status and headers of an answer; nothing may follow them."""
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        try:
            writer.write(content + b"GET /none/ HTTP/1.1\r\nConnection: close\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 404 "))
        finally:
            writer.close()
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        return int(head[0].split(" ")[1]), headers

    # Guards against the next answer on a connection being read as the body of one that has none.
    async def test_answer_without_a_body_may_name_a_length(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            status = int(received.target.rpartition("/")[2])
            answer = build_answer(received, status, b"x" * 300)
            if status in (204, 304) or received.method == "HEAD":
                answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            return answer

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number, (method, status) in enumerate(
            (("GET", 304), ("GET", 200), ("GET", 204), ("POST", 200), ("GET", 304))
        ):
            identifier = f"r{number}"
            path = f"/{'order' if method == 'POST' else 'read'}/{status}"
            content = request(path, method, identifier, If_None_Match="1")
            if status == 200:
                answered, headers, body = await self.send_request(gateway, content)
                self.assertEqual(body, b"x" * 300)
            else:
                answered, headers = await self._read_head(gateway, content)
            self.assertEqual((answered, headers["request-id"]), (status, identifier))

    # Guards against callers being told that a resource is empty.
    async def test_answer_to_head_names_the_length_of_the_endpoint(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received, 200, b"x" * 300).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, headers = await self._read_head(gateway, request("/read/1", "HEAD"))
        self.assertEqual((status, headers["content-length"]), (200, "300"))
