"""Encodes the head and the segments of a journal as store values."""

from base64 import b64decode, b64encode

import msgpack

from radishstile.run.record import RunRecord, RunState


class JournalHead:
    """The head object of a partition: its owner, segments and open records.

    `clock_s` is the journal's age in seconds. `segments` maps the number of
    a sealed segment to the journal's age when it was sealed, in seconds.
    """

    __slots__ = (
        "owner",
        "epoch",
        "sequence",
        "clock_s",
        "segments",
        "records",
    )

    def __init__(
        self,
        owner: str,
        epoch: int,
        sequence: int,
        clock_s: float,
        segments: dict[int, int],
        records: list[RunRecord],
    ):
        self.owner = owner
        self.epoch = epoch
        self.sequence = sequence
        self.clock_s = clock_s
        self.segments = segments
        self.records = records

    @property
    def write_stamp(self) -> tuple[str, int, int]:
        """Return the unique identity of this write of the head."""
        return self.owner, self.epoch, self.sequence


def encode_head(head: JournalHead) -> str:
    """Return the head as text for the store."""
    return _pack(
        [
            head.owner,
            head.epoch,
            head.sequence,
            head.clock_s,
            list(head.segments.items()),
            [_list_fields(record) for record in head.records],
        ]
    )


def decode_head(value: str) -> JournalHead:
    """Return the head that a store value holds."""
    owner, epoch, sequence, clock_s, segments, rows = _unpack(value)
    records = [_build_record(row) for row in rows]
    return JournalHead(
        owner, epoch, sequence, clock_s, dict(segments), records
    )


def encode_segment(records: list[RunRecord]) -> str:
    """Return sealed records as text for the store."""
    return _pack([_list_fields(record) for record in records])


def decode_segment(value: str) -> list[RunRecord]:
    """Return the records of a sealed segment."""
    return [_build_record(row) for row in _unpack(value)]


def _pack(value: list) -> str:
    return b64encode(msgpack.packb(value)).decode("ascii")


def _unpack(value: str) -> list:
    return msgpack.unpackb(b64decode(value))


def _list_fields(record: RunRecord) -> list:
    fields = [
        record.key,
        record.fingerprint,
        record.attempt,
        record.state.value,
    ]
    if record.status or record.answer is not None:
        fields += [record.status, record.answer]
    return fields


def _build_record(fields: list) -> RunRecord:
    key, fingerprint, attempt, state, *end = fields
    return RunRecord(key, fingerprint, attempt, RunState(state), *end)
