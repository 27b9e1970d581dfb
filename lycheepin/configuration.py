"""The operators' configuration: validation, encoding, and look-ups that daemons need."""

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
from lycheepin.jsonc import Path, SyntaxProblem, parse_document
from lycheepin.names import QualifiedName, RegionName, Revision, ServiceName
from lycheepin.validation import Problem

__all__ = [
    "Change",
    "CheckResult",
    "ConfigurationView",
    "LocatedProblem",
    "check_configuration",
    "check_settings",
    "decode_change",
    "encode_change",
    "create_change",
]

HISTORY_ENTRIES = 50


@dataclass(frozen=True)
class LocatedProblem:
    """A validation problem, and the file and line where it occurs."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Returns `file:line: field: message`."""
        return f"{self.file}:{self.line}: {self.field}: {self.message}"


CheckResult = Result[Any, tuple[LocatedProblem, ...]]


@dataclass(frozen=True)
class Change:
    """An accepted change of the configuration: the new document, its author and its history.

    Daemons order configurations by `number`, which is stored with the document. It does not depend
    on the store's revision, so a store that is restored to an older value can't reverse the order.
    `history` lists the latest earlier changes without their documents, oldest first, up to
    HISTORY_ENTRIES.
    """

    number: Revision
    change_id: str
    author: str
    summary: str
    document: Configuration
    history: tuple[dict[str, Any], ...] = ()


def check_settings(cls: type, text: str, file: str) -> CheckResult:
    """Returns an instance of `cls` built from JSON with comments, or all problems of the text."""
    match parse_document(text):
        case Failure(SyntaxProblem(line, message)):
            return Failure((LocatedProblem(file, line, "(syntax)", message),))
        case Success(document):
            pass
    match validation.build(cls, document.value):
        case Success(built):
            problems: tuple[Problem, ...] = ()
            if isinstance(built, Configuration):
                problems = tuple(_cross_field_problems(built))
        case Failure(found):
            problems = found
    if not problems:
        return Success(built)
    return Failure(
        tuple(
            LocatedProblem(file, document.line(problem.path), problem.field, problem.message)
            for problem in problems
        )
    )


def check_configuration(value: Any) -> Result[Configuration, tuple[Problem, ...]]:
    """Returns the configuration built from a decoded JSON value, or all its problems."""
    match validation.build(Configuration, value):
        case Success(built):
            problems = tuple(_cross_field_problems(built))
            return Failure(problems) if problems else Success(built)
        case Failure(problems):
            return Failure(problems)
    raise AssertionError("a result is a success or a failure")


def encode_change(change: Change) -> bytes:
    """Returns a change in the encoding used in the store and between daemons."""
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
    """Returns the change encoded in `content`, or the problems that make it unusable."""
    try:
        value = json.loads(content)
        number = Revision(int(value["number"]))
        change_id, author, summary = (
            str(value[field]) for field in ("change_id", "author", "summary")
        )
        history = tuple(value.get("history", ()))
        document = value["document"]
    except DECODE_ERRORS as error:
        return Failure((Problem((), f"not an encoded change: {error!r}"),))
    return check_configuration(document).map(
        lambda built: Change(number, change_id, author, summary, built, history)
    )


