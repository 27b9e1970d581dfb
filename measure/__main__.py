"""`make measure`: measures a daemon's speed, the policy and scenarios on real processes.

The report is written as JSON and, without the scenarios, as an HTML page.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

import matplotlib

from measure.decisions import measure_decisions
from measure.policy import measure_policy
from measure.real import measure_region_loss, measure_surge, measure_upload_memory
from measure.speed import measure_speed

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

REPORT_FOLDER = pathlib.Path("build/measure")
PLOTTED_COLUMNS = (
    ("in_target", "answered within target"),
    ("p99_ms", "p99 ms"),
    ("worst_modest_maker", "worst maker that does not surge, within target"),
    ("least_headroom", "least headroom"),
)
COLUMNS = (
    "in_target",
    "confirm_in_target",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "refused",
    "least_headroom",
    "jain",
    "worst_modest_maker",
)


def main() -> int:
    """Runs all measurements, writes build/measure/ and prints tables; returns the exit status."""
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    decisions = measure_decisions()
    _print_decisions(decisions)
    speed = measure_speed()
    _print_speed(speed)
    policy = measure_policy()
    _print_policy(policy)
    real = {
        "upload": measure_upload_memory(),
        "surge": [measure_surge(layout) for layout in ("prairie", "cire")],
        "region_loss": [measure_region_loss(layout) for layout in ("prairie", "cire")],
    }
    _print_real(real)
    report = {"decisions": decisions, "speed": speed, "policy": policy, "real": real}
    (REPORT_FOLDER / "measure.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
    _plot_policies(policy)
    _write_html_page(speed, policy)
    return 0


def _print_decisions(rows: list[dict[str, Any]]) -> None:
    """Prints the costs of a choice of an endpoint, a line for each size of the fleet."""
    for row in rows:
        print("  ".join(f"{name} {value:.0f}" for name, value in row.items()))


def _print_speed(speed: dict[str, Any]) -> None:
    """Prints a line for each round of the speed measurement."""
    for row in speed["rounds"]:
        print(
            f"look-ups/s {row['lookups']['per_second']:8.0f}"
            f"  requests/s {row['requests']['per_second']:7.0f}"
            f"  added p50 {row['added_p50_ms']:6.2f} ms  added p99 {row['added_p99_ms']:6.2f} ms"
        )


def _print_policy(rows: list[dict[str, Any]]) -> None:
    """Prints a table of the means over the seeds."""
    print(
        f"{'layout':8}{'scenario':30}{'policy':24}"
        + "".join(f"{column[:12]:>13}" for column in COLUMNS)
    )
    for row in rows:
        prefix = f"{row['layout']:8}{row['scenario']:30}{row['policy']:24}"
        print(prefix + "".join(f"{row[column]:13.3f}" for column in COLUMNS))


def _print_real(real: dict[str, Any]) -> None:
    """Prints the results of the scenarios on real processes."""
    upload = real["upload"]
    print(f"upload of 200 MiB: status {upload['status']}, memory +{upload['grown_mb']:.2f} MB")
    for row in real["surge"]:
        shares = ", ".join(f"{name} {share:.3f}" for name, share in row["answered"].items())
        print(
            f"{row['layout']}: {row['surging']} surges: answered {shares};"
            f" over cap {row['region_over_cap']}, NOT_RUN {row['not_run']} of {row['requests']}"
        )
    for row in real["region_loss"]:
        print(
            f"{row['layout']}: {row['lost_region']} lost:"
            f" answered from 1 s on {row['lost_callers_answered_after_1s']:.4f},"
            f" unknown {row['unknown']} and NOT_RUN {row['not_run']} of {row['requests']},"
            f" over cap {row['region_over_cap']}, ran twice {row['ran_twice']}"
        )


def _plot_policies(rows: list[dict[str, Any]]) -> None:
    """Draws a plot for each layout, with a panel for each column and a group for each scenario."""
    for layout in dict.fromkeys(row["layout"] for row in rows):
        layout_rows = [row for row in rows if row["layout"] == layout]
        scenarios = list(dict.fromkeys(row["scenario"] for row in layout_rows))
        policies = list(dict.fromkeys(row["policy"] for row in layout_rows))
        figure, panels = pyplot.subplots(len(PLOTTED_COLUMNS), 1, figsize=(11, 12))
        for panel, (column, title) in zip(panels, PLOTTED_COLUMNS, strict=True):
            for offset, policy in enumerate(policies):
                heights = [
                    next(
                        row[column]
                        for row in layout_rows
                        if (row["scenario"], row["policy"]) == (scenario, policy)
                    )
                    for scenario in scenarios
                ]
                positions = [index + offset * 0.2 for index in range(len(scenarios))]
                panel.bar(positions, heights, width=0.18, label=policy)
            panel.set_title(title)
            panel.set_xticks(
                [index + 0.3 for index in range(len(scenarios))], scenarios, fontsize=8
            )
            if column == "p99_ms":
                panel.set_yscale("log")
            if column == "least_headroom":
                panel.set_ylim(-1.0, 1.0)
        panels[0].legend(fontsize=8)
        figure.tight_layout()
        figure.savefig(REPORT_FOLDER / f"policy-{layout}.png", dpi=90)
        pyplot.close(figure)


def _write_html_page(speed: dict[str, Any], policy: list[dict[str, Any]]) -> None:
    """Writes an HTML page with the plots and all figures."""
    layouts = dict.fromkeys(row["layout"] for row in policy)
    images = "".join(f"<h2>{name}</h2><img src='policy-{name}.png'>" for name in layouts)
    table = "".join(
        f"<tr><td>{row['layout']}<td>{row['scenario']}<td>{row['policy']}"
        + "".join(
            f"<td>{row[column]:.3f} &plusmn; {row[column + '_spread'] / 2:.3f}"
            for column in COLUMNS
        )
        for row in policy
    )
    header = "<tr><th>layout<th>scenario<th>policy" + "".join(f"<th>{column}" for column in COLUMNS)
    text = (
        "<!doctype html><meta charset=utf-8><title>measure</title><h1>Policy in virtual time</h1>"
        f"{images}<table border=1 cellspacing=0>{header}{table}</table>"
        f"<h1>Speed</h1><pre>{json.dumps(speed, indent=1)}</pre>"
    )
    (REPORT_FOLDER / "index.html").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    raise SystemExit(main())
