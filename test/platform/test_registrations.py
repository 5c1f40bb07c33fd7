"""Tests of decoding registrations; malformed ones are rejected."""

import unittest

from radishstile.platform.registrations import (
    MalformedEntryError,
    decode_host,
    decode_upstream,
)
from radishstile.upstream.registration import Readiness
from test.platform._common import make_stored

ZONES = {"akl-a": "akl"}
INFO = {"service": "press", "version": "v1", "zone": "akl-a", "slots": 6}
STATUS = {"state": "ready", "sequence": 4, "warmup_left_s": 1.5}

GOOD = {"address": "10.0.0.9:8080", "info": INFO, "status": STATUS}
BAD_ADDRESSES = (
    *("", "10.0.0.\ufffd", "10.0.0.\0", "10.0..9", "10.0.0", "10.0.0.256"),
    *("slow.example", "localhost", "a" * 64 + ".example", "[fd00::9]"),
    *("0.0.0.0", "224.0.0.1", "255.255.255.255"),
)
HOST = {"host": "i-1", "incarnation": 5, "zone": "akl-a", "region": "akl"}
HOST |= {"address": "10.0.0.7", "peer_port": 7560, "http_port": 8388}
HOST |= {"cores": 0.6}


def make_object(spec, status=None):
    return make_stored("i-1", 7, spec, status)


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

    def test_rejects_what_is_no_address_and_port_of_a_host(self):
        # Guards against an entry of another writer that names an upstream
        # which no connection can be opened to.
        ports = ("", "0", "-1", "+80", "8_0", "70000", "http", "\u0668")
        bad = [f"{address}:8080" for address in BAD_ADDRESSES]
        for address in bad + [f"10.0.0.9:{port}" for port in ports]:
            spec = {**GOOD, "address": address}
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode(spec)

    def test_rejects_names_that_can_not_stand_in_a_header(self):
        # Guards against an entry whose name adds headers to each request.
        for name in ("", "i 1", "i-1\r\nX-Tenant: a", "i-\ufffd", "i" * 300):
            stored = make_stored(name, 7, GOOD)
            with self.subTest(name), self.assertRaises(MalformedEntryError):
                decode_upstream(stored, ZONES, 100.0)

    def test_rejects_malformed_registrations(self):
        good = GOOD
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
            {**good, "info": {**INFO, "slots": 10**18}},
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
        bad = {"host": "i-2", "incarnation": "5", "zone": [], "region": None}
        bad |= {"address": "slow.example", "peer_port": 70_000}
        bad |= {"http_port": "8388", "cores": -1}
        changed = [{**HOST, name: value} for name, value in bad.items()]
        self.assertEqual(decode_host(make_object(HOST)).name, "i-1")
        for spec in (None, {}, {"host": "a"}, [], *changed):
            with self.subTest(spec), self.assertRaises(MalformedEntryError):
                decode_host(make_object(spec))
