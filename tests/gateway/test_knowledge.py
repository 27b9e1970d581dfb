import asyncio
import json
from unittest.mock import patch

from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, EndpointId
from lycheepin.steering.endpoint import EndpointRecord
from lycheepin.transport import calls
from tests.gateway.deployment import (
    HOST,
    DeploymentCase,
    configuration,
    find_free_address,
    request,
)


class Configuration(DeploymentCase):
    async def test_newer_version_is_applied_and_older_one_is_ignored(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)
        self.store.put("op/config", configuration(5))
        self.store.put("op/evacuate/south-1", {})
        await self.wait_until(lambda: "south-1" in gateway.registry.evacuated_zones)
        assert gateway.state.table is not None
        self.assertEqual(gateway.state.table.version, 9)

    async def test_malformed_configuration_is_ignored(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for value in (b"\xff\xfe", b"{}", b"[]", json.dumps({"version": "zz"}).encode()):
            self.store.put("op/config", value)
        self.store.put("op/evacuate/south-1", {})
        await self.wait_until(lambda: "south-1" in gateway.registry.evacuated_zones)
        self.assertEqual((await self.send_request(gateway, request()))[0], 200)

    async def test_listing_replaces_changes_that_the_store_no_longer_has(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.store.override_status = lambda target: 503
        await self.wait_until(lambda: not gateway.state.store_answers)
        self.store.put("op/config", configuration(9))
        self.store.delete("servers/a")
        await self.add_endpoint("b")
        self.store.drop_history()
        self.store.override_status = lambda target: None
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)
        await self.wait_until(lambda: gateway.registry.get(EndpointId("a")) is None)
        self.assertIsNotNone(gateway.registry.get(EndpointId("b")))

    async def test_first_watch_after_a_store_outage_has_a_short_wait(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.store.unresponsive = True
        await self.wait_until(lambda: not gateway.state.store_answers)
        self.store.unresponsive = False
        calls = len(self.store.calls)
        await self.wait_until(lambda: gateway.state.store_answers)
        watches = [call for call in self.store.calls[calls:] if "kv-watch" in call]
        self.assertIn("waitMs=100", watches[0])

    # Guards against changes that are too many for one answer being asked for again and again.
    @patch.object(calls, "MAX_ANSWER_BYTES", 64 * 1024)
    async def test_listing_replaces_changes_that_are_larger_than_an_answer(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(20):
            self.store.put(f"servers/odd-{number}", b"x" * 8000)
        self.store.put("servers/b", endpoint.build_entry("north-1"))
        await self.wait_until(lambda: gateway.registry.get(EndpointId("b")))
        self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)

    # Guards against an endpoint that is draining being used again after a listing.
    async def test_changes_that_are_older_than_a_page_of_the_listing_are_skipped(self) -> None:
        for name in "abcdefgh":
            endpoint = await self.add_endpoint(name)

        def change_while_listed() -> None:
            self.store.on_page = lambda: None
            for sequence, state in enumerate(("ready", "draining"), 2):
                entry = endpoint.build_entry("north-1", state=state, sequence=sequence)
                self.store.put("servers/h", entry)

        self.store.board.set_dose("store.few-events", 1)
        self.store.board.set_dose("store.changing-pages", 1.0)
        self.store.on_page = change_while_listed
        gateway = await self.add_gateway()
        states: list[bool] = []
        register = gateway.registry.register

        def observe(record: EndpointRecord, now_s: float) -> bool:
            if record.id == "h":
                states.append(record.draining)
            return register(record, now_s)

        gateway.registry.register = observe  # type: ignore[method-assign]
        await self.wait_until_ready(gateway)
        self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)
        self.assertEqual(set(states), {True})

    async def test_listing_replaces_changes_that_cannot_be_read(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.store.put("servers/odd", b"{}")
        self.store.items.pop("servers/odd")["revision"] -= 0.5  # the event is the same object
        self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)


class Endpoints(DeploymentCase):
    async def test_malformed_entries_add_no_endpoint(self) -> None:
        endpoint = await self.add_endpoint("a")
        valid_entry = endpoint.build_entry("north-1")
        for number, entry in enumerate(
            (
                b"not json",
                b"\xff\x00",
                [1, 2],
                valid_entry | {"state": "busy"},
                valid_entry | {"slots": "many"},
                valid_entry | {"slots": 0},
                valid_entry | {"zone": "nowhere"},
                valid_entry | {"address": 5},
                valid_entry | {"address": "no-port"},
                {key: value for key, value in valid_entry.items() if key != "service"},
            )
        ):
            self.store.put(f"servers/forged-{number}", entry)
        gateway = await self.add_gateway()
        await self.wait_until(lambda: gateway.registry.get(EndpointId("a")))
        self.assertEqual(len(list(gateway.registry.all())), 1)

    async def test_draining_endpoint_gets_no_more_requests(self) -> None:
        first = await self.add_endpoint("a")
        second = await self.add_endpoint("b")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.store.put("servers/a", first.build_entry("north-1", state="draining"))
        endpoint = gateway.registry.get(EndpointId("a"))
        assert endpoint is not None
        await self.wait_until(lambda: endpoint.record.draining)
        for number in range(10):
            await self.send_request(
                gateway, request(identifier=f"r{number}", Affinity_Key=str(number))
            )
        self.assertEqual((len(first.received_requests), len(second.received_requests)), (0, 10))

    async def test_connections_to_a_removed_endpoint_are_closed(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self.send_request(gateway, request())
        self.assertEqual(len(endpoint.open_connections), 1)
        self.store.delete("servers/a")
        await self.wait_until(lambda: not endpoint.open_connections)


class Daemons(DeploymentCase):
    async def test_daemon_rewrites_its_entry_after_its_lease_has_ended(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        key = "lycheepin/daemons/daemon-1"
        await self.wait_until(lambda: key in self.store.items)
        lease = self.store.items[key]["lease"]
        self.store.end_lease(lease)
        await self.wait_until(lambda: self.store.items.get(key, {}).get("lease", lease) != lease)
        await self.wait_until(lambda: gateway.directory.names == (DaemonName("daemon-1"),))

    async def test_only_one_of_four_daemons_reads_changes_from_the_store(self) -> None:
        await self.add_endpoint("a")
        first = await self.add_gateway("daemon-1")
        await self.wait_until_ready(first)
        gateways = [await self.add_gateway(f"daemon-{number}") for number in (2, 3, 4)]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
        await self.wait_until(lambda: all(len(g.directory.names) == 4 for g in self.gateways))
        self.store.put("op/config", configuration(9))
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.state.table.version == 9)
        self.store.calls.clear()
        self.store.put("op/config", configuration(11))
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.state.table.version == 11)
        watches = [call for call in self.store.calls if "kv-watch" in call]
        self.assertLessEqual(len(watches), 2)

    async def test_standby_takes_over_when_the_reader_ends_without_a_word(self) -> None:
        await self.add_endpoint("a")
        gateways = [
            await self.add_gateway(f"daemon-{number}", link_mbps=100.0 - number)
            for number in (1, 2, 3)
        ]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
        await self.wait_until(lambda: all(len(g.directory.names) == 3 for g in gateways))
        await self.wait_until(lambda: gateways[2].directory.change_count >= 3)
        self._gateway_tasks.pop(0).cancel()
        gateways[0].close()
        self.store.put("op/config", configuration(9))
        for gateway in gateways[1:]:
            await self.wait_until(lambda g=gateway: g.state.table.version == 9)

    async def test_daemons_that_start_together_leave_reading_to_the_seed(self) -> None:
        await self.add_endpoint("a")
        control = find_free_address()
        gateways = [await self.add_gateway("daemon-0", control=control, link_mbps=9.0)]
        for number in range(1, 7):
            gateways.append(
                await self.add_gateway(f"daemon-{number}", seeds=(control,), bootstrap=True)
            )
        await self.wait_until(lambda: all(len(g.directory.names) == 7 for g in gateways))
        listings = [call for call in self.store.calls if "kv-range" in call]
        watches = [call for call in self.store.calls if "kv-watch" in call]
        self.assertLessEqual(len(listings), 2, "one daemon, one item in the page")
        self.assertLessEqual(len(watches), 2 * len(gateways))

    async def test_daemon_gets_its_first_listing_from_a_seed(self) -> None:
        await self.add_endpoint("a")
        control = find_free_address()
        first = await self.add_gateway("daemon-1", control=control)
        await self.wait_until_ready(first)
        await self.wait_until(lambda: first.directory.names)
        self.store.calls.clear()
        seeds = (control, find_free_address())
        second = await self.add_gateway("daemon-2", seeds=seeds, bootstrap=True)
        await self.wait_until_ready(second)
        self.assertFalse([call for call in self.store.calls if "kv-range" in call])

    async def test_daemon_that_restarts_does_not_wait_for_seeds_that_are_down(self) -> None:
        await self.add_endpoint("a")
        silent = await asyncio.start_server(lambda *_: asyncio.Event().wait(), HOST, 0)
        self.addCleanup(silent.close)
        seed = SocketAddress(HOST, silent.sockets[0].getsockname()[1])
        gateway = await self.add_gateway(seeds=(seed,))
        await self.wait_until_ready(gateway)
        self.assertIsNone(gateway.log.counts.get("peer_refused"))

    async def test_daemon_registers_only_after_its_first_listing(self) -> None:
        self.store.override_status = lambda target: 503 if "kv-range" in target else None
        gateway = await self.add_gateway()
        await self.wait_until(lambda: gateway.log.counts.get("start"))
        await self.wait_until(lambda: sum("kv-range" in call for call in self.store.calls) >= 2)
        self.assertNotIn("lycheepin/daemons/daemon-1", self.store.items)
        self.store.override_status = lambda target: None
        await self.wait_until(lambda: "lycheepin/daemons/daemon-1" in self.store.items)

    async def test_daemon_that_starts_during_a_store_outage_follows_a_seed(self) -> None:
        await self.add_endpoint("a")
        control = find_free_address()
        first = await self.add_gateway("daemon-1", control=control)
        await self.wait_until_ready(first)
        self.store.override_status = lambda target: 503
        second = await self.add_gateway("daemon-2", seeds=(control,))
        await self.wait_until_ready(second)
        self.assertEqual((await self.send_request(second, request()))[0], 200)

    async def test_updates_from_a_daemon_of_another_deployment_are_refused(self) -> None:
        await self.add_endpoint("a")
        control = find_free_address()
        foreign_gateway = await self.add_gateway("daemon-1", control=control)
        await self.wait_until_ready(foreign_gateway)
        gateway = await self.add_gateway("daemon-2", store=find_free_address(), seeds=(control,))
        before = foreign_gateway.log.counts.copy()
        await self.wait_until(lambda: gateway.log.counts.get("peer_refused", 0) >= 2)
        self.assertFalse(gateway.ready)
        self.assertEqual(before.get("fault"), foreign_gateway.log.counts.get("fault"))


class EntryThatEndsEachDaemonThatReadsIt(DeploymentCase):
    """An entry of another writer stops its reader, and the next one after it."""

    async def test_daemon_reads_on_after_entries_that_are_nested_without_end(self) -> None:
        gateway = await self.add_gateway()
        await self.wait_until(lambda: gateway.ready)
        nested = b"[" * 100_000
        for key in ("servers/x", "lycheepin/daemons/x", "lycheepin/suspicions/x", "op/config"):
            self.store.put(key, nested)
        self.store.put("op/config", configuration(2))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 2)

    async def test_entries_whose_address_has_no_possible_port_name_nothing_to_use(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self.wait_until(lambda: gateway.directory.names)
        entry = self.endpoints[0].build_entry("north-1")
        peer = {"incarnation": 1, "zone": "north-1", "region": "north", "link_mbps": 1e9}
        for port in (0, -1, 65_536, 10**9):
            self.store.put(f"servers/port{port}", entry | {"address": f"127.0.0.1:{port}"})
            address = f"127.0.0.1:{port}"
            self.store.put(
                f"lycheepin/daemons/{port}", peer | {"front": address, "control": address}
            )
        self.store.put("op/config", configuration(2))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 2)
        self.assertEqual([endpoint.record.id for endpoint in gateway.registry.all()], ["a"])
        self.assertEqual(gateway.directory.names, ("daemon-1",))
        self.store.put("op/config", configuration(3))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 3)
