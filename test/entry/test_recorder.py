"""Tests of saving and restoring what a region's leader has learned."""

import asyncio
from types import SimpleNamespace

from radishstile.entry.metrics import EntryMetrics
from radishstile.entry.recorder import (
    SAVE_INTERVAL_S,
    SETTLE_S,
    SchedulerRecorder,
)
from radishstile.errors import ObjectMissingError, StoreUnavailableError
from radishstile.fleet.hosts import HostTable, RegisteredHost
from radishstile.member import Member
from radishstile.platform.objects import ObjectClient
from radishstile.platform.scheduler_records import encode_scheduler
from radishstile.slot.record import CacheRecord, SchedulerRecord
from test._common import PausedTestCase
from test.platform._common import make_stored

RECORD = SchedulerRecord({}, [CacheRecord("u1", 1, ["a", "b"])])
OTHER = SchedulerRecord({}, [CacheRecord("u1", 1, ["a", "c"])])


def make_host(name):
    return RegisteredHost(
        Member(name, 1, "akl-a", "akl", "10.0.0.1", 1, 2), cores=0.6
    )


class StubStore(ObjectClient):
    """Keeps the records of one region and counts the calls."""

    def __init__(self):
        self.spec = None
        self.is_available = True
        self.calls = []

    async def read(self, kind, name):
        self._record("read")
        return self.spec and make_stored(name, 1, self.spec)

    async def replace(self, kind, name, spec):
        self._record("replace")
        if self.spec is None:
            raise ObjectMissingError(name)
        self.spec = spec

    async def create(self, kind, name, spec):
        self._record("create")
        self.spec = spec

    def _record(self, call):
        self.calls.append(call)
        if not self.is_available:
            raise StoreUnavailableError("the store is down")


class StubLeadership:
    def __init__(self):
        self.is_leading = True
        self.followed_at = 0.0
        self.changed = asyncio.Event()

    async def wait_change(self):
        self.changed.clear()
        await self.changed.wait()


class SchedulerRecorderTest(PausedTestCase):
    async def asyncSetUp(self):
        self.store = StubStore()
        self.leadership = StubLeadership()
        self.restored = []
        self.task = None
        self.record = RECORD
        self.local = make_host("front-a")
        self.hosts = HostTable(self.local)
        self.hosts.replace_all([self.local], 0.0)
        self.node = SimpleNamespace(
            store=self.store,
            local_member=self.local.member,
            hosts=self.hosts,
            measure_store_answer_age=lambda: 0.1,
            era=0,
            metrics=EntryMetrics(),
        )
        self.scheduler = SimpleNamespace(
            share=1.0,
            make_record=lambda: self.record,
            restore=self.restored.append,
        )
        self.recorder = SchedulerRecorder(
            self.node,
            self.leadership,
            SimpleNamespace(scheduler=self.scheduler),
        )

    async def run_for(self, seconds):
        """Run the recorder for the first time, or go on, for some seconds."""
        if self.task is None:
            self.task = asyncio.create_task(self.recorder.run())
            self.addCleanup(self.task.cancel)
        await asyncio.sleep(seconds)

    async def test_a_new_leader_restores_the_records_at_once(self):
        self.store.spec = encode_scheduler(RECORD)
        await self.run_for(0.01)
        self.assertEqual(self.restored, [RECORD])

    async def test_a_host_does_not_read_until_it_knows_the_others(self):
        """All hosts start at once, and each leads itself at first."""
        self.hosts.is_loaded = False
        await self.run_for(1.0)
        self.assertEqual(self.store.calls, [])
        self.hosts.replace_all([make_host("front-0"), self.local], 0.0)
        self.leadership.followed_at = self.now
        self.leadership.changed.set()
        await self.run_for(SETTLE_S / 2)
        self.leadership.is_leading = False
        await self.run_for(10 * SAVE_INTERVAL_S)
        self.assertEqual(self.store.calls, [])

    async def test_one_that_is_not_the_first_restores_when_it_is_settled(self):
        self.hosts.replace_all([make_host("front-0"), self.local], 0.0)
        await self.run_for(2 * SETTLE_S + 0.01)
        self.assertEqual(self.store.calls, ["read"])

    async def test_only_changed_records_are_saved(self):
        await self.run_for(2.5 * SAVE_INTERVAL_S)
        self.assertEqual(self.store.calls, ["read", "replace", "create"])
        self.record = OTHER
        await self.run_for(2 * SAVE_INTERVAL_S)
        self.assertEqual(self.store.calls[3:], ["replace"])
        self.assertEqual(self.store.spec, encode_scheduler(OTHER))

    async def test_a_host_that_few_follow_saves_nothing(self):
        self.scheduler.share = 0.1
        await self.run_for(3 * SAVE_INTERVAL_S)
        self.assertEqual(self.store.calls, ["read"])

    async def test_goes_on_after_an_outage_of_the_store(self):
        self.store.spec = encode_scheduler(OTHER)
        self.store.is_available = False
        await self.run_for(1.5 * SAVE_INTERVAL_S)
        self.store.is_available = True
        await self.run_for(SAVE_INTERVAL_S)
        self.assertEqual(self.restored, [OTHER])
        await self.run_for(SAVE_INTERVAL_S)
        self.assertEqual(self.store.spec, encode_scheduler(RECORD))

    async def test_malformed_records_are_ignored(self):
        self.store.spec = {"keys": 5}
        await self.run_for(0.01)
        self.assertEqual(self.restored, [])
        self.assertFalse(self.task.done())
