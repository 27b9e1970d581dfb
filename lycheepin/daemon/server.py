"""The HTTP side of a daemon: strict framing, routes, and the way into the request path."""

from __future__ import annotations

import hmac
import json
from collections.abc import Awaitable, Callable, Generator
from contextlib import contextmanager
from typing import Any
from urllib.parse import unquote

import uvicorn
from blacksheep import Application, Content, Request, Response, Router
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lycheepin.cluster.documents import CONFIGURATION, compress
from lycheepin.cluster.member import encode_members
from lycheepin.daemon.api import Operators
from lycheepin.daemon.caller_request import CallerRequest
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.node import Node
from lycheepin.daemon.requests import RequestHandler
from lycheepin.errors import ErrorKind, Fault

__all__ = ["HttpServer", "build_server"]

PREFIX = "/_lycheepin/"
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
KEEP_ALIVE_S = 30
LOOPBACK = ("127.", "::1")


class OversizedHead(Exception):
    """The head of a request is larger than allowed."""


class StrictProtocol(HttpToolsProtocol):
    """Refuses requests with an oversized or ambiguous head by a fault that says NOT_RUN."""

    _head_bytes = 0
    _head_count = 0

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._head_bytes = 0
        self._head_count = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._count_head(len(name) + len(value))
        super().on_header(name, value)

    def _count_head(self, size: int) -> None:
        """Raises OversizedHead when the head has become too large."""
        self._head_bytes += size
        self._head_count += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._head_count > MAX_HEADERS:
            raise OversizedHead

    def send_400_response(self, msg: str) -> None:
        """Answers a request that could not be parsed and closes the connection."""
        body = json.dumps(Fault(ErrorKind.BAD_FRAMING).body()).encode()
        head = (
            b"HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\n"
            b"lycheepin-outcome: NOT_RUN\r\nlycheepin-error: bad_framing\r\n"
            b"connection: close\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        self.transport.write(head + body)
        self.transport.close()


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Does nothing: the daemon handles signals itself."""
        yield


def build_server(
    node: Node, operators: Operators, changes: ChangeWriter, path: RequestHandler
) -> HttpServer:
    """Returns the server of a daemon; its sockets are passed when it is started."""
    routes = build_routes(node, operators, changes)

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["path"].startswith(PREFIX):
            await routes(scope, receive, send)
        else:
            await path.handle(CallerRequest(scope, receive, send))

    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=StrictProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=None,
    )
    return HttpServer(config)


def _json(value: Any) -> Response:
    """Returns an answer with a JSON body; a fault gets its own status."""
    if isinstance(value, Fault):
        status, body = value.answer.status, value.body()
    else:
        status, body = 200, value
    return Response(status, content=Content(b"application/json", json.dumps(body).encode()))


def _query(request: Request, name: str) -> str:
    """Returns the first value of a query parameter; empty when there is none."""
    values = request.query.get(name)
    return unquote(values[0]) if values else ""


def _may_administer(node: Node, request: Request) -> bool:
    """Returns whether a call carries the operator key, or may go without one."""
    key = node.settings.operator_key
    if not key:
        return node.settings.address.startswith(LOOPBACK)
    given = request.get_first_header(b"lycheepin-operator-key") or b""
    return hmac.compare_digest(given, key.encode())


def _is_peer(node: Node, request: Request) -> bool:
    """Returns whether a call comes from another daemon."""
    given = request.get_first_header(b"lycheepin-peer") or b""
    return hmac.compare_digest(given, node.own_token)


def build_routes(node: Node, operators: Operators, changes: ChangeWriter) -> Application:
    """Returns the application with all routes of callers, operators and peers."""
    app = Application(router=Router())
    _add_caller_routes(app, operators)
    _add_operator_routes(app, node, operators, changes)
    _add_peer_routes(app, node)
    return app


def _add_caller_routes(app: Application, operators: Operators) -> None:
    """Adds the look-up."""

    @app.router.get(PREFIX + "lookup")
    async def look_up(request: Request) -> Response:
        """Answers which entry VMs to use."""
        caller = _query(request, "caller") or request.original_client_ip
        return _json(
            operators.look_up(_query(request, "fleet"), _query(request, "service"), caller)
        )


def _add_operator_routes(
    app: Application, node: Node, operators: Operators, changes: ChangeWriter
) -> None:
    """Adds metrics, and the calls that need the operator key: status, events, configuration."""

    async def guarded(request: Request, answer: Callable[[], Awaitable[Any]]) -> Response:
        """Answers a call if it may be made."""
        if not _may_administer(node, request):
            return _json(Fault(ErrorKind.FORBIDDEN))
        try:
            return _json(await answer())
        except ValueError as error:
            return _json(Fault(ErrorKind.BAD_REQUEST, str(error)))

    @app.router.get(PREFIX + "metrics")
    async def metrics(request: Request) -> Response:
        """Answers metrics as Prometheus text."""
        text = node.metrics.to_prometheus(operators.gauges())
        return Response(200, content=Content(b"text/plain; version=0.0.4", text.encode()))

    @app.router.get(PREFIX + "status")
    async def status(request: Request) -> Response:
        """Answers the state of this daemon."""

        async def answer() -> Any:
            return operators.status()

        return await guarded(request, answer)

    @app.router.get(PREFIX + "explain")
    async def explain(request: Request) -> Response:
        """Answers why a caller is sent where it is."""

        async def answer() -> Any:
            fleet, service = _query(request, "fleet"), _query(request, "service")
            return operators.explain(fleet, service, _query(request, "caller"))

        return await guarded(request, answer)

    @app.router.get(PREFIX + "events")
    async def events(request: Request) -> Response:
        """Answers the events since a stamp."""

        async def answer() -> Any:
            since = int(_query(request, "since") or 0)
            return [event.to_json() for event in node.events.since(since)]

        return await guarded(request, answer)

    @app.router.get(PREFIX + "config")
    async def show(request: Request) -> Response:
        """Answers the configuration in force."""

        async def answer() -> Any:
            return operators.configuration()

        return await guarded(request, answer)

    @app.router.post(PREFIX + "config")
    async def apply(request: Request) -> Response:
        """Puts a configuration in force."""

        async def answer() -> Any:
            return await changes.apply(json.loads(await request.read() or b""))

        return await guarded(request, answer)

    @app.router.get(PREFIX + "config/coverage")
    async def coverage(request: Request) -> Response:
        """Answers which daemons have a configuration in force."""

        async def answer() -> Any:
            return await changes.coverage(int(_query(request, "number") or 0))

        return await guarded(request, answer)


def _add_peer_routes(app: Application, node: Node) -> None:
    """Adds the calls between daemons."""

    @app.router.get(PREFIX + "peer/document")
    async def document(request: Request) -> Response:
        """Answers the copy of a document."""
        if not _is_peer(node, request):
            return _json(Fault(ErrorKind.FORBIDDEN))
        copy = node.replicas.get(_query(request, "name"))
        if copy is None:
            return _json(Fault(ErrorKind.NO_CONFIGURATION))
        headers = [(b"lycheepin-revision", str(copy.revision).encode())]
        content = Content(b"application/octet-stream", compress(copy.content))
        return Response(200, headers, content)

    @app.router.get(PREFIX + "peer/members")
    async def members(request: Request) -> Response:
        """Answers all members, for a daemon that joins."""
        if not _is_peer(node, request):
            return _json(Fault(ErrorKind.FORBIDDEN))
        known = [node.membership.local_member, *node.membership.members()]
        content = Content(b"application/octet-stream", encode_members(known))
        return Response(200, content=content)

    @app.router.get(PREFIX + "peer/number")
    async def number(request: Request) -> Response:
        """Answers the number of the configuration in force."""
        if not _is_peer(node, request):
            return _json(Fault(ErrorKind.FORBIDDEN))
        text = str(node.replicas.revision(CONFIGURATION))
        return Response(200, content=Content(b"text/plain", text.encode()))
