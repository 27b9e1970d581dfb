"""Cells on real processes: one system under steady load, one fault after the other."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from matrix.bench import Bench
from matrix.cells import Cell, CellState
from standins.lab import VIOLATIONS, Lab, check
from standins.layouts import LAYOUTS
from standins.layouts import list_endpoints as list_endpoints

__all__ = ["run_real_cells"]

SEED = 11
MAX_LOAD_S = 240.0
NO_NEW_WORK_S = 3.0
IN_FORCE_S = 6.0
# Longest time in seconds for the start of a command and its calls to a slow store.
COMMAND_S = 30.0
KV_CONFIG = "config"
ENDPOINT_VIOLATIONS = ("region_over_cap", "ran_twice", "shift_over_cap")


def daemon_killed(bench: Bench) -> None:
    """A holder is killed with requests in flight and replaced at its address."""
    bench.replace(bench.holder())
    bench.heal()


def daemon_killed_twice(bench: Bench) -> None:
    """The same daemon is killed again before the plan has healed."""
    name = bench.holder()
    bench.replace(name)
    time.sleep(1.0)
    bench.replace(name)
    bench.heal()


def two_killed(bench: Bench) -> None:
    """Two daemons of a region are killed at once."""
    first = bench.holder("Alberta")
    second = next(n for n, s in bench.statuses().items() if s["region"] == "Alberta" and n != first)
    bench.kill(first)
    bench.kill(second)
    time.sleep(1.0)
    bench.lab.start_daemon(bench.entry(first))
    bench.lab.start_daemon(bench.entry(second))
    bench.heal()


def holder_frozen(bench: Bench) -> None:
    """A holder is stopped, believed unreachable, and resumed."""
    bench.freeze(bench.holder(), seconds=5.0)
    bench.heal()


def holder_frozen_twice(bench: Bench) -> None:
    """The same holder is stopped twice."""
    name = bench.holder()
    bench.freeze(name, seconds=2.0)
    bench.freeze(name, seconds=2.0)
    bench.heal()


def planner_killed(bench: Bench) -> None:
    """The planner is killed and replaced."""
    bench.replace(bench.planner("Manitoba"))
    bench.heal()


def planner_frozen(bench: Bench) -> None:
    """The planner is stopped while another one plans, and resumed."""
    planner = bench.planner("Manitoba")
    bench.lab.signal_daemon(planner, signal.SIGSTOP)
    victim = next(
        n for n, s in bench.statuses().items() if s["region"] == "Manitoba" and n != planner
    )
    bench.replace(victim)
    time.sleep(5.0)
    bench.lab.signal_daemon(planner, signal.SIGCONT)
    bench.heal()


def region_frozen(bench: Bench) -> None:
    """All daemons of a region are stopped and resumed."""
    names = [n for n, s in bench.statuses().items() if s["region"] == "Manitoba"]
    bench.freeze(*names, seconds=5.0)
    bench.heal()


def store_down(bench: Bench) -> None:
    """The store is down; look-ups and requests go on."""
    before = sum(s["metrics"]["counters"].get("requests", 0) for s in bench.statuses().values())
    bench.faults(down_s=4.0)
    time.sleep(4.0)
    after = sum(s["metrics"]["counters"].get("requests", 0) for s in bench.statuses().values())
    bench.expect(after > before + 100, f"requests went from {before} to {after}")


def store_down_at_write(bench: Bench) -> None:
    """The store is down for all of a write: nothing is claimed, nothing changes.

    The outage lasts until the command has ended, however long its start takes.
    """
    number = bench.number()
    bench.faults(down_s=MAX_LOAD_S)
    try:
        result = bench.apply()
    finally:
        bench.faults(down_s=0.0)
    bench.expect(result.returncode == 1, f"exit {result.returncode}")
    time.sleep(4.0)
    bench.expect(bench.number() == number, f"number {number} became {bench.number()}")


def store_slow_at_write(bench: Bench) -> None:
    """The store takes a second for each call; the change is in force 6 s after its write.

    The promise counts from the store's write, so the start of the command is not timed.
    """
    number = bench.number()
    bench.faults(slow_s=1.0)
    try:
        with ThreadPoolExecutor() as pool:
            job = pool.submit(bench.apply)
            bench.lab.wait_until(
                lambda: all(s["configuration"] > number for s in bench.statuses().values()),
                "the configuration on all daemons",
                COMMAND_S + IN_FORCE_S,
            )
            in_force_s = time.monotonic()
            result = job.result()
        bench.expect(result.returncode == 0, result.stderr.decode())
        took_s = in_force_s - bench.lab.call_platform("writes", {})[KV_CONFIG]
        bench.expect(took_s < IN_FORCE_S, f"in force {took_s:.1f} s after the write")
    finally:
        bench.faults(slow_s=0.0)


def answer_lost_at_write(bench: Bench) -> None:
    """The answer to the write is lost after it took effect: one change, reported as done."""
    number = bench.number()
    bench.faults(lose_answers=1)
    result = bench.apply("--author", "lost")
    bench.expect(result.returncode == 0, result.stderr.decode())
    bench.expect(bench.number() == number + 1, f"number {number} became {bench.number()}")


def answer_lost_at_plan(bench: Bench) -> None:
    """The answer to a plan's write is lost after it took effect."""
    bench.faults(lose_answers=2)
    bench.replace(bench.holder("Manitoba"))
    bench.heal()
    bench.faults(lose_answers=0)


