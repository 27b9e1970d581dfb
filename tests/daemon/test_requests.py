"""Tests of the request path over real sockets against a misbehaving endpoint."""

import asyncio
import json
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
from lycheepin.daemon.api import Operators
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.node import Node
from lycheepin.daemon.peers import PeerTask
from lycheepin.daemon.process import listen
from lycheepin.daemon.requests import RequestHandler
from lycheepin.daemon.server import build_server
from lycheepin.generated.settings import Address as AddressSetting
from lycheepin.generated.settings import DaemonSettings
from lycheepin.names import Address, Incarnation, Resource, Revision
from lycheepin.sources.store import HttpStore
from lycheepin.steering.capacity import slot_resource
from lycheepin.steering.plan import Grant, Plan, encode_plan
from lycheepin.steering.request_ids import RequestId, RequestIdTable, Run
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.connection import ConnectionPool
from standins.http_client import Answer, Failed, fetch

HOST = "127.77.0.1"
SLOTS = 4
FLEET = [("lycheepin-fleet", "f"), ("lycheepin-service", "s")]
NOWHERE = AddressSetting("127.77.0.9", 1)
Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

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
    """Puts configuration, VM list and plan in force; the first holder has the only endpoint."""
    document = check_configuration(CONFIGURATION_VALUE).unwrap()
    change = encode_change(create_change(None, "c", "a", "s", document))
    vms = {"revision": 1, "entries": [], "endpoints": [
        {"name": "f/e", "service": "f/s", "address": address, "port": port, "zone": "z",
         "region": "r", "slots": SLOTS, "state": "live"}]}  # fmt: skip
    node.accept(Document(CONFIGURATION, Revision(1), change))
    node.accept(Document(vms_document_name(node.region), Revision(1), json.dumps(vms).encode()))
    assert node.vms is not None
    grants: dict[Incarnation, dict[Resource, Grant]] = {holder: {} for holder in holders}
    grants[holders[0]][slot_resource(node.vms.endpoints[0])] = Grant(SLOTS, SLOTS)
    plan = encode_plan(Plan(Revision(1), grants))
    node.accept(Document(plan_document_name(node.region), Revision(1), plan))


class System:
    """One daemon and one scripted endpoint in this process."""

    def __init__(self, behaviours: list[Behaviour]) -> None:
        self._behaviours = behaviours
        self.connections = 0
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "System":
        self._endpoint = await asyncio.start_server(self._accept, HOST, 0)
        port = self._endpoint.sockets[0].getsockname()[1]
        listener = listen(HOST, 0)
        self.port = listener.getsockname()[1]
        settings = DaemonSettings("f/v", "z", "r", HOST, NOWHERE, NOWHERE, "k" * 16, self.port)
        self.node = Node(settings, SystemClock(), Incarnation(5))
        load_documents(self.node, Address(HOST), port, (Incarnation(5),))
        self._pool = ConnectionPool(HOST)
        http_client = HttpClient(HOST)
        peers = PeerTask(self.node, http_client)
        path = RequestHandler(self.node, self._pool)
        operators = Operators(self.node, peers)
        changes = ChangeWriter(self.node, peers, HttpStore(http_client, NOWHERE), http_client)
        self._server = build_server(self.node, operators, changes, path)
        self._task = asyncio.ensure_future(self._server.serve(sockets=[listener]))
        while not self._server.started:
            await asyncio.sleep(0.01)
        self._poller = asyncio.ensure_future(self._poll(path))
        return self

    async def _poll(self, path: RequestHandler) -> None:
        """Lets waiting requests go on, as the daemon's task does."""
        while True:
            path.poll()
            await asyncio.sleep(0.02)

    async def __aexit__(self, *error: object) -> None:
        self._server.should_exit = True
        self._server.force_exit = True
        await self._task
        self._poller.cancel()
        self._pool.close()
        self._endpoint.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Lets the next behaviour act on a connection."""
        behaviour = self._behaviours[min(self.connections, len(self._behaviours) - 1)]
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head)
                await behaviour(reader, writer)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def ask(self, method: str = "GET", target: str = "/b/1", **more: str) -> Answer | Failed:
        headers = [*FLEET, *((name.replace("_", "-"), value) for name, value in more.items())]
        return await fetch(HOST, HOST, self.port, method, target, headers, timeout_s=30.0)

    def new_id(self, nonce: str, incarnation: int = 5) -> str:
        expires_ms = self.node.clock.wall_ms() + 30_000
        return str(RequestId(Address(HOST), Incarnation(incarnation), expires_ms, nonce))


def says(raw: bytes, close: bool = False) -> Behaviour:
    """Returns a behaviour that sends bytes as they are."""

    async def behave(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        if close:
            writer.close()

    return behave


async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers nothing until the other side leaves."""
    await reader.read()
    writer.close()


