"""Messages that run a request on an upstream and carry its answer."""

from radishstile.wire.messages.base import Headers, Message, Part, PartsEnd


class RunRequest(Message):
    """Asks the owner of a group's slots to run a request.

    `headers` are pairs of name and value, `deadline_ms` is the time until the
    request's deadline, `excluded` names upstreams that already failed, and
    `fingerprint` is a digest of the request.
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
        "fingerprint",
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
    fingerprint: bytes


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


class RunStarted(Message):
    """Reports that a slot is occupied and the request is being sent."""

    __slots__ = ("request_id", "upstream")

    request_id: str
    upstream: str


class RecordRun(Message):
    """Asks the owner of a journal partition to record a run in advance.

    `key` and `fingerprint` are digests; `wait_ms` is the time until the
    request's deadline.
    """

    __slots__ = ("partition", "key", "fingerprint", "attempt", "wait_ms")

    partition: int
    key: bytes
    fingerprint: bytes
    attempt: str
    wait_ms: int


class AwaitRun(Message):
    """Asks the owner of a journal partition for another attempt's result."""

    __slots__ = ("partition", "key", "wait_ms")

    partition: int
    key: bytes
    wait_ms: int


class RunKnown(Message):
    """Answers with a verdict, and the stored status and answer if it ran."""

    __slots__ = ("verdict", "status", "has_answer", "answer")

    verdict: str
    status: int
    has_answer: bool
    answer: bytes


class FinishRun(Message):
    """Reports the end of an attempt to the owner of a journal partition."""

    __slots__ = (
        "partition",
        "key",
        "attempt",
        "state",
        "status",
        "has_answer",
        "answer",
    )

    partition: int
    key: bytes
    attempt: str
    state: int
    status: int
    has_answer: bool
    answer: bytes