def _cross_field_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields problems that involve more than one field, such as undeclared references."""
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
            yield Problem(path, _undeclared_message(cap.service, services))
    for group in ("shift_caps", "links"):
        for index, item in enumerate(getattr(configuration, group)):
            for region_field in ("from_region", "to_region"):
                if getattr(item, region_field) not in regions:
                    path = (group, index, region_field)
                    yield Problem(path, _undeclared_message(getattr(item, region_field), regions))


def _duplicates(group: str, names: list[str]) -> Iterator[Problem]:
    """Yields a problem for each name that occurs earlier in the list."""
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem((group, index, "name"), f"given {name!r}; allowed: a name not yet used")


def _undeclared_message(name: str, known: set[str]) -> str:
    """Returns the message for a reference to a name that is not declared."""
    return f"given {name!r}; allowed: one of {', '.join(sorted(known)) or 'none declared'}"


def _service_problems(configuration: Configuration, fleets: set[str]) -> Iterator[Problem]:
    """Yields problems in the members and classes of services."""
    owners: dict[str, str] = {}
    for index, service in enumerate(configuration.services):
        for position, member in enumerate(service.members):
            path: Path = ("services", index, "members", position)
            if member.partition("/")[0] not in fleets:
                yield Problem(path, _undeclared_message(member.partition("/")[0], fleets))
            if member in owners:
                yield Problem(path, f"{member!r} is already a member of {owners[member]!r}")
            owners[member] = service.name
        class_names = [work_class.name for work_class in service.classes]
        for position, name in enumerate(class_names):
            if name in class_names[:position]:
                path = ("services", index, "classes", position, "name")
                yield Problem(path, f"given {name!r}; allowed: a name not yet used")
        for position, item in enumerate(service.classes):
            if item.deadline_ms < item.answer_target_ms:
                path = ("services", index, "classes", position, "deadline_ms")
                message = f"given {item.deadline_ms}; allowed: {item.answer_target_ms} or more"
                yield Problem(path, message)


def _region_problems(configuration: Configuration, regions: set[str]) -> Iterator[Problem]:
    """Yields problems in the client blocks and fallbacks of regions."""
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
                yield Problem(path, _undeclared_message(name, regions - {region.name}))


def create_change(
    before: Change | None, change_id: str, author: str, summary: str, document: Configuration
) -> Change:
    """Returns the change that follows `before`, with an entry for `before` in its history.

    Without an earlier change, the number is 1 and the history is empty.
    """
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
    """A configuration with indexes for the look-ups that daemons need."""

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

    def find_merged_service(self, name: QualifiedName) -> ServiceName | None:
        """Returns the merged service that a fleet's service belongs to, or None."""
        return self._members.get(name)

    def service(self, name: ServiceName) -> Service:
        """Returns the declaration of a merged service; raises KeyError for an unknown one."""
        return self._services[name]

    def find_work_class(self, name: ServiceName, method: str, path: str) -> WorkClass | None:
        """Returns the class that matches a request's method and path, or None.

        If several classes match, the one with the longest path prefix is returned.
        """
        matching = [
            work_class
            for work_class in self._services[name].classes
            if method in work_class.methods and path.startswith(work_class.path_prefix)
        ]
        return max(matching, key=lambda work_class: len(work_class.path_prefix), default=None)

    def headroom_percent(self, name: ServiceName) -> int:
        """Returns the largest headroom, in percent, that any class of the service requires."""
        return max(
            (work_class.headroom_percent for work_class in self._services[name].classes), default=0
        )

    def is_drained(self, kind: str, name: str) -> bool:
        """Returns whether a drain of this kind and name is planned."""
        return (kind, name) in self._drains

    def fallback_regions(self, region: RegionName) -> tuple[RegionName, ...]:
        """Returns the other regions in order of preference.

        The declared fallbacks come first, nearest first, then all other regions by name.
        """
        declared = self._fallbacks.get(region, ())
        undeclared = sorted(
            name for name in self._fallbacks if name != region and name not in declared
        )
        return tuple(RegionName(name) for name in (*declared, *undeclared))

    def shift_cap(self, service: ServiceName, source: str, target: str) -> int | None:
        """Returns the cap in requests per second from `source` to `target`; None without one."""
        caps = [
            cap.requests_per_second
            for cap in self.configuration.shift_caps
            if (cap.service, cap.from_region, cap.to_region) == (service, source, target)
        ]
        return min(caps, default=None)

    def upload_mbit(self, source: str, target: str) -> int | None:
        """Returns the Mbit/s that uploads may use from `source` to `target`; None if undeclared."""
        links = [
            link.mbit_per_second * link.upload_percent // 100
            for link in self.configuration.links
            if (link.from_region, link.to_region) == (source, target)
        ]
        return min(links, default=None)
