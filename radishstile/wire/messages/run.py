"""Messages that run a request on an upstream and carry its answer."""

from radishstile.wire.messages.base import Headers, Message, Part, PartsEnd


class RunRequest(Message):
    """Asks the home of a group's slots to run a request.

    `headers` are pairs of name and value, `deadline_ms` is what remains of
    the request's time, and `excluded` names upstreams that already failed.
    """

    __slots__ = (
        "request_id",
        "workspace",
        "weight",
        "route",
        "group",
        "zone",
        "method",
        "path",
        "headers",
        "deadline_ms",
        "is_idempotent",
        "traceparent",
        "excluded",
    )

    request_id: str
    workspace: str
    weight: float
    route: str
    group: str
    zone: str
    method: str
    path: str
    headers: Headers
    deadline_ms: int
    is_idempotent: bool
    traceparent: str
    excluded: list[str]


class BodyPart(Part):
    """A part of a request's body."""

    __slots__ = ()


class BodyEnd(PartsEnd):
    """The end of a request's body."""

    __slots__ = ()


class AnswerHead(Message):
    """The status and headers of an answer, and the upstream that ran it."""

    __slots__ = ("request_id", "status", "headers", "upstream")

    request_id: str
    status: int
    headers: Headers
    upstream: str


class AnswerPart(Part):
    """A part of an answer's body."""

    __slots__ = ()


class AnswerEnd(PartsEnd):
    """The end of an answer's body."""

    __slots__ = ()


class CancelRun(Message):
    """Cancels a request that the caller no longer waits for."""

    __slots__ = ("request_id",)

    request_id: str


class RecordRun(Message):
    """Asks the journal's home to record a run before it starts."""

    __slots__ = ("workspace", "idempotency_key", "fingerprint", "attempt_id")

    workspace: str
    idempotency_key: str
    fingerprint: str
    attempt_id: str


class RunRecorded(Message):
    """Answers whether the run is recorded and may start."""

    __slots__ = ("status", "detail")

    status: str
    detail: str


class FinishRun(Message):
    """Records the outcome of a run, with its HTTP status and answer."""

    __slots__ = (
        "workspace",
        "idempotency_key",
        "attempt_id",
        "outcome",
        "status",
        "answer",
    )

    workspace: str
    idempotency_key: str
    attempt_id: str
    outcome: str
    status: int
    answer: bytes
