"""Tests of the request handler over real sockets with a scripted, faulty endpoint."""

import asyncio
import json
import re
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from lycheepin.clocks import SystemClock
from lycheepin.cluster.documents import (
    CONFIGURATION,
    Document,
    plan_document_name,
    vms_document_name,
)
from lycheepin.configuration import check_configuration, create_change, encode_change
from lycheepin.daemon.api import DaemonApi
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerProtocol
from lycheepin.daemon.process import listen
from lycheepin.daemon.requests import RequestHandler
from lycheepin.daemon.server import HttpServer
from lycheepin.daemon.suspicions import build_exchange
from lycheepin.generated.settings import Address as AddressSetting
from lycheepin.generated.settings import DaemonSettings
from lycheepin.names import Address, Incarnation, Resource, Revision
from lycheepin.sources.store import HttpStore
from lycheepin.steering.capacity import slot_resource
from lycheepin.steering.plan import Grant, Plan, encode_plan
from lycheepin.steering.request_ids import RequestId, RequestIdTable, Run
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.connection import ConnectionPool
from standins.http_client import Answer, FetchFailure, fetch

HOST = "127.77.0.1"
SLOTS = 4
SERVICE_HEADERS = [("lycheepin-fleet", "f"), ("lycheepin-service", "s")]
UNUSED_ADDRESS = AddressSetting("127.77.0.9", 1)
ScriptedReply = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

CONFIGURATION_VALUE = {
    "fleets": [{"name": "f"}],
    "regions": [{"name": "r", "client_blocks": ["127.0.0.0/8"]}],
    "services": [
        {
            "name": "desk",
            "members": ["f/s"],
            "classes": [
                {"name": "browse", "path_prefix": "/b", "answer_target_ms": 500,
                 "deadline_ms": 20000, "headroom_percent": 0, "methods": ["GET", "HEAD"]},
                {"name": "brief", "path_prefix": "/t", "answer_target_ms": 500,
                 "deadline_ms": 1500, "headroom_percent": 0},
                {"name": "order", "path_prefix": "/o", "methods": ["POST"], "protected": True,
                 "answer_target_ms": 500, "deadline_ms": 20000, "headroom_percent": 0},
            ],
        }
    ],
}  # fmt: skip


def load_documents(
    node: Node, address: Address, port: int, holders: tuple[Incarnation, ...]
) -> None:
    """Applies configuration, VM list and plan; the first holder gets all slots of the endpoint."""
    document = check_configuration(CONFIGURATION_VALUE).unwrap()
    change = encode_change(create_change(None, "c", "a", "s", document))
    vms = {"revision": 1, "entries": [], "endpoints": [
        {"name": "f/e", "service": "f/s", "address": address, "port": port, "zone": "z",
         "region": "r", "slots": SLOTS, "state": "live"}]}  # fmt: skip
    node.apply_document(Document(CONFIGURATION, Revision(1), change))
    node.apply_document(
        Document(vms_document_name(node.region), Revision(1), json.dumps(vms).encode())
    )
    assert node.vm_list is not None
    grants: dict[Incarnation, dict[Resource, Grant]] = {holder: {} for holder in holders}
    grants[holders[0]][slot_resource(node.vm_list.endpoints[0])] = Grant(SLOTS, SLOTS)
    plan = encode_plan(Plan(Revision(1), grants))
    node.apply_document(Document(plan_document_name(node.region), Revision(1), plan))


