import asyncio
from collections.abc import Sequence

from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, request


class NamedLimits(DeploymentCase):
    async def _read_limits(self, *answers: dict[str, str]) -> list[float | None]:
        """Returns the limit that the gateway knows after each of an endpoint's answers."""

        async def script(received: ReceivedRequest) -> bytes:
            fields = dict(answers[received.number])
            return build_answer(received, int(fields.pop("status", "200")), **fields)

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        limits: list[float | None] = []
        for number in range(len(answers)):
            await self.send_request(gateway, request("/order/1", "POST", f"r{number}"))
            gauges = gateway.collect_gauges()
            endpoint = next(iter(gateway.registry.all()))
            limits.append(gateway.rate_limits.find_limit(endpoint.record.id))
            self.assertEqual(gauges["limited_endpoints"], float(limits[-1] is not None))
        return limits

    async def test_limit_is_read_from_answers_refusals_and_errors_until_none_is_named(self) -> None:
        refusal = {"status": "503", "Not_Executed": "1", "Response_Signature": ""}
        limits = await self._read_limits(
            {},
            {"Server_Limit": "250.5"},
            refusal | {"Server_Limit": "300"},
            {"status": "500", "Server_Limit": "200"},
            {},
        )
        self.assertEqual(limits, [None, 250.5, 300.0, 200.0, None])

    async def test_malformed_limit_leaves_the_known_one_in_force(self) -> None:
        malformed = ["-1", "nan", "inf", "1e3", "x", "9" * 40, "1,5", "0x10"]
        limits = await self._read_limits(
            {"Server_Limit": "400"}, *({"Server_Limit": value} for value in malformed)
        )
        self.assertEqual(limits, [400.0] * (1 + len(malformed)))

    async def test_limit_in_the_refusal_of_another_endpoint_at_the_address_is_ignored(self) -> None:
        await self.add_endpoint("b")

        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received, 421, Response_Signature="", Server_Limit="3")

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(8):
            await self.send_request(gateway, request("/order/1", "POST", f"r{number}"))
        self.assertEqual(gateway.rate_limits.count, 0)

    async def test_lowest_of_repeated_limits_counts(self) -> None:
        limits = await self._read_limits({"Server_Limit": "900\r\nServer-Limit: 500"})
        self.assertEqual(limits, [500.0])


class MoreThanTheNamedLimit(DeploymentCase):
    """Endpoints got several times the requests a second that they had named as their limit."""

    LIMIT_PER_S = 2.0
    WINDOW_S = 4.0

    def _count_most_in_window(self, times_s: Sequence[float]) -> int:
        """Returns the largest number of times within WINDOW_S."""
        return max(
            (sum(start <= t < start + self.WINDOW_S for t in times_s) for start in times_s),
            default=0,
        )

    async def test_limited_endpoint_gets_more_from_all_daemons_than_it_named(self) -> None:
        times_s: dict[str, list[float]] = {"a": [], "b": []}

        async def answer_limited(received: ReceivedRequest) -> bytes:
            name = received.headers["target-instance"]
            times_s[name].append(asyncio.get_running_loop().time())
            return build_answer(received, Server_Limit=f"{self.LIMIT_PER_S}")

        for name in times_s:
            await self.add_endpoint(name, answer_limited)
        gateways = [await self.add_gateway(f"daemon-{number}") for number in range(3)]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
            await self.wait_until(lambda g=gateway: len(g.directory.names) == len(gateways))
        for number in range(40):
            for index, gateway in enumerate(gateways):
                await self.send_request(gateway, request("/read/1", "GET", f"r{number}-{index}"))
        # each daemon's first request tells it the limit
        allowed = self.WINDOW_S * self.LIMIT_PER_S + len(gateways)
        most = {name: self._count_most_in_window(received) for name, received in times_s.items()}
        self.assertLessEqual(max(most.values()), allowed, most)
        self.assertGreater(min(most.values()), 0, most)
