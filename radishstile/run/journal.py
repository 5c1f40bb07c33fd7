"""The journal of one partition: its records and its next group commit."""

import math

from radishstile.run.partition import name_resource, name_segment
from radishstile.run.record import (
    RunAnswer,
    RunRecord,
    RunReport,
    RunState,
    Verdict,
    describe_record,
)
from radishstile.run.segment import JournalHead
from radishstile.run.settings import RunSettings
from radishstile.run.table import RecordTable

GROUP_COMMIT_LIMIT_BYTES = 262_144


class GroupCommit:
    """One conditional update of the head, which writes several changes."""

    __slots__ = ("head", "expected_version", "changes")

    def __init__(
        self,
        head: JournalHead,
        expected_version: int,
        changes: list[RunRecord],
    ):
        self.head = head
        self.expected_version = expected_version
        self.changes = changes


class PendingSegment:
    """Open records that are being written to a sealed segment."""

    __slots__ = ("number", "name", "records")

    def __init__(self, number: int, name: str, records: list[RunRecord]):
        self.number = number
        self.name = name
        self.records = records


class Journal:
    """Decides which attempts may be sent, and what to write to the store.

    One incarnation owns the partition at a time; the version of the head
    object is the fencing token. The journal's age counts the seconds in
    which it had an owner, so it never runs ahead of real time and needs no
    wall clock.
    """

    __slots__ = (
        "partition",
        "owner",
        "settings",
        "version",
        "_epoch",
        "_sequence",
        "_base_age_s",
        "_opened_at",
        "_records",
        "_open_records",
        "_open_bytes",
        "_segments",
        "_stored_segments",
        "_intents",
        "_replaced",
        "_changed_at",
    )

    def __init__(self, partition: int, owner: str, settings: RunSettings):
        self.partition = partition
        self.owner = owner
        self.settings = settings
        self.version = 0
        self._epoch = 0
        self._sequence = 0
        self._base_age_s = 0.0
        self._opened_at = 0.0
        self._records = RecordTable()
        self._open_records: dict[bytes, RunRecord] = {}
        self._open_bytes = 0
        self._segments: dict[int, int] = {}
        self._stored_segments: frozenset[int] = frozenset()
        self._intents: dict[bytes, RunRecord] = {}
        self._replaced: dict[bytes, RunRecord] = {}
        self._changed_at: dict[bytes, float] = {}

    @property
    def name(self) -> str:
        """Return the name of the head object."""
        return name_resource(self.partition)

    def __len__(self) -> int:
        return len(self._records)

    # Opening

    def plan_takeover(self, stored: JournalHead | None) -> JournalHead:
        """Return the head to write for a takeover from `stored`."""
        if stored is None:
            return JournalHead(self.owner, 1, 0, 0.0, {}, [])
        return JournalHead(
            self.owner,
            stored.epoch + 1,
            0,
            stored.clock_s,
            stored.segments,
            stored.records,
        )

    def load_segment(self, number: int, records: list[RunRecord]) -> None:
        """Add the records of a sealed segment; call before `load_head`."""
        loaded = [_mark_running_unknown(record) for record in records]
        for record in loaded:
            self._records.put(record)
        self._records.seal(loaded, number)

    def load_head(self, head: JournalHead, version: int, now: float) -> None:
        """Start from the stored head and add its open records.

        The state of attempts that were running becomes `UNKNOWN`.
        """
        self.version = version
        self._epoch = head.epoch
        self._base_age_s = head.clock_s
        self._opened_at = now
        self._segments = dict(head.segments)
        self._stored_segments = frozenset(head.segments)
        for record in head.records:
            loaded = _mark_running_unknown(record)
            self._records.put(loaded)
            self._open_records[loaded.key] = loaded
            self._open_bytes += loaded.estimate_bytes()

    # Requests

    def record_intent(
        self, key: bytes, fingerprint: bytes, attempt: str
    ) -> RunAnswer | None:
        """Add an intent; return None if it must be written first.

        Otherwise returns the answer at once.
        """
        record = self._records.get(key)
        if record is None:
            self._add_intent(RunRecord(key, fingerprint, attempt))
            return None
        if record.fingerprint != fingerprint:
            return RunAnswer(Verdict.MISMATCH)
        if record.attempt == attempt:
            return self.answer_attempt(key, attempt)
        if record.state is RunState.NOT_RUN:
            self._replaced[key] = record
            self._add_intent(RunRecord(key, fingerprint, attempt))
            return None
        return describe_record(record)

    def _add_intent(self, record: RunRecord) -> None:
        self._records.put(record)
        self._intents[record.key] = record

    def answer_attempt(self, key: bytes, attempt: str) -> RunAnswer | None:
        """Return the answer for the attempt's host, or None until written.

        The host asks only as long as it has not sent the request, so a
        written attempt without an end may still be sent.
        """
        record = self._records.get(key)
        if record is None or record.attempt != attempt:
            return RunAnswer(Verdict.NOT_RUN)
        if record.state is RunState.RECORDING:
            return None
        if record.state in (RunState.RUNNING, RunState.UNKNOWN):
            return RunAnswer(Verdict.RECORDED)
        return describe_record(record)

    def describe(self, key: bytes) -> RunAnswer:
        """Return what is known of a key, for any host."""
        record = self._records.get(key)
        if record is None:
            return RunAnswer(Verdict.NOT_RUN)
        return describe_record(record)

    def finish(self, report: RunReport, now: float) -> bool:
        """Apply the end of an attempt; return whether a record changed."""
        record = self._records.get(report.key)
        if record is None or record.attempt != report.attempt:
            return False
        if record.state not in (RunState.RUNNING, RunState.UNKNOWN):
            return False
        self._change(
            record.change_state(report.state, report.status, report.answer),
            now,
        )
        return True

    def cancel_attempt(self, key: bytes, attempt: str, now: float) -> None:
        """Cancel an attempt that has not been confirmed to its host."""
        record = self._records.get(key)
        if record is None or record.attempt != attempt:
            return
        if record.state is not RunState.RECORDING:
            return
        if self._intents.pop(key, None) is not None:
            self._restore(key)
            return
        # Its write is in progress or in doubt, so a later write must undo it.
        self._change(record.change_state(RunState.NOT_RUN), now)

    def _restore(self, key: bytes) -> None:
        self._records.remove(key)
        if key in self._replaced:
            self._records.put(self._replaced.pop(key))

    def mark_host_lost(self, identity: str, now: float) -> list[bytes]:
        """Set running attempts of `host#incarnation` to `UNKNOWN`.

        Returns their keys.
        """
        lost = self._records.list_running(identity)
        for record in lost:
            self._change(record.change_state(RunState.UNKNOWN), now)
        return [record.key for record in lost]

    def _change(self, record: RunRecord, now: float) -> None:
        self._records.put(record)
        self._changed_at.setdefault(record.key, now)

    # Writes

    def next_write_due(self, now: float) -> float | None:
        """Return when the next group commit is due, or None."""
        if self._intents:
            return now
        if not self._changed_at:
            return None
        oldest = next(iter(self._changed_at.values()))
        return oldest + self.settings.flush_delay_s

    def plan_seal(self) -> PendingSegment | None:
        """Return the open records if they fill a segment, or None."""
        if self._open_bytes < self.settings.segment_bytes:
            return None
        # A number that the stored head references must not be reused until
        # a head without it is stored.
        taken = self._stored_segments.union(self._segments)
        number = next(n for n in range(len(taken) + 1) if n not in taken)
        name = name_segment(self.partition, number)
        return PendingSegment(number, name, list(self._open_records.values()))

    def confirm_seal(self, segment: PendingSegment, now: float) -> None:
        """Add a segment that is now stored to the next head."""
        self._records.seal(segment.records, segment.number)
        self._segments[segment.number] = math.ceil(self._journal_age(now))
        self._open_records = {}
        self._open_bytes = 0

    def begin_group_commit(self, now: float) -> GroupCommit | None:
        """Return the next group commit, or None if nothing has changed.

        At most one may be in progress; `commit` completes it.
        """
        changes = self._collect_changes()
        if not changes:
            return None
        self._expire_segments(now)
        self._sequence += 1
        records = self._open_records | {
            record.key: record for record in changes
        }
        head = JournalHead(
            self.owner,
            self._epoch,
            self._sequence,
            self._journal_age(now),
            dict(self._segments),
            list(records.values()),
        )
        return GroupCommit(head, self.version, changes)

    def _collect_changes(self) -> list[RunRecord]:
        changes: list[RunRecord] = []
        size = 0
        while self._intents and size < GROUP_COMMIT_LIMIT_BYTES:
            key = next(iter(self._intents))
            intent = self._intents.pop(key)
            self._changed_at.pop(key, None)
            self._replaced.pop(key, None)
            changes.append(intent.change_state(RunState.RUNNING))
            size += intent.estimate_bytes()
        for key in list(self._changed_at):
            if size >= GROUP_COMMIT_LIMIT_BYTES:
                break
            if key in self._intents:
                continue
            del self._changed_at[key]
            record = self._records.get(key)
            changes.append(record)
            size += record.estimate_bytes()
        return changes

    def commit(self, group_commit: GroupCommit, version: int) -> list[bytes]:
        """Apply a stored group commit; return the keys of its new attempts."""
        self.version = version
        self._stored_segments = frozenset(group_commit.head.segments)
        self._open_records = {
            record.key: record for record in group_commit.head.records
        }
        self._open_bytes = sum(
            record.estimate_bytes() for record in group_commit.head.records
        )
        recorded = []
        for written in group_commit.changes:
            current = self._records.get(written.key)
            is_same_attempt = current.attempt == written.attempt
            if is_same_attempt and current.state is RunState.RECORDING:
                self._records.put(written)
                recorded.append(written.key)
        return recorded

    def _journal_age(self, now: float) -> float:
        return self._base_age_s + now - self._opened_at

    def _expire_segments(self, now: float) -> None:
        oldest = self._journal_age(now) - self.settings.retention_s
        expired = [
            n for n, sealed in self._segments.items() if sealed < oldest
        ]
        for number in expired:
            del self._segments[number]
            self._records.expire_segment(number)


def _mark_running_unknown(record: RunRecord) -> RunRecord:
    if record.state is RunState.RUNNING:
        return record.change_state(RunState.UNKNOWN)
    return record
