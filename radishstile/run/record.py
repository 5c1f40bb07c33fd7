"""Idempotency records of non-idempotent requests, and answers about them."""

from enum import Enum

ANSWER_LIMIT_BYTES = 2048
RECORD_OVERHEAD_BYTES = 48


class RunState(Enum):
    """State of the last attempt for an idempotency key."""

    RECORDING = 0
    RUNNING = 1
    NOT_RUN = 2
    RAN = 3
    UNKNOWN = 4


class Verdict(Enum):
    """What a partition's owner answers to an entry host about a key."""

    RECORDED = "recorded"
    RUNNING = "running"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    NOT_HOME = "not-home"


class RunRecord:
    """The idempotency record of one key; a state change makes a new record.

    `key` and `fingerprint` are 16-byte digests. `attempt` is unique in the
    fleet, in the form `host#incarnation#number`. `segment` is the number of
    the sealed segment that holds the record, or None.
    """

    __slots__ = (
        "key",
        "fingerprint",
        "attempt",
        "state",
        "status",
        "answer",
        "segment",
    )

    def __init__(
        self,
        key: bytes,
        fingerprint: bytes,
        attempt: str,
        state: RunState = RunState.RECORDING,
        status: int = 0,
        answer: bytes | None = None,
    ):
        self.key = key
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.state = state
        self.status = status
        self.answer = answer
        self.segment: int | None = None

    def change_state(
        self, state: RunState, status: int = 0, answer: bytes | None = None
    ) -> "RunRecord":
        """Return a record of the same attempt in another state."""
        return RunRecord(
            self.key, self.fingerprint, self.attempt, state, status, answer
        )

    def estimate_bytes(self) -> int:
        """Return an upper bound of the record's encoded size."""
        variable = len(self.attempt.encode()) + len(self.answer or b"")
        return RECORD_OVERHEAD_BYTES + variable


class RunReport:
    """The end of an attempt, reported by the host that made it.

    `state` is `NOT_RUN`, `RAN` or `UNKNOWN`. An answer longer than
    `ANSWER_LIMIT_BYTES` is not kept.
    """

    __slots__ = ("key", "attempt", "state", "status", "answer")

    def __init__(
        self,
        key: bytes,
        attempt: str,
        state: RunState,
        status: int = 0,
        answer: bytes | None = None,
    ):
        if state in (RunState.RECORDING, RunState.RUNNING):
            raise ValueError(f"{state.name} is not a final state")
        self.key = key
        self.attempt = attempt
        self.state = state
        self.status = status
        is_kept = answer is not None and len(answer) <= ANSWER_LIMIT_BYTES
        self.answer = answer if is_kept else None


class RunAnswer:
    """A verdict on a key, with the stored status and answer if it ran."""

    __slots__ = ("verdict", "status", "answer")

    def __init__(
        self, verdict: Verdict, status: int = 0, answer: bytes | None = None
    ):
        self.verdict = verdict
        self.status = status
        self.answer = answer


_VERDICTS = {
    RunState.RECORDING: Verdict.RUNNING,
    RunState.RUNNING: Verdict.RUNNING,
    RunState.NOT_RUN: Verdict.NOT_RUN,
    RunState.RAN: Verdict.RAN,
    RunState.UNKNOWN: Verdict.UNKNOWN,
}


def describe_record(record: RunRecord) -> RunAnswer:
    """Return the answer for any host but the one that made the attempt."""
    return RunAnswer(_VERDICTS[record.state], record.status, record.answer)
