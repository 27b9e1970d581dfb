"""Second endpoints for requests that wait longer than almost all others."""

import asyncio
from unittest import mock

from lycheepin.gateway.process import Gateway
from lycheepin.gateway.quota_exchange import QuotaExchange
from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, configuration, request

FOUR_FIGURES = "0,0,4,100"
# Requests from which the gateway learns how long answers take: SLOW ones take SLOW_S seconds.
LEARNED, SLOW, SLOW_S = 45, 3, 0.3


class SecondEndpoints(DeploymentCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # no request gets a second endpoint before all are learned from
        patch = mock.patch("lycheepin.steering.hedging.MIN_TIMES", LEARNED)
        patch.start()
        self.addCleanup(patch.stop)
        self.load = FOUR_FIGURES
        self.stuck: list[ReceivedRequest] = []
        self.release = asyncio.Event()
        self.stuck_body = b""

    async def _answer(self, received: ReceivedRequest) -> bytes:
        """Answers at once, but for slow requests and the first copy of the request `stuck`."""
        if received.headers["request-id"].startswith("slow"):
            await asyncio.sleep(SLOW_S)
        answer = build_answer(received, Server_Load=self.load)
        if received.headers["request-id"] == "stuck":
            self.stuck.append(received)
            if len(self.stuck) == 1:
                if self.stuck_body:
                    received.writer.write(answer[:-2])
                    answer = answer[-2:]
                await self.release.wait()
        return answer

    async def _start(self, path: str = "/read/1", method: str = "GET") -> Gateway:
        """Returns a gateway that has learned how long answers take."""
        for name in ("a", "b", "c"):
            await self.add_endpoint(name, self._answer)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(LEARNED):
            name = "slow" if number < SLOW else "fast"
            content = request(path, method, f"{name}-{number}")
            self.assertEqual((await self.send_request(gateway, content))[0], 200)
        return gateway

    def _send_stuck(
        self, gateway: Gateway, path: str = "/read/1", method: str = "GET"
    ) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
        """Sends a request at which its first endpoint works until it is released."""
        content = request(path, method, "stuck")
        return asyncio.create_task(self.send_request(gateway, content))

    def _count_aborted(self) -> int:
        """Returns the number of requests whose connection was closed before their answer."""
        return sum(endpoint.aborted_requests for endpoint in self.endpoints)

    async def test_second_endpoint_answers_and_the_first_attempt_is_cancelled(self) -> None:
        gateway = await self._start()
        status, _, _ = await self._send_stuck(gateway)
        self.assertEqual((status, len(self.stuck)), (200, 2))
        await self.wait_until(lambda: self._count_aborted() == 1)
        first, second = (received.headers for received in self.stuck)
        self.assertNotEqual(first["target-instance"], second["target-instance"])
        self.assertLess(int(second["deadline-ms"]), int(first["deadline-ms"]))
        self.assertEqual([gateway.metrics.value("hedges", n) for n in ("sent", "won")], [1, 1])
        self.assertEqual([e.failures for e in gateway.registry.all()], [0, 0, 0])
        self.assertEqual([e.in_flight for e in gateway.registry.all()], [0, 0, 0])

    async def test_first_endpoint_still_wins_if_it_answers_first(self) -> None:
        gateway = await self._start()
        wait_in_second = asyncio.Event()

        async def answer(received: ReceivedRequest) -> bytes:
            self.stuck.append(received)
            await (self.release if len(self.stuck) == 1 else wait_in_second).wait()
            return build_answer(received, Server_Load=self.load)

        for endpoint in self.endpoints:
            endpoint.script = answer
        answered = self._send_stuck(gateway)
        await self.wait_until(lambda: len(self.stuck) == 2)
        self.release.set()
        self.assertEqual((await answered)[0], 200)
        await self.wait_until(lambda: self._count_aborted() == 1)
        self.assertEqual([gateway.metrics.value("hedges", n) for n in ("sent", "won")], [1, 0])

    async def test_no_second_endpoint_gets_a_request_whose_workspace_has_no_token_for_it(
        self,
    ) -> None:
        gateway = await self._start()
        asked: list[object] = []
        gateway._handler._attempts._admit_copy = lambda progress: bool(asked.append(progress))
        answered = self._send_stuck(gateway)
        await self.wait_until(lambda: asked)
        self.release.set()
        self.assertEqual(((await answered)[0], len(self.stuck)), (200, 1))

    async def test_failure_of_one_attempt_leaves_the_other_to_answer(self) -> None:
        gateway = await self._start()

        async def answer(received: ReceivedRequest) -> bytes:
            self.stuck.append(received)
            if len(self.stuck) == 1:
                await self.release.wait()
                return build_answer(received, Server_Load=self.load)
            return build_answer(received, 500)

        for endpoint in self.endpoints:
            endpoint.script = answer
        answered = self._send_stuck(gateway)
        await self.wait_until(lambda: len(self.stuck) == 2)
        await asyncio.sleep(0.2)
        self.assertFalse(answered.done())
        self.release.set()
        self.assertEqual(((await answered)[0], len(self.stuck)), (200, 2))

    async def test_both_attempts_end_when_the_caller_leaves(self) -> None:
        gateway = await self._start()

        async def answer(received: ReceivedRequest) -> bytes:
            self.stuck.append(received)
            await self.release.wait()
            return b""

        for endpoint in self.endpoints:
            endpoint.script = answer
        answered = self._send_stuck(gateway)
        await self.wait_until(lambda: len(self.stuck) == 2)
        answered.cancel()
        await self.wait_until(lambda: self._count_aborted() == 2)
        await self.wait_until(lambda: all(not e.in_flight for e in gateway.registry.all()))

    async def _expect_one_attempt(self, gateway: Gateway, *sent: str) -> None:
        """Checks that a request that waits long gets no second endpoint."""
        answered = self._send_stuck(gateway, *sent)
        await self.wait_until(lambda: self.stuck)
        await asyncio.sleep(SLOW_S)
        self.release.set()
        self.assertEqual(((await answered)[0], len(self.stuck)), (200, 1))
        self.assertEqual(gateway.metrics.value("hedges", "sent"), 0)

    async def test_protected_request_gets_no_second_endpoint(self) -> None:
        gateway = await self._start("/order/1", "POST")
        await self._expect_one_attempt(gateway, "/order/1", "POST")

    async def test_endpoints_that_report_three_figures_get_no_second_attempts(self) -> None:
        self.load = "0,0,4"
        await self._expect_one_attempt(await self._start())

    async def test_second_endpoint_counts_against_the_attempts_of_the_route(self) -> None:
        self.store.put("op/config", configuration(maxAttempts=1))
        await self._expect_one_attempt(await self._start())

    async def test_second_attempt_needs_a_token_of_the_quota(self) -> None:
        with mock.patch.object(QuotaExchange, "admit_copy", return_value=False):
            gateway = await self._start()
        await self._expect_one_attempt(gateway)
        self.assertEqual(gateway.metrics.value("hedges", "denied_quota"), 1)

    async def test_answer_that_has_begun_is_awaited(self) -> None:
        self.stuck_body = b"ok"
        await self._expect_one_attempt(await self._start())
