"""Requests on one connection: offers to upgrade it, and what follows a request on it."""

from __future__ import annotations

import asyncio

from lycheepin.gateway.process import Gateway
from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.listener import TIMEOUT_CHECK_S
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer
from tests.gateway.deployment import (
    TIMEOUT_S,
    DeploymentCase,
    configuration,
    read_answer,
    request,
)

H2C = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"}


class PipelinedRequests(DeploymentCase):
    async def _start_with_held_answers(self) -> tuple[EndpointStandIn, Gateway, asyncio.Event]:
        """Starts an endpoint and a gateway; the answers wait for the event that is returned."""
        may_answer = asyncio.Event()

        async def script(received: ReceivedRequest) -> bytes:
            await may_answer.wait()
            return build_answer(received)

        endpoint = await self.add_endpoint("a", script)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        return endpoint, gateway, may_answer

    # Guards against a request that runs being answered by the refusal of the next one.
    async def test_requests_before_an_invalid_one_get_their_own_answers(self) -> None:
        head = b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
        long_head = head + b"X: " + b"y" * 99_999
        for invalid, refused in ((b"nonsense\r\n\r\n", 400), (head, 408), (long_head, 431)):
            with self.subTest(refused):
                await self.start_anew()
                await self._send_before(invalid, refused)

    async def _send_before(self, invalid: bytes, refused: int) -> None:
        """Sends two requests and an invalid one, whose refusal comes before their answers."""
        endpoint, gateway, may_answer = await self._start_with_held_answers()
        gateway._caller_listener.limits = CallerLimits(header_timeout_s=0.1)
        statuses: list[int] = []
        gateway._caller_listener.on_refused = statuses.append
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request(identifier="r0") + request(identifier="r1"))
        await self.wait_until(lambda: endpoint.received_requests)
        writer.write(invalid)
        await self.wait_until(lambda: statuses)
        may_answer.set()
        for identifier in ("r0", "r1"):
            status, headers, _ = await read_answer(reader)
            self.assertEqual((status, headers["request-id"]), (200, identifier))
        self.assertEqual((statuses, await reader.read()), ([refused], b""))
        writer.close()

    # Guards against a request being run whose connection closes with the answer before it.
    async def test_requests_behind_an_answer_that_closes_the_connection_are_not_run(self) -> None:
        endpoint, gateway, may_answer = await self._start_with_held_answers()
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        orders = [request("/order/1", "POST", f"r{n}", b"order") for n in range(3)]
        writer.write(b"".join(orders)[:-1])
        await self.wait_until(lambda: endpoint.received_requests)
        gateway._caller_listener.closing = True
        may_answer.set()
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.assertEqual(await reader.read(), b"")
        self.assertEqual((await self.send_request(gateway, request("/read/2")))[0], 200)
        targets = [received.target for received in endpoint.received_requests]
        self.assertEqual(targets, ["/order/1", "/read/2"])
        writer.close()

    # Guards against a head that never ends being kept for the idle timeout.
    # Guards against work for a caller whose leaving isn't seen, as its connection isn't read.
    async def test_caller_that_leaves_with_many_requests_behind_is_noticed(self) -> None:
        self.store.put("op/config", configuration(timeoutMs=60_000, targetLatencyMs=60_000))
        endpoint, gateway, _ = await self._start_with_held_answers()
        _, writer = await self._send_many(gateway)
        await self.wait_until(lambda: endpoint.received_requests)
        writer.close()
        await self.wait_until(lambda: endpoint.aborted_requests)
        await self.wait_until(lambda: not gateway._caller_listener.connections)

    # Guards against an answer being lost to the reset by a socket that is closed with unread bytes.
    async def test_connection_with_unread_requests_is_not_reset_after_its_last_answer(self) -> None:
        _, gateway, may_answer = await self._start_with_held_answers()
        reader, writer = await self._send_many(gateway)
        writer.write(request(identifier="unread"))
        await writer.drain()
        gateway._caller_listener.closing = True
        may_answer.set()
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    # Guards against a caller being blamed for a head that waits since its connection isn't read.
    async def test_head_that_waits_behind_many_requests_has_not_timed_out(self) -> None:
        _, gateway, may_answer = await self._start_with_held_answers()
        gateway._caller_listener.limits = CallerLimits(header_timeout_s=TIMEOUT_CHECK_S / 2)
        statuses: list[int] = []
        gateway._caller_listener.on_refused = statuses.append
        reader, writer = await self._send_many(gateway)
        await asyncio.sleep(3 * TIMEOUT_CHECK_S)
        may_answer.set()
        for number in range(12):
            status, headers, _ = await read_answer(reader)
            self.assertEqual((status, headers["request-id"]), (200, f"r{number}"))
        self.assertEqual(statuses, [])
        writer.close()

    async def _send_many(
        self, gateway: Gateway
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends so many requests on a connection that it isn't read any more."""
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.writelines(request(identifier=f"r{n}", Deadline_Ms="60000") for n in range(12))
        connections = gateway._caller_listener.connections
        await self.wait_until(lambda: any(connection._paused for connection in connections))
        return reader, writer

    async def test_head_in_the_segment_of_another_request_has_the_header_timeout(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        gateway._caller_listener.limits = CallerLimits(header_timeout_s=0.1, idle_timeout_s=999.0)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request(identifier="r0") + b"GET /read/1 HTTP/1.1\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual((await read_answer(reader))[0], 200)
            self.assertEqual((await read_answer(reader))[0], 408)
        writer.close()

    # Guards against a connection that rests after an empty line being refused with 408.
    async def test_empty_line_after_a_request_begins_no_head(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        statuses: list[int] = []
        gateway._caller_listener.on_refused = statuses.append
        gateway._caller_listener.limits = CallerLimits(header_timeout_s=0.1)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request(identifier="r0"))
        self.assertEqual((await read_answer(reader))[0], 200)
        writer.write(b"\r\n")
        await asyncio.sleep(3 * TIMEOUT_CHECK_S)
        self.assertEqual(statuses, [])
        writer.write(request(identifier="r1"))
        self.assertEqual((await read_answer(reader))[0], 200)
        writer.close()

    # Guards against an interim answer between the parts of the answer to the request before.
    async def test_body_is_asked_for_after_the_answers_to_earlier_requests(self) -> None:
        endpoint, gateway, may_answer = await self._start_with_held_answers()
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        order = request("/order/1", "POST", "r1", b"order", Expect="100-continue")
        writer.write(request(identifier="r0") + order[:-5])
        await self.wait_until(lambda: endpoint.received_requests)
        may_answer.set()
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["request-id"]), (200, "r0"))
        self.assertEqual(await reader.readuntil(b"\r\n\r\n"), b"HTTP/1.1 100 Continue\r\n\r\n")
        writer.write(order[-5:])
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["request-id"]), (200, "r1"))
        writer.close()

    # Guards against a request that was refused in its body being waited for to its deadline.
    async def test_connection_ends_when_the_body_of_the_next_request_is_too_large(self) -> None:
        endpoint, gateway, may_answer = await self._start_with_held_answers()
        gateway._caller_listener.limits = CallerLimits(max_body_bytes=10)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(request(identifier="r0") + request("/order/1", "POST", "r1", b"x" * 20)[:-5])
        await self.wait_until(lambda: endpoint.received_requests)
        may_answer.set()
        status, headers, _ = await read_answer(reader)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.assertEqual(await reader.read(), b"")
        writer.close()


