"""The operators' configuration: checks across fields, and questions that daemons ask of it."""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from lycheepin import validation
from lycheepin.errors import DECODE_ERRORS
from lycheepin.generated.settings import Configuration, Service, WorkClass
from lycheepin.jsonc import Path, SyntaxFault, parse_document
from lycheepin.names import QualifiedName, RegionName, Revision, ServiceName
from lycheepin.validation import Problem

__all__ = [
    "Change",
    "Checked",
    "ConfigurationView",
    "Mistake",
    "check_configuration",
    "check_settings",
    "decode_change",
    "encode_change",
    "create_change",
]

HISTORY_ENTRIES = 50


@dataclass(frozen=True)
class Mistake:
    """A problem with the line on which it stands."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Returns `file:line: field: message`."""
        return f"{self.file}:{self.line}: {self.field}: {self.message}"


Checked = Result[Any, tuple[Mistake, ...]]


@dataclass(frozen=True)
class Change:
    """One accepted configuration: the document, who changed it, and the earlier changes.

    `number` is the revision by which daemons order configurations. It is part of the document,
    so a store that comes back with an older value can't turn the order round.
    """

    number: Revision
    change_id: str
    author: str
    summary: str
    document: Configuration
    history: tuple[dict[str, Any], ...] = ()


def check_settings(cls: type, text: str, file: str) -> Checked:
    """Returns an object of `cls` read from JSON with comments, or all mistakes."""
    match parse_document(text):
        case Failure(SyntaxFault(line, message)):
            return Failure((Mistake(file, line, "(syntax)", message),))
        case Success(document):
            pass
    match validation.build(cls, document.value):
        case Success(built):
            problems: tuple[Problem, ...] = ()
            if isinstance(built, Configuration):
                problems = tuple(_cross_problems(built))
        case Failure(found):
            problems = found
    if not problems:
        return Success(built)
    return Failure(
        tuple(Mistake(file, document.line(p.path), p.field, p.message) for p in problems)
    )


def check_configuration(value: Any) -> Result[Configuration, tuple[Problem, ...]]:
    """Returns the configuration built from a plain value, or all its problems."""
    match validation.build(Configuration, value):
        case Success(built):
            problems = tuple(_cross_problems(built))
            return Failure(problems) if problems else Success(built)
        case Failure(found):
            return Failure(found)
    raise AssertionError("a result is a success or a failure")


def encode_change(change: Change) -> bytes:
    """Returns a change as it is kept in the store and sent between daemons."""
    value = {
        "number": change.number,
        "change_id": change.change_id,
        "author": change.author,
        "summary": change.summary,
        "document": validation.to_plain(change.document),
        "history": list(change.history),
    }
    return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()


def decode_change(content: bytes) -> Result[Change, tuple[Problem, ...]]:
    """Returns the change kept in `content`, or why it can't be used."""
    try:
        value = json.loads(content)
        number = Revision(int(value["number"]))
        change_id, author, summary = (str(value[k]) for k in ("change_id", "author", "summary"))
        history = tuple(value.get("history", ()))
        document = value["document"]
    except DECODE_ERRORS as error:
        return Failure((Problem((), f"not an encoded change: {error!r}"),))
    return check_configuration(document).map(
        lambda built: Change(number, change_id, author, summary, built, history)
    )


