"""The command `explain` for a request to a gateway: where it would go now, and why."""

from __future__ import annotations

import argparse
import dataclasses
import pathlib
import sys
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import msgspec
from returns.result import Failure, Result, Success

from lycheepin.cli.client import ClientError, DaemonClient
from lycheepin.names import WorkspaceName
from lycheepin.steering.choices import Candidate
from lycheepin.steering.explaining import (
    RequestDescription,
    RequestExplanation,
    RequestRefusal,
    ServiceExplanation,
    explain_request,
)
from lycheepin.steering.saved_state import SteeringState

__all__ = ["explain", "format_explanation"]

# Path of a gateway's state below the prefix of the operator's calls, and the fields of its answer.
STATE_PATH = "steering"
STATE_FIELD, WORKSPACE_FIELD = "state", "workspace"
# What stands for standard input in place of the name of a file.
STANDARD_INPUT = "-"
MS_PER_S = 1000
# Number of candidates that are printed as text, the preferred ones first.
PRINTED_CANDIDATES = 12


@dataclass(frozen=True)
class _Source:
    """A state, and the workspace of the caller; None for a caller without a valid key."""

    state: SteeringState
    workspace: str | None


def explain(options: argparse.Namespace) -> Result[dict[str, Any], ClientError]:
    """Returns the explanation of the request that the options describe, as it is printed in JSON.

    Saves the state that it is based on if the options ask for it. The error is that of a call, or
    of kind `invalid` for input that can't be used.
    """
    return _read_source(options).bind(lambda source: _explain_from(options, source))


def _read_source(options: argparse.Namespace) -> Result[_Source, ClientError]:
    """Returns the state of a gateway, or the one in a file."""
    key = ""
    if options.workspace_key_file is not None:
        match _read_text(options.workspace_key_file):
            case Success(text):
                key = text.strip()
            case Failure(error):
                return Failure(error)
        if not key.isascii() or not key.isprintable() or not key:
            return _fail(f"{options.workspace_key_file}: a key is one line of ASCII characters")
    if options.state is not None:
        if key:
            return _fail("a saved state has no keys: name the workspace with --workspace")
        return _read_text(options.state).bind(
            lambda text: _decode(options.state, text, options.workspace)
        )
    answer = DaemonClient(options.gateway, options.key, key).get(STATE_PATH)
    if isinstance(answer, ClientError):
        return Failure(answer)
    if not isinstance(answer, dict) or STATE_FIELD not in answer:
        return _fail(f"{options.gateway}: not the state of a gateway")
    workspace = answer.get(WORKSPACE_FIELD) if key else options.workspace
    return _decode(options.gateway, msgspec.json.encode(answer[STATE_FIELD]), workspace)


def _decode(source: str, content: str | bytes, workspace: str | None) -> Result[_Source, Any]:
    """Returns the state in JSON from a source."""
    try:
        return Success(_Source(SteeringState.decode(content), workspace))
    except ValueError as error:
        return _fail(f"{source}: {error}")


