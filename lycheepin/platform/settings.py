"""The platform's settings file, decoded into the settings of a gateway."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lycheepin.gateway.settings import GatewaySettings, SocketAddress
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.steering.budgets import BudgetLimits

__all__ = ["SettingsError", "decode_settings", "load_settings"]

# Variable that holds the path of the settings file.
SETTINGS_VARIABLE = "LYCHEEPIN_BOOT"
# Port of the metrics page; deploy/system.toml names the same one.
METRICS_PORT = 9464


class SettingsError(ValueError):
    """The settings file can't be used."""


@dataclass(frozen=True)
class _Bounds:
    """The texts `name=value` of the settings."""

    values: Mapping[str, float]

    @classmethod
    def parse(cls, texts: Any) -> _Bounds:
        """Returns the bounds of a list of texts, or of one text with commas."""
        items = texts.split(",") if isinstance(texts, str) else texts
        values: dict[str, float] = {}
        for item in items if isinstance(items, list) else []:
            name, _, value = str(item).partition("=")
            try:
                values[name.strip()] = float(value)
            except ValueError:
                continue  # true and false belong to matters that are not read here
        return cls(values)

    def get(self, name: str, default: float) -> float:
        """Returns a bound, or `default` when the deployment has none."""
        return self.values.get(name, default)


def load_settings(path: str) -> GatewaySettings:
    """Returns the settings in a file; raises SettingsError with the reason."""
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - pathlib costs 10 ms at start
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode_settings(document)


def decode_settings(document: Mapping[str, Any]) -> GatewaySettings:
    """Returns the settings of a decoded file; raises SettingsError naming the field."""
    try:
        bounds = _Bounds.parse(document.get("bounds", []))
        listen = document["listen"]
        limits = document.get("limits", {})
        return GatewaySettings(
            name=DaemonName(document["nodeName"]),
            host=Address(document["ip"]),
            zone=ZoneName(document["zone"]),
            region=RegionName(document["region"]),
            zones={
                ZoneName(zone): RegionName(region) for zone, region in document["zones"].items()
            },
            front=SocketAddress.parse(listen["front"]),
            ready=SocketAddress.parse(listen["ready"]),
            directory=SocketAddress.parse(listen["directory"]),
            metrics=SocketAddress(Address(document["ip"]), METRICS_PORT),
            control=SocketAddress.parse(listen["control"]),
            seeds=tuple(SocketAddress.parse(seed) for seed in document.get("seeds", [])),
            store=SocketAddress.parse(document["platform"]["address"]),
            grace_s=bounds.get("gracePeriodS", 6.0),
            lookup_max_s=bounds.get("ttl_max_s", 5.0),
            terms=BudgetLimits(
                retry_ratio=bounds.get("retryBudgetRatio", 0.1),
                retry_slack=bounds.get("budgetSlack", 10.0),
                window_s=bounds.get("budgetWindowS", 10.0),
                cold_over=bounds.get("coldOver", 1.0),
                cold_slack=bounds.get("coldSlack", 0.0),
            ),
            link_mbps=float(limits.get("linkMbps", 0.0)),
            # the share is of one core, and that core is `cores` times as fast
            processors=float(limits.get("cpuShare", 0.0)) * float(limits.get("cores", 1)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise SettingsError(f"settings: {error!r}") from error
