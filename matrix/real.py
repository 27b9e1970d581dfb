"""Matrix cells on real processes: faults injected one by one into a system under steady load."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from matrix.bench import SystemUnderTest
from matrix.cells import Cell, CellState
from standins.lab import VIOLATIONS, Lab, check
from standins.layouts import LAYOUTS, list_endpoints

__all__ = ["run_real_cells"]

SEED = 11
MAX_LOAD_DURATION_S = 240.0
# Time after the start of a drain from which the drained endpoints or VMs get no new requests.
NO_NEW_REQUESTS_S = 3.0
# Maximum time from the store's write of a configuration until it is in force on all daemons.
IN_FORCE_LIMIT_S = 6.0
# Maximum time for the start of a command and its calls to a slow store.
COMMAND_TIMEOUT_S = 30.0
CONFIGURATION_KEY = "config"
ENDPOINT_VIOLATIONS = ("region_over_cap", "ran_twice", "shift_over_cap")


def daemon_killed(system: SystemUnderTest) -> None:
    """A slot holder is killed with requests in flight and replaced at its address."""
    system.replace_daemon(system.find_holder())
    system.wait_for_recovery()


def daemon_killed_twice(system: SystemUnderTest) -> None:
    """The same daemon is killed again before all slots are granted again."""
    holder = system.find_holder()
    system.replace_daemon(holder)
    time.sleep(1.0)
    system.replace_daemon(holder)
    system.wait_for_recovery()


def two_killed(system: SystemUnderTest) -> None:
    """Two daemons of a region are killed at once and replaced."""
    first = system.find_holder("Alberta")
    second = next(
        name
        for name, status in system.read_statuses().items()
        if status["region"] == "Alberta" and name != first
    )
    system.kill_daemon(first)
    system.kill_daemon(second)
    time.sleep(1.0)
    system.lab.start_daemon(system.find_entry_vm(first))
    system.lab.start_daemon(system.find_entry_vm(second))
    system.wait_for_recovery()


def holder_frozen(system: SystemUnderTest) -> None:
    """A slot holder is stopped, considered unreachable by the others, and resumed."""
    system.freeze_daemons(system.find_holder(), duration_s=5.0)
    system.wait_for_recovery()


def holder_frozen_twice(system: SystemUnderTest) -> None:
    """The same slot holder is stopped and resumed twice."""
    holder = system.find_holder()
    system.freeze_daemons(holder, duration_s=2.0)
    system.freeze_daemons(holder, duration_s=2.0)
    system.wait_for_recovery()


def planner_killed(system: SystemUnderTest) -> None:
    """The planner is killed and replaced."""
    system.replace_daemon(system.find_planner("Manitoba"))
    system.wait_for_recovery()


def planner_frozen(system: SystemUnderTest) -> None:
    """The planner is stopped while another daemon plans in its place, and then resumed."""
    planner = system.find_planner("Manitoba")
    system.lab.signal_daemon(planner, signal.SIGSTOP)
    other_daemon = next(
        name
        for name, status in system.read_statuses().items()
        if status["region"] == "Manitoba" and name != planner
    )
    system.replace_daemon(other_daemon)
    time.sleep(5.0)
    system.lab.signal_daemon(planner, signal.SIGCONT)
    system.wait_for_recovery()


def region_frozen(system: SystemUnderTest) -> None:
    """All daemons of a region are stopped and resumed."""
    names = [
        name for name, status in system.read_statuses().items() if status["region"] == "Manitoba"
    ]
    system.freeze_daemons(*names, duration_s=5.0)
    system.wait_for_recovery()


def store_down(system: SystemUnderTest) -> None:
    """The store is down; look-ups and requests continue."""
    requests_before = sum(
        status["metrics"]["counters"].get("requests", 0)
        for status in system.read_statuses().values()
    )
    system.set_platform_faults(down_s=4.0)
    time.sleep(4.0)
    requests_after = sum(
        status["metrics"]["counters"].get("requests", 0)
        for status in system.read_statuses().values()
    )
    system.expect(
        requests_after > requests_before + 100,
        f"requests rose only from {requests_before} to {requests_after}",
    )


def store_down_at_write(system: SystemUnderTest) -> None:
    """The store is down during a whole write: the command fails and the configuration stays.

    The outage lasts until the command has ended, however long the command takes to start.
    """
    number = system.read_configuration_number()
    system.set_platform_faults(down_s=MAX_LOAD_DURATION_S)
    try:
        result = system.reapply_configuration()
    finally:
        system.set_platform_faults(down_s=0.0)
    system.expect(result.returncode == 1, f"exit status {result.returncode}")
    time.sleep(4.0)
    system.expect(
        system.read_configuration_number() == number,
        f"configuration number {number} became {system.read_configuration_number()}",
    )


def store_slow_at_write(system: SystemUnderTest) -> None:
    """Each store call takes a second; a change is in force within 6 s of its write.

    The time is measured from the store's write and so excludes the start of the command.
    """
    number = system.read_configuration_number()
    system.set_platform_faults(slow_s=1.0)
    try:
        with ThreadPoolExecutor() as pool:
            future = pool.submit(system.reapply_configuration)
            system.lab.wait_until(
                lambda: all(
                    status["configuration"] > number for status in system.read_statuses().values()
                ),
                "the configuration on all daemons",
                COMMAND_TIMEOUT_S + IN_FORCE_LIMIT_S,
            )
            in_force_s = time.monotonic()
            result = future.result()
        system.expect(result.returncode == 0, result.stderr.decode())
        elapsed_s = in_force_s - system.lab.call_platform("writes", {})[CONFIGURATION_KEY]
        system.expect(elapsed_s < IN_FORCE_LIMIT_S, f"in force {elapsed_s:.1f} s after the write")
    finally:
        system.set_platform_faults(slow_s=0.0)


def answer_lost_at_write(system: SystemUnderTest) -> None:
    """The answer to a write that took effect is lost: one change is made and reported as done."""
    number = system.read_configuration_number()
    system.set_platform_faults(lose_answers=1)
    result = system.reapply_configuration("--author", "lost")
    system.expect(result.returncode == 0, result.stderr.decode())
    system.expect(
        system.read_configuration_number() == number + 1,
        f"configuration number {number} became {system.read_configuration_number()}",
    )


def answer_lost_at_plan(system: SystemUnderTest) -> None:
    """The answer to a plan's write that took effect is lost."""
    system.set_platform_faults(lose_answers=2)
    system.replace_daemon(system.find_holder("Manitoba"))
    system.wait_for_recovery()
    system.set_platform_faults(lose_answers=0)


