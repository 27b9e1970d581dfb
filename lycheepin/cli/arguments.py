"""The command line's arguments and help texts."""

from __future__ import annotations

import argparse
import os

from lycheepin.cli.changes import TARGETS

__all__ = ["build_parser"]

DEFAULT_DAEMON = "127.0.0.1:8400"

EXIT_CODES = """exit codes: 0 done; 1 the daemon refused or something is wrong with the input;
2 the arguments are wrong; 3 the daemon can't be reached; 4 another change came first."""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog="lycheepin",
        description="Steers traffic of merged fleets by targets: answer time, headroom, drains.",
        epilog=EXIT_CODES,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    daemon = commands.add_parser("daemon", help="run a daemon on an entry VM")
    daemon.add_argument("settings", help="settings file, JSON with comments")
    commands.add_parser("gateway", help="run a gateway with the platform's settings file")
    trace = commands.add_parser("trace", help="print the story of a request from gateways' logs")
    trace.add_argument("request", help="id of the request")
    trace.add_argument("logs", nargs="+", metavar="LOG", help="log file of a gateway")
    _add_config(commands)
    _add_targets(commands)
    _add_drain(commands)
    _add_reads(commands)
    commands.add_parser("version", help="print the version", parents=[_common()])
    return parser


def _common() -> argparse.ArgumentParser:
    """Returns the options that all commands but `daemon` share."""
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


def _change_options() -> argparse.ArgumentParser:
    """Returns the options of commands that change the configuration."""
    options = argparse.ArgumentParser(add_help=False, parents=[_common()])
    options.add_argument("--author", default=os.environ.get("USER", "operator"), help="who you are")
    options.add_argument("--change-id", default="", help="id of this change, to repeat it safely")
    return options


def _add_config(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds `config`."""
    config = commands.add_parser("config", help="show, check and apply the configuration")
    actions = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser("show", help="print the configuration in force", parents=[_common()])
    actions.add_parser("history", help="print the latest changes", parents=[_common()])
    check = actions.add_parser("check", help="report all mistakes in a file", parents=[_common()])
    check.add_argument("file", help="configuration, JSON with comments")
    apply = actions.add_parser(
        "apply",
        help="put a file in force and report which VMs have it",
        parents=[_change_options()],
    )
    apply.add_argument("file", help="configuration, JSON with comments")
    apply.add_argument("--base", type=int, help="refuse unless this number is in force now")
    apply.add_argument("--summary", default="applied from file", help="what changes and why")


def _add_targets(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds `targets`."""
    targets = commands.add_parser("targets", help="change the targets of a class")
    actions = targets.add_subparsers(dest="action", required=True, metavar="ACTION")
    change = actions.add_parser("set", help="set some targets", parents=[_change_options()])
    change.add_argument("service", help="merged service")
    change.add_argument("work_class", metavar="class", help="class of work")
    for name in TARGETS:
        change.add_argument("--" + name.replace("_", "-"), type=int, metavar="N")


def _add_drain(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds `drain`."""
    drain = commands.add_parser("drain", help="plan, end and list drains")
    actions = drain.add_subparsers(dest="action", required=True, metavar="ACTION")
    for action, text in (("start", "give no new work to it"), ("stop", "use it again")):
        change = actions.add_parser(action, help=text, parents=[_change_options()])
        change.add_argument("kind", choices=("endpoint", "entry_vm", "zone", "region"))
        change.add_argument("name", help="its name; VMs as fleet/name")
    actions.add_parser("list", help="list planned drains", parents=[_common()])


def _add_reads(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the commands that only read."""
    commands.add_parser("status", help="print the state of a daemon", parents=[_common()])
    for name, text in (
        ("lookup", "ask which entry VMs a caller should use"),
        ("explain", "tell why a caller is sent where it is"),
    ):
        command = commands.add_parser(name, help=text, parents=[_common()])
        command.add_argument("service", help="service as fleet/service")
        command.add_argument("caller", help="IP number of the caller")
    timeline = commands.add_parser(
        "timeline", help="print the events of all daemons in causal order", parents=[_common()]
    )
    timeline.add_argument("--html", metavar="FILE", help="write a page instead")
