"""Tests of decoding registrations; malformed ones are rejected."""

import unittest

from radishstile.platform.objects import PlatformObject
from radishstile.platform.registrations import (
    MalformedEntryError,
    decode_host,
    decode_upstream,
)
from radishstile.upstream.registration import Readiness

ZONES = {"akl-a": "akl"}
INFO = {"service": "press", "version": "v1", "zone": "akl-a", "slots": 6}
STATUS = {"state": "ready", "sequence": 4, "warmup_left_s": 1.5}


def make_object(spec, status=None):
    return PlatformObject("i-1", 7, False, spec, status)


def decode(spec, status=None):
    return decode_upstream(make_object(spec, status), ZONES, 100.0)


class UpstreamRegistrationTest(unittest.TestCase):
    def test_decodes_a_status_in_the_spec_or_beside_it(self):
        spec = {"address": "10.0.0.9:8080", "info": INFO, "born": 12}
        for spec_and_status in (
            (spec, STATUS),
            ({**spec, "status": STATUS}, None),
        ):
            with self.subTest(spec_and_status):
                found = decode(*spec_and_status)
                self.assertEqual(found.incarnation, ("i-1", 12))
                self.assertEqual(found.region, "akl")
                self.assertEqual((found.address, found.port)[1], 8080)
                self.assertIs(found.readiness, Readiness.READY)
                self.assertEqual(found.cold_until, 101.5)

    def test_rejects_malformed_registrations(self):
        good = {"address": "10.0.0.9:8080", "info": INFO, "status": STATUS}
        bad = (
            None,
            "bytes",
            {},
            {**good, "address": 5},
            {**good, "address": "10.0.0.9"},
            {**good, "address": "10.0.0.9:0"},
            {**good, "address": "10.0.0.9:65536"},
            {**good, "address": "10.0.0.9:-1"},
            {**good, "status": {**STATUS, "warmup_left_s": 10**400}},
            {**good, "info": None},
            {**good, "info": {**INFO, "slots": "6"}},
            {**good, "info": {**INFO, "slots": 0}},
            {**good, "info": {**INFO, "zone": "nowhere"}},
            {**good, "info": {**INFO, "service": 1}},
            {**good, "status": {**STATUS, "state": "odd"}},
            {**good, "status": {**STATUS, "warmup_left_s": "x"}},
            {**good, "status": None},
            {**good, "born": 1.5},
        )
        for spec in bad:
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode(spec)


class HostRegistrationTest(unittest.TestCase):
    def test_rejects_malformed_registrations(self):
        for spec in (None, {}, {"host": "a"}, []):
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode_host(make_object(spec))
