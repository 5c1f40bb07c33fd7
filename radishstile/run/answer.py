"""Rules for whole answers, and for answers that were cut short."""

from enum import Enum

from radishstile.outcome import Outcome


class CutAction(Enum):
    """How a caller learns that its answer was cut short."""

    REFUSE = "a refusal in place of the answer"
    ABORT = "the connection ends without the answer's end"


class AnswerProgress:
    """What has arrived of one answer, and what was passed on.

    `stated_bytes` is the length that the sender stated, or None.
    """

    __slots__ = (
        "stated_bytes",
        "received_bytes",
        "is_ended",
        "is_forwarded",
    )

    def __init__(self, stated_bytes: int | None = None):
        self.stated_bytes = stated_bytes
        self.received_bytes = 0
        self.is_ended = False
        self.is_forwarded = False

    def add(self, count: int) -> None:
        """Count bytes of the body that arrived."""
        self.received_bytes += count

    def end(self) -> None:
        """Note the sender's mark that nothing follows."""
        self.is_ended = True

    def forward(self) -> None:
        """Note that the caller has been sent the head."""
        self.is_forwarded = True

    @property
    def is_whole(self) -> bool:
        """Return whether the end arrived and the length is as stated."""
        if not self.is_ended:
            return False
        return self.stated_bytes in (None, self.received_bytes)


def judge_answer(progress: AnswerProgress) -> Outcome:
    """Return what an answer proves about its request.

    A head or a part of a body may be sent before the work is done.
    """
    return Outcome.RAN if progress.is_whole else Outcome.UNKNOWN


def choose_cut_action(progress: AnswerProgress) -> CutAction:
    """Return how to end an answer that will not become whole."""
    if progress.is_forwarded:
        return CutAction.ABORT
    return CutAction.REFUSE
