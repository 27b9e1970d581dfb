"""Tests of the validation, encoding and look-ups of settings and configurations."""

import unittest

from returns.result import Failure, Success

from lycheepin.configuration import (
    ConfigurationView,
    check_configuration,
    check_settings,
    create_change,
    decode_change,
    encode_change,
)
from lycheepin.generated.settings import Configuration, DaemonSettings
from lycheepin.names import FleetName, QualifiedName, ServiceName
from standins.layouts import LAYOUTS, configuration

INVALID_CONFIGURATION = """{
  // two fleets
  "fleets": [{"name": "a"}, {"nme": "b"}],
  "regions": [{"name": "north", "client_blocks": ["10.0.0.0/33"]}],
  "services": [{"name": "desk", "members": ["x/desk"], "classes": [
    {"name": "browse", "answer_target_ms": 0}
  ]}],
  "weights": 3
}"""


def build(value: dict) -> Configuration:
    """Returns the configuration built from a valid decoded JSON value."""
    return check_configuration(value).unwrap()


class CheckTest(unittest.TestCase):
    def test_problems_name_file_line_field_value_and_allowed_values(self) -> None:
        problems = check_settings(Configuration, INVALID_CONFIGURATION, "f.jsonc").failure()
        texts = [str(problem) for problem in problems]
        self.assertIn(
            "f.jsonc:8: weights: unknown field 'weights'; the nearest known field is 'fleets'",
            texts,
        )
        self.assertIn(
            "f.jsonc:6: services[0].classes[0].answer_target_ms: given 0; allowed: 1 to 600000",
            texts,
        )
        self.assertIn(
            "f.jsonc:3: fleets[1].nme: unknown field 'nme'; the nearest known field is 'name'",
            texts,
        )

    def test_syntax_error_is_reported_as_a_problem(self) -> None:
        match check_settings(Configuration, '{\n "fleets": [\n', "f.jsonc"):
            case Failure((problem,)):
                self.assertEqual(problem.field, "(syntax)")
            case other:
                self.fail(f"{other}")

    def test_undeclared_references_are_reported(self) -> None:
        value = configuration(LAYOUTS["prairie"])
        value["services"][0]["members"].append("nobody/desk")
        value["shift_caps"][0]["to_region"] = "Atlantis"
        fields = [problem.field for problem in check_configuration(value).failure()]
        self.assertEqual(fields, ["services[0].members[3]", "shift_caps[0].to_region"])

    def test_client_blocks_that_are_not_ipv4_networks_are_refused(self) -> None:
        # Daemons could not apply such a block, so the check has to refuse it before that.
        for block in ("::/0", "10.0.0.1/8", "10.0.0.0/40"):
            value = configuration(LAYOUTS["prairie"])
            value["regions"][0]["client_blocks"] = [block]
            (problem,) = check_configuration(value).failure()
            self.assertEqual(problem.field, "regions[0].client_blocks[0]")

    def test_omitted_settings_have_their_defaults(self) -> None:
        text = """{"vm": "a/vm-1", "zone": "z", "region": "r", "address": "127.0.0.1",
          "store": {"host": "127.0.0.1", "port": 1}, "vm_list": {"host": "127.0.0.1", "port": 1},
          "peer_key": "0123456789abcdef"} // end"""
        settings = check_settings(DaemonSettings, text, "s").unwrap()
        self.assertEqual((settings.port, settings.peers), (8400, ()))


class ChangeTest(unittest.TestCase):
    def test_encoded_change_decodes_to_the_same_change_with_history(self) -> None:
        document = build(configuration(LAYOUTS["cire"]))
        first = create_change(None, "c1", "ann", "first", document)
        second = create_change(first, "c2", "bob", "second", document)
        self.assertEqual(decode_change(encode_change(second)), Success(second))
        self.assertEqual((second.number, second.history[0]["change_id"]), (2, "c1"))

    def test_malformed_content_is_refused(self) -> None:
        for content in (b"", b"[]", b'{"number": 1}', b"\xff"):
            self.assertIsInstance(decode_change(content), Failure)


class ConfigurationViewTest(unittest.TestCase):
    def test_same_service_name_in_two_fleets_belongs_to_different_services(self) -> None:
        value = configuration(LAYOUTS["prairie"])
        value["services"][0]["members"] = ["maple/order-desk"]
        value["services"].append(
            {**value["services"][0], "name": "other-desk", "members": ["harrow/order-desk"]}
        )
        view = ConfigurationView(build(value))
        maple_service = view.find_merged_service(QualifiedName(FleetName("maple"), "order-desk"))
        harrow_service = view.find_merged_service(QualifiedName(FleetName("harrow"), "order-desk"))
        self.assertEqual((maple_service, harrow_service), ("order-desk", "other-desk"))

    def test_class_with_the_longest_matching_prefix_is_found(self) -> None:
        view = ConfigurationView(build(configuration(LAYOUTS["prairie"])))
        work_class = view.find_work_class(ServiceName("order-desk"), "POST", "/payment/7")
        self.assertEqual(work_class.name if work_class else None, "payment")
        self.assertIsNone(view.find_work_class(ServiceName("order-desk"), "PATCH", "/payment/7"))
