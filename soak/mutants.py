"""Tells whether the soak finds faults that are known: `python -m soak.mutants [NAME ...]`.

Each mutant takes one mend back, or breaks one rule, in a copy of the code. The soak runs there with
one seed after the other until it reports a violation.
"""

from __future__ import annotations

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass

from soak.switching import draw_switches

__all__ = ["MUTANTS", "Mutant", "main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("lycheepin", "soak", "standins")
# More runs than this mean that the soak draws the switch too rarely.
MAX_RUNS = 50
SECONDS = 8.0
TIMED_OPTIONS = ("--seconds", f"{SECONDS:g}")
RUN_OPTIONS = (*TIMED_OPTIONS, "--untimed")


@dataclass(frozen=True)
class Mutant:
    """A change of one text in a file of the package; `timed` if only time limits show it.

    Runs that don't draw the switch `needs` can't find it: they count, and are left out.
    """

    name: str
    path: str
    old: str
    new: str
    needs: str = ""
    timed: bool = False

    def apply(self, folder: pathlib.Path) -> None:
        """Changes the file in a copy of the code; raises ValueError unless it has the text once."""
        path = folder / "lycheepin" / self.path
        text = path.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise ValueError(f"{self.name}: {self.path} has the text {text.count(self.old)} times")
        path.write_text(text.replace(self.old, self.new), encoding="utf-8")


MUTANTS = (
    Mutant(
        "review/1: an answer without an id belongs to the request",
        "gateway/answer_matcher.py",
        "and self._connection.reused",
        "and False",
        "endpoint.extra-answers",
    ),
    Mutant(
        "review/2: the first part of a body is sent as the whole",
        "transport/incoming.py",
        "return BodyStart(bytes(content))",
        "return WholeBody(bytes(content))",
        "caller.bodies",
    ),
    Mutant(
        "review/3: an entry without a version is believed",
        "platform/entries.py",
        "    version: OptionalText\n    slots: SlotCount\n    state: _EndpointState\n"
        "    cold_remaining_ms: Milliseconds\n    sequence: Count\n",
        "    slots: SlotCount\n    state: _EndpointState\n"
        "    cold_remaining_ms: Milliseconds\n    sequence: Count\n    version: Any = None\n",
        "writer.odd-entries",
    ),
    Mutant(
        "review/4: each failed call is taken for an outage",
        "steering/store_contact.py",
        "if sum(length_s for _, length_s in self._outages) >= self.heartbeat_s:",
        "if True:",
        "store.cut-watches",
        timed=True,
    ),
    Mutant(
        "review/5: revisions have an upper limit",
        "platform/metadata.py",
        'position = Position(answer.era, require_int(document["asOf"]))',
        'position = Position(answer.era, require_int(document["asOf"], 0, 2**40 - 1))',
        "store.high-numbers",
    ),
    Mutant(
        "review/8: an empty table of workspaces is none",
        "platform/configurations.py",
        "None if isinstance(tenants, UnsetType) else",
        "None if isinstance(tenants, UnsetType) or not tenants else",
        "platform.no-workspaces",
    ),
    Mutant(
        "review/9: a connection closes at once behind its last answer",
        "transport/caller_connection.py",
        "        self._paused = False\n        self._graceful_close",
        "        self._transport.close()\n        return\n        self._graceful_close",
        "caller.send-behind",
    ),
    Mutant(
        "admission: requests go to more endpoints than their route allows",
        "steering/progress.py",
        "if self.sent >= self.route.max_attempts or",
        "if self.sent >= self.route.max_attempts + 2 or",
    ),
    Mutant(
        "hand-over: a planned stop doesn't wait for running requests",
        "gateway/process.py",
        "await self._caller_listener.close_connections(drain.ends_s)",
        "await self._caller_listener.close_connections(0.0)",
    ),
    Mutant(
        "budgets: each daemon spends the whole budget of retries",
        "steering/budgets.py",
        "return len(self._retries) + 1 <= part * allowed",
        "return True",
    ),
    Mutant(
        "answers: any three digits are a status",
        "transport/connection.py",
        "STATUSES = range(100, 600)",
        "STATUSES = range(1000)",
        "endpoint.garbage",
    ),
    Mutant(
        "answers: the end of the stream ends an answer beside an unread upload",
        "transport/connection.py",
        "LONG_REQUEST_BYTES = 64 * 1024",
        "LONG_REQUEST_BYTES = 64 * 1024 * 1024",
        "endpoint.reset-no-length",
    ),
    Mutant(
        "workspaces: a request without a key runs",
        "gateway/identification.py",
        "if workspace is None and not route.is_public:",
        "if False:",
        "caller.odd-keys",
    ),
    Mutant(
        "workspaces: a name that the caller sent is passed on",
        "gateway/identification.py",
        "if name.lower() != header_names.workspace",
        "if True",
        "caller.forged-names",
    ),
    Mutant(
        "workspaces: a request runs without a token of the quota",
        "steering/quotas.py",
        "if bucket.holdings >= 1.0 - ROUNDING:\n            own, borrowed",
        "if True:\n            own, borrowed",
        "platform.quotas",
    ),
    Mutant(
        "workspaces: homes do not bind",
        "steering/progress.py",
        "return intersect_regions(",
        "return frozenset() and intersect_regions(",
        "platform.homes",
    ),
)


def main() -> int:
    """Runs the soak on each mutant and prints in how many runs it was found; returns 0 if all."""
    parser = argparse.ArgumentParser(prog="soak.mutants", description=__doc__)
    parser.add_argument("names", nargs="*", help="parts of the names of mutants; default: all")
    parser.add_argument("--first-seed", type=int, default=1)
    options = parser.parse_args()
    missed = 0
    for mutant in MUTANTS:
        if not options.names or any(name in mutant.name for name in options.names):
            runs, seen = _find(mutant, options.first_seed)
            missed += not seen
            print(f"{mutant.name}: {f'run {runs}' if seen else 'not found'}: {seen}", flush=True)
    return 1 if missed else 0


def _find(mutant: Mutant, first_seed: int) -> tuple[int, str]:
    """Returns the number of runs until a violation, and the violation; "" if there was none.

    Raises RuntimeError when a run ends with an error of its own.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for part in FOLDERS:
            shutil.copytree(ROOT / part, folder / part)
        mutant.apply(folder)
        for runs in range(1, MAX_RUNS + 1):
            seed = str(first_seed + runs - 1)
            drawn = {switch.name for switch in draw_switches(int(seed), SECONDS)}
            if mutant.needs and mutant.needs not in drawn:
                continue
            command = [sys.executable, "-m", "soak", "--seed", seed]
            command += TIMED_OPTIONS if mutant.timed else RUN_OPTIONS
            result = subprocess.run(
                command, cwd=folder, capture_output=True, text=True, check=False
            )
            if result.returncode and " violations" not in result.stdout:
                raise RuntimeError(f"{mutant.name}, seed {seed}: {result.stderr}")
            if result.returncode:
                return runs, result.stdout.partition("\n")[0]
    return MAX_RUNS, ""


if __name__ == "__main__":
    sys.exit(main())
