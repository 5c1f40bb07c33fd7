"""Tests of the replica's retry pause while its sources change."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from radishstile.entry.node import read_boottime_clock
from radishstile.entry.replica import SOURCE_CHECK_INTERVAL_S, Replica
from radishstile.platform.mirror import Mirror
from radishstile.platform.objects import Listing
from test._common import PausedTestCase

PAUSE_S = 2.0


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
            list_kind=mock.AsyncMock(return_value=Listing([], 7))
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
