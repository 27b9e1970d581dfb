import json
import unittest

from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.own_entries import encode_daemon
from lycheepin.gateway.settings import SocketAddress
from lycheepin.gateway.store_entries import (
    ConfigurationEntry,
    DaemonEntry,
    EndpointEntry,
    EvacuationEntry,
    UnreadableEntry,
)
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.platform.entries import decode_entry
from lycheepin.steering.routes import RequestKind
from standins.servers import EndpointStandIn
from tests.gateway.deployment import ZONES, configuration


class EntryDecodingTest(unittest.TestCase):
    def _decode(self, key: str, value: object) -> object:
        """Returns the decoded entry of a key and a JSON value."""
        return decode_entry(key, json.dumps(value).encode(), ZONES)

    # Guards against large answers being treated as work that may not be repeated.
    def test_routes_of_unknown_kinds_are_protected(self) -> None:
        repeatable, protected = RequestKind.IDEMPOTENT, RequestKind.PROTECTED
        kinds = dict.fromkeys(("idempotent", "download"), repeatable) | dict.fromkeys(
            ("non_idempotent", "upload", "new_kind", "Download"), protected
        )
        for kind, expected in kinds.items():
            document = configuration()
            document["routes"]["order"]["kind"] = kind
            entry = self._decode("op/config", document)
            assert isinstance(entry, ConfigurationEntry)
            route = entry.table.match("a.example", "/order/1")
            assert route is not None
            self.assertIs(route.kind, expected, kind)

    def test_route_with_traffic_split_and_without_optional_fields(self) -> None:
        document = configuration(255)
        route = document["routes"]["read"]
        del route["service"], route["timeoutMs"], route["homeRegions"]
        route["trafficSplit"] = [
            {"service": "desk", "weight": 90},
            {"service": "desk2", "weight": 10},
        ]
        entry = self._decode("op/config", document)
        assert isinstance(entry, ConfigurationEntry)
        self.assertEqual(entry.table.version, 255)
        match = entry.table.match("a.example", "/read/1")
        assert match is not None
        self.assertEqual([share.weight for share in match.shares], [90.0, 10.0])

    def test_malformed_unknown_and_evacuation_entries(self) -> None:
        self.assertIsInstance(self._decode("op/config", {"version": 1}), UnreadableEntry)
        self.assertIsInstance(decode_entry("servers/x", b"\xff", ZONES), UnreadableEntry)
        self.assertIsNone(self._decode("other/key", {}))
        self.assertEqual(
            self._decode("op/evacuate/north-1", {}), EvacuationEntry(ZoneName("north-1"))
        )

    def test_endpoint_entry_needs_a_whole_number_as_its_sequence(self) -> None:
        address = "10.0.0.1:80"
        entry = EndpointStandIn("").build_entry("north-1", sequence=4, address=address)
        decoded = self._decode("servers/a", entry)
        assert isinstance(decoded, EndpointEntry)
        self.assertEqual(decoded.record.sequence, 4)
        for value in (None, "4", -1, True, 1.5):
            self.assertIsInstance(
                self._decode("servers/a", entry | {"sequence": value}), UnreadableEntry
            )
        del entry["sequence"]
        self.assertIsInstance(self._decode("servers/a", entry), UnreadableEntry)

    def test_encoded_daemon_entry_decodes_to_the_same_record(self) -> None:
        address = SocketAddress(Address("10.0.0.1"), 80)
        zone, region = ZoneName("north-1"), RegionName("north")
        record = DaemonRecord(DaemonName("d"), 7, zone, region, address, address)
        entry = decode_entry("lycheepin/daemons/d", encode_daemon(record), ZONES)
        self.assertEqual(entry, DaemonEntry(record))
