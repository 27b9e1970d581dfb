"""Parses JSON with comments and records the line of each field."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import json5
from json5 import model
from json5.loader import ModelLoader, loads
from json5.utils import JSON5DecodeError
from returns.result import Failure, Result, Success

__all__ = ["Document", "Path", "SyntaxProblem", "parse_document"]

Path = tuple[str | int, ...]

_LINE = re.compile(r"line (\d+)")


@dataclass(frozen=True)
class Document:
    """A parsed text: its value, and the line on which each path starts."""

    value: Any
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Returns the line of `path`, or of the nearest enclosing field with a line."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclass(frozen=True)
class SyntaxProblem:
    """A syntax error and its line."""

    line: int
    message: str


def parse_document(text: str) -> Result[Document, SyntaxProblem]:
    """Returns the document, or the first syntax error with its line."""
    try:
        tree = loads(text, loader=ModelLoader())
        value = json5.loads(text)
    except (JSON5DecodeError, ValueError, RecursionError) as error:
        return Failure(_syntax_problem(str(error)))
    lines: dict[Path, int] = {}
    _collect_lines(tree.value, (), lines)
    return Success(Document(value, lines))


def _syntax_problem(message: str) -> SyntaxProblem:
    """Returns the problem for an error message of the parser."""
    match = _LINE.search(message)
    text = next((part.strip() for part in message.splitlines() if "Error" in part), message)
    return SyntaxProblem(int(match.group(1)) if match else 1, text)


def _collect_lines(node: Any, path: Path, lines: dict[Path, int]) -> None:
    """Adds the lines of `node` and all its descendants."""
    lines.setdefault(path, getattr(node, "lineno", 1) or 1)
    match node:
        case model.JSONObject():
            for pair in node.key_value_pairs:
                key = str(getattr(pair.key, "characters", None) or getattr(pair.key, "name", ""))
                lines[(*path, key)] = pair.key.lineno or 1
                _collect_lines(pair.value, (*path, key), lines)
        case model.JSONArray():
            for index, item in enumerate(node.values):
                _collect_lines(item, (*path, index), lines)