def operators_race(bench: Bench) -> None:
    """Two operators change the same configuration: one wins, the other is told by whom."""
    base = str(bench.number())
    with ThreadPoolExecutor() as pool:
        jobs = [
            pool.submit(bench.apply, "--base", base, "--author", author, entry=entry)
            for author, entry in (("ann", 1), ("bob", 2))
        ]
        results = [job.result() for job in jobs]
    codes = sorted(result.returncode for result in results)
    bench.expect(codes == [0, 4], f"exits {codes}")
    loser = next(result for result in results if result.returncode == 4)
    text = loser.stderr.decode()
    bench.expect("by ann" in text or "by bob" in text, text)


def drains_race(bench: Bench) -> None:
    """Two operators plan different drains at once: both are kept."""
    names = ("maple/order-desk-2", "harrow/order-desk-3")
    with ThreadPoolExecutor() as pool:
        jobs = [
            pool.submit(bench.lab.run_command, "drain", "start", "endpoint", name, entry=index)
            for index, name in enumerate(names)
        ]
        codes = [job.result().returncode for job in jobs]
    listed = bench.lab.run_command("drain", "list").stdout.decode()
    for name in names:
        bench.lab.run_command("drain", "stop", "endpoint", name)
    bench.expect(codes == [0, 0], f"exits {codes}")
    bench.expect(all(name in listed for name in names), listed)
    bench.heal()


def endpoint_drained(bench: Bench) -> None:
    """A drained endpoint gets no new work after 3 s, and work again after the drain."""
    name = "maple/order-desk-1"
    bench.lab.run_command("drain", "start", "endpoint", name)
    since_s = time.monotonic() + NO_NEW_WORK_S
    time.sleep(NO_NEW_WORK_S + 3.0)
    started = bench.starts_after(name, since_s)
    bench.lab.run_command("drain", "stop", "endpoint", name)
    bench.expect(started == 0, f"{started} requests began after the drain")
    bench.heal()


def endpoint_leaving(bench: Bench) -> None:
    """An endpoint that the VM list reports as leaving gets no new work after 3 s."""
    name = "harrow/order-desk-1"
    bench.lab.call_platform("vms", {"name": name, "state": "leaving"})
    since_s = time.monotonic() + NO_NEW_WORK_S
    time.sleep(NO_NEW_WORK_S + 3.0)
    started = bench.starts_after(name, since_s)
    bench.lab.call_platform("vms", {"name": name, "state": "live"})
    bench.expect(started == 0, f"{started} requests began after it was leaving")
    bench.heal()