def _read_text(path: str) -> Result[str, ClientError]:
    """Returns the text of a file, or of standard input."""
    try:
        if path == STANDARD_INPUT:
            return Success(sys.stdin.read())
        return Success(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return _fail(f"{path}: {error}")


def _fail(message: str) -> Failure[ClientError]:
    """Returns the failure for input that can't be used."""
    return Failure(ClientError("invalid", message))


def _explain_from(
    options: argparse.Namespace, source: _Source
) -> Result[dict[str, Any], ClientError]:
    """Returns the explanation of a request from a state."""
    state = source.state
    workspace = WorkspaceName(source.workspace) if source.workspace is not None else None
    request = RequestDescription(
        options.host,
        urlsplit(options.path).path,
        options.object,
        workspace,
        options.time_left / MS_PER_S if options.time_left is not None else None,
    )
    try:
        explanation = explain_request(
            state.build_table(), state.build_dispatcher(), request, state.taken_at_s, state.quotas
        )
    except (ValueError, KeyError, ArithmeticError) as error:
        return _fail(f"state of {state.daemon}: {error!r}")
    if options.save is not None:
        try:
            pathlib.Path(options.save).write_bytes(state.encode())
        except OSError as error:
            return _fail(f"{options.save}: {error}")
    return Success(
        {
            "daemon": state.daemon,
            "region": state.region,
            "unix_s": state.unix_s,
            "store_age_s": state.store_age_s,
            "request": dataclasses.asdict(request),
            "explanation": msgspec.to_builtins(explanation),
        }
    )


def format_explanation(answer: dict[str, Any]) -> str:
    """Returns an explanation as text."""
    explanation = msgspec.convert(answer["explanation"], RequestExplanation)
    age_s = answer["store_age_s"]
    known = "knows nothing of the store" if age_s is None else f"store known {age_s:.1f} s ago"
    lines = [f"daemon         {answer['daemon']} in {answer['region']}, {known}"]
    if explanation.version is not None:
        lines.append(f"configuration  version {explanation.version}")
    if explanation.route is not None:
        lines.append(f"route          {explanation.route} ({explanation.kind})")
    if explanation.target_s is not None:
        workspace = explanation.workspace or "none"
        lines += [
            f"workspace      {workspace}, {_format_quota(explanation)}",
            f"rules          priority {explanation.priority}, target {explanation.target_s:.2f} s,"
            f" at most {explanation.time_left_s:.2f} s,"
            f" regions {', '.join(explanation.allowed_regions) or 'any'}",
        ]
    if explanation.refusal is not None:
        lines.append(f"refused        {_format_refusal(explanation.refusal)}")
    for service in explanation.services:
        lines += _format_service(service)
    return "\n".join(lines)


def _format_quota(explanation: RequestExplanation) -> str:
    """Returns the quota of a request's workspace as text."""
    if not explanation.quota_per_s:
        return "no quota"
    left = explanation.quota_left
    return (
        f"quota {explanation.quota_per_s:g} a second and {explanation.quota_burst:g} beyond, of"
        f" which this daemon has {'an unknown part' if left is None else f'{left:.1f}'} left"
    )


def _format_refusal(refusal: RequestRefusal) -> str:
    """Returns a refusal as text."""
    after = "" if refusal.retry_after_s is None else f", Retry-After {refusal.retry_after_s:g} s"
    return f"{refusal.status} {refusal.kind.value}{after}"


def _format_service(service: ServiceExplanation) -> list[str]:
    """Returns the lines for one service of a route."""
    share = "" if service.share == 1 else f" ({service.share:.0%} of the requests)"
    if service.refusal is not None:
        outcome = f"refused {_format_refusal(service.refusal)}"
    else:
        outcome = f"goes to {service.endpoint}, an answer is expected in {service.answer_s:.3f} s"
    lines = [f"service        {service.service}{share}: {outcome}"]
    rows: list[tuple[str, ...]] = [
        ("", "zone", "weight", "slots", "own", "others", "age s", "slow", "answer s", "obstacles")
    ]
    for candidate in service.candidates[:PRINTED_CANDIDATES]:
        rows.append(_format_candidate(candidate))
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]) - 1)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        lines.append("  ".join(["  ", *cells, row[-1]]).rstrip())
    hidden = len(service.candidates) - PRINTED_CANDIDATES
    if hidden > 0:
        lines.append(f"    and {hidden} further ones (--json has all)")
    return lines


def _format_candidate(candidate: Candidate) -> tuple[str, ...]:
    """Returns the cells of the row of a candidate."""
    weighed = candidate.weighed
    age_s = weighed.report_age_s
    return (
        weighed.id,
        candidate.zone,
        f"{candidate.weight:g}",
        str(weighed.slots),
        str(weighed.in_flight),
        f"{weighed.other_requests:.1f}",
        "never" if age_s is None else f"{age_s:.1f}",
        f"{candidate.slowness:.1f}",
        f"{weighed.answer_s:.3f}",
        ", ".join(candidate.obstacles),
    )
