"""Trace of one request, reconstructed from the structured logs of any number of gateways."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

__all__ = ["trace_request"]

# Changes of a gateway's state are included from this time before the request's first event.
LOOKBACK_S = 5.0
# Events that change a gateway's view of the deployment, with the log field that names the subject.
STATE_EVENTS = {
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


def trace_request(request_id: str, lines: Iterable[str]) -> list[str]:
    """Returns one line for each event of a request, in order of time; empty for an unknown id.

    Changes in the state of the gateways that handled the request are included, from LOOKBACK_S
    before its first event to its last one. Changes of endpoints are included only for endpoints
    that the request's events name. Lines that are not JSON objects are skipped, because other
    programs may write to the same log.
    """
    events = [event for event in map(_parse_event, lines) if event is not None]
    request_events = [event for event in events if event.get("request") == request_id]
    if not request_events:
        return []
    daemons = {event.get("daemon") for event in request_events}
    endpoints = {event["endpoint"] for event in request_events if "endpoint" in event}
    first_s = min(float(event["time"]) for event in request_events)
    last_s = max(float(event["time"]) for event in request_events)
    state_events = [
        event
        for event in events
        if event.get("daemon") in daemons
        and event["event"] in STATE_EVENTS
        and first_s - LOOKBACK_S <= float(event["time"]) <= last_s
        and (STATE_EVENTS[event["event"]] != "endpoint" or event.get("endpoint") in endpoints)
    ]
    ordered = sorted([*request_events, *state_events], key=lambda event: float(event["time"]))
    return [_format_event(event, first_s) for event in ordered]


def _parse_event(line: str) -> dict[str, Any] | None:
    """Returns the JSON object that starts at a line's first brace, or None if it is no event."""
    start = line.find("{")
    try:
        event = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    return event if isinstance(event, dict) and "event" in event and "time" in event else None


def _format_event(event: dict[str, Any], first_s: float) -> str:
    """Returns an event as one line, with its time relative to `first_s` in milliseconds."""
    offset_ms = (float(event["time"]) - first_s) * 1000
    hidden = ("time", "event", "daemon", "request")
    fields = " ".join(f"{name}={value}" for name, value in event.items() if name not in hidden)
    return f"{offset_ms:+9.1f} ms  {event.get('daemon', ''):24} {event['event']:20} {fields}"
