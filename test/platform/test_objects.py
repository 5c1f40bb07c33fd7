"""Tests of the object client against each fault of the stand-in store."""

import asyncio
import unittest

from radishstile.errors import (
    HistoryLostError,
    ObjectConflictError,
    StoreUnavailableError,
    WriteDoubtError,
)
from radishstile.platform import objects
from radishstile.platform.host_file import Endpoint
from radishstile.platform.objects import (
    ANSWER_LIMIT_BYTES,
    ObjectClient,
)
from radishstile.platform.revision import Revision
from standin.object_store import (
    LATE_WRITE_DELAY_S,
    PAGE_SIZE,
    FailureMode,
    ObjectStore,
)
from test.http._peers import ScriptedServer, send_and_close


class ObjectClientTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a store and its client."""

    async def asyncSetUp(self):
        self.store = ObjectStore()
        await self.store.start()
        self.client = ObjectClient(Endpoint("127.0.0.1", self.store.port))
        await self.client.open()
        self.addAsyncCleanup(self.store.stop)
        self.addAsyncCleanup(self.client.close)


class ObjectClientTest(ObjectClientTestCase):
    def shorten_timeouts(self):
        for name in ("CALL_TIMEOUT_S", "WATCH_GRACE_S"):
            before = getattr(objects, name)
            setattr(objects, name, 0.2)
            self.addCleanup(setattr, objects, name, before)

    async def test_reads_lists_and_watches(self):
        self.store.put("config", "main", {"a": 1})
        listing = await self.client.list_kind("config")
        self.assertEqual([o.name for o in listing.objects], ["main"])
        self.store.put("servers", "i-1", {})
        self.store.put("config", "main", {"a": 2})
        changes = await self.client.watch("config", listing.revision, 1.0)
        (change,) = changes.changes
        self.assertEqual(change.object.spec, {"a": 2})
        self.assertFalse(change.is_removed)
        self.assertIsNone(await self.client.read("config", "other"))

    async def test_lists_page_by_page(self):
        for number in range(PAGE_SIZE + 3):
            self.store.put("servers", f"i-{number:04}", {})
        listing = await self.client.list_kind("servers")
        self.assertEqual(len(listing.objects), PAGE_SIZE + 3)

    async def test_a_watch_without_changes_ends_empty(self):
        listing = await self.client.list_kind("config")
        changes = await self.client.watch("config", listing.revision, 0.05)
        self.assertEqual(changes.changes, [])

    async def test_writes_raise_conflicts(self):
        await self.client.create("hosts", "a", {"n": 1})
        with self.assertRaises(ObjectConflictError):
            await self.client.create("hosts", "a", {"n": 2})
        stored = await self.client.read("hosts", "a")
        await self.client.replace("hosts", "a", {"n": 3}, stored.revision)
        with self.assertRaises(ObjectConflictError):
            await self.client.delete("hosts", "a", stored.revision)
        self.assertEqual(self.store.get_spec("hosts", "a"), {"n": 3})

    async def test_an_answer_of_another_shape_raises_unavailable(self):
        """Guards against an error that is none of the client's.

        It ended the task that follows the store, and the process with it.
        """
        self.store.failure_mode = FailureMode.UNEXPECTED
        for call in (
            self.client.list_kind("config"),
            self.client.watch("config", Revision(1), 0.1),
            self.client.read("config", "main"),
        ):
            with self.assertRaises(StoreUnavailableError):
                await call

    async def test_an_answer_without_end_is_not_read_on(self):
        self.store.failure_mode = FailureMode.ENDLESS
        with self.assertRaises(StoreUnavailableError):
            await self.client.list_kind("config")
        # The rest is in buffers of both sides.
        self.assertLess(self.store.endless_bytes, 2 * ANSWER_LIMIT_BYTES)

    async def test_a_busy_store_raises_unavailable_and_writes_nothing(self):
        for trouble in (FailureMode.BUSY, FailureMode.THROTTLED):
            self.store.failure_mode = trouble
            with self.subTest(trouble):
                with self.assertRaises(StoreUnavailableError):
                    await self.client.create("hosts", "a", {})
                with self.assertRaises(StoreUnavailableError):
                    await self.client.list_kind("hosts")
        self.assertIsNone(self.store.get_spec("hosts", "a"))

    async def test_a_silent_or_resetting_store_is_unavailable(self):
        self.shorten_timeouts()
        for trouble in (FailureMode.SILENT, FailureMode.RESET):
            self.store.failure_mode = trouble
            with (
                self.subTest(trouble),
                self.assertRaises(StoreUnavailableError),
            ):
                await self.client.watch("config", Revision(1), 0.1)
        self.store.failure_mode = FailureMode.NONE
        await self.client.list_kind("config")

    async def test_a_lost_answer_leaves_a_write_in_doubt(self):
        self.shorten_timeouts()
        self.store.failure_mode = FailureMode.ANSWERS_LOST
        with self.assertRaises(WriteDoubtError):
            await self.client.create("hosts", "a", {"n": 1})
        self.assertEqual(self.store.get_spec("hosts", "a"), {"n": 1})

    async def test_an_unanswered_write_may_take_effect_later(self):
        self.shorten_timeouts()
        self.store.failure_mode = FailureMode.WRITES_LATE
        with self.assertRaises(WriteDoubtError):
            await self.client.create("hosts", "a", {"n": 1})
        self.assertIsNone(self.store.get_spec("hosts", "a"))
        await asyncio.sleep(LATE_WRITE_DELAY_S)
        self.assertEqual(self.store.get_spec("hosts", "a"), {"n": 1})

    async def test_malformed_and_cut_answers(self):
        """Guards against an error that is none of the client's.

        A refusal is known by its status, also where its body is cut.
        """
        cut = b"HTTP/1.1 %d S\r\nContent-Length: 9\r\n\r\n{}"
        closing = b"HTTP/1.1 200 S\r\nConnection: close\r\n\r\n{"
        for content, of_write, of_read in (
            (b"garbage\r\n\r\n", WriteDoubtError, StoreUnavailableError),
            (closing, WriteDoubtError, StoreUnavailableError),
            (cut % 200, WriteDoubtError, StoreUnavailableError),
            (cut % 503, StoreUnavailableError, StoreUnavailableError),
            (cut % 409, ObjectConflictError, ObjectConflictError),
            (cut % 410, HistoryLostError, HistoryLostError),
        ):
            server = await ScriptedServer(send_and_close(content)).start()
            self.addAsyncCleanup(server.stop)
            client = ObjectClient(Endpoint("127.0.0.1", server.port))
            await client.open()
            self.addAsyncCleanup(client.close)
            with self.subTest(content):
                with self.assertRaises(of_write):
                    await client.replace("hosts", "a", {})
                with self.assertRaises(of_read):
                    await client.list_kind("hosts")
            self.assertEqual(len(server.heads), 2)

    async def test_dropped_history_is_an_error(self):
        listing = await self.client.list_kind("config")
        self.store.put("config", "main", {})
        self.store.drop_history()
        with self.assertRaises(HistoryLostError):
            await self.client.watch("config", listing.revision, 1.0)

    async def test_a_refused_connection_is_an_unavailable_store(self):
        client = ObjectClient(Endpoint("127.0.0.1", 1))
        await client.open()
        self.addAsyncCleanup(client.close)
        with self.assertRaises(StoreUnavailableError):
            await client.list_kind("config")


class RestoredStoreTest(ObjectClientTestCase):
    """The store comes back from a backup and gives out revisions again."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.put("config", "main", {"a": 1})
        backup = self.store.back_up()
        self.store.put("config", "main", {"a": 2})
        self.known = await self.client.list_kind("config")
        self.store.restore(backup)
        self.store.put("config", "main", {"a": 3})

    async def test_a_watch_of_a_former_era_must_list_again(self):
        # Guards against a watch that goes on from a revision which the store
        # has given out again, and misses what was written there (review/11).
        with self.assertRaises(HistoryLostError):
            await self.client.watch("config", self.known.revision, 0.0)
        listing = await self.client.list_kind("config")
        self.assertGreater(listing.revision, self.known.revision)
        self.assertEqual(listing.objects[0].spec, {"a": 3})
        changes = await self.client.watch("config", listing.revision, 0.0)
        self.assertEqual(changes.revision, listing.revision)

    async def test_a_write_on_a_revision_of_a_former_era_is_a_conflict(self):
        (stored,) = self.known.objects
        await self.client.list_kind("config")
        with self.assertRaises(ObjectConflictError):
            await self.client.delete("config", "main", stored.revision)
        with self.assertRaises(ObjectConflictError):
            await self.client.replace("config", "main", {}, stored.revision)
        self.assertEqual(self.store.get_spec("config", "main"), {"a": 3})

    async def test_an_answer_of_a_former_era_is_not_used(self):
        await self.client.list_kind("config")
        self.store.era = 0
        with self.assertRaises(StoreUnavailableError):
            await self.client.list_kind("config")
        with self.assertRaises(WriteDoubtError):
            await self.client.create("hosts", "a", {})
