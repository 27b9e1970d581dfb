"""The HTTP server of a daemon: strict framing, API routes and dispatch to the request handler."""

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
from lycheepin.daemon.api import DaemonApi
from lycheepin.daemon.caller_request import CallerRequest
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.node import Node
from lycheepin.daemon.requests import RequestHandler
from lycheepin.errors import ErrorKind, Fault

__all__ = ["HttpServer", "build_server"]

API_PREFIX = "/_lycheepin/"
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
KEEP_ALIVE_S = 30
LOOPBACK_PREFIXES = ("127.", "::1")


class OversizedHead(Exception):
    """The head of a request has too many bytes or header fields."""


class StrictProtocol(HttpToolsProtocol):
    """HTTP protocol that refuses an oversized or ambiguous head with the outcome NOT_RUN."""

    _head_bytes = 0
    _head_fields = 0

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request; resets the counts of the head."""
        self._head_bytes = 0
        self._head_fields = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._count_head_field(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._count_head_field(len(name) + len(value))
        super().on_header(name, value)

    def _count_head_field(self, size: int) -> None:
        """Counts one field of the head; raises OversizedHead over a limit."""
        self._head_bytes += size
        self._head_fields += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._head_fields > MAX_HEADERS:
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
    """A uvicorn server that does not install signal handlers."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Does nothing; the daemon handles signals."""
        yield


def build_server(
    node: Node, api: DaemonApi, changes: ChangeWriter, handler: RequestHandler
) -> HttpServer:
    """Returns the server of a daemon, to be started with `serve(sockets=...)`."""
    routes = build_routes(node, api, changes)

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["path"].startswith(API_PREFIX):
            await routes(scope, receive, send)
        else:
            await handler.handle(CallerRequest(scope, receive, send))

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


def _json_response(value: Any) -> Response:
    """Returns a response with a JSON body and status 200, or the status of a fault."""
    if isinstance(value, Fault):
        status, body = value.answer.status, value.body()
    else:
        status, body = 200, value
    return Response(status, content=Content(b"application/json", json.dumps(body).encode()))


def _query_parameter(request: Request, name: str) -> str:
    """Returns the first value of a query parameter, or an empty string."""
    values = request.query.get(name)
    return unquote(values[0]) if values else ""


def _is_operator(node: Node, request: Request) -> bool:
    """Returns whether a call carries the operator key.

    Without a configured key, calls are allowed only if the daemon listens on loopback.
    """
    key = node.settings.operator_key
    if not key:
        return node.settings.address.startswith(LOOPBACK_PREFIXES)
    given_key = request.get_first_header(b"lycheepin-operator-key") or b""
    return hmac.compare_digest(given_key, key.encode())


def _is_peer(node: Node, request: Request) -> bool:
    """Returns whether a call carries the token for calls of peers to this daemon."""
    given_token = request.get_first_header(b"lycheepin-peer") or b""
    return hmac.compare_digest(given_token, node.own_peer_token)


def build_routes(node: Node, api: DaemonApi, changes: ChangeWriter) -> Application:
    """Returns the application with the routes for callers, operators and peers."""
    app = Application(router=Router())
    _add_caller_routes(app, api)
    _add_operator_routes(app, node, api, changes)
    _add_peer_routes(app, node)
    return app


def _add_caller_routes(app: Application, api: DaemonApi) -> None:
    """Adds the look-up route."""

    @app.router.get(API_PREFIX + "lookup")
    async def look_up(request: Request) -> Response:
        """Answers with the entry VMs for a caller."""
        caller_address = _query_parameter(request, "caller") or request.original_client_ip
        return _json_response(
            api.look_up(
                _query_parameter(request, "fleet"),
                _query_parameter(request, "service"),
                caller_address,
            )
        )


