"""The time line: events of all daemons merged in causal order."""

from __future__ import annotations

import html
from typing import Any

from lycheepin.cli.client import ClientError, DaemonClient
from lycheepin.clocks import format_stamp
from lycheepin.events import Event, format_event, merge_events

__all__ = ["collect_events", "render_html", "render_text"]


def collect_events(client: DaemonClient, key: str) -> list[Event] | ClientError:
    """Returns the events of a daemon and of all its members that answer."""
    status = client.get("status")
    if isinstance(status, ClientError):
        return status
    addresses = [f"{m['address']}:{m['port']}" for m in status["members"]]
    rings = [client.get("events")]
    rings += [DaemonClient(address, key).get("events") for address in addresses]
    decoded = [[Event(**item) for item in ring] for ring in rings if isinstance(ring, list)]
    return merge_events(decoded)


def render_text(events: list[Event]) -> str:
    """Returns one line for each event."""
    return "\n".join(format_event(event) for event in events)


def render_html(events: list[Event]) -> str:
    """Returns a page with one row for each event and one column for each process."""
    processes = sorted({event.process for event in events})
    head = "".join(f"<th>{html.escape(name)}</th>" for name in processes)
    rows = "".join(_row(event, processes) for event in events)
    style = "td,th{border:1px solid #ccc;padding:2px 6px;font:12px monospace}"
    return (
        f"<!doctype html><meta charset=utf-8><title>time line</title><style>{style}</style>"
        f"<table><tr><th>time (UTC)</th>{head}</tr>{rows}</table>"
    )


def _row(event: Event, processes: list[str]) -> str:
    """Returns the table row of one event."""
    text = html.escape(f"{event.kind} {event.detail}".strip())
    cells: list[Any] = [text if name == event.process else "" for name in processes]
    body = "".join(f"<td>{cell}</td>" for cell in cells)
    return f"<tr><td>{format_stamp(event.stamp)}</td>{body}</tr>"
