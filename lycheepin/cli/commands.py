"""Subcommands of the command line. Each returns an exit status."""

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
from lycheepin.cli.explaining import explain, format_explanation
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

# Time to wait until a configuration is in force on all daemons, and time between two queries.
COVERAGE_TIMEOUT_S = 6.0
COVERAGE_POLL_S = 0.3
# An edit is attempted again when another change has been applied in the meantime.
MAX_EDIT_ATTEMPTS = 5


def main(arguments: list[str] | None = None) -> int:
    """Runs the subcommand that the arguments name and returns its exit status."""
    options = build_parser().parse_args(arguments)
    match options.command:
        case "daemon":
            return _run_daemon(options)
        case "gateway":
            return _run_gateway()
        case "trace":
            return _print_trace(options)
        case "config":
            return _CONFIG_ACTIONS[options.action](options)
        case "targets":
            return _run_targets_set(options)
        case "drain":
            return _run_drain(options)
        case "timeline":
            return _run_timeline(options)
        case "version":
            return _print_answer(
                options, {"version": __version__}, lambda _: f"lycheepin {__version__}"
            )
        case "status":
            return _print_answer(options, _build_client(options).get("status"), _format_status)
        case "explain" if options.gateway is not None or options.state is not None:
            return _run_explain(options)
        case "lookup" | "explain":
            return _run_query(options)
    return EXIT_USAGE


def _run_gateway() -> int:
    """Runs `gateway`; the platform determines the path of the settings file."""
    from lycheepin.platform.gateway import main as run_on_platform

    return run_on_platform()


