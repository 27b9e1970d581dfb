"""The store's revision counter and its eras start at high numbers."""

from __future__ import annotations

from lycheepin.decoding import MAX_INT
from lycheepin.names import EndpointId
from tests.gateway.deployment import DeploymentCase, configuration, request

# A Unix time in milliseconds, from which a store may count so as to give no revision out twice.
UNIX_MS = 1_796_000_000_000


class HighRevisions(DeploymentCase):
    # Guards against a store whose revisions are above 2^40 leaving all gateways without a
    # configuration (review/5).
    async def test_reader_and_follower_serve_and_follow_changes(self) -> None:
        for first in (2**40 - 3, UNIX_MS, MAX_INT - 1000):
            with self.subTest(first):
                await self.start_anew()
                self.store.revision = first
                self.store.put("op/config", configuration())
                for number in range(8):  # more than one page of a listing
                    await self.add_endpoint(f"e{number}")
                gateways = [await self.add_gateway(f"daemon-{n}") for n in range(2)]
                for gateway in gateways:
                    await self.wait_until_ready(gateway)
                    status, _, _ = await self.send_request(gateway, request())
                    self.assertEqual(status, 200)
                self.store.put("op/config", configuration(9))
                self.store.delete("servers/e3")
                for gateway in gateways:
                    await self.wait_until(
                        lambda g=gateway: g.state.table and g.state.table.version == 9
                    )
                    await self.wait_until(lambda g=gateway: not g.registry.get(EndpointId("e3")))

    async def test_store_comes_back_in_an_era_with_a_high_number(self) -> None:
        self.store.era = UNIX_MS
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        stored = self.store.make_copy()
        self.store.put("op/evacuate/south-1", {})
        await self.wait_until(lambda: gateway.registry.evacuated_zones)
        self.store.restore(stored)
        self.store.put("op/config", configuration(9))
        await self.wait_until(lambda: gateway.state.table and gateway.state.table.version == 9)
        assert gateway.replica.position is not None
        self.assertEqual(gateway.replica.position.era, UNIX_MS + 1)
