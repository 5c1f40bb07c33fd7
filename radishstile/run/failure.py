"""Kinds of failures of an attempt to run a request on an upstream."""


class Failure:
    """A failed attempt; `target` names the upstream or peer.

    `retry_after_s` is the delay that the target asks for, or None.
    """

    __slots__ = ("target", "retry_after_s")

    def __init__(self, target: str, retry_after_s: float | None = None):
        self.target = target
        self.retry_after_s = retry_after_s


class UpstreamRefused(Failure):
    """The upstream answered that it has not run the request."""

    __slots__ = ()


class ConnectFailed(Failure):
    """The connection could not be opened, so no byte was sent."""

    __slots__ = ()


class LostBeforeFirstByte(Failure):
    """The connection closed before any byte was written to it."""

    __slots__ = ()


class LostAfterSend(Failure):
    """The connection closed after bytes may have reached the upstream."""

    __slots__ = ()


class AnswerTruncated(Failure):
    """The answer began but ended before it was complete."""

    __slots__ = ()


class Shed(Failure):
    """The upstream or its queue shed the request before running it."""

    __slots__ = ()


class PeerLost(Failure):
    """The connection to the forwarding peer closed; it may have sent."""

    __slots__ = ()


class TimedOut(Failure):
    """The attempt's time limit passed after the request was sent."""

    __slots__ = ()