def _print_trace(options: argparse.Namespace) -> int:
    """Runs `trace`."""
    log_lines: list[str] = []
    for log_path in options.logs:
        try:
            log_lines += (
                pathlib.Path(log_path).read_text(encoding="utf-8", errors="replace").splitlines()
            )
        except OSError as error:
            print(f"lycheepin: {error}", file=sys.stderr)
            return EXIT_REFUSED
    trace_lines = trace_request(options.request, log_lines)
    if not trace_lines:
        print(f"lycheepin: no log line found for request {options.request!r}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(trace_lines))
    return EXIT_OK


def _build_client(options: argparse.Namespace) -> DaemonClient:
    """Returns a client for the daemon that the options name."""
    return DaemonClient(options.daemon, options.key)


def _print_answer(
    options: argparse.Namespace, answer: Any, format_answer: Callable[[Any], str] | None = None
) -> int:
    """Prints an answer or an error and returns the exit status.

    The answer is printed as JSON if the options ask for it or there is no `format_answer`.
    """
    if isinstance(answer, ClientError):
        print(f"lycheepin: {answer.kind}: {answer.message}", file=sys.stderr)
        exit_statuses = {"unreachable": EXIT_UNREACHABLE, "conflict": EXIT_CONFLICT}
        return exit_statuses.get(answer.kind, EXIT_REFUSED)
    if options.json or format_answer is None:
        print(json.dumps(answer, indent=2, ensure_ascii=False))
    else:
        print(format_answer(answer))
    return EXIT_OK


def _read_file(path: str) -> str | None:
    """Returns the text of a file, or None after printing the reason why it can't be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"lycheepin: {path}: {error}", file=sys.stderr)
        return None


def _load_settings(cls: type, path: str) -> Any:
    """Returns the settings object in a file, or None after printing all problems found in it."""
    text = _read_file(path)
    if text is None:
        return None
    match check_settings(cls, text, path):
        case Success(settings):
            return settings
        case Failure(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
    return None


def _run_daemon(options: argparse.Namespace) -> int:
    """Runs `daemon`."""
    settings = _load_settings(DaemonSettings, options.settings)
    return EXIT_REFUSED if settings is None else run_daemon(settings)


# Configuration


def _run_config_show(options: argparse.Namespace) -> int:
    """Runs `config show`."""
    answer = _build_client(options).get("config")
    if not isinstance(answer, ClientError):
        answer = {"number": answer["number"], "document": answer["document"]}
    return _print_answer(options, answer)


def _run_config_history(options: argparse.Namespace) -> int:
    """Runs `config history`."""
    answer = _build_client(options).get("config")
    if not isinstance(answer, ClientError):
        latest = {key: answer[key] for key in ("number", "change_id", "author", "summary")}
        answer = [*answer["history"], latest]
    return _print_answer(
        options,
        answer,
        lambda rows: "\n".join(
            f"{row['number']:6} {row['author']:16} {row['summary']}" for row in rows
        ),
    )


def _run_config_check(options: argparse.Namespace) -> int:
    """Runs `config check`."""
    if _load_settings(Configuration, options.file) is None:
        return EXIT_REFUSED
    return _print_answer(options, {"ok": True}, lambda _: f"{options.file}: no problems found")


def _run_config_apply(options: argparse.Namespace) -> int:
    """Runs `config apply`."""
    configuration = _load_settings(Configuration, options.file)
    if configuration is None:
        return EXIT_REFUSED
    document = to_plain(configuration)
    return _submit_configuration(options, document, options.summary, options.base)


_CONFIG_ACTIONS = {
    "show": _run_config_show,
    "history": _run_config_history,
    "check": _run_config_check,
    "apply": _run_config_apply,
}


def _submit_configuration(
    options: argparse.Namespace, document: Any, summary: str, base: int | None
) -> int:
    """Applies a configuration, waits until it is in force, and prints its coverage."""
    client = _build_client(options)
    change = {
        "change_id": options.change_id or uuid.uuid4().hex,
        "author": options.author,
        "summary": summary,
        "base": base,
        "document": document,
    }
    answer = client.post("config", change)
    if isinstance(answer, ClientError):
        return _print_answer(options, answer)
    return _print_answer(options, _wait_for_coverage(client, answer["number"]), _format_coverage)


def _wait_for_coverage(client: DaemonClient, number: int) -> Any:
    """Waits until a configuration is in force on all daemons or COVERAGE_TIMEOUT_S has passed.

    Returns its coverage: the VMs on which it is in force, the VMs that have an earlier one, and the
    unreachable VMs. Returns a ClientError if the daemon returns no coverage.
    """
    started_s = time.monotonic()
    while True:
        coverage = client.get("config/coverage", number=number)
        if isinstance(coverage, ClientError):
            return coverage
        elapsed_s = time.monotonic() - started_s
        complete = not coverage["behind"] and not coverage["unreachable"]
        if complete or elapsed_s > COVERAGE_TIMEOUT_S:
            return {"number": number, "seconds": round(elapsed_s, 3), **coverage}
        time.sleep(COVERAGE_POLL_S)


def _format_coverage(answer: Any) -> str:
    """Returns the coverage of a configuration as text."""
    lines = [
        f"number {answer['number']} in force on {len(answer['in_force'])} VMs"
        f" after {answer['seconds']} s"
    ]
    if answer["behind"]:
        lines.append(f"not yet in force on: {', '.join(answer['behind'])}")
    if answer["unreachable"]:
        lines.append(f"unreachable: {', '.join(answer['unreachable'])}")
    return "\n".join(lines)


def _edit_configuration(
    options: argparse.Namespace, summary: str, edit: Callable[[dict[str, Any]], dict[str, Any]]
) -> int:
    """Applies an edit to the configuration in force; retries on a conflicting change."""
    client = _build_client(options)
    status = EXIT_CONFLICT
    for _ in range(MAX_EDIT_ATTEMPTS):
        current = client.get("config")
        if isinstance(current, ClientError):
            return _print_answer(options, current)
        try:
            document = edit(current["document"])
        except KeyError as error:
            print(f"lycheepin: {error.args[0]}", file=sys.stderr)
            return EXIT_REFUSED
        status = _submit_configuration(options, document, summary, current["number"])
        if status != EXIT_CONFLICT:
            return status
    return status


def _run_targets_set(options: argparse.Namespace) -> int:
    """Runs `targets set`."""
    targets = {name: getattr(options, name) for name in TARGETS}
    targets = {name: value for name, value in targets.items() if value is not None}
    if not targets:
        print("lycheepin: at least one target is required", file=sys.stderr)
        return EXIT_USAGE
    assignments = " ".join(f"{name}={value}" for name, value in targets.items())
    summary = f"targets {options.service}/{options.work_class}: {assignments}"
    return _edit_configuration(
        options,
        summary,
        lambda document: set_targets(document, options.service, options.work_class, targets),
    )


def _run_drain(options: argparse.Namespace) -> int:
    """Runs `drain`."""
    if options.action == "list":
        answer = _build_client(options).get("config")
        if not isinstance(answer, ClientError):
            answer = answer["document"]["drains"]
        return _print_answer(
            options,
            answer,
            lambda drains: "\n".join(f"{drain['kind']:9} {drain['name']}" for drain in drains)
            or "no drains",
        )
    edit = start_drain if options.action == "start" else stop_drain
    summary = f"drain {options.action} {options.kind} {options.name}"
    return _edit_configuration(
        options, summary, lambda document: edit(document, options.kind, options.name)
    )


# Queries


def _run_explain(options: argparse.Namespace) -> int:
    """Runs `explain` for a request to a gateway."""
    if options.service is not None or not options.host:
        print("lycheepin: explain --gateway or --state takes --host and --path", file=sys.stderr)
        return EXIT_USAGE
    match explain(options):
        case Success(answer):
            return _print_answer(options, answer, format_explanation)
        case Failure(error):
            return _print_answer(options, error)
    raise AssertionError


def _run_query(options: argparse.Namespace) -> int:
    """Runs `lookup`, and `explain` for a caller of a daemon."""
    if options.service is None or options.caller is None:
        print("lycheepin: a service and a caller are required", file=sys.stderr)
        return EXIT_USAGE
    try:
        name = QualifiedName.parse(options.service)
    except ValueError as error:
        print(f"lycheepin: {error}", file=sys.stderr)
        return EXIT_USAGE
    answer = _build_client(options).get(
        options.command, fleet=name.fleet, service=name.name, caller=options.caller
    )
    return _print_answer(options, answer, _format_entries if options.command == "lookup" else None)


def _format_entries(answer: Any) -> str:
    """Returns the answer to a look-up as text."""
    entries = "\n".join(
        f"{entry['address']}:{entry['port']}  request id {entry['request_id']}"
        for entry in answer["entries"]
    )
    return f"{entries}\nvalid for {answer['lifetime_s']} s"


def _format_status(answer: Any) -> str:
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


def _run_timeline(options: argparse.Namespace) -> int:
    """Runs `timeline`."""
    events = collect_events(_build_client(options), options.key)
    if isinstance(events, ClientError):
        return _print_answer(options, events)
    if options.html:
        pathlib.Path(options.html).write_text(render_html(events), encoding="utf-8")
        return EXIT_OK
    if options.json:
        for event in events:
            print(json.dumps(event.to_json()))
        return EXIT_OK
    print(render_text(events))
    return EXIT_OK
