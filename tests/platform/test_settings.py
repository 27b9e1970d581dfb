import pathlib
import tempfile
import unittest
from unittest.mock import patch

from lycheepin.platform.settings import SettingsError, load_settings
from lycheepin.steering.quota_shares import QuotaTerms

SETTINGS = """
nodeName = "edge-north-1"
ip = "10.0.0.1"
zone = "north-1"
region = "north"
seeds = ["10.0.0.2:8146"]
unknownField = [1, 2]
bounds = ["gracePeriodS=6","retryBudgetRatio=0.2","budgetSlack=62","closed=true","quotaOver=0.2"]
innerPortRange = [7660, 7675]
[zones]
north-1 = "north"
[listen]
front = "10.0.0.1:8144"
ready = "10.0.0.1:8140"
control = "10.0.0.1:8146"
directory = "10.0.0.1:8143"
[platform]
address = "10.200.1.7:8142"
ttlMinMs = 1500
[limits]
memoryMb = 300
maxFds = 4100
"""


class SettingsTest(unittest.TestCase):
    def _load(self, text: str) -> object:
        """Returns the settings loaded from a file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text, encoding="utf-8")
            return load_settings(str(path))

    def test_settings_are_decoded(self) -> None:
        settings = self._load(SETTINGS)
        self.assertEqual(str(settings.front), "10.0.0.1:8144")  # type: ignore[attr-defined]
        self.assertEqual(settings.terms.retry_slack, 62.0)  # type: ignore[attr-defined]
        self.assertEqual(len(settings.seeds), 1)  # type: ignore[attr-defined]
        self.assertEqual(settings.min_lease_s, 1.5)  # type: ignore[attr-defined]
        self.assertEqual(settings.quota_terms, QuotaTerms(5.0, 0.2, 20.0))  # type: ignore
        self.assertEqual(settings.exchange_port, 7660)  # type: ignore[attr-defined]
        self.assertEqual((settings.memory_mb, settings.max_fds), (300.0, 4100))  # type: ignore

    def test_pace_of_returning_endpoints_is_off_unless_the_environment_says_on(self) -> None:
        for environment, expected in (({}, False), ({"LYCHEEPIN_PACE": "on"}, True)):
            with patch.dict("os.environ", environment):
                settings = self._load(SETTINGS)
            self.assertEqual(settings.paces_returns, expected)  # type: ignore[attr-defined]

    # Guards against a file that isn't text ending the process that reads it again.
    def test_file_in_another_encoding_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_bytes(SETTINGS.encode() + b"# \xff\n")
            with self.assertRaises(SettingsError):
                load_settings(str(path))

    def test_bounds_may_be_one_string_separated_by_commas(self) -> None:
        start = SETTINGS.index("bounds")
        end = SETTINGS.index("\n", start)
        text = SETTINGS[:start] + 'bounds = "gracePeriodS=4,budgetSlack=9"' + SETTINGS[end:]
        settings = self._load(text)
        self.assertEqual((settings.grace_s, settings.terms.retry_slack), (4.0, 9.0))  # type: ignore

    def test_error_for_invalid_settings_names_the_field_or_line(self) -> None:
        for text, reason in (
            (SETTINGS.replace('zone = "north-1"', ""), "zone"),
            (SETTINGS.replace("10.0.0.1:8144", "nowhere"), "nowhere"),
            (SETTINGS.replace("[platform]", "[other]"), "platform"),
            ("= =", "line 1"),
        ):
            with self.subTest(reason), self.assertRaisesRegex(SettingsError, reason):
                self._load(text)

    def test_error_for_a_missing_file_names_its_path(self) -> None:
        with self.assertRaisesRegex(SettingsError, "no-such-file"):
            load_settings("/no-such-file")
