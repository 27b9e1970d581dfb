"""Types of the fields of messages from outside, each with its range or length, and the decoder.

No number that gets past it is too large to calculate with, and no text too long to log or
impossible to encode.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Annotated, Any, TypeVar

from msgspec import Meta, MsgspecError, json

__all__ = [
    "MAX_INT",
    "MAX_PORT",
    "MAX_REASON",
    "Count",
    "Milliseconds",
    "OptionalText",
    "Port",
    "PositiveCount",
    "Quantity",
    "SlotCount",
    "Text",
    "create_decoder",
    "parse_assignments",
    "parse_count",
    "require_int",
    "require_ipv4",
    "split_lists",
]

# Largest whole number that messages between daemons carry.
MAX_INT = 2**63 - 1
# Longest text of a field, in characters; keys of the store have at most 200 bytes.
MAX_TEXT = 200
MAX_PORT = 65_535
# Largest number of slots of one endpoint; each running request needs a connection of its own.
MAX_SLOTS = 65_535
# Longest duration of a field, in milliseconds: a day.
MAX_DURATION_MS = 86_400_000
# Largest bandwidth, number of processors and the like.
MAX_QUANTITY = 1e9
# Longest reason for which a message is refused, in characters; it may quote the message.
MAX_REASON = 200

Count = Annotated[int, Meta(ge=0, le=MAX_INT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_INT)]
Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT)]
OptionalText = Annotated[str, Meta(max_length=MAX_TEXT)]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
SlotCount = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
Quantity = Annotated[float, Meta(ge=0, le=MAX_QUANTITY)]

# Strings, and the characters that structure a JSON text.
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_COUNT_DIGITS = re.compile(rb"[0-9]{1,12}")

T = TypeVar("T")


def create_decoder(message: type[T]) -> Callable[[bytes], T]:
    """Returns the decoder of a message in JSON, which raises ValueError for any other content."""
    decode = json.Decoder(message).decode

    def decode_message(content: bytes) -> T:
        try:
            return decode(content)
        except MsgspecError as error:
            raise ValueError(str(error)[:MAX_REASON]) from error
        except RecursionError as error:
            raise ValueError("nested too deeply") from error

    return decode_message


def split_lists(content: bytes) -> tuple[bytes, dict[bytes, list[bytes]]]:
    """Returns a JSON object with its lists emptied, and the texts of the items of each list.

    The lists are keyed by their quoted names. Nothing is decoded: an item that can't be, such as
    one that is nested too deeply, leaves the others readable.
    """
    lists: dict[bytes, list[bytes]] = {}
    kept: list[bytes] = []
    name, depth, start, in_list = b"", 0, 0, False
    for match in _STRUCTURE.finditer(content):
        token = match[0]
        if token in b"[{":
            depth += 1
            if depth == 2 and token == b"[":
                kept.append(content[start : match.end()])
                start, in_list = match.end(), True
        elif token in b"]},":
            if in_list and depth == 2:
                if item := content[start : match.start()].strip():
                    lists.setdefault(name, []).append(item)
                start = match.end() if token == b"," else match.start()
                in_list = token == b","
            depth -= token != b","
        elif depth == 1:
            name = token
    return b"".join((*kept, content[start:])), lists


def parse_count(value: bytes) -> int | None:
    """Returns the whole number in a header; None if there is none or it has too many digits."""
    return int(value) if _COUNT_DIGITS.fullmatch(value) else None


def parse_assignments(assignments: Any) -> dict[str, float]:
    """Returns the numbers of a list of `name=value` texts, or of one text with commas between them.

    Items whose value is not a number, such as `closed=true`, are left out.
    """
    items = assignments.split(",") if isinstance(assignments, str) else assignments
    values: dict[str, float] = {}
    for item in items if isinstance(items, list) else []:
        name, _, value = str(item).partition("=")
        with suppress(ValueError):
            values[name.strip()] = float(value)
    return values


def require_int(value: Any, minimum: int = 0, maximum: int = MAX_INT) -> int:
    """Returns `value` if it is an integer within the bounds; raises ValueError otherwise."""
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}: {value!r:.60}")
    return value


def require_ipv4(text: str) -> str:
    """Returns `text` if it is an IPv4 address with four numbers; raises ValueError otherwise."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except OSError as error:
        raise ValueError(f"not an IPv4 address: {text!r}") from error
    return text
