"""Tests of the stored records of schedulers; malformed ones are rejected."""

import unittest

import orjson

from radishstile.platform.registrations import MalformedEntryError
from radishstile.platform.scheduler_records import (
    decode_scheduler,
    encode_scheduler,
)
from radishstile.slot.record import CacheRecord, SchedulerRecord
from test.platform._common import make_stored

UPSTREAMS = 90
OBJECTS = 548
# What one upstream caches at most, and the largest stored object, in bytes.
CACHED = 25
VALUE_BYTES = 1_048_576


def decode(spec):
    stored = make_stored("akl", 7, spec, None)
    return decode_scheduler(stored)


class SchedulerRecordsTest(unittest.TestCase):
    def make_record(self):
        keys = [f"/semi830/hu19/{n:x}" for n in range(OBJECTS)]
        caches = [
            CacheRecord(
                f"i-{number:010x}",
                1767399499057,
                [keys[(number * 7 + n) % OBJECTS] for n in range(CACHED)],
            )
            for number in range(UPSTREAMS)
        ]
        return SchedulerRecord({"press": 61.25}, caches)

    def test_decodes_what_was_encoded(self):
        record = self.make_record()
        spec = orjson.loads(orjson.dumps(encode_scheduler(record)))
        self.assertEqual(decode(spec), record)

    def test_a_region_of_hundreds_of_hosts_fits_into_an_object(self):
        size = len(orjson.dumps(encode_scheduler(self.make_record())))
        self.assertLess(size, VALUE_BYTES / 10)

    def test_rejects_malformed_records(self):
        good = {"demands": {}, "keys": ["a"], "upstreams": []}
        for spec in (
            None,
            [],
            {},
            {**good, "demands": 5},
            {**good, "demands": {"press": "1"}},
            {**good, "demands": {"press": -1}},
            {**good, "upstreams": 5},
            {**good, "upstreams": [["u1", 1]]},
            {**good, "upstreams": [["u1", 1, [1]]]},
            {**good, "upstreams": [["u1", "1", [0]]]},
            {**good, "upstreams": [["u1", 1, ["0"]]]},
            {**good, "keys": [7], "upstreams": [["u1", 1, [0]]]},
        ):
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode(spec)
