"""The ways in which an attempt at an upstream fails."""


class Failure:
    """A failed attempt; `target` names the upstream or peer."""

    __slots__ = ("target", "retry_after_s")

    def __init__(self, target: str, retry_after_s: float | None = None):
        self.target = target
        self.retry_after_s = retry_after_s


class UpstreamRefused(Failure):
    """The upstream answered that it did not run the request."""

    __slots__ = ()


class ConnectFailed(Failure):
    """No connection was made, so that no byte was sent."""

    __slots__ = ()


class LostBeforeFirstByte(Failure):
    """The connection ended before any byte was handed to it."""

    __slots__ = ()


class LostAfterSend(Failure):
    """The connection ended after a byte could have reached the upstream."""

    __slots__ = ()


class AnswerTruncated(Failure):
    """An answer began and was cut short."""

    __slots__ = ()


class Shed(Failure):
    """The upstream or its queue shed the request before running it."""

    __slots__ = ()


class PeerLost(Failure):
    """The stream to the sending peer ended; it may have sent."""

    __slots__ = ()


class TimedOut(Failure):
    """The time for the attempt passed after it was sent."""

    __slots__ = ()
