"""Events that change the state of a planned move."""

from radishstile.configuration.document import Move


class MoveEvent:
    """Base of all events of a planned move."""

    __slots__ = ()


class StepDue(MoveEvent):
    """The next share can be published."""

    __slots__ = ("share",)

    def __init__(self, share: float):
        self.share = share


class AnswersExpired(MoveEvent):
    """All look-up answers from before the last step have expired."""

    __slots__ = ()


class StepLimited(MoveEvent):
    """The next step would exceed the cap or the target's headroom."""

    __slots__ = ("reason",)

    def __init__(self, reason: str):
        self.reason = reason


class TargetReached(MoveEvent):
    """The target share is published and its load has been measured."""

    __slots__ = ()


class TargetChanged(MoveEvent):
    """The configuration has a target share other than the reached one."""

    __slots__ = ()


class MeasurementsStopped(MoveEvent):
    """A measurement is missing or too old."""

    __slots__ = ()


class TargetHot(MoveEvent):
    """The target has too few free slots; `share` is the reduced one."""

    __slots__ = ("share",)

    def __init__(self, share: float):
        self.share = share


class Paused(MoveEvent):
    """An operator paused the move."""

    __slots__ = ()


class Resumed(MoveEvent):
    """The reason to hold the move has ended."""

    __slots__ = ()


class Cancelled(MoveEvent):
    """The move is no longer in the configuration."""

    __slots__ = ()


class Restarted(MoveEvent):
    """The configured route or regions of the move have changed."""

    __slots__ = ("move",)

    def __init__(self, move: Move):
        self.move = move
