"""Tells the story of one request from the structured logs of any number of gateways."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

__all__ = ["trace_request"]

# Time in seconds before a request in which changes of what a gateway believed are shown.
BEFORE_S = 5.0
# Events that change what a gateway believes, and the field that names what they are about.
BELIEFS = {
    "configuration": "version",
    "daemon_gone": "peer",
    "endpoint": "endpoint",
    "endpoint_excluded": "endpoint",
    "endpoint_missing": "endpoint",
    "endpoint_replaced": "endpoint",
    "evacuation": "zone",
    "store_answers": "",
    "store_lost": "",
}


def trace_request(identifier: str, lines: Iterable[str]) -> list[str]:
    """Returns the lines about a request, and what its gateways came to believe just before.

    Lines that are not JSON objects are passed over: other programs may write beside a gateway.
    """
    events = [event for event in map(_parse, lines) if event is not None]
    own = [event for event in events if event.get("request") == identifier]
    if not own:
        return []
    daemons = {event.get("daemon") for event in own}
    endpoints = {event["endpoint"] for event in own if "endpoint" in event}
    first_s = min(float(event["time"]) for event in own)
    last_s = max(float(event["time"]) for event in own)
    beliefs = [
        event
        for event in events
        if event.get("daemon") in daemons
        and event["event"] in BELIEFS
        and first_s - BEFORE_S <= float(event["time"]) <= last_s
        and (BELIEFS[event["event"]] != "endpoint" or event.get("endpoint") in endpoints)
    ]
    ordered = sorted([*own, *beliefs], key=lambda event: float(event["time"]))
    return [_format(event, first_s) for event in ordered]


def _parse(line: str) -> dict[str, Any] | None:
    """Returns the event of a line, from its first brace on; None for any other line."""
    start = line.find("{")
    try:
        event = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    return event if isinstance(event, dict) and "event" in event and "time" in event else None


def _format(event: dict[str, Any], first_s: float) -> str:
    """Returns an event as one line, its time in milliseconds from the request's first event."""
    offset_ms = (float(event["time"]) - first_s) * 1000
    hidden = ("time", "event", "daemon", "request")
    fields = " ".join(f"{name}={value}" for name, value in event.items() if name not in hidden)
    return f"{offset_ms:+9.1f} ms  {event.get('daemon', ''):24} {event['event']:20} {fields}"
