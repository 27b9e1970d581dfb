"""Reads the platform's settings file and decodes it into the settings of a gateway."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from lycheepin.decoding import parse_assignments
from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.steering.budgets import BudgetLimits
from lycheepin.steering.quota_shares import QuotaTerms
from lycheepin.steering.store_contact import DEFAULT_HEARTBEAT_S

__all__ = ["SettingsError", "decode_settings", "load_settings"]

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "LYCHEEPIN_BOOT"
# Port of the metrics endpoint; has to match deploy/system.toml.
METRICS_PORT = 9464
# Bounds in milliseconds on the time until a change of the store has to be in force.
_APPLY_BOUNDS = ("configApplyMs", "drainTimeoutMs", "evacuationMs")
_QUOTA_BOUNDS = (("quotaWindowS", 5.0), ("quotaOver", 0.1), ("quotaSlack", 20.0))
MS_PER_S = 1000
# Environment variable that is "on" where requests return by and by to endpoints that were away.
PACE_VARIABLE = "LYCHEEPIN_PACE"


class SettingsError(ValueError):
    """The settings file is missing, malformed or incomplete."""


def load_settings(path: str) -> GatewaySettings:
    """Reads a settings file; raises SettingsError with the path and the reason."""
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - importing pathlib adds 10 ms to startup
            document = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    paces_returns = os.environ.get(PACE_VARIABLE, "") == "on"
    return replace(decode_settings(document), paces_returns=paces_returns)


def decode_settings(document: Mapping[str, Any]) -> GatewaySettings:
    """Builds the settings from a parsed file; raises SettingsError naming the field."""
    try:
        bounds = parse_assignments(document.get("bounds", []))
        listen = document["listen"]
        limits = document.get("limits", {})
        return GatewaySettings(
            name=DaemonName(document["nodeName"]),
            host=Address(document["ip"]),
            zone=ZoneName(document["zone"]),
            region=RegionName(document["region"]),
            zones={ZoneName(z): RegionName(region) for z, region in document["zones"].items()},
            front=SocketAddress.parse(listen["front"]),
            ready=SocketAddress.parse(listen["ready"]),
            directory=SocketAddress.parse(listen["directory"]),
            metrics=SocketAddress(Address(document["ip"]), METRICS_PORT),
            control=SocketAddress.parse(listen["control"]),
            seeds=tuple(SocketAddress.parse(seed) for seed in document.get("seeds", [])),
            store=SocketAddress.parse(document["platform"]["address"]),
            grace_s=bounds.get("gracePeriodS", 6.0),
            lookup_max_s=bounds.get("ttl_max_s", 5.0),
            apply_limit_s=min(bounds.get(name, 2500.0) for name in _APPLY_BOUNDS) / MS_PER_S,
            terms=BudgetLimits(
                retry_ratio=bounds.get("retryBudgetRatio", 0.1),
                retry_slack=bounds.get("budgetSlack", 10.0),
                window_s=bounds.get("budgetWindowS", 10.0),
                cold_over=bounds.get("coldOver", 1.0),
                cold_slack=bounds.get("coldSlack", 0.0),
            ),
            bootstrap=document.get("bootstrap") is True,
            min_lease_s=float(document["platform"].get("ttlMinMs", 0)) / MS_PER_S,
            heartbeat_s=float(document.get("heartbeatIntervalMs", DEFAULT_HEARTBEAT_S * MS_PER_S))
            / MS_PER_S,
            max_shift=bounds.get("maxShift"),
            quota_terms=QuotaTerms(*(bounds.get(*bound) for bound in _QUOTA_BOUNDS)),
            exchange_port=int(next(iter(document.get("innerPortRange", ())), 0)),
            link_mbps=float(limits.get("linkMbps", 0.0)),
            memory_mb=float(limits.get("memoryMb", 0.0)),
            max_fds=int(limits.get("maxFds", 0)),
            # `cpuShare` is a share of one core, and that core is `cores` times as fast
            processors=float(limits.get("cpuShare", 0.0)) * float(limits.get("cores", 1)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise SettingsError(f"missing or invalid setting: {error!r}") from error