def _cross_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields mistakes that concern more than one field."""
    fleets = {fleet.name for fleet in configuration.fleets}
    regions = {region.name for region in configuration.regions}
    services = {service.name for service in configuration.services}
    yield from _duplicates("fleets", [fleet.name for fleet in configuration.fleets])
    yield from _duplicates("regions", [region.name for region in configuration.regions])
    yield from _duplicates("services", [service.name for service in configuration.services])
    yield from _service_problems(configuration, fleets)
    yield from _region_problems(configuration, regions)
    for index, cap in enumerate(configuration.shift_caps):
        if cap.service not in services:
            path: Path = ("shift_caps", index, "service")
            yield Problem(path, _not_declared(cap.service, services))
    for group in ("shift_caps", "links"):
        for index, item in enumerate(getattr(configuration, group)):
            for end in ("from_region", "to_region"):
                if getattr(item, end) not in regions:
                    path = (group, index, end)
                    yield Problem(path, _not_declared(getattr(item, end), regions))


def _duplicates(group: str, names: list[str]) -> Iterator[Problem]:
    """Yields a problem for each name that stands twice."""
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem((group, index, "name"), f"given {name!r}; allowed: a name not yet used")


def _not_declared(name: str, known: set[str]) -> str:
    """Returns the message for a reference to something that is not declared."""
    return f"given {name!r}; allowed: one of {', '.join(sorted(known)) or 'none declared'}"


def _service_problems(configuration: Configuration, fleets: set[str]) -> Iterator[Problem]:
    """Yields mistakes in members and classes of services."""
    owners: dict[str, str] = {}
    for index, service in enumerate(configuration.services):
        for position, member in enumerate(service.members):
            path: Path = ("services", index, "members", position)
            if member.partition("/")[0] not in fleets:
                yield Problem(path, _not_declared(member.partition("/")[0], fleets))
            if member in owners:
                yield Problem(path, f"{member!r} is already a member of {owners[member]!r}")
            owners[member] = service.name
        names = [work.name for work in service.classes]
        for position, name in enumerate(names):
            if name in names[:position]:
                path = ("services", index, "classes", position, "name")
                yield Problem(path, f"given {name!r}; allowed: a name not yet used")
        for position, work in enumerate(service.classes):
            if work.deadline_ms < work.answer_target_ms:
                path = ("services", index, "classes", position, "deadline_ms")
                message = f"given {work.deadline_ms}; allowed: {work.answer_target_ms} or more"
                yield Problem(path, message)


def _region_problems(configuration: Configuration, regions: set[str]) -> Iterator[Problem]:
    """Yields mistakes in client blocks and fallbacks of regions."""
    for index, region in enumerate(configuration.regions):
        for position, block in enumerate(region.client_blocks):
            try:
                ipaddress.IPv4Network(block)
            except ValueError as error:
                path: Path = ("regions", index, "client_blocks", position)
                yield Problem(path, f"given {block!r}; allowed: an IPv4 CIDR block ({error})")
        for position, name in enumerate(region.fallback):
            if name not in regions or name == region.name:
                path = ("regions", index, "fallback", position)
                yield Problem(path, _not_declared(name, regions - {region.name}))


def create_change(
    before: Change | None, change_id: str, author: str, summary: str, document: Configuration
) -> Change:
    """Returns the change that comes after `before`, with the history carried on."""
    if before is None:
        return Change(Revision(1), change_id, author, summary, document)
    entry = {
        "number": before.number,
        "change_id": before.change_id,
        "author": before.author,
        "summary": before.summary,
    }
    history = (*before.history, entry)[-HISTORY_ENTRIES:]
    number = Revision(before.number + 1)
    return Change(number, change_id, author, summary, document, history)


class ConfigurationView:
    """One configuration with the indexes that daemons need."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        self._members = {
            QualifiedName.parse(member): ServiceName(service.name)
            for service in configuration.services
            for member in service.members
        }
        self._drains = {(drain.kind, drain.name) for drain in configuration.drains}
        self._fallbacks = {region.name: region.fallback for region in configuration.regions}

    def service_of(self, name: QualifiedName) -> ServiceName | None:
        """Returns the merged service of a fleet's service, or None."""
        return self._members.get(name)

    def service(self, name: ServiceName) -> Service:
        """Returns the declaration of a merged service; raises KeyError for an unknown one."""
        return self._services[name]

    def find_work_class(self, name: ServiceName, method: str, path: str) -> WorkClass | None:
        """Returns the class with the longest path prefix that has the method, or None."""
        found = [
            work
            for work in self._services[name].classes
            if method in work.methods and path.startswith(work.path_prefix)
        ]
        return max(found, key=lambda work: len(work.path_prefix), default=None)

    def headroom_percent(self, name: ServiceName) -> int:
        """Returns the largest headroom that a class of the service asks for."""
        return max((work.headroom_percent for work in self._services[name].classes), default=0)

    def is_drained(self, kind: str, name: str) -> bool:
        """Returns whether a drain of this kind and name is planned."""
        return (kind, name) in self._drains

    def fallback(self, region: RegionName) -> tuple[RegionName, ...]:
        """Returns the other regions, nearest first; undeclared ones follow by name."""
        declared = self._fallbacks.get(region, ())
        rest = sorted(name for name in self._fallbacks if name != region and name not in declared)
        return tuple(RegionName(name) for name in (*declared, *rest))

    def shift_cap(self, service: ServiceName, source: str, target: str) -> int | None:
        """Returns requests a second that may move between two regions; None without a cap."""
        caps = [
            cap.requests_per_second
            for cap in self.configuration.shift_caps
            if (cap.service, cap.from_region, cap.to_region) == (service, source, target)
        ]
        return min(caps, default=None)

    def upload_mbit(self, source: str, target: str) -> int | None:
        """Returns the Mbit/s that uploads may fill between two regions; None if undeclared."""
        links = [
            link.mbit_per_second * link.upload_percent // 100
            for link in self.configuration.links
            if (link.from_region, link.to_region) == (source, target)
        ]
        return min(links, default=None)
