"""Tests of mirrors of a store that is restored from a backup.

A host went back to the backup's older objects, or refused its lists for good.
"""

import asyncio
import random
from collections import Counter

from radishstile.errors import HistoryLostError
from radishstile.platform.mirror import Mirror
from radishstile.platform.retention import (
    EVACUATION_MISSING_S,
    UPSTREAM_MISSING_S,
    UPSTREAM_REMOVED_S,
)
from test._common import PausedTestCase
from test.platform._common import (
    make_change,
    make_changes,
    make_listing,
    make_stored,
)

SCHEDULES = 1000
STEPS = 40


def make_upstream(number, era=0, state="ready", sequence=1, born=1, name="u"):
    status = {"state": state, "sequence": sequence}
    return make_stored(name, number, {"born": born}, status, era)


def make_configuration(version, number, era=0):
    return make_stored("main", number, {"version": f"r{version}"}, None, era)


def read_version(stored):
    return int(stored.spec["version"][1:])


def describe(listing):
    return sorted((s.name, s.revision, s.status) for s in listing.objects)


def list_states(mirror):
    return {s.name: s.status["state"] for s in mirror.list_all().objects}


class RestoredMirrorTest(PausedTestCase):
    def make_mirror(self, kind, *objects, number=100):
        mirror = Mirror(kind)
        mirror.replace(make_listing(objects, number))
        return mirror

    def end_retention(self, mirror, *objects, number=96, era=1):
        """List again at the end of a retention."""
        self.assertTrue(mirror.retention.is_due(self.now))
        mirror.retention.end_due(self.now)
        self.assertTrue(mirror.replace(make_listing(objects, number, era)))

    async def test_list_of_a_restored_store_is_taken(self):
        # Guards against hosts that refuse each list until the store's counter
        # has passed the former one (review/12).
        mirror = self.make_mirror("servers", make_upstream(99))
        later = make_upstream(95, era=1, sequence=2, state="draining")
        self.assertTrue(mirror.replace(make_listing([later], 96, era=1)))
        self.assertEqual(list_states(mirror), {"u": "draining"})

    async def test_object_written_again_at_its_former_number_is_taken(self):
        # Guards against a host that takes a revision which was given out
        # again for one that it knows (review/11).
        mirror = self.make_mirror("config", make_configuration(5, 100))
        newer = make_configuration(7, 100, era=1)
        mirror.replace(make_listing([newer], 101, era=1))
        (stored,) = mirror.list_all().objects
        self.assertEqual(stored.spec, {"version": "r7"})

    async def test_list_of_a_former_era_is_refused(self):
        mirror = self.make_mirror("config", make_configuration(5, 100))
        mirror.replace(make_listing([], 50, era=2))
        self.assertFalse(mirror.replace(make_listing([], 200, era=1)))

    async def test_configuration_stays_until_it_is_written_again(self):
        mirror = self.make_mirror("config", make_configuration(5, 100))
        older = make_configuration(3, 90, era=1)
        mirror.replace(make_listing([older], 95, era=1))
        (stored,) = mirror.list_retained()
        self.assertEqual(stored.spec, {"version": "r5"})
        again = make_change(make_configuration(5, 96, era=1))
        mirror.apply(make_changes([again], 96, era=1))
        self.assertEqual(mirror.list_retained(), [])

    async def test_draining_upstream_does_not_become_ready(self):
        mirror = self.make_mirror("servers", make_upstream(99, 0, "draining"))
        mirror.replace(make_listing([make_upstream(90, 1)], 95, era=1))
        self.assertEqual(list_states(mirror), {"u": "draining"})
        restarted = make_change(make_upstream(96, 1, born=2))
        mirror.apply(make_changes([restarted], 96, era=1))
        self.assertEqual(list_states(mirror), {"u": "ready"})

    async def test_missing_objects_are_kept_for_a_time(self):
        for kind, kept_s in (
            ("servers", UPSTREAM_MISSING_S),
            ("evacuations", EVACUATION_MISSING_S),
        ):
            mirror = self.make_mirror(kind, make_stored("a", 99))
            mirror.replace(make_listing([], 95, era=1))
            await asyncio.sleep(kept_s - 0.1)
            self.assertFalse(mirror.retention.is_due(self.now))
            self.assertEqual(len(mirror.list_all().objects), 1)
            await asyncio.sleep(0.2)
            self.end_retention(mirror)
            self.assertEqual(mirror.list_all().objects, [])

    async def test_removed_upstream_does_not_come_back_with_the_backup(self):
        mirror = self.make_mirror("servers", make_upstream(90))
        removed = make_change(make_upstream(90), is_removed=True)
        mirror.apply(make_changes([removed], 100))
        mirror.replace(make_listing([make_upstream(90, 1)], 95, era=1))
        self.assertEqual(list_states(mirror), {})
        again = make_upstream(96, 1, sequence=2)
        mirror.apply(make_changes([make_change(again)], 96, era=1))
        self.assertEqual(list_states(mirror), {"u": "ready"})

    async def test_removed_upstream_that_the_store_keeps_is_taken(self):
        # Guards against an upstream that is left out for good, as its reports
        # change nothing in the store.
        mirror = self.make_mirror("servers", make_upstream(90))
        removed = make_change(make_upstream(90), is_removed=True)
        mirror.apply(make_changes([removed], 100))
        listed = make_upstream(90, 1)
        mirror.replace(make_listing([listed], 95, era=1))
        await asyncio.sleep(UPSTREAM_REMOVED_S)
        self.end_retention(mirror, listed)
        self.assertEqual(list_states(mirror), {"u": "ready"})

    async def test_host_that_starts_gets_what_a_peer_retains(self):
        mirror = self.make_mirror("config", make_configuration(5, 100))
        older = make_configuration(3, 90, era=1)
        mirror.replace(make_listing([older], 95, era=1))
        started = Mirror("config")
        started.replace(mirror.list_all())
        (stored,) = started.list_retained()
        self.assertEqual(stored.spec, {"version": "r5"})


