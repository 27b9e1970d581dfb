import json
import unittest

from lycheepin.gateway.directory import DaemonRecord
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import Address, DaemonName, RegionName, ZoneName
from lycheepin.platform.entries import (
    Configured,
    DaemonListed,
    Evacuated,
    Unreadable,
    decode_entry,
    encode_daemon,
)
from lycheepin.steering.routes import RequestKind
from tests.gateway.deployment import ZONES, configuration


class Entries(unittest.TestCase):
    def _decode(self, key: str, value: object) -> object:
        """Returns what an entry says."""
        return decode_entry(key, json.dumps(value).encode(), ZONES)

    def test_kinds_that_are_not_known_to_be_idempotent_are_protected(self) -> None:
        for kind in ("non_idempotent", "upload", "new_kind"):
            document = configuration()
            document["routes"]["order"]["kind"] = kind
            found = self._decode("op/config", document)
            assert isinstance(found, Configured)
            route = found.table.match("a.example", "/order/1")
            assert route is not None
            self.assertIs(route.kind, RequestKind.PROTECTED)

    def test_split_routes_and_missing_fields(self) -> None:
        document = configuration(255)
        route = document["routes"]["read"]
        del route["service"], route["timeoutMs"], route["homeRegions"]
        route["trafficSplit"] = [
            {"service": "desk", "weight": 90},
            {"service": "desk2", "weight": 10},
        ]
        found = self._decode("op/config", document)
        assert isinstance(found, Configured)
        self.assertEqual(found.table.version, 255)
        match = found.table.match("a.example", "/read/1")
        assert match is not None
        self.assertEqual([share.weight for share in match.shares], [90.0, 10.0])

    def test_damaged_and_foreign_entries(self) -> None:
        self.assertIsInstance(self._decode("op/config", {"version": 1}), Unreadable)
        self.assertIsInstance(decode_entry("servers/x", b"\xff", ZONES), Unreadable)
        self.assertIsNone(self._decode("other/key", {}))
        self.assertEqual(self._decode("op/evacuate/north-1", {}), Evacuated(ZoneName("north-1")))

    def test_own_entry_survives_the_store(self) -> None:
        address = SocketAddress(Address("10.0.0.1"), 80)
        zone, region = ZoneName("north-1"), RegionName("north")
        record = DaemonRecord(DaemonName("d"), 7, zone, region, address, address)
        found = decode_entry("lycheepin/daemons/d", encode_daemon(record), ZONES)
        self.assertEqual(found, DaemonListed(record))
