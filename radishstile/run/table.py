"""The records of one partition by key, packed when they are sealed."""

from struct import Struct

from radishstile.run.record import RunRecord, RunState

ANSWERS_LIMIT_BYTES = 4 * 1_048_576
# Fingerprint, segment, host, state, status and attempt number.
_ROW = Struct("<16sIHBHQ")
_NO_NUMBER = 2**64 - 1
# Flag in a row's state: an answer follows the row, possibly an empty one.
_HAS_ANSWER = 0x80


class RecordTable:
    """Keeps open records as objects and sealed ones as packed rows.

    A row is followed by its answer if one is kept. Sealed answers take at
    most `ANSWERS_LIMIT_BYTES`: those of the oldest segment are dropped
    first, while their records and status are kept.
    """

    __slots__ = (
        "_open",
        "_sealed",
        "_segment_keys",
        "_answer_bytes",
        "_hosts",
        "_host_numbers",
    )

    def __init__(self):
        self._open: dict[bytes, RunRecord] = {}
        self._sealed: dict[bytes, bytes] = {}
        self._segment_keys: dict[int, list[bytes]] = {}
        self._answer_bytes: dict[int, int] = {}
        self._hosts: list[str] = []
        self._host_numbers: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._open) + len(self._sealed)

    def get(self, key: bytes) -> RunRecord | None:
        """Return the record of a key, or None."""
        record = self._open.get(key)
        if record is not None:
            return record
        row = self._sealed.get(key)
        return None if row is None else self._unpack(key, row)

    def put(self, record: RunRecord) -> None:
        """Add a record, or replace the one of the same key."""
        self._sealed.pop(record.key, None)
        self._open[record.key] = record

    def remove(self, key: bytes) -> None:
        """Remove the record of a key, if any."""
        self._sealed.pop(key, None)
        self._open.pop(key, None)

    def seal(self, records: list[RunRecord], segment: int) -> None:
        """Pack the records of a segment, except those changed since."""
        self._segment_keys[segment] = [record.key for record in records]
        size = 0
        for record in records:
            record.segment = segment
            if self._open.get(record.key) is record:
                del self._open[record.key]
                self._sealed[record.key] = self._pack(record)
                size += len(record.answer or b"")
        self._answer_bytes[segment] = size
        while sum(self._answer_bytes.values()) > ANSWERS_LIMIT_BYTES:
            self._drop_answers(next(iter(self._answer_bytes)))

    def expire_segment(self, segment: int) -> None:
        """Remove a segment's records that are in no later segment."""
        self._answer_bytes.pop(segment, None)
        for key in self._segment_keys.pop(segment):
            record = self.get(key)
            if record is not None and record.segment == segment:
                self.remove(key)

    def _drop_answers(self, segment: int) -> None:
        del self._answer_bytes[segment]
        for key in self._segment_keys[segment]:
            record = self.get(key)
            if key in self._sealed and record.segment == segment:
                record.answer = None
                self._sealed[key] = self._pack(record)

    def list_running(self, identity: str) -> list[RunRecord]:
        """Return the running attempts of one `host#incarnation`."""
        prefix = identity + "#"
        running_state = RunState.RUNNING.value
        running = [
            record
            for record in self._open.values()
            if record.state is RunState.RUNNING
            and record.attempt.startswith(prefix)
        ]
        host = self._host_numbers.get(identity)
        for key, row in self._sealed.items():
            _, _, owner, state, _, _ = _ROW.unpack_from(row)
            if owner == host and state & ~_HAS_ANSWER == running_state:
                running.append(self._unpack(key, row))
        return running

    def _pack(self, record: RunRecord) -> bytes:
        host, _, text = record.attempt.rpartition("#")
        number = int(text) if text.isdecimal() else _NO_NUMBER
        if str(number) != text or number >= _NO_NUMBER:
            host, number = record.attempt, _NO_NUMBER
        if host not in self._host_numbers:
            self._host_numbers[host] = len(self._hosts)
            self._hosts.append(host)
        row = _ROW.pack(
            record.fingerprint,
            record.segment,
            self._host_numbers[host],
            record.state.value | (record.answer is not None) * _HAS_ANSWER,
            record.status,
            number,
        )
        return row + (record.answer or b"")

    def _unpack(self, key: bytes, row: bytes) -> RunRecord:
        fields = _ROW.unpack_from(row)
        fingerprint, segment, host, state, status, number = fields
        attempt = self._hosts[host]
        if number != _NO_NUMBER:
            attempt = f"{attempt}#{number}"
        answer = row[_ROW.size :] if state & _HAS_ANSWER else None
        state = RunState(state & ~_HAS_ANSWER)
        record = RunRecord(key, fingerprint, attempt, state, status, answer)
        record.segment = segment
        return record
