"""Validation rules for the fields of generated settings classes."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FieldRule"]


@dataclass(frozen=True)
class FieldRule:
    """Type, allowed values and documentation of one field.

    `minimum` and `maximum` bound a number, or the length of a string. For a list, `type`,
    `pattern` and `choices` apply to each item.
    """

    name: str
    type: type
    is_list: bool
    doc: str
    required: bool
    minimum: int | None = None
    maximum: int | None = None
    pattern: str | None = None
    choices: tuple[str, ...] = ()
