"""The state of one daemon and its update from documents."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from logbook import Logger
from returns.result import Failure, Success

from lycheepin.clocks import Clock, HybridClock
from lycheepin.cluster.documents import (
    CONFIGURATION,
    Document,
    DocumentReplicas,
    plan_document_name,
    vms_document_name,
)
from lycheepin.cluster.membership import Member, Membership, MemberState
from lycheepin.cluster.wire import peer_token
from lycheepin.configuration import Change, ConfigurationView, decode_change
from lycheepin.events import EventRing
from lycheepin.generated.messages import ServiceLoad
from lycheepin.generated.settings import DaemonSettings
from lycheepin.metrics import Metrics
from lycheepin.names import Address, Incarnation, RegionName, Resource, ServiceName, ZoneName
from lycheepin.sources.vms import EndpointVm, VmList, VmState, decode_vm_list
from lycheepin.steering.address_blocks import AddressBlockTable
from lycheepin.steering.admission import Admission, RetryTokenBucket
from lycheepin.steering.capacity import build_caps, slot_resource, usable_endpoints
from lycheepin.steering.endpoints import EndpointSelector
from lycheepin.steering.ledger import Ledger
from lycheepin.steering.plan import Caps, Plan, decode_plan
from lycheepin.steering.request_ids import RequestIdTable

__all__ = ["Node", "new_incarnation"]

VM_LIST_LAG_S = 5.0
MS_PER_S = 1000

_RANDOM_BITS = 16


def new_incarnation(clock: Clock) -> Incarnation:
    """Returns an incarnation greater than those of earlier processes of the same VM."""
    return Incarnation((clock.wall_ms() << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS))


class Node:
    """State of a daemon, shared by all tasks of the process; not thread-safe."""

    def __init__(self, settings: DaemonSettings, clock: Clock, incarnation: Incarnation) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation
        self.region = RegionName(settings.region)
        self.address = Address(settings.address)
        self.peer_key = settings.peer_key.encode()
        self.own_peer_token = peer_token(self.peer_key, self.address).encode()
        self.log = Logger(f"lycheepin {settings.vm}")
        self.hybrid_clock = HybridClock(clock)
        self.events = EventRing(f"{settings.vm}@{settings.address}", self.hybrid_clock)
        self.metrics = Metrics()
        self.plan_name = plan_document_name(self.region)
        self.vm_list_name = vms_document_name(self.region)
        self.replicas = DocumentReplicas([CONFIGURATION, self.plan_name, self.vm_list_name])
        local_member = Member(
            self.address,
            settings.port,
            settings.vm,
            ZoneName(settings.zone),
            self.region,
            incarnation,
        )
        probe_interval_s = settings.probe_interval_ms / MS_PER_S
        self.membership = Membership(local_member, probe_interval_s, seed=incarnation)
        self.ledger = Ledger(incarnation)
        self.endpoint_selector = EndpointSelector()
        self.admission = Admission(self.ledger, self.endpoint_selector)
        self.retry_budget = RetryTokenBucket()
        lifetime_ms = settings.request_id_lifetime_s * MS_PER_S
        self.request_table = RequestIdTable(self.address, incarnation, lifetime_ms)
        self.change: Change | None = None
        self.view: ConfigurationView | None = None
        self.vm_list: VmList | None = None
        self.plan = Plan()
        self.caps = Caps({})
        self.block_table = AddressBlockTable.from_blocks(())
        self.endpoints: dict[Resource, EndpointVm] = {}
        self.services: dict[ServiceName, tuple[Resource, ...]] = {}
        self.leaving = False
        self.in_flight = 0
        self.on_capacity_change: Callable[[], None] = lambda: None
        self._listed_addresses: frozenset[Address] = frozenset()
        self._absent_since_s: dict[Address, float] = {}
        self._removed_addresses: set[Address] = set()

    def apply_document(self, document: Document) -> bool:
        """Applies a document; returns False when its revision is not newer or it is invalid."""
        if document.revision <= self.replicas.revision(document.name):
            return False
        if not self._apply_content(document):
            self.metrics.count("documents_refused", document.name)
            return False
        self.replicas.accept(document)
        self.membership.document_versions = self.replicas.versions()
        self.events.record("document_in_force", f"{document.name} revision {document.revision}")
        self.recompute_endpoints()
        return True

    def _apply_content(self, document: Document) -> bool:
        """Decodes and applies a document; returns False, changing nothing, when it is invalid."""
        try:
            if document.name == CONFIGURATION:
                return self._apply_change(document)
            if document.name == self.plan_name:
                plan = decode_plan(document.content)
                self.ledger.apply_plan(plan)
                self.plan = plan
                return True
            if document.name == self.vm_list_name:
                self.vm_list = decode_vm_list(document.content)
                for reason in self.vm_list.unreadable:
                    self.log.warning("VM left out of the list: {}", reason)
                self._apply_entries(self.vm_list)
                return True
        except ValueError as error:
            self.log.warning("document {} rejected: {!r}", document.name, error)
        return False

    def _apply_change(self, document: Document) -> bool:
        """Applies a configuration; returns False when it is invalid."""
        match decode_change(document.content):
            case Success(change):
                if self.change is None or self.change.document.regions != change.document.regions:
                    self._build_block_table(change)
                self.change = change
                self.view = ConfigurationView(change.document)
                return True
            case Failure(problems):
                self.log.warning("configuration {} rejected: {}", document.revision, problems[0])
        return False

    def _build_block_table(self, change: Change) -> None:
        """Rebuilds the table of callers' address blocks, which takes seconds for a large table."""
        self.block_table = AddressBlockTable.from_blocks(
            (block, RegionName(region.name))
            for region in change.document.regions
            for block in region.client_blocks
        )

    def _apply_entries(self, vm_list: VmList) -> None:
        """Stores the addresses of the listed entry VMs and adds live ones as candidates."""
        for entry in vm_list.entries:
            if entry.state is VmState.LIVE:
                self.membership.add_candidate(entry.address, entry.port)
        self._listed_addresses = frozenset(entry.address for entry in vm_list.entries)

    def ended_holders(self) -> frozenset[Incarnation]:
        """Returns the holders of the plan whose process is known to have ended.

        A process has ended when a later incarnation is known at its address, or when its VM has
        been unreachable and missing from the VM list for more than VM_LIST_LAG_S, the maximum
        delay of the list.
        """
        return frozenset(
            holder
            for holder in self.plan.grants
            if holder in self.membership.ended_incarnations() or self._has_ended(holder)
        )

    def _has_ended(self, holder: Incarnation) -> bool:
        """Returns whether a holder has a later incarnation, or its VM has been removed."""
        address = self.plan.addresses.get(holder)
        if address is None:
            return False
        member = self.membership.get(address)
        if member is not None and member.incarnation > holder:
            return True
        return address in self._removed_addresses

    def update_removed_vms(self) -> None:
        """Detects removed VMs of holders and removes their members.

        A holder was listed when it got its first grant. A VM list that does not contain its
        address, and whose revision is at least the plan's `vm_revision`, therefore shows that the
        VM was removed.
        """
        now_s = self.clock.monotonic()
        is_list_current = (
            self.vm_list is not None and self.vm_list.revision >= self.plan.vm_revision
        )
        absent_addresses = {
            address
            for address in self.plan.addresses.values()
            if is_list_current
            and address not in self._listed_addresses
            and self._is_unreachable(address)
        }
        for address in self._absent_since_s.keys() - absent_addresses:
            del self._absent_since_s[address]
        for address in absent_addresses:
            since_s = self._absent_since_s.setdefault(address, now_s)
            if now_s - since_s > VM_LIST_LAG_S and address not in self._removed_addresses:
                self._removed_addresses.add(address)
                self.membership.remove_member(address)
                self.events.record("vm_gone", address)
        self._removed_addresses &= absent_addresses

    def _is_unreachable(self, address: Address) -> bool:
        """Returns whether the member at an address is unreachable or unknown."""
        member = self.membership.get(address)
        return member is None or member.state is MemberState.UNREACHABLE

    def recompute_endpoints(self) -> None:
        """Recomputes caps, endpoints and admission state after a change of documents or loans."""
        if self.view is None or self.vm_list is None:
            return
        usable_by_service = usable_endpoints(self.view, self.vm_list.endpoints, self.region)
        self.caps = build_caps(self.view, self.vm_list.endpoints, self.region)
        self.endpoints = {slot_resource(e): e for e in self.vm_list.endpoints}
        self.services = {
            service: tuple(slot_resource(endpoint) for endpoint in members)
            for service, members in usable_by_service.items()
        }
        endpoints_with_tokens = {
            service: tuple(r for r in resources if self.ledger.allowance(r) > 0)
            for service, resources in self.services.items()
        }
        self.admission.set_endpoints(endpoints_with_tokens)
        self.admission.set_capped_shifts(
            frozenset(r for r in self.caps.resources if r not in self.caps.group_of)
        )
        self.endpoint_selector.update(
            (r for rs in self.services.values() for r in rs), self.clock.monotonic()
        )
        self.on_capacity_change()

    def granted_tokens(self, holder: Incarnation, service: ServiceName) -> int:
        """Returns the number of tokens of a service that the plan grants to a holder."""
        grants = self.plan.grants.get(holder, {})
        resources = self.services.get(service, ())
        return sum(grants[r].limit for r in resources if r in grants)

    def service_loads(self) -> list[ServiceLoad]:
        """Returns the load of each service at this daemon."""
        return [
            ServiceLoad(
                service,
                self.admission.granted(service),
                self.admission.in_use(service),
                self.admission.waiting(service),
            )
            for service in self.services
        ]

    def is_leaving(self, resource: Resource | None) -> bool:
        """Returns whether an endpoint, or this daemon for None, is being drained or removed."""
        if resource is None:
            return self.leaving or self.is_drained()
        return resource in self.endpoints and all(
            resource not in rs for rs in self.services.values()
        )

    def is_drained(self) -> bool:
        """Returns whether a planned drain covers this entry VM."""
        if self.view is None:
            return False
        names = (("entry_vm", self.settings.vm), ("zone", self.settings.zone))
        return any(self.view.is_drained(kind, name) for kind, name in names) or (
            self.view.is_drained("region", self.settings.region)
        )
