import pathlib
import tempfile

from lycheepin.platform.gateway import KvPlatform
from tests.gateway.deployment import DeploymentCase
from tests.platform.test_settings import SETTINGS


class ReloadTest(DeploymentCase):
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
