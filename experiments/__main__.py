"""`make experiment`: policies side by side under several loads, as JSON and as a page."""

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

FOLDER = pathlib.Path("build/experiment")

Figures = dict[str, dict[str, dict[str, Figure]]]


def main() -> int:
    """Measures, prints a table and writes build/experiment/."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    figures: Figures = {}
    for site in LAYOUTS:
        print(f"{site:28}" + "".join(f"{policy:>24}" for policy in POLICIES))
        for scenario in SCENARIOS:
            row = {policy: measure(site, scenario, policy) for policy in POLICIES}
            figures.setdefault(site, {})[scenario.name] = row
            cells = "".join(f"{f.mean:>16.3f} ± {f.spread / 2:.3f}" for f in row.values())
            print(f"{scenario.name:28}{cells}", flush=True)
    plain = {
        site: {
            name: {policy: dataclasses.asdict(figure) for policy, figure in row.items()}
            for name, row in rows.items()
        }
        for site, rows in figures.items()
    }
    (FOLDER / "experiment.json").write_text(json.dumps(plain, indent=1), encoding="utf-8")
    _plot(figures)
    _write_page(figures)
    return 0


def _plot(figures: Figures) -> None:
    """Draws goodput against load, one curve a policy."""
    chart, axes = pyplot.subplots(1, len(figures), figsize=(11, 4), sharey=False)
    for axis, (site, rows) in zip(axes, figures.items(), strict=True):
        loads = [name for name in rows if name.startswith("load ")]
        x = [float(name.removeprefix("load ")) for name in loads]
        for policy in POLICIES:
            axis.plot(x, [rows[name][policy].goodput for name in loads], "o-", label=policy)
        axis.set(title=site, xlabel="load (1: the users' usual)", ylabel="worth earned a second")
        axis.legend()
    chart.tight_layout()
    chart.savefig(FOLDER / "goodput.png")


def _write_page(figures: Figures) -> None:
    """Writes the page with the plot and the tables."""
    lines = ["<!doctype html><title>lycheepin experiments</title>", '<img src="goodput.png">']
    for site, rows in figures.items():
        heads = "".join(f"<th>{policy}" for policy in POLICIES)
        lines.append(f"<h2>{site}</h2><table><tr><th>load{heads}")
        for name, row in rows.items():
            cells = "".join(f"<td>{f.mean:.3f} &plusmn; {f.spread / 2:.3f}" for f in row.values())
            lines.append(f"<tr><td>{name}{cells}")
        lines.append("</table>")
    (FOLDER / "index.html").write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    raise SystemExit(main())
