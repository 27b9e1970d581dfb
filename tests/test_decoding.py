import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheepin.decoding import parse_count, split_lists

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=12,
)


class SplitLists(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.dictionaries(st.text(max_size=6), JSON_VALUES, max_size=5), st.sampled_from((None, 1))
    )
    def test_items_and_the_rest_have_what_the_object_had(
        self, document: dict[str, Any], indent: int | None
    ) -> None:
        emptied, lists = split_lists(json.dumps(document, indent=indent).encode())
        expected = {name: v if not isinstance(v, list) else [] for name, v in document.items()}
        self.assertEqual(json.loads(emptied), expected)
        for name, value in document.items():
            if isinstance(value, list):
                items = [json.loads(item) for item in lists.get(json.dumps(name).encode(), [])]
                self.assertEqual(items, value)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.binary(max_size=60) | st.text(alphabet='[]{},:"\\ a1', max_size=60).map(str.encode))
    def test_any_content_raises_nothing(self, content: bytes) -> None:
        split_lists(content)


class ParseCount(unittest.TestCase):
    def test_only_short_runs_of_digits_are_numbers(self) -> None:
        self.assertEqual(
            [parse_count(value) for value in (b"0", b"15", b"9" * 12)], [0, 15, 10**12 - 1]
        )
        for value in (b"", b"-1", b"+1", b"1.5", b" 1", b"1\n", b"9" * 13, "８".encode()):
            self.assertIsNone(parse_count(value), value)
