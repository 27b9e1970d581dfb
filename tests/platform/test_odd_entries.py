"""Entries of another writer: numbers too large, deep nesting, ports out of range, odd texts."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.gateway.store_entries import EndpointEntry, UnreadableEntry
from lycheepin.names import EndpointId
from lycheepin.platform.entries import decode_entry
from standins.servers import EndpointStandIn
from tests.gateway.deployment import ZONES, DeploymentCase, request
from tests.steering.builders import SPEC, build_dispatcher, build_registry, build_requirements

# Longest line that an unreadable entry may leave in the log, in characters.
MAX_REASON = 500
HUGE = 10**400
DEEP_TEXT = b"[" * 4000 + b"]" * 4000
ODD_VALUES: tuple[Any, ...] = (
    HUGE,
    -HUGE,
    10**31,
    2**63,
    -1,
    0,
    1e308,
    float("inf"),
    float("nan"),
    True,
    None,
    "",
    "7",
    "\ud800",
    "x" * 60_000,
    [],
    {},
    [[[[[]]]]],
)
ODD_ADDRESSES = (
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:99999999999",
    "10.0.0.1:８０",
    "10.0.0.1: 80",
    "bad..name:80",
    "a" * 70 + ".example:80",
    "host:80",
    "10.0.0.1\0:80",
    "10.0.0:80",
    ":80",
    "10.0.0.1",
)


def build_entry(**changes: Any) -> dict[str, Any]:
    return EndpointStandIn("").build_entry("north-1", address="10.0.0.1:80") | changes


def decode(value: bytes, name: str = "odd") -> EndpointEntry | UnreadableEntry:
    entry = decode_entry(f"servers/{name}", value, ZONES)
    assert isinstance(entry, EndpointEntry | UnreadableEntry)
    return entry


def choose_endpoint(entry: EndpointEntry) -> None:
    """Uses an endpoint for every decision of a request; raises whatever they raise."""
    registry = build_registry(entry.record)
    dispatcher = build_dispatcher(registry)
    for now_s in (0.0, 1e9):
        dispatcher.choose_endpoint(build_requirements(), SPEC, now_s)
        for endpoint in registry.all():
            endpoint.observe_full(now_s)
            registry.predict_answer_s(endpoint, now_s)


class OddEntries(unittest.TestCase):
    def _check(self, value: bytes, name: str = "odd") -> None:
        match decode(value, name):
            case UnreadableEntry(reason=reason):
                self.assertLess(len(reason), MAX_REASON)
            case EndpointEntry() as entry:
                choose_endpoint(entry)

    # Guards against one entry with a number too large ending requests and their readers.
    def test_any_value_in_any_field_is_refused_or_can_be_used(self) -> None:
        for field in build_entry():
            for value in ODD_VALUES:
                with self.subTest(field=field, value=repr(value)[:30]):
                    self._check(json.dumps(build_entry(**{field: value})).encode())

    def test_entry_that_is_nested_deeply_is_refused(self) -> None:
        whole = json.dumps(build_entry(slots="@")).encode()
        for value in (DEEP_TEXT, whole.replace(b'"@"', DEEP_TEXT), b'{"a":' * 4000):
            self.assertIsInstance(decode(value), UnreadableEntry)
            self._check(value)

    def test_address_that_no_connection_can_be_opened_to_is_refused(self) -> None:
        for address in ODD_ADDRESSES:
            with self.subTest(address):
                value = json.dumps(build_entry(address=address)).encode()
                self.assertIsInstance(decode(value), UnreadableEntry)

    # Guards against an entry with a field missing or of another type being used: requests ran at
    # the endpoint of another service (review/3).
    def test_entry_with_a_field_missing_or_of_another_type_is_refused(self) -> None:
        wrong: dict[type, tuple[Any, ...]] = {
            str: (None, 7, True, [], {}, ["desk"]),
            int: (None, "7", True, False, 1.5, [], {}),
        }
        for field, right in build_entry().items():
            without = {name: value for name, value in build_entry().items() if name != field}
            is_optional = field == "born"  # counts as 0
            self.assertIsInstance(
                decode(json.dumps(without).encode()),
                EndpointEntry if is_optional else UnreadableEntry,
            )
            for value in wrong[type(right)]:
                if field == "coldRemainingMs" and value == 1.5:
                    continue  # a duration may have a fraction
                with self.subTest(field=field, value=value):
                    content = json.dumps(build_entry(**{field: value})).encode()
                    self.assertIsInstance(decode(content), UnreadableEntry)

    # Guards against a name that adds header lines to the requests for an endpoint.
    def test_name_that_cannot_be_sent_in_a_header_is_refused(self) -> None:
        value = json.dumps(build_entry()).encode()
        for name in ("", "a b", "a\r\nX: 1", "a\0", "\ud800", "é", "x" * 300):
            with self.subTest(name):
                self.assertIsInstance(decode(value, name), UnreadableEntry)
        self.assertIsInstance(decode(value, "i-7f3a91c2"), EndpointEntry)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.sampled_from(sorted(build_entry())),
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats()
            | st.text(st.characters(), max_size=300),
            lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner),
            max_leaves=4,
        ),
    )
    def test_random_value_in_a_field_is_refused_or_can_be_used(
        self, field: str, value: Any
    ) -> None:
        self._check(json.dumps(build_entry(**{field: value})).encode())

    def test_any_entry_of_a_daemon_or_a_suspicion_raises_nothing(self) -> None:
        daemon = {"incarnation": 1, "zone": "z", "region": "r", "front": "1.2.3.4:1"}
        daemon |= {"control": "1.2.3.4:2", "link_mbps": 1.0, "processors": 1.0, "era": 0}
        suspicion = {"fingerprint": "f", "endpoint": "a", "started_ms": 1, "refuted": False}
        for key, fields in (("daemons/d", daemon), ("suspicions/s", suspicion)):
            key = f"lycheepin/{key}"
            entry = decode_entry(key, json.dumps(fields).encode(), ZONES)
            self.assertNotIsInstance(entry, UnreadableEntry)
            for field in fields:
                for value in ODD_VALUES:
                    content = json.dumps(fields | {field: value}).encode()
                    hash(decode_entry(key, content, ZONES))
            self.assertIsInstance(decode_entry(key, DEEP_TEXT, ZONES), UnreadableEntry)


class OddEntriesBesideGoodOnes(DeploymentCase):
    # Guards against readers of the list that end, or no longer follow it, after an odd entry.
    async def test_requests_are_served_and_changes_followed(self) -> None:
        good = [await self.add_endpoint(name) for name in ("a", "b")]
        gateways = [await self.add_gateway(f"daemon-{number}") for number in range(2)]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
        odd = [good[0].build_entry("north-1", slots=value) for value in (HUGE, 10**31)]
        odd += [good[0].build_entry("north-1", address=address) for address in ODD_ADDRESSES]
        contents = [json.dumps(entry).encode() for entry in odd] + [DEEP_TEXT]
        for number, content in enumerate(contents):
            self.store.put(f"servers/odd-{number}", content)
        third = await self.add_endpoint("c")
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: g.registry.get(EndpointId("c")))
            for number in range(40):
                content = request(identifier=f"r{number}", Affinity_Key=str(number))
                self.assertEqual((await self.send_request(gateway, content))[0], 200)
            self.assertEqual(len(list(gateway.registry.all())), 3)
        self.assertTrue(third.received_requests)

    # Guards against a daemon's entry with an address that ends each daemon that polls it.
    async def test_daemon_with_an_address_that_cannot_be_connected_to_is_left_out(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until(lambda: gateway.directory.names)
        peer = {"incarnation": 1, "zone": "north-1", "region": "north", "link_mbps": 1e9}
        for number, address in enumerate(ODD_ADDRESSES):
            for name, other in (("front", "control"), ("control", "front")):
                entry = peer | {name: address, other: "127.0.0.1:1"}
                self.store.put(f"lycheepin/daemons/{name}-{number}", entry)
        self.store.put("servers/b", endpoint.build_entry("north-1"))
        await self.wait_until(lambda: gateway.registry.get(EndpointId("b")))
        self.assertEqual(gateway.directory.names, ("daemon-1",))

    # Guards against a key that no process can encode ending each one that reads it.
    async def test_key_with_an_unpaired_surrogate_is_left_out(self) -> None:
        endpoint = await self.add_endpoint("a")
        for prefix in ("servers/", "lycheepin/daemons/", "lycheepin/suspicions/", "other/"):
            for number in range(6):  # more than a page of a listing, before the others
                self.store.put(f"{prefix}\ud800{number}", endpoint.build_entry("north-1"))
        gateways = [await self.add_gateway(f"daemon-{number}") for number in range(2)]
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: g.registry.get(EndpointId("a")))
        self.store.put("servers/b\udfff", endpoint.build_entry("north-1"))
        self.store.put("servers/c", endpoint.build_entry("north-1"))
        self.store.delete("servers/\ud8000")
        for gateway in gateways:
            await self.wait_until(lambda g=gateway: g.registry.get(EndpointId("c")))
            self.assertEqual({e.record.id for e in gateway.registry.all()}, {"a", "c"})
            await self.wait_until(lambda g=gateway: len(g.directory.names) == 2)
            self.assertEqual((await self.send_request(gateway, request()))[0], 200)
