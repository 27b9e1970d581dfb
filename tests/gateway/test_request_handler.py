import asyncio
import time

from lycheepin.gateway.process import Gateway
from lycheepin.steering.fleet import MIN_UNRESPONSIVE_S
from standins.servers import Arrival, answer_ok, answer_with
from tests.gateway.deployment import DeploymentCase, configuration, read_answer, request


class Answers(DeploymentCase):
    async def test_answer_comes_back_unchanged_and_request_arrives_whole(self) -> None:
        async def script(arrival: Arrival) -> bytes:
            return answer_with(arrival, 201, b"x" * 5000, Server_Load="1,0,4")

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        content = request("/order/9?q=1", "POST", "r7", b"body", Connection="x-own", x_own="1")
        status, headers, body = await self.send_request(gateway, content)
        self.assertEqual((status, body), (201, b"x" * 5000))
        self.assertEqual(headers["request-id"], "r7")
        self.assertEqual(headers["response-signature"], "sig-r7")
        arrival = endpoint.arrivals[0]
        self.assertEqual((arrival.method, arrival.target), ("POST", "/order/9?q=1"))
        self.assertEqual(arrival.body, b"body")
        self.assertEqual(arrival.headers["target-instance"], "a")
        self.assertNotIn("x-own", arrival.headers)
        self.assertLessEqual(int(arrival.headers["deadline-ms"]), 1500)

    async def test_chunked_body_arrives_whole(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.ready(gateway)
        head = request("/order/1", "PUT").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        status, _, _ = await self.send_request(gateway, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(status, 200)
        self.assertEqual(endpoint.arrivals[0].body, b"abcde")

    async def test_body_over_the_held_size_is_streamed_whole(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.ready(gateway)
        body = bytes(range(256)) * 8192
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST", "r1", body))
        self.assertEqual(status, 200)
        self.assertEqual(endpoint.arrivals[0].body, body)

    async def test_answer_without_length_ends_with_its_connection(self) -> None:
        async def script(arrival: Arrival) -> bytes:
            identifier = arrival.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\nResponse-Signature: s\r\n\r\n"
            arrival.writer.write(head.encode() + b"all of it")
            await arrival.writer.drain()
            arrival.writer.write_eof()
            await asyncio.sleep(5)
            return b""

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, _, body = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual((status, body), (200, b"all of it"))

    async def test_large_answer_that_breaks_off_is_seen_as_cut(self) -> None:
        async def script(arrival: Arrival) -> bytes:
            answer = answer_with(arrival, 200, b"x" * 3_000_000)
            arrival.writer.write(answer[:2_000_000])
            await arrival.writer.drain()
            return b""

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.send_request(gateway, request("/order/1", "POST"))

    async def test_spoiled_answers_never_become_a_success(self) -> None:
        for spoiled in (b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"):
            with self.subTest(spoiled):

                async def script(arrival: Arrival, spoiled: bytes = spoiled) -> bytes:
                    return spoiled

                endpoint = await self.add_endpoint("a", script, born=len(self.endpoints))
                gateway = await self.add_gateway()
                await self.ready(gateway)
                status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
                self.assertEqual(status, 502)
                self.assertNotIn("response-signature", headers)
                self.assertEqual(len(endpoint.arrivals), 1)

    async def test_late_answer_to_an_earlier_request_is_skipped(self) -> None:
        async def script(arrival: Arrival) -> bytes:
            if arrival.number == 0:
                return answer_with(arrival)
            stale = answer_with(arrival).replace(b"r2", b"r1")
            return stale + answer_with(arrival, 200, b"mine")

        await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        await self.send_request(gateway, request("/order/1", "POST", "r1"))
        status, headers, body = await self.send_request(gateway, request("/order/1", "POST", "r2"))
        self.assertEqual((status, headers["request-id"], body), (200, "r2", b"mine"))

    async def test_extra_answer_does_not_reach_the_next_caller(self) -> None:
        async def script(arrival: Arrival) -> bytes:
            return answer_with(arrival) + answer_with(arrival, 200, b"extra")

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        for number in range(3):
            identifier = f"r{number}"
            answer = await self.send_request(gateway, request("/order/1", "POST", identifier))
            self.assertEqual(
                (answer[0], answer[1]["request-id"], answer[2]), (200, identifier, b"ok")
            )
        self.assertEqual(endpoint.connections, 3)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.ready(gateway)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(b"".join(request("/read/1", "GET", f"r{n}") for n in range(3)))
        for number in range(3):
            _, headers, _ = await read_answer(reader)
            self.assertEqual(headers["request-id"], f"r{number}")
        writer.close()


class AtMostOnce(DeploymentCase):
    async def test_protected_request_is_not_repeated_after_a_reset(self) -> None:
        async def reset(arrival: Arrival) -> bytes:
            return b""

        endpoints = [await self.add_endpoint(name, reset) for name in "ab"]
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 502)
        self.assertEqual(sum(len(endpoint.arrivals) for endpoint in endpoints), 1)

    async def test_idempotent_request_is_repeated_once_elsewhere(self) -> None:
        async def reset_first(arrival: Arrival) -> bytes:
            first = sum(len(endpoint.arrivals) for endpoint in self.endpoints) == 1
            return b"" if first else answer_with(arrival)

        for name in "abc":
            await self.add_endpoint(name, reset_first)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, _, _ = await self.send_request(gateway, request())
        self.assertEqual(status, 200)
        self.assertEqual([len(b.arrivals) for b in self.endpoints].count(1), 2)

    async def test_silent_endpoint_is_given_up_for_idempotent_work_only(self) -> None:
        async def silent_first(arrival: Arrival) -> bytes:
            if sum(len(endpoint.arrivals) for endpoint in self.endpoints) == 1:
                await asyncio.sleep(30)
            return answer_with(arrival)

        for name in "ab":
            await self.add_endpoint(name, silent_first)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.ready(gateway)
        await self._teach_short_work(gateway)
        status, _, _ = await self.send_request(gateway, request())
        self.assertEqual(status, 200)
        self.assertEqual([len(b.arrivals) for b in self.endpoints], [1, 1])
        self.assertEqual(sum(endpoint.cut for endpoint in self.endpoints), 1)

    async def _teach_short_work(self, gateway: Gateway) -> None:
        """Lets a gateway learn that work is short, so that silence is doubted soon."""
        for endpoint in gateway.fleet.all():
            for _ in range(100):
                gateway.fleet.observe_answer(endpoint, 0.0, 0.01)

    async def test_silent_endpoint_is_waited_for_while_there_is_no_other(self) -> None:
        async def late(arrival: Arrival) -> bytes:
            await asyncio.sleep(1.5 * MIN_UNRESPONSIVE_S)
            return answer_with(arrival)

        await self.add_endpoint("a", late)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.ready(gateway)
        await self._teach_short_work(gateway)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_silent_endpoint_is_waited_for_while_the_daemon_drains(self) -> None:
        async def late(arrival: Arrival) -> bytes:
            await asyncio.sleep(1.5 * MIN_UNRESPONSIVE_S)
            return answer_with(arrival)

        for name in "ab":
            await self.add_endpoint(name, late)
        self.store.put("op/config", configuration(2, timeoutMs=6000))
        gateway = await self.add_gateway()
        await self.ready(gateway)
        await self._teach_short_work(gateway)
        asked = asyncio.create_task(self.send_request(gateway, request()))
        await self.wait_until(lambda: any(endpoint.arrivals for endpoint in self.endpoints))
        gateway.stop()
        self.assertEqual((await asked)[0], 200)
        self.assertEqual(sum(len(b.arrivals) for b in self.endpoints), 1)

    async def test_rejected_protected_request_goes_to_another_endpoint(self) -> None:
        async def reject_first(arrival: Arrival) -> bytes:
            first = sum(len(endpoint.arrivals) for endpoint in self.endpoints) == 1
            return answer_with(arrival, 503, Not_Executed="1") if first else answer_with(arrival)

        for name in "ab":
            await self.add_endpoint(name, reject_first)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 200)

    async def test_request_that_ran_nowhere_is_refused_with_a_time_to_come_back(self) -> None:
        async def reject(arrival: Arrival) -> bytes:
            return answer_with(arrival, 503, Not_Executed="1")

        for name in "abc":
            await self.add_endpoint(name, reject)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.assertEqual(sum(len(b.arrivals) for b in self.endpoints), 2)

    async def test_protected_request_in_doubt_is_never_said_not_to_have_run(self) -> None:
        async def silent(arrival: Arrival) -> bytes:
            await asyncio.sleep(30)
            return b""

        self.store.put("op/config", configuration(2, timeoutMs=300))
        await self.add_endpoint("a", silent)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        started = time.monotonic()
        status, headers, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 504)
        self.assertNotIn("retry-after", headers)
        self.assertGreaterEqual(time.monotonic() - started, 0.25)

    async def test_address_that_another_endpoint_took_over_is_given_up(self) -> None:
        async def replaced(arrival: Arrival) -> bytes:
            return answer_with(arrival, 421, Instance_Id="other")

        await self.add_endpoint("a", replaced)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        status, _, _ = await self.send_request(gateway, request("/order/1", "POST"))
        self.assertEqual(status, 503)
        self.assertEqual(list(gateway.fleet.all()), [])


class Leaving(DeploymentCase):
    async def test_endpoint_is_released_when_the_caller_leaves(self) -> None:
        async def slow(arrival: Arrival) -> bytes:
            await asyncio.sleep(30)
            return b""

        endpoint = await self.add_endpoint("a", slow)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        front = gateway.settings.front
        _, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request())
        await self.wait_until(lambda: endpoint.arrivals)
        writer.close()
        await self.wait_until(lambda: endpoint.cut)
        await self.wait_until(lambda: next(gateway.fleet.all()).in_flight == 0)


class BadRequests(DeploymentCase):
    async def test_malformed_requests_are_refused_and_nothing_else_stops(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.ready(gateway)
        both = request("/order/1", "POST", "r1", b"ab").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for content, expected in (
            (b"nonsense\r\n\r\n", 400),
            (both, 400),
            (request(X=("y" * 6000)), 431),
            (request("/order/1", "POST", "r1", b"x" * (5 << 20)), 413),
        ):
            with self.subTest(expected):
                try:
                    status, _, _ = await self.send_request(gateway, content)
                except (ConnectionError, asyncio.IncompleteReadError):
                    continue  # bytes that were not read reset the connection
                self.assertEqual(status, expected)
        self.assertLessEqual(len(endpoint.arrivals), 1)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_unknown_route_is_404_and_unknown_configuration_503(self) -> None:
        await self.add_endpoint("a", answer_ok)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        self.assertEqual((await self.send_request(gateway, request("/nowhere/")))[0], 404)
        self.store.delete("op/config")
        other = await self.add_gateway("daemon-2")
        await self.wait_until(lambda: other.state.store_answers)
        self.assertEqual((await self.send_request(other, request("/nowhere/")))[0], 503)
        self.assertFalse(other.ready)