def _add_operator_routes(
    app: Application, node: Node, api: DaemonApi, changes: ChangeWriter
) -> None:
    """Adds the metrics route and the routes that need the operator key."""

    async def answer_operator(request: Request, answer: Callable[[], Awaitable[Any]]) -> Response:
        """Answers a call if it is authorized; a ValueError becomes a BAD_REQUEST fault."""
        if not _is_operator(node, request):
            return _json_response(Fault(ErrorKind.FORBIDDEN))
        try:
            return _json_response(await answer())
        except ValueError as error:
            return _json_response(Fault(ErrorKind.BAD_REQUEST, str(error)))

    @app.router.get(API_PREFIX + "metrics")
    async def metrics(request: Request) -> Response:
        """Answers with the metrics in the Prometheus text format."""
        text = node.metrics.to_prometheus(api.gauges())
        return Response(200, content=Content(b"text/plain; version=0.0.4", text.encode()))

    @app.router.get(API_PREFIX + "status")
    async def status(request: Request) -> Response:
        """Answers with the state of this daemon."""

        async def answer() -> Any:
            return api.describe_status()

        return await answer_operator(request, answer)

    @app.router.get(API_PREFIX + "explain")
    async def explain(request: Request) -> Response:
        """Answers with the inputs and the result of a look-up."""

        async def answer() -> Any:
            fleet, service = _query_parameter(request, "fleet"), _query_parameter(
                request, "service"
            )
            return api.explain_lookup(fleet, service, _query_parameter(request, "caller"))

        return await answer_operator(request, answer)

    @app.router.get(API_PREFIX + "events")
    async def events(request: Request) -> Response:
        """Answers with the events after a stamp."""

        async def answer() -> Any:
            since = int(_query_parameter(request, "since") or 0)
            return [event.to_json() for event in node.events.since(since)]

        return await answer_operator(request, answer)

    @app.router.get(API_PREFIX + "config")
    async def show_configuration(request: Request) -> Response:
        """Answers with the configuration in force."""

        async def answer() -> Any:
            return api.configuration()

        return await answer_operator(request, answer)

    @app.router.post(API_PREFIX + "config")
    async def apply_change(request: Request) -> Response:
        """Applies a configuration change."""

        async def answer() -> Any:
            return await changes.apply_change(json.loads(await request.read() or b""))

        return await answer_operator(request, answer)

    @app.router.get(API_PREFIX + "config/coverage")
    async def coverage(request: Request) -> Response:
        """Answers with the coverage of a configuration number, as lists of VMs."""

        async def answer() -> Any:
            return await changes.collect_coverage(int(_query_parameter(request, "number") or 0))

        return await answer_operator(request, answer)


def _add_peer_routes(app: Application, node: Node) -> None:
    """Adds the routes for calls between daemons."""

    @app.router.get(API_PREFIX + "peer/document")
    async def document(request: Request) -> Response:
        """Answers with a compressed document and its revision."""
        if not _is_peer(node, request):
            return _json_response(Fault(ErrorKind.FORBIDDEN))
        replica = node.replicas.get(_query_parameter(request, "name"))
        if replica is None:
            return _json_response(Fault(ErrorKind.NO_CONFIGURATION))
        headers = [(b"lycheepin-revision", str(replica.revision).encode())]
        content = Content(b"application/octet-stream", compress(replica.content))
        return Response(200, headers, content)

    @app.router.get(API_PREFIX + "peer/members")
    async def members(request: Request) -> Response:
        """Answers with all members, for a daemon that joins."""
        if not _is_peer(node, request):
            return _json_response(Fault(ErrorKind.FORBIDDEN))
        known = [node.membership.local_member, *node.membership.members()]
        content = Content(b"application/octet-stream", encode_members(known))
        return Response(200, content=content)

    @app.router.get(API_PREFIX + "peer/number")
    async def number(request: Request) -> Response:
        """Answers with the number of the configuration in force."""
        if not _is_peer(node, request):
            return _json_response(Fault(ErrorKind.FORBIDDEN))
        text = str(node.replicas.revision(CONFIGURATION))
        return Response(200, content=Content(b"text/plain", text.encode()))
