import pathlib
import tempfile

from lycheepin.names import EndpointId
from lycheepin.platform.gateway import KvPlatform
from tests.gateway.deployment import DeploymentCase
from tests.platform.test_settings import SETTINGS


class ReloadTest(DeploymentCase):
    # Guards against endpoints of a new zone staying unreadable until their entries change.
    async def test_entries_of_zones_that_are_added_are_read_again(self) -> None:
        endpoint = await self.add_endpoint("a")
        self.store.put("servers/b", endpoint.build_entry("east-1"))
        gateway = await self.add_gateway()
        await self.wait_until(lambda: gateway.registry.get(EndpointId("a")))
        self.assertIsNone(gateway.registry.get(EndpointId("b")))
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            address = f"{self.store_address}"
            text = SETTINGS.replace("10.200.1.7:8142", address)
            path.write_text(text.replace("[zones]", '[zones]\neast-1 = "east"'), encoding="utf-8")
            platform = gateway._platform
            assert isinstance(platform, KvPlatform)
            platform._settings_path = str(path)
            platform.reload_settings(gateway)
        added = gateway.registry.get(EndpointId("b"))
        assert added is not None
        self.assertEqual(added.record.region, "east")
        self.assertIsNotNone(gateway.registry.get(EndpointId("a")))

    async def test_reload_applies_changed_settings_and_ignores_a_broken_file(self) -> None:
        gateway = await self.add_gateway()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(SETTINGS, encoding="utf-8")
            platform = KvPlatform(str(path))
            platform.reload_settings(gateway)
            self.assertEqual(gateway.settings.terms.retry_slack, 62.0)
            path.write_text(SETTINGS.replace("budgetSlack=62", "budgetSlack=9"), encoding="utf-8")
            platform.reload_settings(gateway)
            self.assertEqual(gateway.settings.terms.retry_slack, 9.0)
            path.write_text("broken", encoding="utf-8")
            platform.reload_settings(gateway)
            self.assertEqual(gateway.settings.terms.retry_slack, 9.0)
            self.assertEqual(gateway.log.counts["settings_refused"], 1)