class OffersToUpgrade(DeploymentCase):
    # Guards against clients that offer HTTP/2 by default being refused with 400.
    async def test_request_that_offers_an_upgrade_is_served_without_it(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        offered = [
            request("/read/1", "GET", "r0", **H2C),
            request("/read/2", "GET", "r1", **H2C),
            request("/read/1", "GET", "r2"),
        ]
        for number, content in enumerate([*offered, b"".join(offered)]):
            writer.write(content)
            for identifier in [f"r{number}"] if number < 3 else ["r0", "r1", "r2"]:
                status, headers, _ = await read_answer(reader)
                self.assertEqual((status, headers["request-id"]), (200, identifier))
        writer.close()
        self.assertEqual(len(endpoint.received_requests), 6)
        self.assertFalse(any("upgrade" in r.headers for r in endpoint.received_requests))

    # Guards against the body of such a request being read as the next request.
    async def test_offer_to_upgrade_with_a_body_is_served_with_its_body(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        hidden = request("/order/2", "POST", "r9")
        chunked = b"POST /order/3 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r3\r\n"
        chunked += b"Connection: Upgrade\r\nUpgrade: h2c\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunked += b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        offers = [
            (request("/order/1", "POST", "r1", hidden, **H2C), hidden),
            (request("/order/2", "POST", "r2", **H2C), b""),
            (chunked, b"abc"),
            (request("/order/4", "POST", "r4", b"last"), b"last"),
        ]
        together = b"".join(content for content, _ in offers)
        for sizes in (len(together), 1):
            endpoint.received_requests.clear()
            front = gateway.settings.front
            reader, writer = await asyncio.open_connection(front.host, front.port)
            for start in range(0, len(together), sizes):
                writer.write(together[start : start + sizes])
                await asyncio.sleep(0)
            for number in range(1, 5):
                status, headers, _ = await read_answer(reader)
                self.assertEqual((status, headers["request-id"]), (200, f"r{number}"))
            writer.close()
            received = [(r.headers["request-id"], r.body) for r in endpoint.received_requests]
            expected = [(f"r{number}", offer[1]) for number, offer in enumerate(offers, 1)]
            self.assertEqual(received, expected)

    async def test_connect_is_refused(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = request("a.example:443", "CONNECT", "r1")
        status, _, _ = await self.send_request(gateway, content)
        self.assertEqual(status, 400)

    # Guards against a trailer being taken for a header of the request.
    async def test_trailers_change_no_header(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        head = request("/order/1", "PUT", "r1").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        trailers = b"Request-Id: r9\r\nHost: b.example\r\nX-Sum: 7\r\n"
        content = head + b"3\r\nabc\r\n0\r\n" + trailers + b"\r\n"
        status, headers, _ = await self.send_request(gateway, content)
        self.assertEqual((status, headers["request-id"]), (200, "r1"))
        received = endpoint.received_requests[0].headers
        self.assertEqual((received["request-id"], received["host"]), ("r1", "a.example"))
        self.assertNotIn("x-sum", received)
