"""What a request's headers say: service, class, deadline, id, and how it came here."""

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

__all__ = [
    "DEADLINE_HEADER",
    "FLEET_HEADER",
    "HOP_HEADER",
    "HOP_HOLDER",
    "HOP_HOME",
    "HOP_SHIFT",
    "ID_HEADER",
    "ORIGIN_HEADER",
    "PEER_HEADER",
    "SERVICE_HEADER",
    "Call",
    "Intake",
]

MS_PER_S = 1000

FLEET_HEADER = b"lycheepin-fleet"
SERVICE_HEADER = b"lycheepin-service"
DEADLINE_HEADER = b"lycheepin-deadline-ms"
ID_HEADER = b"lycheepin-request-id"
PEER_HEADER = b"lycheepin-peer"
HOP_HEADER = b"lycheepin-hop"
ORIGIN_HEADER = b"lycheepin-origin"

HOP_HOME = "home"
HOP_SHIFT = "shift"
HOP_HOLDER = "holder"


class Call:
    """What is known of one request after its headers were read."""

    def __init__(
        self,
        request: CallerRequest,
        name: QualifiedName,
        ticket: Ticket,
        hop: str,
        request_id: RequestId | None,
        began_s: float,
    ) -> None:
        self.request = request
        self.name = name
        self.ticket = ticket
        self.hop = hop
        self.request_id = request_id
        self.keep = False
        self.sent = False
        self.active = ActiveRequest(
            ticket.work_key, request.client, began_s, float(ticket.work.drain_target_s)
        )

    @property
    def work(self) -> WorkClass:
        """The class of the request."""
        return self.ticket.work


class Intake:
    """Reads the headers of requests."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def read(self, request: CallerRequest) -> Call | Fault:
        """Returns the call in a request, or the fault in its headers."""
        view = self._node.view
        if view is None:
            return Fault(ErrorKind.NO_CONFIGURATION)
        if request.method in ("CONNECT", "TRACE"):
            return Fault(ErrorKind.BAD_REQUEST, request.method)
        fleet, service = request.header(FLEET_HEADER), request.header(SERVICE_HEADER)
        if not fleet or not service:
            return Fault(ErrorKind.BAD_REQUEST, "lycheepin-fleet and lycheepin-service")
        name = QualifiedName(FleetName(fleet), service)
        merged = view.service_of(name)
        if merged is None:
            return Fault(ErrorKind.UNKNOWN_SERVICE, str(name))
        work = view.find_work_class(merged, request.method, request.path)
        if work is None:
            return Fault(ErrorKind.UNKNOWN_CLASS, f"{request.method} {request.path}")
        return self._read_call(request, name, merged, work)

    def _read_call(
        self, request: CallerRequest, name: QualifiedName, service: ServiceName, work: WorkClass
    ) -> Call | Fault:
        """Returns the call for a known service and class, or the fault in its headers."""
        hop = ""
        given = (request.header(PEER_HEADER) or "").encode()
        if hmac.compare_digest(given, self._node.own_token):
            hop = request.header(HOP_HEADER) or ""
        try:
            text = request.header(ID_HEADER)
            request_id = RequestId.parse(text) if text else None
            milliseconds = min(work.deadline_ms, int(request.header(DEADLINE_HEADER) or 1 << 31))
            origin = self._origin(request, hop)
        except ValueError as error:
            return Fault(ErrorKind.BAD_REQUEST, str(error))
        ticket = Ticket(
            fleet=name.fleet,
            service=service,
            work=work,
            deadline_s=self._node.clock.monotonic() + milliseconds / MS_PER_S,
            origin=origin,
            body_bytes=request.length or 0,
            may_shift=not hop or hop == HOP_HOME,
        )
        return Call(request, name, ticket, hop, request_id, self._node.clock.monotonic())

    def _origin(self, request: CallerRequest, hop: str) -> RegionName | None:
        """Returns the caller's region when it is another than this daemon's."""
        if hop in (HOP_SHIFT, HOP_HOLDER):
            named = request.header(ORIGIN_HEADER)
            return RegionName(named) if named else None
        if hop == HOP_HOME:
            return None
        region = self._node.blocks.region_of(request.client)
        return region if region != self._node.region else None
