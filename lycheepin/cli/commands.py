"""The subcommands. Each returns an exit status."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
import uuid
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from lycheepin import __version__
from lycheepin.cli.arguments import build_parser
from lycheepin.cli.changes import TARGETS, set_targets, start_drain, stop_drain
from lycheepin.cli.client import ClientError, DaemonClient
from lycheepin.cli.timeline import collect_events, render_html, render_text
from lycheepin.cli.trace import trace_request
from lycheepin.configuration import check_settings
from lycheepin.daemon.process import run_daemon
from lycheepin.generated.settings import Configuration, DaemonSettings
from lycheepin.names import QualifiedName
from lycheepin.validation import to_plain

__all__ = ["main"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4

IN_FORCE_S = 6.0
COVERAGE_PAUSE_S = 0.3
CHANGE_ATTEMPTS = 5


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns its exit status."""
    options = build_parser().parse_args(arguments)
    match options.command:
        case "daemon":
            return _run_daemon(options)
        case "gateway":
            return _run_gateway()
        case "trace":
            return _trace(options)
        case "config":
            return _CONFIG_ACTIONS[options.action](options)
        case "targets":
            return _set_targets(options)
        case "drain":
            return _drain(options)
        case "timeline":
            return _timeline(options)
        case "version":
            return _print(options, {"version": __version__}, lambda _: f"lycheepin {__version__}")
        case "status":
            return _print(options, _client(options).get("status"), _status_text)
        case "lookup" | "explain":
            return _ask(options)
    return EXIT_USAGE


def _run_gateway() -> int:
    """Runs a gateway; its settings are where the platform says."""
    from lycheepin.platform.gateway import main as run_on_platform

    return run_on_platform()


def _trace(options: argparse.Namespace) -> int:
    """Prints the story of a request from log files."""
    lines: list[str] = []
    for name in options.logs:
        try:
            lines += pathlib.Path(name).read_text(encoding="utf-8").splitlines()
        except OSError as error:
            print(f"lycheepin: {error}", file=sys.stderr)
            return EXIT_REFUSED
    story = trace_request(options.request, lines)
    if not story:
        print(f"lycheepin: no line about request {options.request!r}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(story))
    return EXIT_OK


def _client(options: argparse.Namespace) -> DaemonClient:
    """Returns the client of the daemon that the options name."""
    return DaemonClient(options.daemon, options.key)


def _print(
    options: argparse.Namespace, answer: Any, to_text: Callable[[Any], str] | None = None
) -> int:
    """Prints an answer and returns the exit status."""
    if isinstance(answer, ClientError):
        print(f"lycheepin: {answer.kind}: {answer.message}", file=sys.stderr)
        statuses = {"unreachable": EXIT_UNREACHABLE, "conflict": EXIT_CONFLICT}
        return statuses.get(answer.kind, EXIT_REFUSED)
    if options.json or to_text is None:
        print(json.dumps(answer, indent=2, ensure_ascii=False))
    else:
        print(to_text(answer))
    return EXIT_OK


def _read_file(name: str) -> str | None:
    """Returns the text of a file, or None after printing why it can't be read."""
    try:
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"lycheepin: {name}: {error}", file=sys.stderr)
        return None


def _load(cls: type, name: str) -> Any:
    """Returns a settings object from a file, or None after printing all mistakes."""
    text = _read_file(name)
    if text is None:
        return None
    match check_settings(cls, text, name):
        case Success(built):
            return built
        case Failure(mistakes):
            for mistake in mistakes:
                print(mistake, file=sys.stderr)
    return None


def _run_daemon(options: argparse.Namespace) -> int:
    """Runs `daemon`."""
    settings = _load(DaemonSettings, options.settings)
    return EXIT_REFUSED if settings is None else run_daemon(settings)


# Configuration


def _config_show(options: argparse.Namespace) -> int:
    """Runs `config show`."""
    answer = _client(options).get("config")
    if not isinstance(answer, ClientError):
        answer = {"number": answer["number"], "document": answer["document"]}
    return _print(options, answer)


def _config_history(options: argparse.Namespace) -> int:
    """Runs `config history`."""
    answer = _client(options).get("config")
    if not isinstance(answer, ClientError):
        latest = {key: answer[key] for key in ("number", "change_id", "author", "summary")}
        answer = [*answer["history"], latest]
    return _print(
        options,
        answer,
        lambda rows: "\n".join(f"{r['number']:6} {r['author']:16} {r['summary']}" for r in rows),
    )


def _config_check(options: argparse.Namespace) -> int:
    """Runs `config check`."""
    if _load(Configuration, options.file) is None:
        return EXIT_REFUSED
    return _print(options, {"ok": True}, lambda _: f"{options.file}: no mistakes")


def _config_apply(options: argparse.Namespace) -> int:
    """Runs `config apply`."""
    configuration = _load(Configuration, options.file)
    if configuration is None:
        return EXIT_REFUSED
    document = to_plain(configuration)
    return _submit(options, document, options.summary, options.base)


_CONFIG_ACTIONS = {
    "show": _config_show,
    "history": _config_history,
    "check": _config_check,
    "apply": _config_apply,
}


