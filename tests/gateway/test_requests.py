import asyncio
import time

from lycheepin.gateway.process import Gateway
from lycheepin.steering.fleet import MIN_UNRESPONSIVE_S
from standins.servers import ReceivedRequest, answer_ok, build_answer
from tests.gateway.deployment import DeploymentCase, configuration, request


class UnknownService(DeploymentCase):
    # Guards against the connection of a request ending without an answer since its route goes to a
    # service that the configuration lacks.
    async def test_request_to_a_service_that_is_not_configured_is_refused(self) -> None:
        document = configuration()
        document["routes"]["order"]["service"] = "gone"
        self.store.put("op/config", document)
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)
        self.assertNotIn("fault", gateway.log.counts)


class AtMostOnce(DeploymentCase):
    async def test_protected_request_is_not_retried_after_a_reset(self) -> None:
        async def reset(received: ReceivedRequest) -> bytes:
            return b""

        endpoints = [await self.add_endpoint(name, reset) for name in "ab"]
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 502)
        self.assertEqual(sum(len(endpoint.received_requests) for endpoint in endpoints), 1)

    # Guards against a caller paying twice, as it takes an endpoint's failure for "not run".
    async def test_status_of_an_endpoint_that_ran_an_order_promises_nothing(self) -> None:
        statuses = (408, 429, 503)

        async def fail(received: ReceivedRequest) -> bytes:
            status = int(received.target.rpartition("/")[2])
            size = 2_000_000 if "large" in received.target else 2
            return build_answer(received, status, b"x" * size)

        endpoint = await self.add_endpoint("a", fail)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for status in statuses:
            for path in (f"/order/{status}", f"/order/large/{status}"):
                answered, headers, _ = await self.send_request(gateway, request(path, "POST"))
                self.assertEqual(answered, 502)
                self.assertNotIn("response-signature", headers)
        self.assertEqual(len(endpoint.received_requests), 2 * len(statuses))

    async def test_idempotent_request_is_retried_once_at_another_endpoint(self) -> None:
        async def reset_first(received: ReceivedRequest) -> bytes:
            is_first = sum(len(endpoint.received_requests) for endpoint in self.endpoints) == 1
            return b"" if is_first else build_answer(received)

        for name in "abc":
            await self.add_endpoint(name, reset_first)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, _ = await self.send_request(gateway, request())
        self.assertEqual(status, 200)
        self.assertEqual(
            [len(endpoint.received_requests) for endpoint in self.endpoints].count(1), 2
        )

    async def test_idempotent_request_leaves_an_unresponsive_endpoint(self) -> None:
        async def never_answer_first(received: ReceivedRequest) -> bytes:
            if sum(len(endpoint.received_requests) for endpoint in self.endpoints) == 1:
                await asyncio.sleep(30)
            return build_answer(received)

        for name in "ab":
            await self.add_endpoint(name, never_answer_first)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self._observe_short_answers(gateway)
        status, _, _ = await self.send_request(gateway, request())
        self.assertEqual(status, 200)
        self.assertEqual([len(endpoint.received_requests) for endpoint in self.endpoints], [1, 1])
        self.assertEqual(sum(endpoint.aborted_requests for endpoint in self.endpoints), 1)

    async def _observe_short_answers(self, gateway: Gateway) -> None:
        """Lets a gateway observe short answers, so that the unresponsiveness limit is minimal."""
        for endpoint in gateway.registry.all():
            for _ in range(100):
                gateway.registry.observe_answer(endpoint, 0.0, 0.01)

    async def test_unresponsive_endpoint_is_awaited_if_it_is_the_only_one(self) -> None:
        async def answer_late(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(1.5 * MIN_UNRESPONSIVE_S)
            return build_answer(received)

        await self.add_endpoint("a", answer_late)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self._observe_short_answers(gateway)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_unresponsive_endpoint_is_awaited_while_the_daemon_drains(self) -> None:
        async def answer_late(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(1.5 * MIN_UNRESPONSIVE_S)
            return build_answer(received)

        for name in "ab":
            await self.add_endpoint(name, answer_late)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self._observe_short_answers(gateway)
        answer = asyncio.create_task(self.send_request(gateway, request()))
        await self.wait_until(
            lambda: any(endpoint.received_requests for endpoint in self.endpoints)
        )
        gateway.stop()
        self.assertEqual((await answer)[0], 200)
        self.assertEqual(sum(len(endpoint.received_requests) for endpoint in self.endpoints), 1)

    async def test_rejected_protected_request_goes_to_another_endpoint(self) -> None:
        async def reject_first(received: ReceivedRequest) -> bytes:
            is_first = sum(len(endpoint.received_requests) for endpoint in self.endpoints) == 1
            return (
                build_answer(received, 503, Not_Executed="1")
                if is_first
                else build_answer(received)
            )

        for name in "ab":
            await self.add_endpoint(name, reject_first)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 200)

    async def test_request_that_no_endpoint_ran_is_refused_with_retry_after(self) -> None:
        async def reject(received: ReceivedRequest) -> bytes:
            return build_answer(received, 503, Not_Executed="1")

        for name in "abc":
            await self.add_endpoint(name, reject)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.assertEqual(sum(len(endpoint.received_requests) for endpoint in self.endpoints), 2)

    async def test_protected_request_that_may_have_run_is_answered_504(self) -> None:
        async def never_answer(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(30)
            return b""

        self.store.put("op/config", configuration(2, timeoutMs=300))
        await self.add_endpoint("a", never_answer)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        started_s = time.monotonic()
        status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 504)
        self.assertNotIn("retry-after", headers)
        self.assertGreaterEqual(time.monotonic() - started_s, 0.25)

    async def test_endpoint_is_removed_if_another_one_took_over_its_address(self) -> None:
        async def replaced(received: ReceivedRequest) -> bytes:
            return build_answer(received, 421, Instance_Id="other")

        await self.add_endpoint("a", replaced)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 503)
        self.assertEqual(list(gateway.registry.all()), [])


