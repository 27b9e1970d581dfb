"""How the daemons of the project's own interface tell each other which requests crash endpoints."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from lycheepin.cluster.documents import choose_responsible_members
from lycheepin.cluster.member import Member, MemberState
from lycheepin.daemon.node import Node
from lycheepin.generated.messages import Envelope, SuspicionNotice
from lycheepin.names import Address, DaemonName, EndpointId, RegionName
from lycheepin.quarantine.exchange import SuspicionExchange
from lycheepin.sources.vms import EndpointVm, VmState
from lycheepin.steering.endpoint import EndpointProcess
from lycheepin.steering.suspects import Fingerprint, SuspectRegistry, Suspicion
from lycheepin.transport.connection import ConnectionPool

__all__ = ["SuspicionSpreader", "WatchedEndpoint", "build_exchange"]

# Time in milliseconds within which crashes of one VM count as one: the VM list doesn't tell the
# processes of a VM apart, and several daemons observe the same crash.
SAME_CRASH_MS = 10_000
# Times in seconds after which a notice is sent again, since datagrams may be lost.
REPEATS_S = (0.0, 0.3, 1.0)
# Daemons of each other region that get a notice, and pass it on there.
TOLD_PER_REGION = 2
# Notices that are remembered, so that each is applied once.
MAX_KNOWN = 4096

SendMessage = Callable[[Address, int, Envelope], None]


@dataclass(frozen=True)
class WatchedEndpoint:
    """An endpoint of the VM list, at the time in Unix milliseconds at which a request is sent."""

    vm: EndpointVm
    now_ms: int

    @property
    def process(self) -> EndpointProcess:
        """The process that it runs in, as far as the VM list tells."""
        return EndpointProcess(EndpointId(str(self.vm.name)), self.now_ms // SAME_CRASH_MS)

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return self.vm.address

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.vm.port

    @property
    def is_leaving(self) -> bool:
        """Whether it ends as planned."""
        return self.vm.state is VmState.LEAVING


def build_exchange(node: Node, pool: ConnectionPool) -> SuspicionExchange:
    """Returns what a daemon suspects; one member of all is responsible for probes of a request."""

    def may_probe(fingerprint: Fingerprint, now_s: float) -> bool:
        addresses = [member.address for member in _list_alive(node)] + [node.address]
        return choose_responsible_members(addresses, fingerprint, 1) == [node.address]

    def exclude_endpoint(process: EndpointProcess, now_s: float) -> None:
        node.events.record("endpoint_crashed", process.id)

    def write_log(event: str, **fields: object) -> None:
        node.metrics.count("suspicions", event)
        node.log.info("{} {}", event, fields)

    own = DaemonName(f"{node.settings.vm}@{node.address}")
    return SuspicionExchange(own, SuspectRegistry(may_probe), exclude_endpoint, pool, write_log)


class SuspicionSpreader:
    """Tells all daemons of the region, and through a few of them those of the other regions."""

    def __init__(self, node: Node, exchange: SuspicionExchange, send_message: SendMessage) -> None:
        self._node = node
        self._exchange = exchange
        self._send_message = send_message
        self._random = random.Random(node.incarnation)
        self._known: dict[Suspicion, None] = {}
        exchange.publisher = self

    def publish(self, suspicion: Suspicion, delay_s: float = 0.0) -> None:
        """Tells the other daemons after a delay in seconds, several times."""
        self._remember(suspicion)
        loop = asyncio.get_running_loop()
        for repeat_s in REPEATS_S:
            loop.call_later(delay_s + repeat_s, self._send, suspicion)

    def observe(self, suspicion: Suspicion) -> None:
        """Does nothing: what others tell is not told again by this daemon."""

    def receive(self, notice: SuspicionNotice) -> None:
        """Applies a notice of another daemon; passes on one that comes from another region."""
        suspicion = Suspicion(
            Fingerprint(notice.fingerprint),
            EndpointProcess(EndpointId(notice.endpoint), notice.started_ms),
            notice.refuted,
        )
        if suspicion in self._known:
            return
        self._remember(suspicion)
        self._exchange.apply_suspicion(suspicion)
        if not notice.relayed:
            self._send_to(self._list_region(self._node.region), suspicion, relayed=True)

    def _remember(self, suspicion: Suspicion) -> None:
        """Notes that a suspicion was applied, and forgets the oldest one beyond the limit."""
        self._known[suspicion] = None
        if len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]

    def _send(self, suspicion: Suspicion) -> None:
        """Sends a notice to this region and to some daemons of each other one."""
        self._send_to(self._list_region(self._node.region), suspicion, relayed=True)
        regions = {member.region for member in _list_alive(self._node)} - {self._node.region}
        for region in sorted(regions):
            members = self._list_region(region)
            told = self._random.sample(members, min(TOLD_PER_REGION, len(members)))
            self._send_to(told, suspicion, relayed=False)

    def _send_to(self, members: list[Member], suspicion: Suspicion, relayed: bool) -> None:
        """Sends a notice to some daemons."""
        process = suspicion.process
        notice = SuspicionNotice(
            suspicion.fingerprint, process.id, process.started_ms, suspicion.refuted, relayed
        )
        for member in members:
            self._send_message(member.address, member.port, Envelope(suspicion=notice))

    def _list_region(self, region: RegionName) -> list[Member]:
        """Returns the other daemons of a region that are alive."""
        return [member for member in _list_alive(self._node) if member.region == region]


def _list_alive(node: Node) -> list[Member]:
    """Returns the other daemons that are alive."""
    return [m for m in node.membership.members() if m.state is MemberState.ALIVE]