class SimulatedStore:
    """The configuration and upstreams of a store without network."""

    def __init__(self, rng):
        self.rng = rng
        self.era = self.number = 0
        # The number, spec and status of each object by kind and name.
        self.objects = {"config": {}, "servers": {}}
        self.version = 1
        self.reports = Counter()
        self.draining = set()

    def write(self, kind, name, spec, status=None):
        self.number += 1
        self.objects[kind][name] = (self.number, spec, status)

    def publish(self):
        self.write("config", "main", {"version": f"r{self.version}"})

    def report(self, name):
        self.reports[name] += 1
        state = "draining" if name in self.draining else "ready"
        status = {"state": state, "sequence": self.reports[name]}
        self.write("servers", name, {"born": 1}, status)

    def change(self):
        """Let the operator or an upstream write something new."""
        if self.rng.random() < 0.4:
            self.version += self.rng.randint(1, 3)
            self.publish()
            return
        name = self.rng.choice("abc")
        if self.rng.random() < 0.3:
            self.draining.add(name)
        self.report(name)

    def back_up(self):
        kinds = {kind: dict(held) for kind, held in self.objects.items()}
        return self.number, kinds

    def restore(self, backup):
        self.number, kinds = backup
        self.objects = {kind: dict(held) for kind, held in kinds.items()}
        self.era += 1

    def list_kind(self, kind):
        objects = [
            make_stored(name, number, spec, status, self.era)
            for name, (number, spec, status) in self.objects[kind].items()
        ]
        return make_listing(objects, self.number, self.era)

    def watch(self, kind, revision):
        if revision.era != self.era or revision.number > self.number:
            raise HistoryLostError(kind)
        objects = self.list_kind(kind).objects
        changes = [make_change(s) for s in objects if s.revision > revision]
        return make_changes(changes, self.number, self.era)


class RandomScheduleTest(PausedTestCase):
    """Hosts follow a store that is restored at random, or each other.

    Answers are lost, two restorations come close together, and the operator
    and the upstreams write again after a while.
    """

    async def test_no_host_goes_back_and_all_agree_in_the_end(self):
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                await self.run_schedule(random.Random(seed))

    async def run_schedule(self, rng):
        store = SimulatedStore(rng)
        store.publish()
        backup = store.back_up()
        hosts = [
            {kind: Mirror(kind) for kind in store.objects} for _ in range(3)
        ]
        for _ in range(STEPS):
            step = rng.random()
            if step < 0.3:
                store.change()
            elif step < 0.36:
                backup = store.back_up()
            elif step < 0.44:
                store.restore(backup)
            else:
                await asyncio.sleep(rng.uniform(0, 1))
                await self.follow(rng, store, hosts)
        store.publish()
        for name in store.reports:
            store.report(name)
        await asyncio.sleep(UPSTREAM_REMOVED_S)
        for host in hosts:
            for kind, mirror in host.items():
                self.read(mirror, store, kind)
                self.read(mirror, store, kind)
                expected = describe(store.list_kind(kind))
                self.assertEqual(describe(mirror.list_all()), expected)

    async def follow(self, rng, store, hosts):
        """Let a host read from the store or from another host."""
        host = rng.choice(hosts)
        source = rng.choice([store, *hosts])
        if source is host:
            return
        for kind, mirror in host.items():
            before = self.summarize(mirror)
            if source is store:
                self.read(mirror, store, kind)
            elif source[kind].revision is not None:
                await self.read_peer(mirror, source[kind])
            self.check(before, self.summarize(mirror))

    def read(self, mirror, store, kind):
        must_list = mirror.revision is None
        if mirror.retention.is_due(self.now):
            mirror.retention.end_due(self.now)
            must_list = True
        try:
            if must_list:
                raise HistoryLostError(kind)
            mirror.apply(store.watch(kind, mirror.revision))
        except HistoryLostError:
            mirror.replace(store.list_kind(kind))

    async def read_peer(self, mirror, source):
        try:
            if mirror.revision is None:
                raise HistoryLostError(mirror.kind)
            mirror.apply(await source.watch(mirror.revision, 0.0))
        except HistoryLostError:
            mirror.replace(source.list_all())

    def summarize(self, mirror):
        if mirror.revision is None:
            return {}
        return {s.name: s for s in mirror.list_all().objects}

    def check(self, before, after):
        for name, known in before.items():
            stored = after.get(name)
            if stored is None:
                continue
            if known.status is None:
                self.assertLessEqual(read_version(known), read_version(stored))
            elif known.status["state"] == "draining":
                self.assertEqual(stored.status["state"], "draining")
