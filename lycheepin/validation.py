"""Validates decoded JSON values against generated field rules, and builds settings objects."""

from __future__ import annotations

import dataclasses
import difflib
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from lycheepin.fields import FieldRule
from lycheepin.generated.settings import RULES
from lycheepin.jsonc import Path

__all__ = ["Problem", "build", "find_problems", "to_plain"]

T = TypeVar("T")

_TYPE_NAMES = {str: "a string", int: "a whole number", bool: "true or false", float: "a number"}


@dataclass(frozen=True)
class Problem:
    """A validation problem: the path of the value, and what was given and is allowed."""

    path: Path
    message: str

    @property
    def field(self) -> str:
        """The path as text, such as `services[0].classes[1].name`."""
        text = ""
        for part in self.path:
            text += f"[{part}]" if isinstance(part, int) else f".{part}"
        return text.lstrip(".") or "(top level)"


def build(cls: type[T], value: Any) -> Result[T, tuple[Problem, ...]]:
    """Returns an instance of `cls` built from a decoded JSON value, or all its problems."""
    problems = tuple(find_problems(cls, value, ()))
    if problems:
        return Failure(problems)
    return Success(_construct(cls, value))


def to_plain(value: Any) -> Any:
    """Returns a settings object as dicts, lists and scalars for JSON."""
    return dataclasses.asdict(value)


def find_problems(cls: type, value: Any, path: Path) -> Iterator[Problem]:
    """Yields each problem of `value` as an instance of `cls`."""
    if not isinstance(value, dict):
        yield Problem(path, f"given {value!r}; allowed: an object with fields of {cls.__name__}")
        return
    rules = {rule.name: rule for rule in RULES[cls]}
    for name in value:
        if name not in rules:
            yield Problem((*path, name), _unknown_field(name, list(rules)))
    for rule in rules.values():
        if rule.name in value:
            yield from _field_problems(rule, value[rule.name], (*path, rule.name))
        elif rule.required:
            yield Problem(path, f"field {rule.name!r} is missing: {rule.doc}")


def _unknown_field(name: str, known: list[str]) -> str:
    """Returns the message for a field that is not in the schema."""
    nearest = difflib.get_close_matches(str(name), known, n=1, cutoff=0.0)
    return f"unknown field {name!r}; the nearest known field is {nearest[0]!r}"


def _field_problems(rule: FieldRule, value: Any, path: Path) -> Iterator[Problem]:
    """Yields each problem in the value of a field."""
    if not rule.is_list:
        yield from _item_problems(rule, value, path)
        return
    if not isinstance(value, list):
        yield Problem(path, f"given {value!r}; allowed: a list")
        return
    for index, item in enumerate(value):
        yield from _item_problems(rule, item, (*path, index))


def _item_problems(rule: FieldRule, value: Any, path: Path) -> Iterator[Problem]:
    """Yields each problem in the value of a field that is not a list, or in one item of a list."""
    if rule.type in RULES:
        yield from find_problems(rule.type, value, path)
        return
    if type(value) is not rule.type:
        yield Problem(path, f"given {value!r}; allowed: {_TYPE_NAMES[rule.type]}")
        return
    if rule.choices and value not in rule.choices:
        yield Problem(path, f"given {value!r}; allowed: one of {', '.join(rule.choices)}")
    if rule.pattern and not re.search(rule.pattern, str(value)):
        yield Problem(path, f"given {value!r}; allowed: text that matches {rule.pattern}")
    yield from _range_problems(rule, value, path)


def _range_problems(rule: FieldRule, value: Any, path: Path) -> Iterator[Problem]:
    """Yields a problem when a number, or the length of a string, is out of range."""
    if rule.minimum is None or rule.maximum is None:
        return
    size = len(value) if isinstance(value, str) else value
    if rule.minimum <= size <= rule.maximum:
        return
    unit = " characters" if isinstance(value, str) else ""
    allowed = f"{rule.minimum} to {rule.maximum}{unit}"
    yield Problem(path, f"given {value!r}; allowed: {allowed}")


def _construct(cls: type[T], value: dict[str, Any]) -> T:
    """Returns an instance of `cls` built from a value without problems."""
    arguments: dict[str, Any] = {}
    for rule in RULES[cls]:
        if rule.name not in value:
            continue
        field_value = value[rule.name]
        if rule.is_list:
            arguments[rule.name] = tuple(_construct_item(rule, item) for item in field_value)
        else:
            arguments[rule.name] = _construct_item(rule, field_value)
    return cls(**arguments)


def _construct_item(rule: FieldRule, value: Any) -> Any:
    """Returns a single value; a JSON object becomes an instance of its class."""
    return _construct(rule.type, value) if rule.type in RULES else value