class DaemonFixture:
    """A daemon and an endpoint with scripted replies, one for each connection, in this process."""

    def __init__(self, replies: list[ScriptedReply]) -> None:
        self.replies = replies
        self.connections = 0
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "DaemonFixture":
        self._endpoint = await asyncio.start_server(self._accept, HOST, 0)
        self._endpoint_port = port = self._endpoint.sockets[0].getsockname()[1]
        listener = listen(HOST, 0)
        self.port = listener.getsockname()[1]
        settings = DaemonSettings(
            "f/v", "z", "r", HOST, UNUSED_ADDRESS, UNUSED_ADDRESS, "k" * 16, self.port
        )
        self.node = Node(settings, SystemClock(), Incarnation(5))
        load_documents(self.node, Address(HOST), port, (Incarnation(5),))
        self._pool = ConnectionPool(HOST)
        http_client = HttpClient(HOST)
        suspicions = build_exchange(self.node, self._pool)
        peer_protocol = PeerProtocol(self.node, http_client, suspicions)
        handler = RequestHandler(self.node, self._pool, suspicions)
        api = DaemonApi(self.node, peer_protocol)
        changes = ChangeWriter(
            self.node, peer_protocol, HttpStore(http_client, UNUSED_ADDRESS), http_client
        )
        self._server = HttpServer(self.node, api, changes, handler)
        self._server_task = asyncio.ensure_future(self._server.serve(listener))
        self._poll_task = asyncio.ensure_future(self._poll(handler))
        return self

    async def _poll(self, handler: RequestHandler) -> None:
        """Polls admission periodically, as the daemon process does."""
        while True:
            handler.poll_admission()
            await asyncio.sleep(0.02)

    async def __aexit__(self, *error: object) -> None:
        self._server_task.cancel()
        await self._server.close(at_once=True)
        self._poll_task.cancel()
        self._pool.close()
        self._endpoint.close()

    def stop_endpoint(self) -> None:
        """Refuses further connections to the endpoint."""
        self._endpoint.close()

    async def restart_endpoint(self) -> None:
        """Accepts connections at the endpoint's address again."""
        self._endpoint = await asyncio.start_server(self._accept, HOST, self._endpoint_port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers all requests of a connection with the reply scripted for it."""
        reply = self.replies[min(self.connections, len(self.replies) - 1)]
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head)
                await reply(reader, writer)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send_request(
        self,
        method: str = "GET",
        target: str = "/b/1",
        body: bytes = b"",
        **extra_headers: str,
    ) -> Answer | FetchFailure:
        headers = [
            *SERVICE_HEADERS,
            *((name.replace("_", "-"), value) for name, value in extra_headers.items()),
        ]
        return await fetch(HOST, HOST, self.port, method, target, headers, body, 30.0)

    def new_id(self, nonce: str, incarnation: int = 5) -> str:
        expires_ms = self.node.clock.wall_ms() + 30_000
        return str(RequestId(Address(HOST), Incarnation(incarnation), expires_ms, nonce))


def build_reply(raw: bytes, close: bool = False) -> ScriptedReply:
    """Returns a reply that writes raw bytes and optionally closes the connection."""

    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        if close:
            writer.close()

    return reply


async def read_until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Sends no answer and closes once the peer has closed the connection."""
    await reader.read()
    writer.close()


# Longer than the bodies that are buffered, and than what the buffers of the sockets take.
LONG_BODY = bytes(8 * 1024 * 1024)
OK_ANSWER = build_reply(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
SHORT_ANSWER = build_reply(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", close=True)
NO_ANSWER = build_reply(b"", close=True)
SHED_ANSWER = build_reply(b"HTTP/1.1 503 X\r\nx-shed: not-begun\r\ncontent-length: 0\r\n\r\n")
SURPLUS_BYTES = build_reply(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
               b"content-length: 5\r\n\r\nother")  # fmt: skip


class RequestHandlerTest(unittest.IsolatedAsyncioTestCase):
    def assert_answer(
        self, answer: Answer | FetchFailure, status: int, kind: str = "", outcome: str = ""
    ):
        assert isinstance(answer, Answer), answer
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.headers.get("lycheepin-error", ""), kind)
        self.assertEqual(answer.headers.get("lycheepin-outcome", ""), outcome)

    async def test_connection_is_reused_after_a_complete_answer(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for _ in range(3):
                self.assert_answer(await fixture.send_request(), 200)
            self.assertEqual((fixture.connections, len(fixture.requests)), (1, 3))

    async def test_protected_request_is_not_retried_after_a_broken_connection(self) -> None:
        async with DaemonFixture([NO_ANSWER, OK_ANSWER]) as fixture:
            request_id = fixture.new_id("n1")
            first = await fixture.send_request("POST", "/o/1", lycheepin_request_id=request_id)
            self.assert_answer(first, 502, "endpoint_broke", "OUTCOME_UNKNOWN")
            repeated = await fixture.send_request("POST", "/o/1", lycheepin_request_id=request_id)
            self.assert_answer(repeated, 502, "endpoint_broke", "OUTCOME_UNKNOWN")
            self.assertEqual(len(fixture.requests), 1)

    async def test_idempotent_request_is_retried_after_a_broken_connection(self) -> None:
        async with DaemonFixture([NO_ANSWER, OK_ANSWER]) as fixture:
            self.assert_answer(await fixture.send_request(), 200)
            self.assertEqual(len(fixture.requests), 2)

    async def test_shed_after_a_broken_attempt_keeps_outcome_unknown(self) -> None:
        async with DaemonFixture([NO_ANSWER, SHED_ANSWER]) as fixture:
            answer = await fixture.send_request()
            assert isinstance(answer, Answer)
            self.assertGreater(len(fixture.requests), 1)
            self.assertEqual(answer.headers["lycheepin-outcome"], "OUTCOME_UNKNOWN")

    async def test_hop_header_with_a_forged_peer_token_is_ignored(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            answer = await fixture.send_request(lycheepin_peer="forged", lycheepin_hop="holder")
            self.assert_answer(answer, 200)

    async def test_concurrent_repeats_get_the_answer_of_one_run(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            request_id = fixture.new_id("n2")
            answers = await asyncio.gather(
                *(
                    fixture.send_request("POST", "/o/1", lycheepin_request_id=request_id)
                    for _ in range(5)
                )
            )
            for answer in answers:
                self.assert_answer(answer, 200)
                self.assertEqual(answer.body, b"ok")
            self.assertEqual(len(fixture.requests), 1)

    async def test_request_runs_twice_when_the_owner_forgets_ids(self) -> None:
        """Checks that the count of received requests detects a repeated run."""
        with mock.patch.object(RequestIdTable, "begin", lambda table, request, now_ms: Run()):
            async with DaemonFixture([OK_ANSWER]) as fixture:
                request_id = fixture.new_id("n5")
                for _ in range(2):
                    await fixture.send_request("POST", "/o/1", lycheepin_request_id=request_id)
                self.assertEqual(len(fixture.requests), 2)

    async def test_id_of_an_ended_incarnation_is_refused_without_a_run(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            request_id = fixture.new_id("n3", incarnation=4)
            answer = await fixture.send_request("POST", "/o/1", lycheepin_request_id=request_id)
            self.assert_answer(answer, 409, "home_gone", "OUTCOME_UNKNOWN")
            self.assertEqual(fixture.requests, [])

    async def test_truncated_answer_is_an_error_for_the_caller(self) -> None:
        async with DaemonFixture([SHORT_ANSWER]) as fixture:
            self.assertIsInstance(await fixture.send_request(), FetchFailure)

    # Guards against an endpoint being handed the time that opening its connection has used up.
    async def test_deadline_of_an_attempt_counts_from_its_sending(self) -> None:
        acquire = ConnectionPool.acquire

        async def acquire_late(pool: ConnectionPool, *target: object) -> object:
            await asyncio.sleep(0.5)
            return await acquire(pool, *target)  # type: ignore[arg-type]

        with mock.patch.object(ConnectionPool, "acquire", acquire_late):
            async with DaemonFixture([OK_ANSWER]) as fixture:
                self.assert_answer(await fixture.send_request("GET", "/t/1"), 200)
        deadlines = re.findall(rb"lycheepin-deadline-ms: (\d+)", fixture.requests[0])
        self.assertEqual(len(deadlines), 1)
        self.assertLessEqual(int(deadlines[0]), 1000)

    # Guards against an answer without a length that broke off reaching the caller as a whole one.
    async def test_answer_without_length_of_an_endpoint_that_ended_is_an_error(self) -> None:
        fixture = DaemonFixture([])

        async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            fixture.stop_endpoint()
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nfirst part")
            writer.close()

        fixture.replies.append(end)
        async with fixture:
            self.assertIsInstance(await fixture.send_request(), FetchFailure)

    async def test_answer_without_length_of_an_endpoint_that_runs_is_whole(self) -> None:
        async with DaemonFixture([build_reply(b"HTTP/1.1 200 OK\r\n\r\nall", True)]) as fixture:
            answer = await fixture.send_request()
            self.assert_answer(answer, 200)
            assert isinstance(answer, Answer)
            self.assertEqual(answer.body, b"all")

    # Guards against the next request being read as the rest of a body that was not sent.
    async def test_connection_of_an_answer_before_the_end_of_the_body_is_not_used_again(
        self,
    ) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for number in range(2):
                answer = await fixture.send_request(
                    "POST",
                    "/o/1",
                    LONG_BODY,
                    lycheepin_request_id=fixture.new_id(f"e{number}"),
                )
                self.assert_answer(answer, 200)
            self.assertEqual((fixture.connections, len(fixture.requests)), (2, 2))

    async def test_surplus_bytes_are_not_read_as_the_next_answer(self) -> None:
        async with DaemonFixture([SURPLUS_BYTES, OK_ANSWER]) as fixture:
            for _ in range(3):
                answer = await fixture.send_request()
                self.assert_answer(answer, 200)
                self.assertEqual(answer.body, b"ok")
            self.assertGreaterEqual(fixture.connections, 2)

    async def test_late_answer_is_not_sent_to_the_next_caller(self) -> None:
        async with DaemonFixture([read_until_closed, OK_ANSWER]) as fixture:
            late_answer = await fixture.send_request(target="/t/1")
            self.assert_answer(late_answer, 504, "endpoint_timeout", "OUTCOME_UNKNOWN")
            answer = await fixture.send_request()
            self.assert_answer(answer, 200)

    async def test_shed_request_has_outcome_not_run(self) -> None:
        async with DaemonFixture([SHED_ANSWER]) as fixture:
            answer = await fixture.send_request(
                "POST", "/o/1", lycheepin_request_id=fixture.new_id("n4")
            )
            assert isinstance(answer, Answer)
            self.assertEqual(answer.headers["lycheepin-outcome"], "NOT_RUN")

    async def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            await fixture.send_request(
                connection="x-secret", x_secret="1", te="trailers", x_open="2"
            )
            head = fixture.requests[0].lower()
            self.assertNotIn(b"x-secret", head)
            self.assertNotIn(b"\r\nte:", head)
            self.assertIn(b"x-open: 2", head)

    async def test_unknown_class_missing_headers_and_invalid_id_are_refused(self) -> None:
        async with DaemonFixture([OK_ANSWER]) as fixture:
            self.assert_answer(await fixture.send_request("PATCH"), 404, "unknown_class", "NOT_RUN")
            answer = await fetch(HOST, HOST, fixture.port, "GET", "/b", [])
            self.assert_answer(answer, 400, "bad_request", "NOT_RUN")
            forged_id = await fixture.send_request("POST", "/o", lycheepin_request_id="x_y_z_w")
            self.assert_answer(forged_id, 400, "bad_request", "NOT_RUN")

    async def test_ambiguous_or_oversized_head_is_refused(self) -> None:
        heads = (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"X: " + b"a" * 40_000 + b"\r\n",
            b"".join(b"X%d: 1\r\n" % n for n in range(150)),
        )
        async with DaemonFixture([OK_ANSWER]) as fixture:
            for head in heads:
                reader, writer = await asyncio.open_connection(HOST, fixture.port)
                writer.write(b"POST /o/1 HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n0\r\n\r\n")
                answer = await reader.read()
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), head[:40])
                self.assertIn(b"lycheepin-outcome: NOT_RUN", answer)
                writer.close()
            self.assertEqual(fixture.requests, [])

    async def test_tokens_are_released_after_every_kind_of_answer(self) -> None:
        async with DaemonFixture([NO_ANSWER, SHORT_ANSWER, SHED_ANSWER, OK_ANSWER]) as fixture:
            for number in range(6):
                await fixture.send_request(
                    "POST", "/o/1", lycheepin_request_id=fixture.new_id(f"m{number}")
                )
            await asyncio.sleep(1.2)
            self.assertEqual(sum(load.in_use for load in fixture.node.service_loads()), 0)
            self.assertEqual(fixture.node.in_flight, 0)