OK = says(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
CUT = says(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", close=True)
BREAK = says(b"", close=True)
SHED = says(b"HTTP/1.1 503 X\r\nx-shed: not-begun\r\ncontent-length: 0\r\n\r\n")
SURPLUS = says(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
               b"content-length: 5\r\n\r\nother")  # fmt: skip


class RequestPathTest(unittest.IsolatedAsyncioTestCase):
    def expect(self, answer: Answer | Failed, status: int, kind: str = "", outcome: str = ""):
        assert isinstance(answer, Answer), answer
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.headers.get("lycheepin-error", ""), kind)
        self.assertEqual(answer.headers.get("lycheepin-outcome", ""), outcome)

    async def test_whole_answer_and_reuse_of_the_connection(self) -> None:
        async with System([OK]) as system:
            for _ in range(3):
                self.expect(await system.ask(), 200)
            self.assertEqual((system.connections, len(system.requests)), (1, 3))

    async def test_protected_request_is_sent_once_when_the_connection_breaks(self) -> None:
        async with System([BREAK, OK]) as system:
            request_id = system.new_id("n1")
            first = await system.ask("POST", "/o/1", lycheepin_request_id=request_id)
            self.expect(first, 502, "endpoint_broke", "OUTCOME_UNKNOWN")
            again = await system.ask("POST", "/o/1", lycheepin_request_id=request_id)
            self.expect(again, 502, "endpoint_broke", "OUTCOME_UNKNOWN")
            self.assertEqual(len(system.requests), 1)

    async def test_idempotent_request_is_retried(self) -> None:
        async with System([BREAK, OK]) as system:
            self.expect(await system.ask(), 200)
            self.assertEqual(len(system.requests), 2)

    async def test_refusal_after_a_break_does_not_claim_that_it_did_not_run(self) -> None:
        async with System([BREAK, SHED]) as system:
            answer = await system.ask()
            assert isinstance(answer, Answer)
            self.assertGreater(len(system.requests), 1)
            self.assertEqual(answer.headers["lycheepin-outcome"], "OUTCOME_UNKNOWN")

    async def test_forged_peer_token_is_no_peer(self) -> None:
        async with System([OK]) as system:
            answer = await system.ask(lycheepin_peer="forged", lycheepin_hop="holder")
            self.expect(answer, 200)

    async def test_repeat_gets_the_first_answer(self) -> None:
        async with System([OK]) as system:
            request_id = system.new_id("n2")
            answers = await asyncio.gather(
                *(system.ask("POST", "/o/1", lycheepin_request_id=request_id) for _ in range(5))
            )
            for answer in answers:
                self.expect(answer, 200)
                self.assertEqual(answer.body, b"ok")
            self.assertEqual(len(system.requests), 1)

    async def test_the_count_of_runs_shows_a_home_that_forgets(self) -> None:
        with mock.patch.object(RequestIdTable, "begin", lambda table, request, now_ms: Run()):
            async with System([OK]) as system:
                request_id = system.new_id("n5")
                for _ in range(2):
                    await system.ask("POST", "/o/1", lycheepin_request_id=request_id)
                self.assertEqual(len(system.requests), 2)

    async def test_id_of_an_ended_incarnation_does_not_run(self) -> None:
        async with System([OK]) as system:
            request_id = system.new_id("n3", incarnation=4)
            answer = await system.ask("POST", "/o/1", lycheepin_request_id=request_id)
            self.expect(answer, 409, "home_gone", "OUTCOME_UNKNOWN")
            self.assertEqual(system.requests, [])

    async def test_short_answer_is_a_visible_error(self) -> None:
        async with System([CUT]) as system:
            self.assertIsInstance(await system.ask(), Failed)

    async def test_surplus_bytes_never_reach_the_next_caller(self) -> None:
        async with System([SURPLUS, OK]) as system:
            for _ in range(3):
                answer = await system.ask()
                self.expect(answer, 200)
                self.assertEqual(answer.body, b"ok")
            self.assertGreaterEqual(system.connections, 2)

    async def test_late_answer_never_reaches_another_caller(self) -> None:
        async with System([hang, OK]) as system:
            late = await system.ask(target="/t/1")
            self.expect(late, 504, "endpoint_timeout", "OUTCOME_UNKNOWN")
            answer = await system.ask()
            self.expect(answer, 200)

    async def test_shed_is_not_run(self) -> None:
        async with System([SHED]) as system:
            answer = await system.ask("POST", "/o/1", lycheepin_request_id=system.new_id("n4"))
            assert isinstance(answer, Answer)
            self.assertEqual(answer.headers["lycheepin-outcome"], "NOT_RUN")

    async def test_hop_by_hop_headers_stay(self) -> None:
        async with System([OK]) as system:
            await system.ask(connection="x-secret", x_secret="1", te="trailers", x_open="2")
            head = system.requests[0].lower()
            self.assertNotIn(b"x-secret", head)
            self.assertNotIn(b"\r\nte:", head)
            self.assertIn(b"x-open: 2", head)

    async def test_unknown_names_are_refused(self) -> None:
        async with System([OK]) as system:
            self.expect(await system.ask("PATCH"), 404, "unknown_class", "NOT_RUN")
            answer = await fetch(HOST, HOST, system.port, "GET", "/b", [])
            self.expect(answer, 400, "bad_request", "NOT_RUN")
            forged = await system.ask("POST", "/o", lycheepin_request_id="x_y_z_w")
            self.expect(forged, 400, "bad_request", "NOT_RUN")

    async def test_ambiguous_framing_is_refused(self) -> None:
        heads = (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"X: " + b"a" * 40_000 + b"\r\n",
            b"".join(b"X%d: 1\r\n" % n for n in range(150)),
        )
        async with System([OK]) as system:
            for head in heads:
                reader, writer = await asyncio.open_connection(HOST, system.port)
                writer.write(b"POST /o/1 HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n0\r\n\r\n")
                answer = await reader.read()
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), head[:40])
                self.assertIn(b"lycheepin-outcome: NOT_RUN", answer)
                writer.close()
            self.assertEqual(system.requests, [])

    async def test_tokens_return_after_every_kind_of_end(self) -> None:
        async with System([BREAK, CUT, SHED, OK]) as system:
            for number in range(6):
                await system.ask("POST", "/o/1", lycheepin_request_id=system.new_id(f"m{number}"))
            await asyncio.sleep(1.2)
            self.assertEqual(sum(load.in_use for load in system.node.loads()), 0)
            self.assertEqual(system.node.in_flight, 0)