def entry_drained(bench: Bench) -> None:
    """A drained entry VM is not named in look-ups after 3 s."""
    name = bench.holder("Alberta")
    address = bench.entry(name)["address"]
    bench.lab.run_command("drain", "start", "entry_vm", name)
    time.sleep(NO_NEW_WORK_S)
    answers = [
        bench.lab.run_command("lookup", "maple/order-desk", "127.103.0.9", entry=i).stdout.decode()
        for i in range(3)
    ]
    bench.lab.run_command("drain", "stop", "entry_vm", name)
    bench.expect(not any(address + ":" in answer for answer in answers), f"named {address}")
    bench.heal()


def region_drained(bench: Bench) -> None:
    """A drained region gets no new work after 3 s; its callers are shifted under the cap."""
    bench.lab.run_command("drain", "start", "region", "Alberta")
    since_s = time.monotonic() + NO_NEW_WORK_S
    time.sleep(NO_NEW_WORK_S + 2.0)
    names = [vm for vm, _ in _endpoints(bench, "Alberta")]
    started = sum(bench.starts_after(name, since_s) for name in names)
    bench.lab.run_command("drain", "stop", "region", "Alberta")
    bench.expect(started == 0, f"{started} requests began in the region after the drain")
    bench.heal()


def _endpoints(bench: Bench, region: str) -> list[tuple[str, str]]:
    """Returns name and address of the endpoints of a region."""
    listed = list_endpoints(bench.lab.layout)
    return [(e["name"], e["address"]) for e in listed if e["region"] == region]


def daemon_terminated(bench: Bench) -> None:
    """SIGTERM: the daemon ends with status 0 after its requests have ended."""
    name = bench.holder()
    bench.lab.signal_daemon(name, signal.SIGTERM)
    status = bench.lab.daemons[name].wait(30)
    bench.lab.start_daemon(bench.entry(name))
    bench.expect(status == 0, f"exit {status}")
    bench.heal()


def restart_while_store_down(bench: Bench) -> None:
    """A daemon is replaced while the store is down: it gets the latest from its peers."""
    number = bench.number()
    name = bench.holder("Alberta")
    bench.faults(down_s=6.0)
    bench.replace(name)
    bench.lab.wait_until(
        lambda: (bench.lab.read_status(bench.entry(name)) or {}).get("configuration") == number,
        "the configuration from a peer",
        5.0,
    )
    bench.heal()


def freeze_while_store_down(bench: Bench) -> None:
    """Two at once: a holder is stopped while the store is down."""
    bench.faults(down_s=5.0)
    bench.freeze(bench.holder(), seconds=4.0)
    bench.heal()


def store_rolled_back(bench: Bench) -> None:
    """The store comes back with an older configuration: nobody reverts, and changes go on."""
    number = bench.number()
    old = (bench.lab.folder / "first.json").read_text()
    bench.lab.call_platform("restore", {"key": KV_CONFIG, "content": old})
    time.sleep(2.0)
    lowest = min(status["configuration"] for status in bench.statuses().values())
    bench.expect(lowest == number, f"a daemon went from {number} to {lowest}")
    result = bench.apply()
    bench.expect(result.returncode == 0, result.stderr.decode())
    bench.expect(bench.number() == number + 1, f"number is {bench.number()}")


def endpoints_slow(bench: Bench) -> None:
    """A third of the endpoints of a region become slow while their reports stay healthy."""
    addresses = [address for _, address in _endpoints(bench, "Saskatchewan")][::3]
    bench.lab.call_endpoints(1, "set", {"addresses": addresses, "slow": 6.0})
    time.sleep(4.0)
    bench.lab.call_endpoints(1, "set", {"addresses": addresses, "slow": 1.0})


def endpoints_shed(bench: Bench) -> None:
    """Half of the requests at all endpoints of a region are shed."""
    addresses = [address for _, address in _endpoints(bench, "Manitoba")]
    bench.lab.call_endpoints(2, "set", {"addresses": addresses, "shed": 0.5})
    time.sleep(4.0)
    bench.lab.call_endpoints(2, "set", {"addresses": addresses, "shed": 0.0})


