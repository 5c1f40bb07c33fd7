"""Tests of decoding the store's JSON around values that can't be decoded.

Guards against hosts that stop following a list, since one entry in it is
nested very deeply or has a number that is too large.
"""

import unittest

from radishstile.platform.json_codec import (
    MAX_DEPTH,
    decode_json,
    is_too_deep,
)


def nest(depth, inner=b"1"):
    return b'{"a":[' * depth + inner + b"]}" * depth


class DecodeTest(unittest.TestCase):
    def decode_between(self, odd):
        """Decode a list with an odd value between two sound ones."""
        before, value, after = decode_json(b'[{"n":1},' + odd + b',{"n":"]"}]')
        self.assertEqual((before, after), ({"n": 1}, {"n": "]"}))
        return value

    def test_sound_values_are_kept(self):
        value = self.decode_between(rb'{"t":"a\"]}[{1e999","x":-1.5e3}')
        self.assertEqual(value, {"t": 'a"]}[{1e999', "x": -1500.0})
        self.assertEqual(decode_json(b""), {})

    def test_very_deep_value_is_cut_off(self):
        value = self.decode_between(nest(5000))
        self.assertFalse(is_too_deep(value))

    def test_numbers_that_are_too_large_become_null(self):
        for number in (b"1e400", b"-1e400", b"9" * 400):
            with self.subTest(number[:6]):
                value = self.decode_between(b'{"slots":' + number + b"}")
                self.assertEqual(value, {"slots": None})

    def test_characters_that_no_text_can_hold_are_replaced(self):
        # Guards against an entry with half a surrogate pair, or bytes that
        # are no text, that hides all changes of the upstreams.
        for odd, text in (
            (rb'"\ud800"', "\ufffd"),
            (rb'"a\uDC00\n"', "a\ufffd\n"),
            (rb'"\ud83d\ude00\ud83d"', "\U0001f600\ufffd"),
            (rb'"\\ud800"', "\\ud800"),
            (b'"a\xffb"', "a\ufffdb"),
        ):
            with self.subTest(odd):
                self.assertEqual(self.decode_between(odd), text)
                self.assertEqual(
                    self.decode_between(b"{" + odd + b":1}"), {text: 1}
                )

    def test_anything_else_is_rejected(self):
        for body in (b"{", b"[1e400", b"nonsense", b'"\xff', nest(3000)[:-9]):
            with self.subTest(body[:9]), self.assertRaises(ValueError):
                decode_json(body)


class DepthTest(unittest.TestCase):
    def test_depth_is_limited(self):
        value = None
        for _ in range(MAX_DEPTH - 1):
            value = [value]
        self.assertFalse(is_too_deep(value))
        self.assertTrue(is_too_deep({"a": [value]}))