def operators_race(system: SystemUnderTest) -> None:
    """Two operators change the same configuration: one gets a conflict that names the other."""
    base = str(system.read_configuration_number())
    with ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(
                system.reapply_configuration,
                "--base",
                base,
                "--author",
                author,
                entry_index=entry_index,
            )
            for author, entry_index in (("ann", 1), ("bob", 2))
        ]
        results = [future.result() for future in futures]
    exit_statuses = sorted(result.returncode for result in results)
    system.expect(exit_statuses == [0, 4], f"exit statuses {exit_statuses}")
    refused = next(result for result in results if result.returncode == 4)
    message = refused.stderr.decode()
    system.expect("by ann" in message or "by bob" in message, message)


def drains_race(system: SystemUnderTest) -> None:
    """Two operators start different drains at once: both stay in force."""
    names = ("maple/order-desk-2", "harrow/order-desk-3")
    with ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(system.lab.run_command, "drain", "start", "endpoint", name, entry=index)
            for index, name in enumerate(names)
        ]
        exit_statuses = [future.result().returncode for future in futures]
    drain_list = system.lab.run_command("drain", "list").stdout.decode()
    for name in names:
        system.lab.run_command("drain", "stop", "endpoint", name)
    system.expect(exit_statuses == [0, 0], f"exit statuses {exit_statuses}")
    system.expect(all(name in drain_list for name in names), drain_list)
    system.wait_for_recovery()


def endpoint_drained(system: SystemUnderTest) -> None:
    """A drained endpoint gets no new requests after 3 s; its slots are granted again afterwards."""
    name = "maple/order-desk-1"
    system.lab.run_command("drain", "start", "endpoint", name)
    since_s = time.monotonic() + NO_NEW_REQUESTS_S
    time.sleep(NO_NEW_REQUESTS_S + 3.0)
    started_count = system.count_requests_started_after(name, since_s)
    system.lab.run_command("drain", "stop", "endpoint", name)
    system.expect(started_count == 0, f"{started_count} requests began after the drain")
    system.wait_for_recovery()


