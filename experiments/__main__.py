"""Compares the policies under each scenario: a table, a JSON report and an HTML page.

`make experiment` runs this module. It writes its files to build/experiment/.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib

import matplotlib

from experiments.load import LAYOUTS
from experiments.policies import POLICIES
from experiments.runs import SCENARIOS, Figure, measure

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUTPUT_FOLDER = pathlib.Path("build/experiment")

# Figures by deployment, scenario and policy.
Figures = dict[str, dict[str, dict[str, Figure]]]


def main() -> int:
    """Measures all policies, prints the table and writes the report; returns the exit status."""
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    figures: Figures = {}
    for deployment in LAYOUTS:
        print(f"{deployment:28}" + "".join(f"{policy:>24}" for policy in POLICIES))
        for scenario in SCENARIOS:
            row = {policy: measure(deployment, scenario, policy) for policy in POLICIES}
            figures.setdefault(deployment, {})[scenario.name] = row
            cells = "".join(f"{f.mean:>16.3f} ± {f.spread / 2:.3f}" for f in row.values())
            print(f"{scenario.name:28}{cells}", flush=True)
    report = {
        deployment: {
            name: {policy: dataclasses.asdict(figure) for policy, figure in row.items()}
            for name, row in rows.items()
        }
        for deployment, rows in figures.items()
    }
    (OUTPUT_FOLDER / "experiment.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
    _write_plot(figures)
    _write_page(figures)
    return 0


def _write_plot(figures: Figures) -> None:
    """Writes goodput.png: goodput against load, one curve for each policy."""
    chart, axes = pyplot.subplots(1, len(figures), figsize=(11, 4), sharey=False)
    for axis, (deployment, rows) in zip(axes, figures.items(), strict=True):
        load_scenarios = [name for name in rows if name.startswith("load ")]
        loads = [float(name.removeprefix("load ")) for name in load_scenarios]
        for policy in POLICIES:
            axis.plot(
                loads, [rows[name][policy].goodput for name in load_scenarios], "o-", label=policy
            )
        axis.set(title=deployment, xlabel="load (1 = usual load)", ylabel="value earned per second")
        axis.legend()
    chart.tight_layout()
    chart.savefig(OUTPUT_FOLDER / "goodput.png")


def _write_page(figures: Figures) -> None:
    """Writes index.html: the plot and a table for each deployment."""
    lines = ["<!doctype html><title>lycheepin experiments</title>", '<img src="goodput.png">']
    for deployment, rows in figures.items():
        header_cells = "".join(f"<th>{policy}" for policy in POLICIES)
        lines.append(f"<h2>{deployment}</h2><table><tr><th>load{header_cells}")
        for name, row in rows.items():
            cells = "".join(f"<td>{f.mean:.3f} &plusmn; {f.spread / 2:.3f}" for f in row.values())
            lines.append(f"<tr><td>{name}{cells}")
        lines.append("</table>")
    (OUTPUT_FOLDER / "index.html").write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    raise SystemExit(main())
