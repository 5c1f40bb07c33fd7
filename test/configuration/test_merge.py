"""Tests of making merge patches."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from radishstile.configuration.merge import make_merge_patch, merge

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 3) | st.floats(-2, 2),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from("abcd"), inner, max_size=4)
    ),
    max_leaves=12,
)
OBJECTS = st.dictionaries(st.sampled_from("abcd"), VALUES, max_size=4)


class MergePatchTest(unittest.TestCase):
    @settings(
        derandomize=True,
        max_examples=300,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(OBJECTS, OBJECTS)
    def test_patch_leads_to_the_new_document(self, old, new):
        patch = make_merge_patch(old, new)
        if patch is not None:
            merged = merge(old, patch)
            self.assertEqual(repr(sort(merged)), repr(sort(new)))

    def test_holds_only_what_differs(self):
        routes = {f"r{n}": {"timeout_s": 1.5} for n in range(1500)}
        old = {"version": "r1", "routes": routes, "limits": {"x": 1}}
        changed = {**routes, "r7": {"timeout_s": 2.5}, "new": {"a": []}}
        del changed["r9"]
        new = {"version": "r2", "routes": changed, "limits": {"x": 1}}
        self.assertEqual(
            make_merge_patch(old, new),
            {
                "version": "r2",
                "routes": {
                    "r7": {"timeout_s": 2.5},
                    "new": {"a": []},
                    "r9": None,
                },
            },
        )

    def test_no_patch_sets_a_member_to_null(self):
        self.assertIsNone(make_merge_patch({}, {"priority": None}))
        self.assertIsNone(make_merge_patch({"a": 1}, {"a": {"b": None}}))

    def test_only_objects_are_patched(self):
        self.assertIsNone(make_merge_patch(None, {"a": 1}))
        self.assertIsNone(make_merge_patch({"a": 1}, "text"))

    def test_true_and_one_differ(self):
        self.assertEqual(make_merge_patch({"a": 1}, {"a": True}), {"a": True})


def sort(value):
    """Return a value with the members of its objects in order."""
    if isinstance(value, dict):
        return {key: sort(value[key]) for key in sorted(value)}
    if isinstance(value, list):
        return [sort(item) for item in value]
    return value