def endpoint_leaving(system: SystemUnderTest) -> None:
    """An endpoint that the VM list reports as leaving gets no new requests after 3 s."""
    name = "harrow/order-desk-1"
    system.lab.call_platform("vms", {"name": name, "state": "leaving"})
    since_s = time.monotonic() + NO_NEW_REQUESTS_S
    time.sleep(NO_NEW_REQUESTS_S + 3.0)
    started_count = system.count_requests_started_after(name, since_s)
    system.lab.call_platform("vms", {"name": name, "state": "live"})
    system.expect(started_count == 0, f"{started_count} requests began at a leaving endpoint")
    system.wait_for_recovery()


def entry_drained(system: SystemUnderTest) -> None:
    """A drained entry VM is no longer returned by look-ups after 3 s."""
    holder = system.find_holder("Alberta")
    address = system.find_entry_vm(holder)["address"]
    system.lab.run_command("drain", "start", "entry_vm", holder)
    time.sleep(NO_NEW_REQUESTS_S)
    answers = [
        system.lab.run_command(
            "lookup", "maple/order-desk", "127.103.0.9", entry=index
        ).stdout.decode()
        for index in range(3)
    ]
    system.lab.run_command("drain", "stop", "entry_vm", holder)
    system.expect(
        not any(address + ":" in answer for answer in answers), f"look-up returned {address}"
    )
    system.wait_for_recovery()


def region_drained(system: SystemUnderTest) -> None:
    """A drained region gets no new requests after 3 s; its callers are shifted within the cap."""
    system.lab.run_command("drain", "start", "region", "Alberta")
    since_s = time.monotonic() + NO_NEW_REQUESTS_S
    time.sleep(NO_NEW_REQUESTS_S + 2.0)
    names = [vm for vm, _ in _list_region_endpoints(system, "Alberta")]
    started_count = sum(system.count_requests_started_after(name, since_s) for name in names)
    system.lab.run_command("drain", "stop", "region", "Alberta")
    system.expect(
        started_count == 0, f"{started_count} requests began in the region after the drain"
    )
    system.wait_for_recovery()


def _list_region_endpoints(system: SystemUnderTest, region: str) -> list[tuple[str, str]]:
    """Returns the name and address of each endpoint of a region."""
    all_endpoints = list_endpoints(system.lab.layout)
    return [
        (endpoint["name"], endpoint["address"])
        for endpoint in all_endpoints
        if endpoint["region"] == region
    ]


def daemon_terminated(system: SystemUnderTest) -> None:
    """A daemon gets SIGTERM and exits with status 0 after its requests have ended."""
    holder = system.find_holder()
    system.lab.signal_daemon(holder, signal.SIGTERM)
    exit_status = system.lab.daemons[holder].wait(30)
    system.lab.start_daemon(system.find_entry_vm(holder))
    system.expect(exit_status == 0, f"exit status {exit_status}")
    system.wait_for_recovery()


def restart_while_store_down(system: SystemUnderTest) -> None:
    """A daemon is replaced while the store is down: it gets the configuration from its peers."""
    number = system.read_configuration_number()
    holder = system.find_holder("Alberta")
    system.set_platform_faults(down_s=6.0)
    system.replace_daemon(holder)
    system.lab.wait_until(
        lambda: (system.lab.read_status(system.find_entry_vm(holder)) or {}).get("configuration")
        == number,
        "the configuration from a peer",
        5.0,
    )
    system.wait_for_recovery()


def freeze_while_store_down(system: SystemUnderTest) -> None:
    """A slot holder is stopped and resumed while the store is down."""
    system.set_platform_faults(down_s=5.0)
    system.freeze_daemons(system.find_holder(), duration_s=4.0)
    system.wait_for_recovery()


