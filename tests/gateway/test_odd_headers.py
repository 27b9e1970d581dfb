"""Headers with odd values, from endpoints and from callers."""

from __future__ import annotations

from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, request

DIGITS = "9" * 400
MANY_DIGITS = "9" * 5000


class OddHeaders(DeploymentCase):
    # Guards against a number in an endpoint's answer that ends the request without an answer.
    async def test_answer_with_numbers_too_large_is_forwarded(self) -> None:
        for number in (DIGITS, MANY_DIGITS, f"-{DIGITS}", "9e999", "nan"):
            for headers in (
                f"Server-Load: {number},0,4",
                f"Server-Load: 1,{number},4",
                f"Server-Load: 1,0,{number}",
                f"Keep-Alive: timeout={number}",
                f"Server-Limit: {number}",
            ):
                with self.subTest(headers[:30]):
                    await self._forward(headers)

    async def _forward(self, headers: str) -> None:
        """Checks that the answers of an endpoint with additional headers reach their callers."""

        async def answer(received: object) -> bytes:
            lines = ("HTTP/1.1 200 OK", "Response-Signature: s", "Content-Length: 2", headers)
            return "\r\n".join(lines).encode() + b"\r\n\r\nok"

        await self.start_anew()
        await self.add_endpoint("a", answer)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(3):
            content = request(identifier=f"r{number}")
            status, _, body = await self.send_request(gateway, content)
            self.assertEqual((status, body), (200, b"ok"))

    async def test_deadline_that_is_too_large_counts_as_none(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in (DIGITS, "9" * 3000):
            status, _, _ = await self.send_request(gateway, request(Deadline_Ms=number))
            self.assertEqual(status, 200)


class SpaceAroundValues(DeploymentCase):
    # Guards against a request that runs being answered 504, as its id seems to be another one.
    async def test_space_behind_values_is_not_a_part_of_them(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            received.headers["request-id"] = received.headers["request-id"].strip()
            answer = build_answer(received, Server_Load="1,0,4")
            return answer.replace(b"Request-Id: r1\r\n", b"Request-Id:  r1 \t\r\n")

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = request().replace(b"a.example\r\n", b" a.example \t\r\n")
        content = content.replace(b"Request-Id: r1\r\n", b"Request-Id: \t r1 \r\n")
        content = content.replace(b"Deadline-Ms: 4000\r\n", b"Deadline-Ms: 4000 \r\n")
        status, headers, _ = await self.send_request(gateway, content)
        self.assertEqual((status, headers["request-id"]), (200, "r1"))
