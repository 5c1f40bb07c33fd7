"""The writer of one journal partition, which its owner runs."""

import asyncio
import logging

from radishstile.errors import (
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
    WriteDoubtError,
)
from radishstile.run.journal import GroupCommit, Journal
from radishstile.run.key_events import KeyEvents
from radishstile.run.partition import name_segment
from radishstile.run.record import RunAnswer, RunRecord, RunReport, Verdict
from radishstile.run.segment import (
    JournalHead,
    decode_head,
    decode_segment,
    encode_head,
    encode_segment,
)
from radishstile.run.settings import RunSettings
from radishstile.run.store import Store, StoredObject

LOAD_CONCURRENCY = 16
STORE_RETRY_S = 0.25
CLOCK_RESOLUTION_S = 0.001

_log = logging.getLogger(__name__)


class JournalWriter:
    """Serves one partition and writes its journal by group commit.

    `run` is its only task. `owner` is this process, as `host#incarnation`.
    """

    __slots__ = (
        "journal",
        "settings",
        "_store",
        "_opened",
        "_wake",
        "_key_events",
        "_is_closed",
        "_is_draining",
        "_is_writing",
        "_written",
        "_next_write_at",
    )

    def __init__(
        self, partition: int, owner: str, store: Store, settings: RunSettings
    ):
        self.journal = Journal(partition, owner, settings)
        self.settings = settings
        self._store = store
        self._opened = asyncio.Event()
        self._wake = asyncio.Event()
        self._key_events = KeyEvents()
        self._is_closed = False
        self._is_draining = False
        self._is_writing = False
        self._written = asyncio.Event()
        self._next_write_at = 0.0

    # Requests

    async def record(
        self, key: bytes, fingerprint: bytes, attempt: str, deadline: float
    ) -> RunAnswer:
        """Record an intent; `RECORDED` lets the host send the request once.

        `deadline` is in seconds of the loop's clock. A host may repeat the
        call for the same attempt only if it has not sent the request.
        """
        wait_end = _read_time() + self.settings.record_wait_s
        try:
            async with asyncio.timeout_at(min(deadline, wait_end)):
                return await self._record(key, fingerprint, attempt)
        except TimeoutError:
            return self._answer_after_timeout(key, attempt)
        finally:
            self._cancel_attempt(key, attempt)

    async def _record(
        self, key: bytes, fingerprint: bytes, attempt: str
    ) -> RunAnswer:
        await self._opened.wait()
        if self._is_closed:
            return RunAnswer(Verdict.NOT_HOME)
        answer = self.journal.record_intent(key, fingerprint, attempt)
        self._wake.set()
        while answer is None:
            await self._key_events.wait(key)
            if self._is_closed:
                return RunAnswer(Verdict.NOT_HOME)
            answer = self.journal.answer_attempt(key, attempt)
        return answer

    def _answer_after_timeout(self, key: bytes, attempt: str) -> RunAnswer:
        if self._is_closed or not self._opened.is_set():
            return RunAnswer(Verdict.NOT_HOME)
        answer = self.journal.answer_attempt(key, attempt)
        return answer or RunAnswer(Verdict.UNAVAILABLE)

    def _cancel_attempt(self, key: bytes, attempt: str) -> None:
        self.journal.cancel_attempt(key, attempt, _read_time())
        self._key_events.notify(key)
        self._wake.set()

    async def wait_end(self, key: bytes, deadline: float) -> RunAnswer:
        """Wait until a key's attempt ends or `deadline`; return its state."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._wait_end(key)
        except TimeoutError:
            return self.describe(key)

    async def _wait_end(self, key: bytes) -> RunAnswer:
        await self._opened.wait()
        answer = self.describe(key)
        while answer.verdict is Verdict.RUNNING:
            await self._key_events.wait(key)
            answer = self.describe(key)
        return answer

    def describe(self, key: bytes) -> RunAnswer:
        """Return what is known of a key now."""
        if self._is_closed or not self._opened.is_set():
            return RunAnswer(Verdict.NOT_HOME)
        return self.journal.describe(key)

    def finish(self, report: RunReport) -> bool:
        """Apply the end of an attempt; it is written to the store later.

        An attempt that was recorded but never sent ends as `NOT_RUN`.
        Returns False if no such attempt is running here.
        """
        if self._is_closed or not self._opened.is_set():
            return False
        is_changed = self.journal.finish(report, _read_time())
        self._key_events.notify(report.key)
        self._wake.set()
        return is_changed

    def mark_host_lost(self, identity: str) -> None:
        """Set running attempts of `host#incarnation` to `UNKNOWN`."""
        for key in self.journal.mark_host_lost(identity, _read_time()):
            self._key_events.notify(key)
        self._wake.set()

    async def drain(self) -> None:
        """Write all pending changes, for at most `record_wait_s`.

        To the next owner, attempts whose end is not stored are `UNKNOWN`.
        """
        self._is_draining = True
        try:
            async with asyncio.timeout(self.settings.record_wait_s):
                while self._has_unwritten():
                    self._written.clear()
                    self._wake.set()
                    await self._written.wait()
        except TimeoutError:
            _log.warning(
                "journal: changes of %s are not written", self.journal.name
            )

    def _has_unwritten(self) -> bool:
        if self._is_closed or not self._opened.is_set():
            return False
        is_due = self.journal.next_write_due(_read_time()) is not None
        return is_due or self._is_writing

    # The writer task

    async def run(self) -> None:
        """Take over the partition and write group commits until fenced."""
        try:
            await self._open()
            while await self._write_next():
                pass
            _log.info("journal: %s has another owner", self.journal.name)
        finally:
            self._is_closed = True
            self._written.set()
            self._opened.set()
            self._key_events.notify_all()

    async def _open(self) -> None:
        head, version = await self._take_over()
        await self._load_segments(list(head.segments))
        self.journal.load_head(head, version, _read_time())
        self._opened.set()
        _log.info(
            "journal: opened %s with %d records",
            self.journal.name,
            len(self.journal),
        )

    async def _take_over(self) -> tuple[JournalHead, int]:
        stored = await self._read(self.journal.name)
        while True:
            head = self.journal.plan_takeover(_decode(stored))
            expected = stored.version if stored else 0
            name = self.journal.name
            version = await self._try_update(name, encode_head(head), expected)
            if version is not None:
                return head, version
            await asyncio.sleep(STORE_RETRY_S)
            stored = await self._read(name)
            current = _decode(stored)
            if current is not None and current.write_stamp == head.write_stamp:
                return current, stored.version

    async def _load_segments(self, numbers: list[int]) -> None:
        """Load segments in batches, to bound the unpacked ones in memory."""
        for start in range(0, len(numbers), LOAD_CONCURRENCY):
            batch = numbers[start : start + LOAD_CONCURRENCY]
            loads = [self._load_segment(number) for number in batch]
            loaded = await asyncio.gather(*loads)
            for number, records in zip(batch, loaded, strict=True):
                self.journal.load_segment(number, records)

    async def _load_segment(self, number: int) -> list[RunRecord]:
        name = name_segment(self.journal.partition, number)
        stored = await self._read(name)
        if stored is None:
            raise PlatformError(f"journal segment {name} is missing")
        return decode_segment(stored.value)

    async def _write_next(self) -> bool:
        await self._wait_due()
        if not await self._seal():
            return False
        group_commit = self.journal.begin_group_commit(_read_time())
        if group_commit is None:
            return True
        self._is_writing = True
        is_owner = await self._commit_group(group_commit)
        self._is_writing = False
        self._written.set()
        return is_owner

    async def _wait_due(self) -> None:
        while True:
            now = _read_time()
            due = self.journal.next_write_due(now)
            if due is not None and self._is_draining:
                due = now
            delay = None
            if due is not None:
                delay = max(due, self._next_write_at) - now
            if delay is not None and delay < CLOCK_RESOLUTION_S:
                break
            self._wake.clear()
            try:
                async with asyncio.timeout(delay):
                    await self._wake.wait()
            except TimeoutError:
                continue
        self._next_write_at = now + self.settings.write_interval_s

    async def _commit_group(self, group_commit: GroupCommit) -> bool:
        name = self.journal.name
        value = encode_head(group_commit.head)
        while True:
            expected = group_commit.expected_version
            version = await self._try_update(name, value, expected)
            if version is None:
                stored = await self._read(name)
                if stored is not None and stored.version <= expected:
                    await asyncio.sleep(STORE_RETRY_S)
                    continue
                current = _decode(stored)
                if (
                    current is None
                    or current.write_stamp != group_commit.head.write_stamp
                ):
                    return False
                version = stored.version
            for key in self.journal.commit(group_commit, version):
                self._key_events.notify(key)
            return True

    async def _seal(self) -> bool:
        segment = self.journal.plan_seal()
        if segment is None:
            return True
        value = encode_segment(segment.records)
        while True:
            # Read the version before checking the fence: if a later owner
            # wrote this name in between, the update fails.
            stored = await self._read(segment.name)
            head = await self._read(self.journal.name)
            if head is None or head.version != self.journal.version:
                return False
            expected = stored.version if stored else 0
            version = await self._try_update(segment.name, value, expected)
            if version is not None:
                self.journal.confirm_seal(segment, _read_time())
                return True
            await asyncio.sleep(STORE_RETRY_S)

    # The store

    async def _read(self, name: str) -> StoredObject | None:
        while True:
            try:
                return await self._store.read(name)
            except StoreUnavailableError as error:
                _log.warning("journal: can't read %s: %s", name, error)
                await asyncio.sleep(STORE_RETRY_S)

    async def _try_update(
        self, name: str, value: str, expected: int
    ) -> int | None:
        """Return the new version, or None if the store must be read."""
        try:
            return await self._store.update(name, value, expected)
        except VersionConflictError:
            return None
        except (StoreUnavailableError, WriteDoubtError) as error:
            _log.warning("journal: can't write %s: %s", name, error)
            return None


def _decode(stored: StoredObject | None) -> JournalHead | None:
    return None if stored is None else decode_head(stored.value)


def _read_time() -> float:
    return asyncio.get_running_loop().time()
