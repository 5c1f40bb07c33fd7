"""Tests of the stored records of caches; malformed ones are rejected."""

import unittest

import orjson

from radishstile.platform.cache_records import decode_caches, encode_caches
from radishstile.platform.objects import PlatformObject
from radishstile.platform.registrations import MalformedEntryError
from radishstile.slot.cache_record import CacheRecord

UPSTREAMS = 90
OBJECTS = 548
# What one upstream caches at most, and the largest stored object, in bytes.
CACHED = 25
VALUE_BYTES = 1_048_576


def decode(spec):
    return decode_caches(PlatformObject("akl", 7, False, spec, None))


class CacheRecordsTest(unittest.TestCase):
    def make_records(self):
        keys = [f"/semi830/hu19/{n:x}" for n in range(OBJECTS)]
        return [
            CacheRecord(
                f"i-{number:010x}",
                1767399499057,
                [keys[(number * 7 + n) % OBJECTS] for n in range(CACHED)],
            )
            for number in range(UPSTREAMS)
        ]

    def test_decodes_what_was_encoded(self):
        records = self.make_records()
        spec = orjson.loads(orjson.dumps(encode_caches(records)))
        self.assertEqual(decode(spec), records)

    def test_a_region_of_hundreds_of_hosts_fits_into_an_object(self):
        size = len(orjson.dumps(encode_caches(self.make_records())))
        self.assertLess(size, VALUE_BYTES / 10)

    def test_rejects_malformed_records(self):
        for spec in (
            None,
            [],
            {},
            {"keys": ["a"]},
            {"keys": ["a"], "upstreams": 5},
            {"keys": ["a"], "upstreams": [["u1", 1]]},
            {"keys": ["a"], "upstreams": [["u1", 1, [1]]]},
            {"keys": ["a"], "upstreams": [["u1", "1", [0]]]},
            {"keys": [7], "upstreams": [["u1", 1, [0]]]},
            {"keys": ["a"], "upstreams": [["u1", 1, ["0"]]]},
        ):
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode(spec)
