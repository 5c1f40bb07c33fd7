"""Tests of the mirror: revisions never go back, and no change is lost."""

import asyncio
import unittest

from radishstile.entry.sources import encode_changes
from radishstile.errors import HistoryLostError
from radishstile.platform.mirror import HISTORY_LIMIT_CHANGES, Mirror
from radishstile.platform.stored_objects import Change, Patch
from radishstile.wire.codec import Envelope, encode
from test.platform._common import make_changes, make_listing, make_stored


def make_object(name, revision):
    return make_stored(name, revision, {"at": revision})


def make_change(name, revision, is_removed=False):
    return Change(make_object(name, revision), is_removed)


def make_mirror(revision=10):
    mirror = Mirror("servers")
    mirror.replace(make_listing([make_object("a", 5)], revision))
    return mirror


def list_names(mirror):
    return sorted(stored.name for stored in mirror.list_all().objects)


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_raises_before_the_first_list(self):
        with self.assertRaises(HistoryLostError):
            Mirror("servers").list_all()

    async def test_returns_changes_to_watchers(self):
        mirror = make_mirror()
        mirror.apply(make_changes([make_change("b", 12)], 13))
        changes = await mirror.watch(10, 0.0)
        self.assertEqual([c.object.name for c in changes.changes], ["b"])
        self.assertEqual(changes.revision, 13)

    async def test_wakes_waiting_watchers(self):
        mirror = make_mirror()
        watches = [
            asyncio.create_task(mirror.watch(10, 5.0)) for _ in range(3)
        ]
        await asyncio.sleep(0)
        mirror.apply(make_changes([make_change("b", 12)], 12))
        for changes in await asyncio.gather(*watches):
            self.assertEqual(len(changes.changes), 1)

    async def test_ignores_older_changes(self):
        mirror = make_mirror()
        mirror.apply(make_changes([make_change("a", 12)], 12))
        new = mirror.apply(make_changes([make_change("a", 11)], 12))
        self.assertEqual(new, [])
        self.assertEqual(mirror.list_all().objects[0].revision, 12)

    async def test_ignores_an_outdated_removal(self):
        mirror = make_mirror()
        mirror.apply(make_changes([make_change("a", 14)], 14))
        mirror.apply(make_changes([make_change("a", 12, True)], 14))
        self.assertEqual(list_names(mirror), ["a"])

    async def test_ignores_an_older_list(self):
        mirror = make_mirror()
        self.assertFalse(mirror.replace(make_listing([], 9)))
        self.assertEqual(list_names(mirror), ["a"])

    async def test_a_watcher_behind_a_new_list_gets_what_changed(self):
        """Guards against a fleet that lists all objects again together.

        The store drops its history for some seconds. Each time, the leader
        has to list again, and all hosts that watch it did so after it.
        """
        source, watcher = make_mirror(), make_mirror()
        source.apply(make_changes([make_change("b", 12)], 12))
        listed = [make_object("a", 5), make_object("c", 18)]
        source.replace(make_listing(listed, 20))
        source.replace(make_listing([*listed, make_object("d", 21)], 22))
        changes = await source.watch(10, 0.0)
        new = watcher.apply(changes)
        self.assertEqual(
            [
                (c.object.name, c.is_removed)
                for c in new
                if c.object.name > "b"
            ],
            [("c", False), ("d", False)],
        )
        self.assertEqual(list_names(watcher), ["a", "c", "d"])
        self.assertEqual(watcher.revision, 22)

    async def test_a_new_list_does_not_remove_what_a_watcher_knows_newer(self):
        source, watcher = make_mirror(), make_mirror()
        watcher.apply(make_changes([make_change("a", 12, True)], 12))
        watcher.apply(make_changes([make_change("a", 21)], 21))
        source.replace(make_listing([], 20))
        watcher.apply(await source.watch(10, 0.0))
        self.assertEqual(list_names(watcher), ["a"])
        self.assertEqual(watcher.revision, 21)

    async def test_a_watcher_behind_the_history_must_list_again(self):
        mirror = make_mirror()
        for number in range(HISTORY_LIMIT_CHANGES + 1):
            revision = 11 + number
            change = make_change(f"n{number}", revision)
            mirror.apply(make_changes([change], revision))
        with self.assertRaises(HistoryLostError):
            await mirror.watch(10, 0.0)
        changes = await mirror.watch(11, 0.0)
        self.assertEqual(len(changes.changes), HISTORY_LIMIT_CHANGES)