def store_rolled_back(system: SystemUnderTest) -> None:
    """The store is restored to an older configuration: no daemon reverts, changes still work."""
    number = system.read_configuration_number()
    old_content = (system.lab.folder / "first.json").read_text()
    system.lab.call_platform("restore", {"key": CONFIGURATION_KEY, "content": old_content})
    time.sleep(2.0)
    lowest = min(status["configuration"] for status in system.read_statuses().values())
    system.expect(
        lowest == number, f"a daemon reverted from configuration number {number} to {lowest}"
    )
    result = system.reapply_configuration()
    system.expect(result.returncode == 0, result.stderr.decode())
    system.expect(
        system.read_configuration_number() == number + 1,
        f"configuration number is {system.read_configuration_number()}",
    )


def endpoints_slow(system: SystemUnderTest) -> None:
    """A third of the endpoints of a region are slow for 4 s while their reports stay healthy."""
    addresses = [address for _, address in _list_region_endpoints(system, "Saskatchewan")][::3]
    system.lab.call_endpoints(1, "set", {"addresses": addresses, "slow": 6.0})
    time.sleep(4.0)
    system.lab.call_endpoints(1, "set", {"addresses": addresses, "slow": 1.0})


def endpoints_shed(system: SystemUnderTest) -> None:
    """All endpoints of a region shed half of their requests for 4 s."""
    addresses = [address for _, address in _list_region_endpoints(system, "Manitoba")]
    system.lab.call_endpoints(2, "set", {"addresses": addresses, "shed": 0.5})
    time.sleep(4.0)
    system.lab.call_endpoints(2, "set", {"addresses": addresses, "shed": 0.0})


CELLS: tuple[tuple[str, str, str, Callable[[SystemUnderTest], None]], ...] = (
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


def run_real_cells(name_filter: str = "") -> list[Cell]:
    """Runs the cells under load and returns them, followed by the check of all records.

    Only the cells whose function names contain `name_filter` are run.
    """
    lab = Lab(LAYOUTS["prairie"], pathlib.Path("build/matrix"), ["dist/lycheepin"], SEED)
    system = SystemUnderTest(lab)
    cells: list[Cell] = []
    try:
        lab.start()
        current_change = lab.run_command("config", "show").stdout
        first_change = {
            **json.loads(current_change),
            "change_id": "first",
            "author": "lab",
            "summary": "first",
        }
        (lab.folder / "first.json").write_text(json.dumps(first_change), encoding="utf-8")
        caller_processes = lab.start_callers(MAX_LOAD_DURATION_S)
        time.sleep(2.0)
        for flow, step, fault, run_scenario in CELLS:
            if name_filter in run_scenario.__name__:
                cells.append(_run_cell(system, flow, step, fault, run_scenario))
        for process in caller_processes:
            process.terminate()
        for process in caller_processes:
            process.wait(60)
        records, caller_reports = lab.collect_records()
        report = check(lab.layout, records, caller_reports)
        (lab.folder / "oracle.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
        violations = [f"{name} {report[name]}" for name in VIOLATIONS if report[name]]
        state = CellState.FAIL if violations else CellState.PASS
        note = ", ".join(violations) or f"{report['requests']} requests"
        cells.append(Cell("real", "all", "records", "all of the above", state, note))
    finally:
        lab.stop()
    return cells


def _run_cell(
    system: SystemUnderTest,
    flow: str,
    step: str,
    fault: str,
    run_scenario: Callable[[SystemUnderTest], None],
) -> Cell:
    """Runs a cell; it passes if its own checks and the check of the endpoints' records pass."""
    started_s = time.monotonic()
    note = ""
    state = CellState.PASS
    try:
        run_scenario(system)
        _check_endpoint_records(system)
    except (AssertionError, TimeoutError, OSError, subprocess.SubprocessError) as error:
        state, note = CellState.FAIL, f"{type(error).__name__}: {error}"
    duration_s = time.monotonic() - started_s
    print(f"{state.value:5} {duration_s:5.1f} s  {flow}: {step}: {fault} {note}", flush=True)
    return Cell("real", flow, step, fault, state, note)


def _check_endpoint_records(system: SystemUnderTest) -> None:
    """Raises AssertionError when the endpoints' records show a violation."""
    regions = range(1, len(system.lab.layout.regions) + 1)
    records = [system.lab.call_endpoints(index, "records") for index in regions]
    report = check(system.lab.layout, records, callers=[])
    for name in ENDPOINT_VIOLATIONS:
        system.expect(not report[name], f"{name} {report[name]}: {report['peaks']}")