CELLS: tuple[tuple[str, str, str, Callable[[Bench], None]], ...] = (
    ("request", "in flight", "holder killed", daemon_killed),
    ("request", "in flight", "holder killed twice", daemon_killed_twice),
    ("request", "in flight", "two daemons killed at once", two_killed),
    ("request", "in flight", "holder frozen, resumed", holder_frozen),
    ("request", "in flight", "holder frozen twice", holder_frozen_twice),
    ("request", "in flight", "region frozen, resumed", region_frozen),
    ("request", "at endpoint", "a third slow, reports healthy", endpoints_slow),
    ("request", "at endpoint", "half of requests shed", endpoints_shed),
    ("look-up", "answer", "store down", store_down),
    ("plan", "compute", "planner killed", planner_killed),
    ("plan", "compute", "planner frozen, resumed", planner_frozen),
    ("plan", "write", "answer lost after the write", answer_lost_at_plan),
    ("plan", "apply", "store down, holder frozen", freeze_while_store_down),
    ("configuration", "write", "store down", store_down_at_write),
    ("configuration", "write", "store slow", store_slow_at_write),
    ("configuration", "write", "answer lost after the write", answer_lost_at_write),
    ("configuration", "write", "operators race", operators_race),
    ("configuration", "apply", "daemon replaced, store down", restart_while_store_down),
    ("configuration", "spread", "store rolled back", store_rolled_back),
    ("drain", "endpoint", "operators race", drains_race),
    ("drain", "endpoint", "under load", endpoint_drained),
    ("drain", "endpoint", "reported by the VM list", endpoint_leaving),
    ("drain", "entry VM", "under load", entry_drained),
    ("drain", "region", "under load", region_drained),
    ("shutdown", "SIGTERM", "under load", daemon_terminated),
)


def run_real_cells(only: str = "") -> list[Cell]:
    """Runs all cells under load and returns them with a cell of the final check."""
    lab = Lab(LAYOUTS["prairie"], pathlib.Path("build/matrix"), ["dist/lycheepin"], SEED)
    bench = Bench(lab)
    cells: list[Cell] = []
    try:
        lab.start()
        shown = lab.run_command("config", "show").stdout
        first = {**json.loads(shown), "change_id": "first", "author": "lab", "summary": "first"}
        (lab.folder / "first.json").write_text(json.dumps(first), encoding="utf-8")
        callers = lab.start_callers(MAX_LOAD_S)
        time.sleep(2.0)
        for flow, step, fault, run in CELLS:
            if only in run.__name__:
                cells.append(_run_cell(bench, flow, step, fault, run))
        for process in callers:
            process.terminate()
        for process in callers:
            process.wait(60)
        records, called = lab.collect_records()
        report = check(lab.layout, records, called)
        (lab.folder / "oracle.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
        broken = [f"{name} {report[name]}" for name in VIOLATIONS if report[name]]
        state = CellState.FAIL if broken else CellState.PASS
        note = ", ".join(broken) or f"{report['requests']} requests"
        cells.append(Cell("real", "all", "records", "all of the above", state, note))
    finally:
        lab.stop()
    return cells


def _run_cell(bench: Bench, flow: str, step: str, fault: str, run: Callable[[Bench], None]) -> Cell:
    """Runs one cell and judges it by its own checks and by the endpoints' records."""
    started_s = time.monotonic()
    note = ""
    state = CellState.PASS
    try:
        run(bench)
        _check_endpoints(bench)
    except (AssertionError, TimeoutError, OSError, subprocess.SubprocessError) as error:
        state, note = CellState.FAIL, f"{type(error).__name__}: {error}"
    seconds = time.monotonic() - started_s
    print(f"{state.value:5} {seconds:5.1f} s  {flow}: {step}: {fault} {note}", flush=True)
    return Cell("real", flow, step, fault, state, note)


def _check_endpoints(bench: Bench) -> None:
    """Raises AssertionError when the endpoints' records show a broken promise."""
    regions = range(1, len(bench.lab.layout.regions) + 1)
    records = [bench.lab.call_endpoints(index, "records") for index in regions]
    report = check(bench.lab.layout, records, callers=[])
    for name in ENDPOINT_VIOLATIONS:
        bench.expect(not report[name], f"{name} {report[name]}: {report['peaks']}")
