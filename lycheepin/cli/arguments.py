"""Arguments and help texts of the command line."""

from __future__ import annotations

import argparse
import os

from lycheepin.cli.changes import TARGETS

__all__ = ["build_parser"]

DEFAULT_DAEMON = "127.0.0.1:8400"

EXIT_CODES_TEXT = """exit codes: 0 success; 1 refused by the daemon or invalid input;
2 invalid arguments; 3 daemon unreachable; 4 conflict with another change."""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog="lycheepin",
        description="Steers traffic of merged fleets by targets: answer time, headroom, drains.",
        epilog=EXIT_CODES_TEXT,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    daemon = commands.add_parser("daemon", help="run a daemon on an entry VM")
    daemon.add_argument("settings", help="settings file, JSON with comments")
    commands.add_parser("gateway", help="run a gateway with the platform's settings file")
    trace = commands.add_parser("trace", help="print the events of a request from gateways' logs")
    trace.add_argument("request", help="id of the request")
    trace.add_argument("logs", nargs="+", metavar="LOG", help="log file of a gateway")
    _add_config_commands(commands)
    _add_targets_commands(commands)
    _add_drain_commands(commands)
    _add_query_commands(commands)
    commands.add_parser("version", help="print the version", parents=[_build_common_options()])
    return parser


def _build_common_options() -> argparse.ArgumentParser:
    """Returns the options shared by all commands except `daemon`, `gateway` and `trace`."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--daemon",
        metavar="HOST:PORT",
        default=os.environ.get("LYCHEEPIN_DAEMON", DEFAULT_DAEMON),
        help="any daemon; environment LYCHEEPIN_DAEMON (default %(default)s)",
    )
    common.add_argument(
        "--key",
        default=os.environ.get("LYCHEEPIN_OPERATOR_KEY", ""),
        help="operator key; environment LYCHEEPIN_OPERATOR_KEY",
    )
    common.add_argument("--json", action="store_true", help="print JSON")
    return common


def _build_change_options() -> argparse.ArgumentParser:
    """Returns the options of commands that change the configuration."""
    options = argparse.ArgumentParser(add_help=False, parents=[_build_common_options()])
    options.add_argument(
        "--author",
        default=os.environ.get("USER", "operator"),
        help="author of the change (default %(default)s)",
    )
    options.add_argument(
        "--change-id", default="", help="id of the change; repeating a change with its id is safe"
    )
    return options


def _add_config_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the subcommands of `config`."""
    config = commands.add_parser("config", help="show, check and apply the configuration")
    actions = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser(
        "show", help="print the configuration in force", parents=[_build_common_options()]
    )
    actions.add_parser(
        "history", help="print the latest changes", parents=[_build_common_options()]
    )
    check = actions.add_parser(
        "check", help="report all problems in a file", parents=[_build_common_options()]
    )
    check.add_argument("file", help="configuration, JSON with comments")
    apply = actions.add_parser(
        "apply",
        help="apply a configuration file and report the VMs on which it is in force",
        parents=[_build_change_options()],
    )
    apply.add_argument("file", help="configuration, JSON with comments")
    apply.add_argument("--base", type=int, help="fail unless this configuration number is in force")
    apply.add_argument("--summary", default="applied from file", help="description of the change")


def _add_targets_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the subcommands of `targets`."""
    targets = commands.add_parser("targets", help="change the targets of a class of requests")
    actions = targets.add_subparsers(dest="action", required=True, metavar="ACTION")
    set_command = actions.add_parser(
        "set", help="set one or more targets", parents=[_build_change_options()]
    )
    set_command.add_argument("service", help="merged service")
    set_command.add_argument("work_class", metavar="class", help="class of requests")
    for name in TARGETS:
        set_command.add_argument("--" + name.replace("_", "-"), type=int, metavar="N")


def _add_drain_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the subcommands of `drain`."""
    drain = commands.add_parser("drain", help="start, stop and list drains")
    actions = drain.add_subparsers(dest="action", required=True, metavar="ACTION")
    for action, help_text in (
        ("start", "send no new requests to it"),
        ("stop", "send requests to it again"),
    ):
        command = actions.add_parser(action, help=help_text, parents=[_build_change_options()])
        command.add_argument("kind", choices=("endpoint", "entry_vm", "zone", "region"))
        command.add_argument("name", help="name; of a VM as fleet/name")
    actions.add_parser("list", help="list planned drains", parents=[_build_common_options()])


def _add_query_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the commands that query daemons and change nothing."""
    commands.add_parser(
        "status", help="print the state of a daemon", parents=[_build_common_options()]
    )
    lookup = commands.add_parser(
        "lookup",
        help="print the entry VMs that a caller should use",
        parents=[_build_common_options()],
    )
    lookup.add_argument("service", help="service as fleet/service")
    lookup.add_argument("caller", help="IP address of the caller")
    _add_explain_command(commands)
    timeline = commands.add_parser(
        "timeline",
        help="print the events of all daemons in causal order",
        parents=[_build_common_options()],
    )
    timeline.add_argument("--html", metavar="FILE", help="write an HTML page instead")


def _add_explain_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds `explain`, which asks a daemon about a caller, or a gateway about a request."""
    command = commands.add_parser(
        "explain",
        help="print why a caller is directed to its entry VMs, or where a request would go",
        parents=[_build_common_options()],
    )
    command.add_argument("service", nargs="?", help="service as fleet/service")
    command.add_argument("caller", nargs="?", help="IP address of the caller")
    source = command.add_mutually_exclusive_group()
    source.add_argument("--gateway", metavar="HOST:PORT", help="control address of a gateway")
    source.add_argument("--state", metavar="FILE", help="state that --save wrote; - for input")
    command.add_argument("--save", metavar="FILE", help="write the state that was decided on")
    command.add_argument("--host", default="", help="host of the request")
    command.add_argument("--path", default="/", help="path of the request")
    command.add_argument("--object", default="", metavar="KEY", help="object of the request")
    caller = command.add_mutually_exclusive_group()
    caller.add_argument("--workspace", metavar="NAME", help="workspace of the caller")
    caller.add_argument(
        "--workspace-key-file", metavar="FILE", help="file with the caller's key; - for input"
    )
    command.add_argument(
        "--time-left", type=_parse_milliseconds, metavar="MS", help="how long the caller waits"
    )


def _parse_milliseconds(text: str) -> int:
    """Returns a positive number of milliseconds; raises ValueError for other text."""
    milliseconds = int(text)
    if milliseconds <= 0:
        raise ValueError(text)
    return milliseconds
