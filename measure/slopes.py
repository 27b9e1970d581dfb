"""Cost against size, for docs/CAPACITY.md: in one process, and with control-only daemons."""

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
MIN_SECONDS = 0.2
OBSERVED_S = 10.0
NOTHING_KNOWN = Evidence(frozenset(), frozenset(), frozenset(), 0)
BYTES_PER_KB = 1024


def timed_us(action: Callable[[], Any]) -> float:
    """Returns the microseconds of one call, averaged over at least MIN_SECONDS."""
    action()
    calls = 1
    while True:
        started_s = time.perf_counter()
        for _ in range(calls):
            action()
        elapsed_s = time.perf_counter() - started_s
        if elapsed_s >= MIN_SECONDS:
            return elapsed_s / calls * 1e6
        calls *= 2


def blocks_slope() -> list[dict[str, float]]:
    """Returns cost of a search and memory of the table by the number of client blocks."""
    rows = []
    for count in (1_000, 10_000, 40_000, 160_000):
        source = random.Random(1)
        step = (1 << 32) // count
        pairs = [
            (f"{ipaddress.IPv4Address(n * step & ~255)}/24", REGIONS[source.randrange(9)])
            for n in range(count)
        ]
        tracemalloc.start()
        started_s = time.perf_counter()
        table = AddressBlockTable.from_blocks(pairs)
        build_s = time.perf_counter() - started_s
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        address = str(ipaddress.IPv4Address(step * (count // 2) + 5))
        search_us = timed_us(lambda table=table, address=address: table.region_of(address))
        rows.append({"blocks": count, "search_us": search_us, "build_s": build_s, "bytes": memory})
    return rows


def lookup_slope() -> list[dict[str, float]]:
    """Returns cost of a draw and of building its table by the number of daemons."""
    rows = []
    for count in (11, 44, 155, 1_400):
        candidates = [
            Candidate(_address(n), 8400, Incarnation(n), REGIONS[n % 9], n % 3)
            for n in range(count)
        ]
        table = LookupTable(candidates)
        source = random.Random(1)
        rows.append(
            {
                "daemons": count,
                "draw_us": timed_us(lambda table=table, source=source: table.draw(REGIONS, source)),
                "build_us": timed_us(lambda candidates=candidates: LookupTable(candidates)),
            }
        )
    return rows


def _address(number: int) -> Address:
    """Returns an address for a daemon."""
    return Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}")


def _member(number: int) -> Member:
    """Returns a member."""
    region = REGIONS[number % 9]
    zone = ZoneName(f"zone-{number % 21}")
    return Member(
        _address(number), 8400, f"fleet/entry-{number}", zone, region, Incarnation(number + 1)
    )


def membership_slope() -> list[dict[str, float]]:
    """Returns cost of a heartbeat and memory of the members by the number of daemons."""
    rows = []
    for count in (11, 44, 155, 1_400):
        tracemalloc.start()
        node = Membership(_member(0), 1.0, seed=1)
        node.apply_records([_member(n).to_record() for n in range(1, count)], 0.0)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        node._pending_updates.clear()
        clock = [0.0]

        def advance(node: Membership = node, clock: list[float] = clock) -> None:
            clock[0] += 1.0
            node._probe = None
            for send in node.advance(clock[0]):
                encode_envelope(Envelope(1, 1, heartbeat=send.heartbeat), KEY)

        (send,) = node.advance(1.0)
        datagram = encode_envelope(Envelope(1, 1, heartbeat=send.heartbeat), KEY)

        def receive(node: Membership = node, datagram: bytes = datagram) -> None:
            heartbeat = decode_envelope(datagram, KEY).heartbeat
            assert heartbeat is not None
            node.receive(heartbeat, _address(1), 8400, 1.0)

        rows.append(
            {
                "daemons": count,
                "probe_us": timed_us(advance),
                "receive_us": timed_us(receive),
                "datagram_bytes": len(datagram),
                "bytes": memory,
            }
        )
    return rows


def configuration_slope() -> list[dict[str, float]]:
    """Returns size and cost of the configuration by the number of services."""
    rows = []
    for count in (3, 30, 100, 300):
        document = check_configuration(_document(count)).unwrap()
        change = create_change(None, "id", "author", "summary", document)
        content = encode_change(change)
        packed = compress(content)
        rows.append(
            {
                "services": count,
                "bytes": len(content),
                "compressed_bytes": len(packed),
                "take_over_ms": timed_us(lambda packed=packed: decode_change(decompress(packed)))
                / 1000,
            }
        )
    return rows


def _document(services: int) -> dict[str, Any]:
    """Returns a configuration with nine regions and some services of three classes."""
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


def plan_slope() -> list[dict[str, float]]:
    """Returns size and cost of a cell's plan by its endpoints and daemons."""
    rows = []
    view = ConfigurationView(check_configuration(_document(10)).unwrap())
    for holders_count, endpoint_count in ((4, 14), (16, 60), (67, 240), (155, 600)):
        region = REGIONS[0]
        endpoints = [_endpoint(n, region) for n in range(endpoint_count)]
        holders = [
            HolderVm(Incarnation(n + 1), ZoneName(f"zone-{n % 3}")) for n in range(holders_count)
        ]
        zones = {slot_resource(e): e.zone for e in endpoints}
        caps = build_caps(view, endpoints, region)

        def compute(
            plan: Plan, caps: Any = caps, zones: Any = zones, holders: Any = holders
        ) -> Any:
            desired = spread_tokens(caps, zones, holders, frozenset(), plan)
            return revise_plan(plan, caps, desired, NOTHING_KNOWN)

        plan = compute(Plan())
        addresses = {holder.incarnation: _address(holder.incarnation) for holder in holders}
        plan = replace(plan, addresses=addresses)
        content = encode_plan(plan)
        packed = compress(content)
        rows.append(
            {
                "daemons": holders_count,
                "endpoints": endpoint_count,
                "bytes": len(content),
                "compressed_bytes": len(packed),
                "compute_ms": timed_us(lambda plan=plan, compute=compute: compute(plan)) / 1000,
                "take_over_ms": timed_us(lambda packed=packed: decode_plan(decompress(packed)))
                / 1000,
            }
        )
    return rows


def _endpoint(number: int, region: RegionName) -> EndpointVm:
    """Returns an endpoint of one of ten services."""
    fleet, service = f"fleet-{number % 3}", f"service-{number % 10}"
    return EndpointVm(
        QualifiedName.parse(f"{fleet}/vm-{number}"),
        QualifiedName.parse(f"{fleet}/{service}"),
        _address(number),
        9000,
        ZoneName(f"zone-{number % 3}"),
        region,
        9,
        VmState.LIVE,
    )


def homes_slope() -> list[dict[str, float]]:
    """Returns cost and memory of remembered request ids by their number."""
    rows = []
    for count in (1_000, 10_000, 60_000):
        tracemalloc.start()
        table = RequestIdTable(Address("127.0.0.1"), Incarnation(1), 60_000)
        started_s = time.perf_counter()
        for number in range(count):
            request = RequestId(Address("127.0.0.1"), Incarnation(1), 50_000 + number, f"n{number}")
            table.begin(request, number % 1000)
            table.answered(request.key, None)
        elapsed_s = time.perf_counter() - started_s
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append({"ids": count, "us_each_traced": elapsed_s / count * 1e6, "bytes": memory})
    return rows


def daemons_slope(counts: tuple[int, ...]) -> list[dict[str, float]]:
    """Returns what control-only daemons use, by their number, as real processes."""
    return [_observe_daemons(count) for count in counts]


def _observe_daemons(count: int) -> dict[str, float]:
    """Returns processor, memory and traffic of each daemon in a system without requests."""
    layout = replace(LAYOUTS["prairie"], entry_vm_count=count)
    lab = Lab(layout, pathlib.Path(f"build/measure/slopes-{count}"), ["dist/lycheepin"], 1)
    lab.ready_timeout_s = 120.0
    try:
        lab.start()
        time.sleep(5.0)
        before = [_usage(process.pid) for process in lab.daemons.values()]
        calls_before = sum(lab.call_platform("calls", {}).values())
        counters_before = _counters(lab)
        time.sleep(OBSERVED_S)
        after = [_usage(process.pid) for process in lab.daemons.values()]
        calls_after = sum(lab.call_platform("calls", {}).values())
        counters_after = _counters(lab)
        spread_s = _spread_seconds(lab)
    finally:
        lab.stop()
    processor = [(b[0] - a[0]) / OBSERVED_S for a, b in zip(before, after, strict=True)]
    sent = counters_after["datagrams_sent"] - counters_before["datagrams_sent"]
    sent_bytes = counters_after["datagram_bytes_sent"] - counters_before["datagram_bytes_sent"]
    return {
        "daemons": count,
        "core_percent_mean": 100 * sum(processor) / count,
        "core_percent_max": 100 * max(processor),
        "resident_mb_mean": sum(b[1] for b in after) / count / 2**20,
        "datagrams_sent_per_s": sent / count / OBSERVED_S,
        "kb_sent_per_s": sent_bytes / count / OBSERVED_S / BYTES_PER_KB,
        "platform_calls_per_s": (calls_after - calls_before) / OBSERVED_S,
        "configuration_in_force_s": spread_s,
    }


def _usage(pid: int) -> tuple[float, int]:
    """Returns processor seconds and resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / 100, pages * 4096


def _counters(lab: Lab) -> dict[str, int]:
    """Returns the sums of counters over all daemons."""
    total: dict[str, int] = {"datagrams_sent": 0, "datagram_bytes_sent": 0}
    for entry in lab.entry_vms:
        status = lab.read_status(entry)
        for name in total:
            total[name] += status["metrics"]["counters"].get(name, 0) if status else 0
    return total


def _spread_seconds(lab: Lab) -> float:
    """Returns the seconds from the write of a configuration until the last daemon has it.

    Taken from the daemons' own events, which carry stamps of the machine's one clock.
    """
    lab.run_command("drain", "start", "endpoint", "maple/order-desk-1")
    time.sleep(2.0)
    result = lab.run_command("timeline", "--json")
    events = [json.loads(line) for line in result.stdout.splitlines()]
    stamps = [
        event["stamp"] >> 16
        for event in events
        if event["kind"] == "document_in_force" and event["detail"] == "config revision 2"
    ]
    if len(stamps) < len(lab.entry_vms):
        return float("nan")
    return (max(stamps) - min(stamps)) / 1000


def measure_slopes(counts: tuple[int, ...] = (11, 44, 100)) -> dict[str, Any]:
    """Returns all slopes."""
    return {
        "blocks": blocks_slope(),
        "lookup": lookup_slope(),
        "membership": membership_slope(),
        "configuration": configuration_slope(),
        "plan": plan_slope(),
        "request_ids": homes_slope(),
        "daemons": daemons_slope(counts),
    }


def main() -> int:
    """Writes build/measure/slopes.json and prints it as tables."""
    found = measure_slopes()
    folder = pathlib.Path("build/measure")
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "slopes.json").write_text(json.dumps(found, indent=1), encoding="utf-8")
    for name, rows in found.items():
        print(f"\n{name}")
        print("".join(f"{key:>24}" for key in rows[0]))
        for row in rows:
            print("".join(f"{value:24.3f}" for value in row.values()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
