"""The store comes back from a copy, and revisions and leases are given out again."""

from __future__ import annotations

import math
from unittest.mock import patch

from lycheepin.gateway.process import Gateway
from lycheepin.names import ZoneName
from lycheepin.steering import store_contact
from standins.metadata import StoreCopy
from tests.gateway.deployment import DeploymentCase, configuration, request


class RestoredStore(DeploymentCase):
    async def _start_gateways(self, count: int) -> list[Gateway]:
        """Starts gateways and waits until each knows all of them; one reads the store."""
        gateways = [await self.add_gateway(f"daemon-{number}") for number in range(count)]
        for gateway in gateways:
            await self.wait_until_ready(gateway)
        await self._wait_until_known(gateways)
        return gateways

    async def _wait_until_known(self, gateways: list[Gateway]) -> None:
        names = tuple(gateway.settings.name for gateway in gateways)
        await self.wait_until(lambda: all(g.directory.names == names for g in gateways))

    async def _write_configuration(self, version: int) -> None:
        self.store.put("op/config", configuration(version))

    async def _wait_until_in_force(self, gateways: list[Gateway], version: int) -> None:
        await self.wait_until(
            lambda: all(g.state.table and g.state.table.version == version for g in gateways)
        )

    async def _restore_store(self, stored: StoreCopy, gateways: list[Gateway]) -> None:
        """Restores the store, and waits until a change made after it is in force."""
        self.store.restore(stored)
        await self._write_configuration(2)
        await self._wait_until_in_force(gateways, 2)

    async def test_followers_miss_a_change_after_the_store_came_back_from_a_copy(self) -> None:
        gateways = await self._start_gateways(3)
        stored = self.store.make_copy()
        for version in range(2, 12):
            await self._write_configuration(version)
        await self._wait_until_in_force(gateways, 11)
        self.store.restore(stored)
        await self._write_configuration(12)
        await self._wait_until_in_force(gateways, 12)

    async def test_reader_misses_a_change_under_a_revision_that_was_given_out_again(self) -> None:
        (gateway,) = await self._start_gateways(1)
        stored = self.store.make_copy()
        for version in range(2, 6):
            await self._write_configuration(version)
        await self._wait_until_in_force([gateway], 5)
        self.store.restore(stored)
        await self._write_configuration(6)
        while self.store.revision <= 40:
            self.store.put("other", "x")
        await self._wait_until_in_force([gateway], 6)

    @patch.object(store_contact, "REREGISTRATION_S", math.inf)
    async def test_endpoint_that_the_copy_lacks_is_removed_before_it_can_register_again(
        self,
    ) -> None:
        await self.add_endpoint("a")
        gateways = await self._start_gateways(2)
        stored = self.store.make_copy()
        endpoint = await self.add_endpoint("b")
        for gateway in gateways:
            await self.wait_until_ready(gateway)
        await self._restore_store(stored, gateways)
        for gateway in gateways:
            self.assertEqual(sorted(e.record.id for e in gateway.registry.all()), ["a", "b"])
        self.store.put("servers/b", endpoint.build_entry("north-1", sequence=9))
        await self.wait_until(lambda: not any(g.registry.missing_count for g in gateways))

    @patch.object(store_contact, "REREGISTRATION_S", math.inf)
    async def test_evacuation_that_the_copy_lacks_ends_before_it_can_be_written_again(
        self,
    ) -> None:
        gateways = await self._start_gateways(2)
        stored = self.store.make_copy()
        self.store.put("op/evacuate/south-1", {})
        zone = ZoneName("south-1")
        await self.wait_until(lambda: all(zone in g.registry.evacuated_zones for g in gateways))
        await self._restore_store(stored, gateways)
        for gateway in gateways:
            self.assertIn(zone, gateway.registry.evacuated_zones)

    async def test_endpoint_that_had_left_or_drained_is_in_use_again_from_the_copy(self) -> None:
        names = ("a", "b", "c")
        endpoints = [await self.add_endpoint(name) for name in names]
        gateways = await self._start_gateways(2)
        stored = self.store.make_copy()
        draining = endpoints[0].build_entry("north-1", state="draining", sequence=8)
        self.store.put("servers/a", draining)
        self.store.delete("servers/b")
        await self.wait_until(
            lambda: all(len(list(g.registry.all())) == 2 for g in gateways)
            and all(any(e.record.draining for e in g.registry.all()) for g in gateways)
        )
        await self._restore_store(stored, gateways)
        for number, gateway in enumerate(gateways * 10):
            content = request("/order/1", "POST", f"r{number}", Affinity_Key=str(number))
            self.assertEqual((await self.send_request(gateway, content))[0], 200)
        self.assertEqual([len(e.received_requests) for e in endpoints], [0, 0, 20])
        self.store.put("servers/b", endpoints[1].build_entry("north-1", sequence=9))
        await self.wait_until(lambda: all(len(list(g.registry.all())) == 3 for g in gateways))

    async def test_stopped_daemon_is_named_by_look_ups_again_from_the_copy(self) -> None:
        gateways = await self._start_gateways(3)
        stored = self.store.make_copy()
        stopped = gateways[2]
        stopped.stop()
        remaining = gateways[:2]
        await self._wait_until_known(remaining)
        await self._restore_store(stored, remaining)
        for gateway in remaining:
            addresses = gateway.find_addresses(gateway.settings.zone, gateway.settings.region)
            self.assertNotIn(str(stopped.settings.front), addresses)

    @patch.object(store_contact, "REREGISTRATION_S", math.inf)
    async def test_daemon_that_the_copy_lacks_is_dropped_before_it_can_register_again(
        self,
    ) -> None:
        stored = self.store.make_copy()
        gateways = await self._start_gateways(3)
        changes = [gateway.directory.change_count for gateway in gateways]
        await self._restore_store(stored, gateways)
        entries = [f"lycheepin/daemons/{gateway.settings.name}" for gateway in gateways]
        await self.wait_until(lambda: all(key in self.store.items for key in entries))
        self.assertEqual([gateway.directory.change_count for gateway in gateways], changes)

    @patch.object(store_contact, "REREGISTRATION_S", math.inf)
    async def test_removal_after_the_return_waits_though_the_store_has_confirmed_it(self) -> None:
        gateways = await self._start_gateways(3)
        stored = self.store.make_copy()
        self.store.put("op/evacuate/south-1", {})
        zone = ZoneName("south-1")
        await self.wait_until(lambda: all(zone in g.registry.evacuated_zones for g in gateways))
        self.store.restore(stored)
        self.store.put("op/evacuate/south-1", {})
        await self._write_configuration(2)
        await self._wait_until_in_force(gateways, 2)
        self.store.delete("op/evacuate/south-1")
        gateways[2].stop()
        await self._wait_until_known(gateways[:2])
        await self.wait_until(lambda: not any(g.registry.evacuated_zones for g in gateways[:2]))