def _submit(options: argparse.Namespace, document: Any, summary: str, base: int | None) -> int:
    """Applies a document, waits until it is in force, and reports where."""
    client = _client(options)
    change = {
        "change_id": options.change_id or uuid.uuid4().hex,
        "author": options.author,
        "summary": summary,
        "base": base,
        "document": document,
    }
    answer = client.post("config", change)
    if isinstance(answer, ClientError):
        return _print(options, answer)
    return _print(options, _await_coverage(client, answer["number"]), _coverage_text)


def _await_coverage(client: DaemonClient, number: int) -> Any:
    """Returns where a configuration is in force, when it is everywhere or time is up."""
    started_s = time.monotonic()
    while True:
        coverage = client.get("config/coverage", number=number)
        if isinstance(coverage, ClientError):
            return coverage
        elapsed_s = time.monotonic() - started_s
        complete = not coverage["behind"] and not coverage["unreachable"]
        if complete or elapsed_s > IN_FORCE_S:
            return {"number": number, "seconds": round(elapsed_s, 3), **coverage}
        time.sleep(COVERAGE_PAUSE_S)


def _coverage_text(answer: Any) -> str:
    """Returns where a configuration is in force as text."""
    lines = [
        f"number {answer['number']} in force on {len(answer['in_force'])} VMs"
        f" after {answer['seconds']} s"
    ]
    if answer["behind"]:
        lines.append(f"not yet: {', '.join(answer['behind'])}")
    if answer["unreachable"]:
        lines.append(f"can't be asked: {', '.join(answer['unreachable'])}")
    return "\n".join(lines)


def _change(
    options: argparse.Namespace, summary: str, edit: Callable[[dict[str, Any]], dict[str, Any]]
) -> int:
    """Edits the configuration in force; tries again when another change comes first."""
    client = _client(options)
    status = EXIT_CONFLICT
    for _ in range(CHANGE_ATTEMPTS):
        current = client.get("config")
        if isinstance(current, ClientError):
            return _print(options, current)
        try:
            document = edit(current["document"])
        except KeyError as error:
            print(f"lycheepin: {error.args[0]}", file=sys.stderr)
            return EXIT_REFUSED
        status = _submit(options, document, summary, current["number"])
        if status != EXIT_CONFLICT:
            return status
    return status


def _set_targets(options: argparse.Namespace) -> int:
    """Runs `targets set`."""
    targets = {name: getattr(options, name) for name in TARGETS}
    targets = {name: value for name, value in targets.items() if value is not None}
    if not targets:
        print("lycheepin: no target given", file=sys.stderr)
        return EXIT_USAGE
    words = " ".join(f"{name}={value}" for name, value in targets.items())
    summary = f"targets {options.service}/{options.work_class}: {words}"
    return _change(
        options,
        summary,
        lambda document: set_targets(document, options.service, options.work_class, targets),
    )


def _drain(options: argparse.Namespace) -> int:
    """Runs `drain`."""
    if options.action == "list":
        answer = _client(options).get("config")
        if not isinstance(answer, ClientError):
            answer = answer["document"]["drains"]
        return _print(
            options,
            answer,
            lambda drains: "\n".join(f"{d['kind']:9} {d['name']}" for d in drains) or "no drains",
        )
    edit = start_drain if options.action == "start" else stop_drain
    summary = f"drain {options.action} {options.kind} {options.name}"
    return _change(options, summary, lambda doc: edit(doc, options.kind, options.name))


# Reads


def _ask(options: argparse.Namespace) -> int:
    """Runs `lookup` and `explain`."""
    try:
        name = QualifiedName.parse(options.service)
    except ValueError as error:
        print(f"lycheepin: {error}", file=sys.stderr)
        return EXIT_USAGE
    answer = _client(options).get(
        options.command, fleet=name.fleet, service=name.name, caller=options.caller
    )
    return _print(options, answer, _entries_text if options.command == "lookup" else None)


def _entries_text(answer: Any) -> str:
    """Returns a look-up's answer as text."""
    entries = "\n".join(
        f"{e['address']}:{e['port']}  request id {e['request_id']}" for e in answer["entries"]
    )
    return f"{entries}\nvalid for {answer['lifetime_s']} s"


def _status_text(answer: Any) -> str:
    """Returns a daemon's status as text."""
    lines = [
        f"{answer['vm']} at {answer['address']} in {answer['zone']}, {answer['region']}"
        + (" (leaving)" if answer["leaving"] else ""),
        f"configuration {answer['configuration']}, plan {answer['plan']}"
        f" ({'settled' if answer['settled'] else 'settling'}), planner {answer['planner']}",
        f"requests in flight {answer['in_flight']}",
    ]
    for load in answer["loads"]:
        lines.append(
            f"service {load['service']}: {load['in_use']} of {load['granted']} slots,"
            f" {load['waiting']} waiting"
        )
    for service, limit in answer["binding_limits"].items():
        lines.append(f"target at risk: {service} is bound by {limit}")
    for member in answer["members"]:
        lines.append(f"member {member['vm']:24} {member['region']:16} {member['state']}")
    return "\n".join(lines)


def _timeline(options: argparse.Namespace) -> int:
    """Runs `timeline`."""
    events = collect_events(_client(options), options.key)
    if isinstance(events, ClientError):
        return _print(options, events)
    if options.html:
        pathlib.Path(options.html).write_text(render_html(events), encoding="utf-8")
        return EXIT_OK
    if options.json:
        for event in events:
            print(json.dumps(event.to_json()))
        return EXIT_OK
    print(render_text(events))
    return EXIT_OK