class PatchTest(unittest.IsolatedAsyncioTestCase):
    """Load: a configuration of 1,500 routes that changes again and again.

    Sent whole to each of hundreds of hosts, each change costs tens of
    megabytes between zones.
    """

    def setUp(self):
        self.routes = {
            f"r-{n}": {
                "hostname": f"h{n % 40}.example",
                "path_prefix": f"/p{n}/",
                "timeout_s": 1.5,
                "service": "press",
            }
            for n in range(1500)
        }
        self.leader, self.follower = Mirror("config"), Mirror("config")
        first = make_listing([self.make_configuration(1, 10)], 10)
        self.leader.replace(first)
        self.follower.replace(first)

    def make_configuration(self, version, revision, **routes):
        self.routes = {**self.routes, **routes}
        spec = {"version": f"r{version}", "routes": self.routes}
        return make_stored("main", revision, spec)

    def change(self, version, revision, **routes):
        stored = self.make_configuration(version, revision, **routes)
        self.leader.apply(make_changes([Change(stored, False)], revision))
        return stored

    async def test_change_of_a_route_is_sent_alone(self):
        changed = {**self.routes["r-7"], "timeout_s": 2.5}
        stored = self.change(2, 12, **{"r-7": changed})
        changes = await self.leader.watch(10, 0.0)
        size = len(encode(Envelope(1, 1, encode_changes(changes))))
        self.assertLess(size, 200)
        (complete,) = self.follower.apply(changes)
        self.assertEqual(complete.object.spec, stored.spec)
        self.assertEqual(complete.object.revision, 12)

    async def test_several_changes_are_applied_in_order(self):
        self.change(2, 12, **{"r-7": {"timeout_s": 2.5}})
        self.change(3, 14, **{"r-8": {"timeout_s": 3.5}})
        stored = self.change(4, 16, **{"r-7": {"timeout_s": 4.5}})
        changes = await self.leader.watch(10, 0.0)
        new = self.follower.apply(changes)
        self.assertEqual([c.object.revision for c in new], [12, 14, 16])
        self.assertEqual(new[-1].object.spec, stored.spec)

    async def test_follower_passes_the_patches_on(self):
        self.change(2, 12, **{"r-7": {"timeout_s": 2.5}})
        self.follower.apply(await self.leader.watch(10, 0.0))
        passed_on = await self.follower.watch(10, 0.0)
        self.assertEqual([type(c) for c in passed_on.changes], [Patch])

    async def test_patch_of_another_version_makes_the_host_list_again(self):
        self.change(2, 12)
        self.change(3, 14)
        late = await self.leader.watch(12, 0.0)
        with self.assertRaises(HistoryLostError):
            self.follower.apply(late)
        self.assertEqual(self.follower.revision, 10)
        self.follower.replace(self.leader.list_all())
        self.assertEqual(self.follower.revision, 14)

    async def test_patch_that_is_known_already_is_ignored(self):
        self.change(2, 12)
        changes = await self.leader.watch(10, 0.0)
        self.follower.apply(changes)
        self.assertEqual(self.follower.apply(changes), [])

    async def test_patch_of_a_removed_object_makes_the_host_list_again(self):
        self.change(2, 12)
        self.follower.apply(make_changes([make_change("main", 11, True)], 11))
        with self.assertRaises(HistoryLostError):
            self.follower.apply(await self.leader.watch(10, 0.0))

    async def test_version_that_no_patch_leads_to_is_sent_whole(self):
        self.change(2, 12, **{"r-7": {"timeout_s": None}})
        changes = await self.leader.watch(10, 0.0)
        self.assertEqual([type(c) for c in changes.changes], [Change])
        (complete,) = self.follower.apply(changes)
        self.assertIsNone(complete.object.spec["routes"]["r-7"]["timeout_s"])
