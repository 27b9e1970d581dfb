"""Measures how costs grow with size, for docs/CAPACITY.md.

Most measurements run in this process; the last one starts daemons that serve no requests.
"""

from __future__ import annotations

import ipaddress
import json
import pathlib
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lycheepin.cluster.documents import compress, decompress
from lycheepin.cluster.membership import Member, Membership
from lycheepin.cluster.wire import decode_envelope, encode_envelope
from lycheepin.configuration import (
    ConfigurationView,
    check_configuration,
    create_change,
    decode_change,
    encode_change,
)
from lycheepin.generated.messages import Envelope
from lycheepin.names import Address, Incarnation, QualifiedName, RegionName, ZoneName
from lycheepin.sources.vms import EndpointVm, VmState
from lycheepin.steering.address_blocks import AddressBlockTable
from lycheepin.steering.capacity import HolderVm, build_caps, slot_resource, spread_tokens
from lycheepin.steering.lookup import Candidate, LookupTable
from lycheepin.steering.plan import Evidence, Plan, decode_plan, encode_plan, revise_plan
from lycheepin.steering.request_ids import RequestId, RequestIdTable
from standins.lab import Lab
from standins.layouts import LAYOUTS

__all__ = ["measure_slopes"]

KEY = b"0123456789abcdef"
REGIONS = tuple(RegionName(f"region-{n}") for n in range(9))
MIN_DURATION_S = 0.2
OBSERVATION_S = 10.0
NO_EVIDENCE = Evidence(frozenset(), frozenset(), frozenset(), 0)
BYTES_PER_KB = 1024


def measure_call_us(action: Callable[[], Any]) -> float:
    """Returns the mean microseconds of a call, measured over at least MIN_DURATION_S."""
    action()
    calls = 1
    while True:
        started_s = time.perf_counter()
        for _ in range(calls):
            action()
        elapsed_s = time.perf_counter() - started_s
        if elapsed_s >= MIN_DURATION_S:
            return elapsed_s / calls * 1e6
        calls *= 2


