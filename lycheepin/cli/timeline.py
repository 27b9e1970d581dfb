"""The timeline: events of all daemons, merged in causal order."""

from __future__ import annotations

import html
from typing import Any

from lycheepin.cli.client import ClientError, DaemonClient
from lycheepin.clocks import format_stamp
from lycheepin.events import Event, format_event, merge_events

__all__ = ["collect_events", "render_html", "render_text"]


def collect_events(client: DaemonClient, operator_key: str) -> list[Event] | ClientError:
    """Returns the events of a daemon and of all members in its status that answer.

    Returns a ClientError if the daemon itself does not return its status.
    """
    status = client.get("status")
    if isinstance(status, ClientError):
        return status
    addresses = [f"{member['address']}:{member['port']}" for member in status["members"]]
    answers = [client.get("events")]
    answers += [DaemonClient(address, operator_key).get("events") for address in addresses]
    event_lists = [
        [Event(**fields) for fields in answer] for answer in answers if isinstance(answer, list)
    ]
    return merge_events(event_lists)


def render_text(events: list[Event]) -> str:
    """Returns the events as text, one per line."""
    return "\n".join(format_event(event) for event in events)


def render_html(events: list[Event]) -> str:
    """Returns an HTML page with one row per event and one column per process."""
    processes = sorted({event.process for event in events})
    header_cells = "".join(f"<th>{html.escape(name)}</th>" for name in processes)
    body_rows = "".join(_render_row(event, processes) for event in events)
    style = "td,th{border:1px solid #ccc;padding:2px 6px;font:12px monospace}"
    return (
        f"<!doctype html><meta charset=utf-8><title>time line</title><style>{style}</style>"
        f"<table><tr><th>time (UTC)</th>{header_cells}</tr>{body_rows}</table>"
    )


def _render_row(event: Event, processes: list[str]) -> str:
    """Returns the table row of one event."""
    text = html.escape(f"{event.kind} {event.detail}".strip())
    cells: list[Any] = [text if name == event.process else "" for name in processes]
    row_cells = "".join(f"<td>{cell}</td>" for cell in cells)
    return f"<tr><td>{format_stamp(event.stamp)}</td>{row_cells}</tr>"
