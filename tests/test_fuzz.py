"""Property tests: malformed settings, configurations and plans raise nothing and change nothing."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from lycheepin.clocks import SystemClock
from lycheepin.cluster.documents import (
    CONFIGURATION,
    Document,
    plan_document_name,
    vms_document_name,
)
from lycheepin.configuration import (
    check_configuration,
    check_settings,
    create_change,
    encode_change,
)
from lycheepin.daemon.control import parse_configuration_number
from lycheepin.daemon.node import Node
from lycheepin.generated.settings import Address, Configuration, DaemonSettings
from lycheepin.names import Incarnation, RegionName, Revision
from standins.layouts import LAYOUTS, configuration

DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=12,
)
PLATFORM = Address("127.0.0.1", 1)


def make_node() -> Node:
    """Returns a daemon's node with a valid configuration in force."""
    own = DaemonSettings("f/v", "z", "Manitoba", "127.0.0.1", PLATFORM, PLATFORM, "k" * 16)
    node = Node(own, SystemClock(), Incarnation(1))
    node.log.level = 99
    document = check_configuration(configuration(LAYOUTS["prairie"])).unwrap()
    content = encode_change(create_change(None, "c", "a", "s", document))
    assert node.apply_document(Document(CONFIGURATION, Revision(1), content))
    return node


class FuzzTest(unittest.TestCase):
    @DETERMINISTIC
    @given(st.text(max_size=60))
    def test_check_settings_returns_a_result_for_any_text(self, text: str) -> None:
        self.assertIsInstance(check_settings(Configuration, text, "f"), Result)

    @DETERMINISTIC
    @given(JSON_VALUES)
    def test_check_configuration_returns_a_result_for_any_value(self, value: object) -> None:
        self.assertIsInstance(check_configuration(value), Result)

    @DETERMINISTIC
    @given(st.sampled_from(["fleets", "regions", "services", "links", "drains"]), JSON_VALUES)
    def test_configuration_with_one_replaced_field_is_built_or_gives_problems(
        self, name: str, value: object
    ) -> None:
        document = configuration(LAYOUTS["cire"])
        document[name] = value
        match check_configuration(document):
            case Success(built):
                self.assertIsInstance(built, Configuration)
            case Failure(problems):
                self.assertTrue(all(problem.message for problem in problems))

    @DETERMINISTIC
    @given(st.binary(max_size=80) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
    def test_malformed_documents_change_nothing(self, content: bytes) -> None:
        node = make_node()
        view = node.view
        region = RegionName("Manitoba")
        for name in (CONFIGURATION, plan_document_name(region), vms_document_name(region)):
            self.assertFalse(node.apply_document(Document(name, Revision(5), content)))
            self.assertEqual(node.replicas.revision(name), 1 if name == CONFIGURATION else 0)
        self.assertIs(node.view, view)


class DamagedDocumentTest(unittest.TestCase):
    """Documents with the right fields and invalid values, as a damaged store could return."""

    CHANGE = {"number": 9, "change_id": "", "author": "", "summary": "", "document": {}}
    PLAN = {"revision": 9, "grants": {}, "retired": {}, "addresses": {}, "vm_revision": 0}
    VMS = {"revision": 9, "endpoints": [], "entries": []}

    def test_document_with_an_invalid_field_raises_nothing(self) -> None:
        region = RegionName("Manitoba")
        for name, value in (
            (CONFIGURATION, self.CHANGE),
            (plan_document_name(region), self.PLAN),
            (vms_document_name(region), self.VMS),
        ):
            for field in value:
                for invalid in (float("inf"), float("nan"), None, [], [1], {"x": 1}, {"1": [1]}):
                    content = json.dumps({**value, field: invalid}).encode()
                    with self.subTest(document=name, field=field, invalid=invalid):
                        make_node().apply_document(Document(name, Revision(9), content))

    def test_parse_configuration_number_returns_none_for_an_invalid_number(self) -> None:
        for number in (float("inf"), None, [], "x"):
            content = json.dumps({**self.CHANGE, "number": number}).encode()
            self.assertIsNone(parse_configuration_number(content))