def measure_address_blocks() -> list[dict[str, float]]:
    """Returns the time of a search and the memory of the table by the number of address blocks."""
    rows = []
    for count in (1_000, 10_000, 40_000, 160_000):
        generator = random.Random(1)
        step = (1 << 32) // count
        blocks = [
            (f"{ipaddress.IPv4Address(n * step & ~255)}/24", REGIONS[generator.randrange(9)])
            for n in range(count)
        ]
        tracemalloc.start()
        started_s = time.perf_counter()
        table = AddressBlockTable.from_blocks(blocks)
        build_s = time.perf_counter() - started_s
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        address = str(ipaddress.IPv4Address(step * (count // 2) + 5))
        search_us = measure_call_us(lambda table=table, address=address: table.region_of(address))
        rows.append(
            {"blocks": count, "search_us": search_us, "build_s": build_s, "bytes": memory_bytes}
        )
    return rows


def measure_lookup_table() -> list[dict[str, float]]:
    """Returns the time to draw from and to build a look-up table by the number of daemons."""
    rows = []
    for count in (11, 44, 155, 1_400):
        candidates = [
            Candidate(_build_address(n), 8400, Incarnation(n), REGIONS[n % 9], n % 3)
            for n in range(count)
        ]
        table = LookupTable(candidates)
        generator = random.Random(1)
        rows.append(
            {
                "daemons": count,
                "draw_us": measure_call_us(
                    lambda table=table, generator=generator: table.draw(REGIONS, generator)
                ),
                "build_us": measure_call_us(lambda candidates=candidates: LookupTable(candidates)),
            }
        )
    return rows


def _build_address(number: int) -> Address:
    """Returns the address of the daemon or endpoint with this number."""
    return Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}")


def _build_member(number: int) -> Member:
    """Returns the member with this number."""
    region = REGIONS[number % 9]
    zone = ZoneName(f"zone-{number % 21}")
    return Member(
        _build_address(number), 8400, f"fleet/entry-{number}", zone, region, Incarnation(number + 1)
    )


def measure_membership() -> list[dict[str, float]]:
    """Returns the time to send and receive a heartbeat and the memory by the number of daemons."""
    rows = []
    for count in (11, 44, 155, 1_400):
        tracemalloc.start()
        membership = Membership(_build_member(0), 1.0, seed=1)
        membership.apply_records([_build_member(n).to_record() for n in range(1, count)], 0.0)
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        membership._pending_updates.clear()
        clock_s = [0.0]

        def advance(membership: Membership = membership, clock_s: list[float] = clock_s) -> None:
            clock_s[0] += 1.0
            membership._probe = None
            for outgoing in membership.advance(clock_s[0]):
                encode_envelope(Envelope(1, 1, heartbeat=outgoing.heartbeat), KEY)

        (outgoing,) = membership.advance(1.0)
        datagram = encode_envelope(Envelope(1, 1, heartbeat=outgoing.heartbeat), KEY)

        def receive(membership: Membership = membership, datagram: bytes = datagram) -> None:
            heartbeat = decode_envelope(datagram, KEY).heartbeat
            assert heartbeat is not None
            membership.receive(heartbeat, _build_address(1), 8400, 1.0)

        rows.append(
            {
                "daemons": count,
                "probe_us": measure_call_us(advance),
                "receive_us": measure_call_us(receive),
                "datagram_bytes": len(datagram),
                "bytes": memory_bytes,
            }
        )
    return rows


def measure_configuration() -> list[dict[str, float]]:
    """Returns the size of a configuration and the time to decode it by the number of services."""
    rows = []
    for count in (3, 30, 100, 300):
        document = check_configuration(_build_configuration(count)).unwrap()
        change = create_change(None, "id", "author", "summary", document)
        content = encode_change(change)
        compressed = compress(content)
        rows.append(
            {
                "services": count,
                "bytes": len(content),
                "compressed_bytes": len(compressed),
                "take_over_ms": measure_call_us(
                    lambda compressed=compressed: decode_change(decompress(compressed))
                )
                / 1000,
            }
        )
    return rows


def _build_configuration(services: int) -> dict[str, Any]:
    """Returns a configuration with nine regions and services of three classes each."""
    classes = [
        {"name": f"class-{n}", "path_prefix": f"/c{n}", "answer_target_ms": 100 + n}
        for n in range(3)
    ]
    return {
        "fleets": [{"name": f"fleet-{n}"} for n in range(3)],
        "regions": [{"name": name} for name in REGIONS],
        "services": [
            {
                "name": f"service-{n}",
                "members": [f"fleet-{f}/service-{n}" for f in range(3)],
                "classes": classes,
            }
            for n in range(services)
        ],
    }


def measure_plan() -> list[dict[str, float]]:
    """Returns the size of a plan and the time to compute and decode it by daemons and endpoints."""
    rows = []
    view = ConfigurationView(check_configuration(_build_configuration(10)).unwrap())
    for holder_count, endpoint_count in ((4, 14), (16, 60), (67, 240), (155, 600)):
        region = REGIONS[0]
        endpoints = [_build_endpoint(n, region) for n in range(endpoint_count)]
        holders = [
            HolderVm(Incarnation(n + 1), ZoneName(f"zone-{n % 3}")) for n in range(holder_count)
        ]
        zones = {slot_resource(e): e.zone for e in endpoints}
        caps = build_caps(view, endpoints, region)

        def compute(
            plan: Plan, caps: Any = caps, zones: Any = zones, holders: Any = holders
        ) -> Any:
            desired = spread_tokens(caps, zones, holders, frozenset(), plan)
            return revise_plan(plan, caps, desired, NO_EVIDENCE)

        plan = compute(Plan())
        addresses = {holder.incarnation: _build_address(holder.incarnation) for holder in holders}
        plan = replace(plan, addresses=addresses)
        content = encode_plan(plan)
        compressed = compress(content)
        rows.append(
            {
                "daemons": holder_count,
                "endpoints": endpoint_count,
                "bytes": len(content),
                "compressed_bytes": len(compressed),
                "compute_ms": measure_call_us(lambda plan=plan, compute=compute: compute(plan))
                / 1000,
                "take_over_ms": measure_call_us(
                    lambda compressed=compressed: decode_plan(decompress(compressed))
                )
                / 1000,
            }
        )
    return rows


def _build_endpoint(number: int, region: RegionName) -> EndpointVm:
    """Returns an endpoint of one of ten services."""
    fleet, service = f"fleet-{number % 3}", f"service-{number % 10}"
    return EndpointVm(
        QualifiedName.parse(f"{fleet}/vm-{number}"),
        QualifiedName.parse(f"{fleet}/{service}"),
        _build_address(number),
        9000,
        ZoneName(f"zone-{number % 3}"),
        region,
        9,
        VmState.LIVE,
    )


def measure_request_ids() -> list[dict[str, float]]:
    """Returns the time and memory of stored request ids by their number."""
    rows = []
    for count in (1_000, 10_000, 60_000):
        tracemalloc.start()
        table = RequestIdTable(Address("127.0.0.1"), Incarnation(1), 60_000)
        started_s = time.perf_counter()
        for number in range(count):
            request_id = RequestId(
                Address("127.0.0.1"), Incarnation(1), 50_000 + number, f"n{number}"
            )
            table.begin(request_id, number % 1000)
            table.answered(request_id.key, None)
        elapsed_s = time.perf_counter() - started_s
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append(
            {"ids": count, "us_each_traced": elapsed_s / count * 1e6, "bytes": memory_bytes}
        )
    return rows


def measure_daemons(counts: tuple[int, ...]) -> list[dict[str, float]]:
    """Returns the resource usage of real daemons without requests, by their number."""
    return [_observe_daemons(count) for count in counts]


def _observe_daemons(count: int) -> dict[str, float]:
    """Returns processor time, memory and traffic per daemon in a system without requests."""
    layout = replace(LAYOUTS["prairie"], entry_vm_count=count)
    lab = Lab(layout, pathlib.Path(f"build/measure/slopes-{count}"), ["dist/lycheepin"], 1)
    lab.ready_timeout_s = 120.0
    try:
        lab.start()
        time.sleep(5.0)
        before = [_read_process_usage(process.pid) for process in lab.daemons.values()]
        calls_before = sum(lab.call_platform("calls", {}).values())
        counters_before = _sum_counters(lab)
        time.sleep(OBSERVATION_S)
        after = [_read_process_usage(process.pid) for process in lab.daemons.values()]
        calls_after = sum(lab.call_platform("calls", {}).values())
        counters_after = _sum_counters(lab)
        spread_s = _measure_configuration_spread_s(lab)
    finally:
        lab.stop()
    processor_shares = [
        (end[0] - start[0]) / OBSERVATION_S for start, end in zip(before, after, strict=True)
    ]
    sent = counters_after["datagrams_sent"] - counters_before["datagrams_sent"]
    sent_bytes = counters_after["datagram_bytes_sent"] - counters_before["datagram_bytes_sent"]
    return {
        "daemons": count,
        "core_percent_mean": 100 * sum(processor_shares) / count,
        "core_percent_max": 100 * max(processor_shares),
        "resident_mb_mean": sum(end[1] for end in after) / count / 2**20,
        "datagrams_sent_per_s": sent / count / OBSERVATION_S,
        "kb_sent_per_s": sent_bytes / count / OBSERVATION_S / BYTES_PER_KB,
        "platform_calls_per_s": (calls_after - calls_before) / OBSERVATION_S,
        "configuration_in_force_s": spread_s,
    }


def _read_process_usage(pid: int) -> tuple[float, int]:
    """Returns the processor seconds and resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / 100, pages * 4096


def _sum_counters(lab: Lab) -> dict[str, int]:
    """Returns the sums of the datagram counters over all daemons.

    A daemon that doesn't answer adds nothing.
    """
    totals: dict[str, int] = {"datagrams_sent": 0, "datagram_bytes_sent": 0}
    for entry_vm in lab.entry_vms:
        status = lab.read_status(entry_vm)
        for name in totals:
            totals[name] += status["metrics"]["counters"].get(name, 0) if status else 0
    return totals


def _measure_configuration_spread_s(lab: Lab) -> float:
    """Returns the seconds between the first and the last daemon that apply a new configuration.

    They are taken from the events of the daemons, whose stamps use the clock of this machine. The
    result is NaN when a daemon doesn't report the new configuration within two seconds.
    """
    lab.run_command("drain", "start", "endpoint", "maple/order-desk-1")
    time.sleep(2.0)
    result = lab.run_command("timeline", "--json")
    events = [json.loads(line) for line in result.stdout.splitlines()]
    stamps_ms = [
        event["stamp"] >> 16
        for event in events
        if event["kind"] == "document_in_force" and event["detail"] == "config revision 2"
    ]
    if len(stamps_ms) < len(lab.entry_vms):
        return float("nan")
    return (max(stamps_ms) - min(stamps_ms)) / 1000


def measure_slopes(counts: tuple[int, ...] = (11, 44, 100)) -> dict[str, Any]:
    """Returns the results of all measurements; `counts` are the numbers of real daemons."""
    return {
        "blocks": measure_address_blocks(),
        "lookup": measure_lookup_table(),
        "membership": measure_membership(),
        "configuration": measure_configuration(),
        "plan": measure_plan(),
        "request_ids": measure_request_ids(),
        "daemons": measure_daemons(counts),
    }


def main() -> int:
    """Writes the results to build/measure/slopes.json and prints them; returns the exit status."""
    report = measure_slopes()
    report_folder = pathlib.Path("build/measure")
    report_folder.mkdir(parents=True, exist_ok=True)
    (report_folder / "slopes.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
    for name, rows in report.items():
        print(f"\n{name}")
        print("".join(f"{key:>24}" for key in rows[0]))
        for row in rows:
            print("".join(f"{value:24.3f}" for value in row.values()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
