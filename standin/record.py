"""Records of the requests that a stand-in upstream received."""

import hashlib
from enum import Enum

RECORDED_BODY_BYTES = 4096


class Ending(Enum):
    """How a request ended at the upstream."""

    RUNNING = "running"
    DONE = "done"
    SHED = "shed"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CUT = "cut"
    CRASHED = "crashed"
    DOWN = "down"


class RequestRecord:
    """Times, ending and content of a request.

    Times are in seconds of the event loop's clock. `started_at` is when the
    request acquired a slot, or None if it never did.
    """

    __slots__ = (
        "begun_at",
        "started_at",
        "ended_at",
        "ending",
        "method",
        "path",
        "headers",
        "body_sha256",
        "body",
    )

    def __init__(self, begun_at: float, method: str, path: str, headers: list):
        self.begun_at = begun_at
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.ending = Ending.RUNNING
        self.method = method
        self.path = path
        self.headers = headers
        self.body_sha256 = ""
        self.body = b""

    @property
    def has_run(self) -> bool:
        """Return whether the request acquired a slot."""
        return self.started_at is not None

    def set_body(self, body: bytes) -> None:
        """Store the digest and the first bytes of the body."""
        self.body_sha256 = hashlib.sha256(body).hexdigest()
        self.body = body[:RECORDED_BODY_BYTES]

    def to_record(self) -> dict:
        """Return the record as a JSON object."""
        record = {name: getattr(self, name) for name in self.__slots__}
        record["ending"] = self.ending.value
        record["body"] = self.body.decode(errors="replace")
        return record
