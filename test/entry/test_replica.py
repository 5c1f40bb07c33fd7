"""Tests of the replica's retry pause while its sources change."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from radishstile.catalog.freshness import ERA_SETTLE_S, Freshness
from radishstile.entry.node import read_boottime_clock
from radishstile.entry.replica import (
    FIRST_HOST_PEER_WAIT_S,
    PEER_WAIT_S,
    SOURCE_CHECK_INTERVAL_S,
    Replica,
)
from radishstile.errors import HistoryLostError, StoreUnavailableError
from radishstile.fleet.hosts import HostTable, RegisteredHost
from radishstile.member import Member
from radishstile.platform.configuration import CONFIGURATION_KIND
from radishstile.platform.mirror import Mirror
from radishstile.platform.registrations import HOST_KIND, UPSTREAM_KIND
from test._common import PausedTestCase
from test.platform._common import make_listing

PAUSE_S = 2.0


def make_member(number):
    return Member(
        f"front-{number}", 1, "wlg-a", "wlg", f"10.0.0.{number}", 1, 2
    )


class PauseTest(PausedTestCase):
    """A call to the store has failed."""

    def setUp(self):
        self.source = None
        leadership = SimpleNamespace(find_source=lambda: self.source)
        self.replica = Replica(None, leadership)
        self.mirror = Mirror("config")
        self.mirror.revision = 5

    async def measure_pause(self):
        """Return how long a pause after a failed call lasts."""
        began_at = self.now
        await self.replica._pause(self.mirror, None, PAUSE_S)
        return self.now - began_at

    async def start_source(self, after_s):
        await asyncio.sleep(after_s)
        self.source = object()

    async def test_pause_ends_when_a_source_becomes_available(self):
        task = asyncio.create_task(self.start_source(0.3))
        paused_s = await self.measure_pause()
        self.assertLessEqual(paused_s, 0.3 + SOURCE_CHECK_INTERVAL_S)
        await task

    async def test_pause_is_complete_without_another_source(self):
        self.assertAlmostEqual(await self.measure_pause(), PAUSE_S, places=2)


class PeerDataTest(PausedTestCase):
    """A leader that the store rejects reads through another region's leader.

    That one has to list again while the store drops its history. Listings
    did not count as store data, so the whole region replaced its leader, and
    lost its queue, quotas and what it knew of the upstreams' caches.
    """

    async def list_through_peer(self, is_leading, kind):
        """Return the ages of the data recorded after a listing, in seconds."""
        ages = []
        node = SimpleNamespace(
            record_store_data=lambda as_of: ages.append(
                round(read_boottime_clock() - as_of, 1)
            )
        )
        peer = SimpleNamespace(measure_store_data_age=lambda now: 0.3)
        source = SimpleNamespace(
            list_kind=mock.AsyncMock(return_value=make_listing([], 7))
        )
        subscriber = SimpleNamespace(kind=kind, replace=mock.Mock())
        replica = Replica(node, SimpleNamespace(is_leading=is_leading))
        with mock.patch.object(Replica, "_open_source", lambda *_: source):
            await replica._list(subscriber, Mirror(kind), peer)
        return ages

    async def test_listing_through_a_peer_counts_as_store_data(self):
        self.assertEqual(await self.list_through_peer(True, "config"), [0.3])

    async def test_followers_and_other_kinds_record_nothing(self):
        self.assertEqual(await self.list_through_peer(False, "config"), [])
        self.assertEqual(await self.list_through_peer(True, "servers"), [])


class StartTest(unittest.TestCase):
    """All hosts of a region far from the store start at once.

    The list of hosts takes longer than the first host waits for a peer. All
    took themselves for the first: each read everything from the store, and
    the leader changed twice in the first second.
    """

    def setUp(self):
        members = [make_member(n) for n in (1, 2)]
        self.hosts = [RegisteredHost(member, 0.6) for member in members]

    def waits(self, number, uptime_s, kind="config", is_loaded=True):
        """Return whether a host waits for a peer instead of the store."""
        table = HostTable(self.hosts[number])
        if is_loaded:
            table.replace_all(self.hosts, 0.0)
        node = SimpleNamespace(
            hosts=table,
            measure_uptime=lambda: uptime_s,
        )
        replica = Replica(node, None)
        return replica._should_await_peer(SimpleNamespace(kind=kind))

    def test_no_host_takes_itself_for_the_first_before_it_knows_the_hosts(
        self,
    ):
        uptime_s = FIRST_HOST_PEER_WAIT_S + 0.1
        for number in (0, 1):
            self.assertTrue(self.waits(number, uptime_s, is_loaded=False))

    def test_the_first_host_calls_the_store_soon(self):
        self.assertTrue(self.waits(0, FIRST_HOST_PEER_WAIT_S - 0.01))
        self.assertFalse(self.waits(0, FIRST_HOST_PEER_WAIT_S))
        self.assertTrue(self.waits(1, FIRST_HOST_PEER_WAIT_S))

    def test_all_call_the_store_if_it_has_not_answered_for_long(self):
        for number in (0, 1):
            self.assertFalse(self.waits(number, PEER_WAIT_S, is_loaded=False))

    def test_the_hosts_are_read_from_the_store_at_once(self):
        self.assertFalse(self.waits(1, 0.0, HOST_KIND, is_loaded=False))


class SettlingTest(PausedTestCase):
    """The store was restored, and confirms keys only after a while.

    A watch that began before counted for nothing at its end, so that keys
    were refused for twice that time.
    """

    async def test_watches_end_and_begin_as_the_store_confirms_again(self):
        node = SimpleNamespace(
            freshness=Freshness(5.0), measure_store_answer_age=lambda: 0.0
        )
        replica = Replica(node, None)
        replica._eras._is_settling = True
        subscriber = SimpleNamespace(kind=CONFIGURATION_KIND, watch_s=0.8)
        node.freshness.begin_era(read_boottime_clock() - ERA_SETTLE_S / 2)
        wait_s = replica._choose_wait(subscriber, None)
        self.assertAlmostEqual(wait_s, ERA_SETTLE_S / 2, delta=0.1)
        node.freshness.begin_era(read_boottime_clock() - ERA_SETTLE_S)
        waits = [replica._choose_wait(subscriber, None) for _ in range(2)]
        self.assertEqual(waits, [0.0, 0.8])


class FirstListTest(PausedTestCase):
    """A host starts beside peers that have a configuration and no list.

    They asked each other for the list of upstreams, and none the store, so
    the whole region refused everything for good (review/13).
    """

    async def start_follower(self, peers, list_from_store):
        """Follow the upstreams from the start, with peers that have none."""
        node = SimpleNamespace(
            random=random.Random(1),
            measure_uptime=lambda: PEER_WAIT_S + self.now,
            hosts=HostTable(RegisteredHost(make_member(0), 0.6)),
            measure_store_answer_age=lambda: 0.0,
        )
        leadership = SimpleNamespace(
            is_leading=False,
            find_source=lambda: None,
            list_initialized=lambda: peers,
        )
        replica = Replica(node, leadership)
        self.asked = []

        async def list_kind(kind, peer):
            self.asked.append(peer and peer.member.host)
            if peer is not None:
                raise HistoryLostError("not listed yet")
            return list_from_store()

        def open_source(_, peer):
            return SimpleNamespace(
                list_kind=lambda kind: list_kind(kind, peer),
                watch=mock.AsyncMock(side_effect=asyncio.Event().wait),
            )

        patched = mock.patch.object(Replica, "_open_source", open_source)
        patched.start()
        self.addCleanup(patched.stop)
        self.listings = []
        subscriber = SimpleNamespace(
            kind=UPSTREAM_KIND,
            watch_s=1.0,
            list_pause_s=0.0,
            replace=self.listings.append,
            confirm=lambda asked_at, mirror: None,
        )
        task = asyncio.create_task(replica._follow(subscriber))
        self.addCleanup(task.cancel)

    def make_peers(self, count):
        return [
            SimpleNamespace(member=make_member(n + 1)) for n in range(count)
        ]

    async def test_store_is_asked_after_each_peer_once(self):
        await self.start_follower(
            self.make_peers(2), lambda: make_listing([], 7)
        )
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.listings), 1)
        self.assertEqual(self.asked, ["front-1", "front-2", None])

    async def test_peers_are_asked_again_after_the_store_failed(self):
        def fail():
            raise StoreUnavailableError("no answer")

        await self.start_follower(self.make_peers(1), fail)
        await asyncio.sleep(1.0)
        self.assertEqual(self.asked[:3], ["front-1", None, "front-1"])
