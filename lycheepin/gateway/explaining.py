"""The state that a gateway decides on, for operators who ask where a request would go."""

from __future__ import annotations

import asyncio
import time

import msgspec

from lycheepin.gateway.mirror import StoreReplica
from lycheepin.gateway.quota_exchange import QuotaExchange, read_clock_s
from lycheepin.names import DaemonName
from lycheepin.steering.dispatch import Dispatcher
from lycheepin.steering.fleet import EndpointRegistry
from lycheepin.steering.routes import RoutingTable
from lycheepin.steering.saved_state import SteeringState
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["STATE_PATH", "answer_state_call"]

# Path of the calls for the state; `lycheepin explain` makes them.
STATE_PATH = "/_lycheepin/steering"
_JSON = [(b"Content-Type", b"application/json")]


def answer_state_call(
    request: IncomingRequest,
    daemon: DaemonName,
    table: RoutingTable | None,
    registry: EndpointRegistry,
    dispatcher: Dispatcher,
    replica: StoreReplica,
    quotas: QuotaExchange,
) -> None:
    """Answers with the state, and with the workspace of the key that the call carries, if any."""
    now_s = asyncio.get_running_loop().time()
    state = SteeringState.capture(
        daemon,
        table,
        registry,
        dispatcher,
        now_s,
        time.time(),
        replica.age_s(now_s),
        quotas.ledger.find_standings(read_clock_s()),
    )
    workspace = None
    if table is not None and table.workspaces is not None:
        credentials = [v for name, v in request.headers if name.lower() == b"authorization"]
        workspace = table.workspaces.identify(credentials)
    body = {"workspace": workspace.name if workspace is not None else None, "state": state}
    request.respond(200, list(_JSON), msgspec.json.encode(body))
