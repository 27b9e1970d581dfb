"""The state of one daemon, and how it changes when a document arrives."""

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
from lycheepin.steering.admission import Admission, RetryBudget
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
    """Returns a number greater than that of an earlier process of the same VM."""
    return Incarnation((clock.wall_ms() << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS))


class Node:
    """Everything that a daemon knows. All tasks of the process share one, in one thread."""

    def __init__(self, settings: DaemonSettings, clock: Clock, incarnation: Incarnation) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation
        self.region = RegionName(settings.region)
        self.address = Address(settings.address)
        self.key = settings.peer_key.encode()
        self.own_token = peer_token(self.key, self.address).encode()
        self.log = Logger(f"lycheepin {settings.vm}")
        self.hybrid = HybridClock(clock)
        self.events = EventRing(f"{settings.vm}@{settings.address}", self.hybrid)
        self.metrics = Metrics()
        self.plan_name = plan_document_name(self.region)
        self.vms_name = vms_document_name(self.region)
        self.replicas = DocumentReplicas([CONFIGURATION, self.plan_name, self.vms_name])
        own = Member(
            self.address,
            settings.port,
            settings.vm,
            ZoneName(settings.zone),
            self.region,
            incarnation,
        )
        interval_s = settings.probe_interval_ms / MS_PER_S
        self.membership = Membership(own, interval_s, seed=incarnation)
        self.ledger = Ledger(incarnation)
        self.pool = EndpointSelector()
        self.admission = Admission(self.ledger, self.pool)
        self.retry_budget = RetryBudget()
        lifetime_ms = settings.request_id_lifetime_s * MS_PER_S
        self.homes = RequestIdTable(self.address, incarnation, lifetime_ms)
        self.change: Change | None = None
        self.view: ConfigurationView | None = None
        self.vms: VmList | None = None
        self.plan = Plan()
        self.caps = Caps({})
        self.blocks = AddressBlockTable.from_blocks(())
        self.endpoints: dict[Resource, EndpointVm] = {}
        self.services: dict[ServiceName, tuple[Resource, ...]] = {}
        self.leaving = False
        self.in_flight = 0
        self.on_capacity: Callable[[], None] = lambda: None
        self._listed: frozenset[Address] = frozenset()
        self._absent_since_s: dict[Address, float] = {}
        self._gone: set[Address] = set()

    def accept(self, copy: Document) -> bool:
        """Puts a later revision of a document in force; returns whether it was one."""
        if copy.revision <= self.replicas.revision(copy.name):
            return False
        if not self._decode(copy):
            self.metrics.count("documents_refused", copy.name)
            return False
        self.replicas.accept(copy)
        self.membership.document_versions = self.replicas.versions()
        self.events.record("document_in_force", f"{copy.name} revision {copy.revision}")
        self.refresh()
        return True

    def _decode(self, copy: Document) -> bool:
        """Takes a document over; returns False, changing nothing, when it can't be used."""
        try:
            if copy.name == CONFIGURATION:
                return self._take_change(copy)
            if copy.name == self.plan_name:
                plan = decode_plan(copy.content)
                self.ledger.apply_plan(plan)
                self.plan = plan
                return True
            if copy.name == self.vms_name:
                self.vms = decode_vm_list(copy.content)
                self._compare_entries(self.vms)
                return True
        except ValueError as error:
            self.log.warning("document {} refused: {!r}", copy.name, error)
        return False

    def _take_change(self, copy: Document) -> bool:
        """Puts a configuration in force; returns False when it is refused."""
        match decode_change(copy.content):
            case Success(change):
                if self.change is None or self.change.document.regions != change.document.regions:
                    self._build_blocks(change)
                self.change = change
                self.view = ConfigurationView(change.document)
                return True
            case Failure(problems):
                self.log.warning("configuration {} refused: {}", copy.revision, problems[0])
        return False

    def _build_blocks(self, change: Change) -> None:
        """Builds the table of client blocks anew; a large one takes seconds."""
        self.blocks = AddressBlockTable.from_blocks(
            (block, RegionName(region.name))
            for region in change.document.regions
            for block in region.client_blocks
        )

    def _compare_entries(self, vms: VmList) -> None:
        """Notes which entry VMs the platform's list has, and since when others are gone."""
        for entry in vms.entries:
            if entry.state is VmState.LIVE:
                self.membership.add_candidate(entry.address, entry.port)
        self._listed = frozenset(entry.address for entry in vms.entries)

    def ended_holders(self) -> frozenset[Incarnation]:
        """Returns the holders of the plan whose process is known to have ended.

        That is so when a later process answers at the same address, or when the VM has been gone
        from the platform's list, and silent, for longer than the list lags.
        """
        return frozenset(
            holder
            for holder in self.plan.grants
            if holder in self.membership.ended_incarnations() or self._is_replaced(holder)
        )

    def _is_replaced(self, holder: Incarnation) -> bool:
        """Returns whether a holder has a successor, or its VM is gone."""
        address = self.plan.addresses.get(holder)
        if address is None:
            return False
        member = self.membership.get(address)
        if member is not None and member.incarnation > holder:
            return True
        return address in self._gone

    def update_gone(self) -> None:
        """Notes which VMs of holders are gone, and forgets the members there.

        A holder was in the list when it got its first grant, so a list that is at least as late
        and does not have it says that it is gone.
        """
        now_s = self.clock.monotonic()
        current = self.vms is not None and self.vms.revision >= self.plan.vm_revision
        absent = {
            address
            for address in self.plan.addresses.values()
            if current and address not in self._listed and self._is_silent(address)
        }
        for address in self._absent_since_s.keys() - absent:
            del self._absent_since_s[address]
        for address in absent:
            since_s = self._absent_since_s.setdefault(address, now_s)
            if now_s - since_s > VM_LIST_LAG_S and address not in self._gone:
                self._gone.add(address)
                self.membership.remove_member(address)
                self.events.record("vm_gone", address)
        self._gone &= absent

    def _is_silent(self, address: Address) -> bool:
        """Returns whether nothing is heard from an address."""
        member = self.membership.get(address)
        return member is None or member.state is MemberState.UNREACHABLE

    def refresh(self) -> None:
        """Recomputes what follows from the documents and from loans."""
        if self.view is None or self.vms is None:
            return
        usable = usable_endpoints(self.view, self.vms.endpoints, self.region)
        self.caps = build_caps(self.view, self.vms.endpoints, self.region)
        self.endpoints = {slot_resource(e): e for e in self.vms.endpoints}
        self.services = {
            service: tuple(slot_resource(endpoint) for endpoint in members)
            for service, members in usable.items()
        }
        held = {
            service: tuple(r for r in resources if self.ledger.allowance(r) > 0)
            for service, resources in self.services.items()
        }
        self.admission.set_endpoints(held)
        self.admission.set_capped_shifts(
            frozenset(r for r in self.caps.resources if r not in self.caps.group_of)
        )
        self.pool.update((r for rs in self.services.values() for r in rs), self.clock.monotonic())
        self.on_capacity()

    def tokens_of(self, holder: Incarnation, service: ServiceName) -> int:
        """Returns the slots of a service that the plan grants to a daemon of this cell."""
        limits = self.plan.grants.get(holder, {})
        resources = self.services.get(service, ())
        return sum(limits[r].limit for r in resources if r in limits)

    def loads(self) -> list[ServiceLoad]:
        """Returns the load of each service here."""
        return [
            ServiceLoad(
                service,
                self.admission.granted(service),
                self.admission.in_use(service),
                self.admission.waiting(service),
            )
            for service in self.services
        ]

    def is_leaving(self, place: Resource | None) -> bool:
        """Returns whether an endpoint, or for None this daemon, is to be emptied."""
        if place is None:
            return self.leaving or self.drained()
        return place in self.endpoints and all(place not in rs for rs in self.services.values())

    def drained(self) -> bool:
        """Returns whether a planned drain covers this entry VM."""
        if self.view is None:
            return False
        names = (("entry_vm", self.settings.vm), ("zone", self.settings.zone))
        return any(self.view.is_drained(kind, name) for kind, name in names) or (
            self.view.is_drained("region", self.settings.region)
        )