class CallerLeaves(DeploymentCase):
    async def test_attempt_is_cancelled_when_the_caller_disconnects(self) -> None:
        async def slow(received: ReceivedRequest) -> bytes:
            await asyncio.sleep(30)
            return b""

        endpoint = await self.add_endpoint("a", slow)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        _, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request())
        await self.wait_until(lambda: endpoint.received_requests)
        writer.close()
        await self.wait_until(lambda: endpoint.aborted_requests)
        await self.wait_until(lambda: next(gateway.registry.all()).in_flight == 0)


class InvalidRequests(DeploymentCase):
    async def test_malformed_requests_are_refused_and_others_still_served(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        ambiguous = request("/order/1", "POST", "r1", b"ab").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for content, expected in (
            (b"nonsense\r\n\r\n", 400),
            (ambiguous, 400),
            (request(X=("y" * 6000)), 431),
            (request("/order/1", "POST", "r1", b"x" * (5 << 20)), 413),
        ):
            with self.subTest(expected):
                try:
                    status, _, _ = await self.send_request(gateway, content)
                except (ConnectionError, asyncio.IncompleteReadError):
                    continue  # unread bytes reset the connection
                self.assertEqual(status, expected)
        self.assertLessEqual(len(endpoint.received_requests), 1)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_unknown_route_is_404_and_missing_configuration_is_503(self) -> None:
        await self.add_endpoint("a", answer_ok)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.assertEqual((await self.send_request(gateway, request("/nowhere/")))[0], 404)
        self.store.delete("op/config")
        unconfigured = await self.add_gateway("daemon-2")
        await self.wait_until(lambda: unconfigured.state.store_answers)
        self.assertEqual((await self.send_request(unconfigured, request("/nowhere/")))[0], 503)
        self.assertFalse(unconfigured.ready)

    # Guards against proper requests being refused for the form of their target or host.
    async def test_host_and_target_are_read_in_each_form_that_the_protocol_allows(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        forms = (
            ("/read/1?q=1", "A.Example"),
            ("/read/1?q=1", "a.example:80"),
            ("/read/1?q=1", "a.example."),
            ("http://a.example/read/1?q=1", "b.example"),
            ("HTTP://A.EXAMPLE:80/read/1?q=1", "a.example"),
        )
        for target, host in forms:
            with self.subTest((target, host)):
                status, _, _ = await self.send_request(gateway, request(target, Host=host))
                self.assertEqual(status, 200)
        self.assertEqual(
            {received.target for received in endpoint.received_requests}, {"/read/1?q=1"}
        )
        hosts = [received.headers["host"] for received in endpoint.received_requests]
        self.assertEqual(hosts[3:], ["a.example", "A.EXAMPLE:80"])
        status, _, _ = await self.send_request(gateway, request("http://b.example/read/1"))
        self.assertEqual(status, 404)

    # Guards against a request that two parties read as one for different hosts.
    async def test_request_with_two_hosts_is_refused(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = request().replace(b"\r\n\r\n", b"\r\nHost: b.example\r\n\r\n")
        self.assertEqual((await self.send_request(gateway, content))[0], 400)
        self.assertEqual(endpoint.received_requests, [])
