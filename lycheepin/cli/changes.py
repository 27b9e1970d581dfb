"""Changes to the configuration document in its JSON form, as pure functions."""

from __future__ import annotations

import copy
from typing import Any

__all__ = ["TARGETS", "set_targets", "start_drain", "stop_drain"]

TARGETS = ("answer_target_ms", "deadline_ms", "headroom_percent", "drain_target_s")


def set_targets(
    document: dict[str, Any], service_name: str, class_name: str, targets: dict[str, int]
) -> dict[str, Any]:
    """Returns a copy with new targets of a class; raises KeyError for an unknown one."""
    changed = copy.deepcopy(document)
    for service_entry in changed["services"]:
        for class_entry in service_entry["classes"]:
            if (service_entry["name"], class_entry["name"]) == (service_name, class_name):
                class_entry.update(targets)
                return changed
    raise KeyError(f"no class {class_name!r} in service {service_name!r}")


def start_drain(document: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    """Returns a copy with a drain; a drain that is in the document is not added again."""
    changed = copy.deepcopy(document)
    drain = {"kind": kind, "name": name}
    if drain not in changed["drains"]:
        changed["drains"].append(drain)
    return changed


def stop_drain(document: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    """Returns a copy without a drain."""
    changed = copy.deepcopy(document)
    changed["drains"] = [
        entry for entry in changed["drains"] if (entry["kind"], entry["name"]) != (kind, name)
    ]
    return changed
