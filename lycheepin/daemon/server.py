"""The HTTP server of a daemon: its framing, its API routes and dispatch to the request handler."""

from __future__ import annotations

import asyncio
import hmac
import json
import math
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from blacksheep import Application, Content, Request, Response, Router

from lycheepin.cluster.documents import CONFIGURATION, compress
from lycheepin.cluster.member import encode_members
from lycheepin.daemon.api import DaemonApi
from lycheepin.daemon.asgi import answer_with_application
from lycheepin.daemon.caller_request import CallerRequest
from lycheepin.daemon.changes import ChangeWriter
from lycheepin.daemon.node import Node
from lycheepin.daemon.requests import RequestHandler
from lycheepin.errors import ErrorKind, Fault
from lycheepin.steering.routes import CallerLimits
from lycheepin.transport.incoming import IncomingRequest
from lycheepin.transport.listener import Listener

__all__ = ["HttpServer"]

API_PREFIX = "/_lycheepin/"
# Limits on requests; their bodies are streamed, whatever their size.
LIMITS = CallerLimits(
    max_header_bytes=32 * 1024,
    max_headers=101,
    max_body_bytes=1 << 50,
    header_timeout_s=10.0,
    idle_timeout_s=30.0,
)
LOOPBACK_PREFIXES = ("127.", "::1")


class HttpServer:
    """The server of a daemon, for callers, operators and other daemons."""

    def __init__(
        self, node: Node, api: DaemonApi, changes: ChangeWriter, handler: RequestHandler
    ) -> None:
        self._node = node
        self._routes = build_routes(node, api, changes)
        self._handler = handler
        self._listener = Listener(self._answer)
        self._listener.limits = LIMITS
        self._listener.build_refusal = _build_refusal
        self._listener.on_error = lambda error: node.log.error("request failed: {!r}", error)
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, listening: socket.socket) -> None:
        """Serves connections of a listening socket; runs until cancelled."""
        await self._listener.listen_on(listening)
        await self._listener.close_expired_connections()

    async def close(self, at_once: bool) -> None:
        """Stops accepting connections; waits for the answers being sent unless `at_once`."""
        loop = asyncio.get_running_loop()
        await self._listener.close_connections(loop.time() if at_once else math.inf)

    async def _answer(self, incoming: IncomingRequest) -> None:
        """Answers one request."""
        if incoming.path.startswith(API_PREFIX):
            await answer_with_application(self._routes, incoming)
            return
        request = CallerRequest(incoming)
        task = asyncio.ensure_future(self._handler.handle(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            request.caller_gone.set()
            raise
        if not request.answer_ended:
            incoming.abort()


def _build_refusal(status: int) -> bytes:
    """Returns the answer to a request that could not be parsed, or for which memory is short."""
    is_short = status == HTTPStatus.SERVICE_UNAVAILABLE
    fault = Fault(ErrorKind.NO_MEMORY if is_short else ErrorKind.BAD_FRAMING)
    status_line = b"503 Service Unavailable" if is_short else b"400 Bad Request"
    body = json.dumps(fault.body()).encode()
    return (
        b"HTTP/1.1 %b\r\ncontent-type: application/json\r\n"
        b"lycheepin-outcome: NOT_RUN\r\nlycheepin-error: %b\r\n"
        b"connection: close\r\ncontent-length: %d\r\n\r\n"
        % (status_line, fault.kind.value.encode(), len(body))
    ) + body


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
