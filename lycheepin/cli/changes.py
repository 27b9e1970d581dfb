"""Changes of the configuration as pure functions on its plain JSON form."""

from __future__ import annotations

import copy
from typing import Any

__all__ = ["TARGETS", "set_targets", "start_drain", "stop_drain"]

TARGETS = ("answer_target_ms", "deadline_ms", "headroom_percent", "drain_target_s")


def set_targets(
    document: dict[str, Any], service: str, work: str, targets: dict[str, int]
) -> dict[str, Any]:
    """Returns the document with new targets; raises KeyError for an unknown service or class."""
    changed = copy.deepcopy(document)
    for item in changed["services"]:
        for entry in item["classes"]:
            if (item["name"], entry["name"]) == (service, work):
                entry.update(targets)
                return changed
    raise KeyError(f"no class {work!r} in service {service!r}")


def start_drain(document: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    """Returns the document with a drain; one that is planned already is not added again."""
    changed = copy.deepcopy(document)
    drain = {"kind": kind, "name": name}
    if drain not in changed["drains"]:
        changed["drains"].append(drain)
    return changed


def stop_drain(document: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    """Returns the document without a drain."""
    changed = copy.deepcopy(document)
    changed["drains"] = [d for d in changed["drains"] if (d["kind"], d["name"]) != (kind, name)]
    return changed
