"""The store closes connections of watches that are waiting, and stays available."""

from __future__ import annotations

import math
from unittest.mock import patch

from lycheepin.gateway import following
from lycheepin.gateway.storage import START
from lycheepin.names import EndpointId
from lycheepin.steering import store_contact
from tests.gateway.deployment import DeploymentCase


class CutWatches(DeploymentCase):
    # Guards against an endpoint that left being used for as long as watches are cut (review/4).
    @patch.object(store_contact, "REREGISTRATION_S", math.inf)
    async def test_endpoint_that_leaves_after_a_cut_is_removed_with_its_entry(self) -> None:
        for name in ("a", "b", "c"):
            await self.add_endpoint(name)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for name in ("a", "b"):
            await self.wait_until(lambda: self.store.watch_count)
            self.store.cut_watches()
            self.store.delete(f"servers/{name}")
            await self.wait_until(lambda gone=name: gateway.registry.get(EndpointId(gone)) is None)
        self.assertIsNotNone(gateway.registry.get(EndpointId("c")))

    # Guards against a pause without knowledge of the store after each watch that is cut.
    @patch.object(following, "RETRY_PAUSE_S", math.inf)
    async def test_store_is_read_again_at_once_after_a_cut(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for number in range(5):
            await self.wait_until(lambda: self.store.watch_count)
            self.store.cut_watches()
            self.store.put("op/evacuate/north-1", {"number": number})
            revision = self.store.revision
            await self.wait_until(
                lambda known=revision: (gateway.replica.position or START).revision >= known
            )

    # Guards against endpoints that run being removed when their entries expired in an outage.
    async def test_endpoint_that_expired_in_a_long_outage_is_kept_until_it_registers(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway(heartbeat_s=0.01)
        await self.wait_until_ready(gateway)
        self.store.override_status = lambda target: 503
        await self.wait_until(lambda: not gateway.state.store_answers)
        self.store.delete("servers/a")
        with patch.object(store_contact, "REREGISTRATION_S", math.inf):
            self.store.override_status = lambda target: None
            await self.wait_until(lambda: gateway.registry.missing_count)
            self.store.put("servers/a", endpoint.build_entry("north-1"))
            await self.wait_until(lambda: not gateway.registry.missing_count)
        self.assertIsNotNone(gateway.registry.get(EndpointId("a")))
