"""Parsing of request headers: service, class, deadline, request id and forwarding hop."""

from __future__ import annotations

import hmac

from lycheepin.daemon.active_requests import ActiveRequest
from lycheepin.daemon.caller_request import CallerRequest
from lycheepin.daemon.node import Node
from lycheepin.errors import ErrorKind, Fault
from lycheepin.generated.settings import WorkClass
from lycheepin.names import FleetName, QualifiedName, RegionName, ServiceName
from lycheepin.steering.admission import Ticket
from lycheepin.steering.request_ids import RequestId
from lycheepin.steering.suspects import Fingerprint

__all__ = [
    "DEADLINE_HEADER",
    "FLEET_HEADER",
    "HOP_HEADER",
    "HOP_HOLDER",
    "HOP_OWNER",
    "HOP_SHIFT",
    "ID_HEADER",
    "ORIGIN_HEADER",
    "PEER_HEADER",
    "SERVICE_HEADER",
    "RequestContext",
    "RequestParser",
]

MS_PER_S = 1000

FLEET_HEADER = b"lycheepin-fleet"
SERVICE_HEADER = b"lycheepin-service"
DEADLINE_HEADER = b"lycheepin-deadline-ms"
ID_HEADER = b"lycheepin-request-id"
PEER_HEADER = b"lycheepin-peer"
HOP_HEADER = b"lycheepin-hop"
ORIGIN_HEADER = b"lycheepin-origin"

# Values of HOP_HEADER: forwarded to the owner of the request id, to another region, or to a
# daemon that holds tokens.
HOP_OWNER = "home"
HOP_SHIFT = "shift"
HOP_HOLDER = "holder"


class RequestContext:
    """A parsed request and the state of its handling.

    `hop` is the value of HOP_HEADER, or empty for a request that no daemon has forwarded.
    `fingerprint` is the same for all requests like it. `keep_answer` is true if the answer is
    stored for repeats of the request, and `sent` if an attempt was started.
    """

    def __init__(
        self,
        request: CallerRequest,
        name: QualifiedName,
        ticket: Ticket,
        hop: str,
        request_id: RequestId | None,
        started_s: float,
    ) -> None:
        self.request = request
        self.name = name
        self.ticket = ticket
        self.hop = hop
        self.request_id = request_id
        self.fingerprint = Fingerprint("")
        self.keep_answer = False
        self.sent = False
        self.active_request = ActiveRequest(
            ticket.work_class_key,
            request.caller_address,
            started_s,
            float(ticket.work_class.drain_target_s),
        )

    @property
    def work_class(self) -> WorkClass:
        """The class of the request."""
        return self.ticket.work_class


class RequestParser:
    """Parses the headers of requests."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def parse_request(self, request: CallerRequest) -> RequestContext | Fault:
        """Returns the context of a request, or a fault for invalid headers."""
        view = self._node.view
        if view is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        if request.method in ("CONNECT", "TRACE"):
            return Fault(ErrorKind.BAD_REQUEST, request.method)
        fleet, service = request.header(FLEET_HEADER), request.header(SERVICE_HEADER)
        if not fleet or not service:
            return Fault(ErrorKind.BAD_REQUEST, "lycheepin-fleet and lycheepin-service")
        name = QualifiedName(FleetName(fleet), service)
        merged_service = view.find_merged_service(name)
        if merged_service is None:
            return Fault(ErrorKind.UNKNOWN_SERVICE, str(name))
        work_class = view.find_work_class(merged_service, request.method, request.path)
        if work_class is None:
            return Fault(ErrorKind.UNKNOWN_CLASS, f"{request.method} {request.path}")
        return self._parse_context(request, name, merged_service, work_class)

    def _parse_context(
        self,
        request: CallerRequest,
        name: QualifiedName,
        service: ServiceName,
        work_class: WorkClass,
    ) -> RequestContext | Fault:
        """Returns the context for a known service and class, or a fault for invalid headers.

        HOP_HEADER is ignored without a valid peer token.
        """
        hop = ""
        given_token = (request.header(PEER_HEADER) or "").encode()
        if hmac.compare_digest(given_token, self._node.own_peer_token):
            hop = request.header(HOP_HEADER) or ""
        try:
            id_text = request.header(ID_HEADER)
            request_id = RequestId.parse(id_text) if id_text else None
            remaining_ms = min(
                work_class.deadline_ms, int(request.header(DEADLINE_HEADER) or 1 << 31)
            )
            origin = self._origin_region(request, hop)
        except ValueError as error:
            return Fault(ErrorKind.BAD_REQUEST, str(error))
        ticket = Ticket(
            fleet=name.fleet,
            service=service,
            work_class=work_class,
            deadline_s=self._node.clock.monotonic() + remaining_ms / MS_PER_S,
            origin=origin,
            body_bytes=request.content_length or 0,
            may_shift=not hop or hop == HOP_OWNER,
        )
        return RequestContext(request, name, ticket, hop, request_id, self._node.clock.monotonic())

    def _origin_region(self, request: CallerRequest, hop: str) -> RegionName | None:
        """Returns the caller's region, or None when it is this daemon's or unknown.

        Raises ValueError when the caller's address is invalid.
        """
        if hop in (HOP_SHIFT, HOP_HOLDER):
            origin_name = request.header(ORIGIN_HEADER)
            return RegionName(origin_name) if origin_name else None
        if hop == HOP_OWNER:
            return None
        region = self._node.block_table.region_of(request.caller_address)
        return region if region != self._node.region else None
