"""The published progress of a planned move."""

from enum import Enum
from functools import singledispatch

from transitions import Machine

from radishstile.configuration.document import Move
from radishstile.shift import event as events

_STATES = ("planned", "stepping", "settling", "held", "done", "cancelled")
_ACTIVE = ["planned", "stepping", "settling", "held", "done"]
_TRANSITIONS = (
    ["publish", ["planned", "settling"], "stepping"],
    ["settle", "stepping", "settling"],
    ["hold", _ACTIVE, "held"],
    ["resume", "held", "settling"],
    ["finish", "settling", "done"],
    ["reopen", "done", "settling"],
    ["cancel", _ACTIVE, "cancelled"],
    ["restart", "*", "planned"],
)
_FIELDS = ("route", "from_region", "to_region", "share", "step", "reason")


class HoldReason(Enum):
    """Why a move is held or takes no step."""

    PAUSED = "paused"
    MEASUREMENTS = "measurements-stopped"
    HOT = "target-hot"
    CAP = "at-cap"
    HEADROOM = "no-headroom"


class MoveProgress:
    """The published share and the state of a planned move.

    `share` is the fraction of client blocks that are moved, `step` counts
    the published changes of the share. `controller` is the identity of the
    incarnation that wrote the progress, and `changed_at` the time of the last
    change of share or state, on that incarnation's clock. The path (route
    and regions) is the one that the share was published for.
    """

    # `transitions` sets its triggers and `state` as attributes.
    __slots__ = ("name", *_FIELDS, "controller", "changed_at", "__dict__")

    def __init__(self, move: Move, controller: str, now: float):
        self.name = move.name
        self.controller = controller
        self.changed_at = now
        self.reset(move)
        self._start_machine("planned")

    def _start_machine(self, state: str) -> None:
        Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial=state,
            auto_transitions=False,
        )

    def reset(self, move: Move) -> None:
        """Reset the share to zero, for the path of `move`."""
        self.route = move.route
        self.from_region = move.from_region
        self.to_region = move.to_region
        self.share = 0.0
        self.step = 0
        self.reason = ""

    def applies_to(self, move: Move) -> bool:
        """Return whether the share was published for the path of `move`."""
        return (self.route, self.from_region, self.to_region) == (
            move.route,
            move.from_region,
            move.to_region,
        )

    def to_record(self) -> dict:
        """Return the progress as a JSON object."""
        record = {name: getattr(self, name) for name in _FIELDS}
        record["name"] = self.name
        record["state"] = self.state
        record["driver"] = self.controller
        record["since"] = self.changed_at
        return record

    @classmethod
    def from_record(
        cls, record: dict, controller: str, now: float
    ) -> "MoveProgress":
        """Return the progress from a JSON object.

        The clocks of hosts differ, so a controller that did not write the
        record itself doesn't know its age and counts it from `now`.
        """
        progress = cls.__new__(cls)
        progress.name = record["name"]
        for name in _FIELDS:
            setattr(progress, name, record[name])
        is_same = record["driver"] == controller
        progress.changed_at = record["since"] if is_same else now
        progress.controller = controller
        progress._start_machine(record["state"])
        return progress

    def apply(self, event: events.MoveEvent, now: float) -> "MoveProgress":
        """Return the progress after `event`, as a new object."""
        record = self.to_record()
        changed = MoveProgress.from_record(record, self.controller, now)
        _apply(event, changed, now)
        return changed


@singledispatch
def _apply(event, progress: MoveProgress, now: float) -> None:
    raise TypeError(f"unknown event {type(event).__name__}")


@_apply.register
def _(event: events.StepDue, progress: MoveProgress, now: float) -> None:
    progress.publish()
    progress.share = event.share
    progress.step += 1
    progress.reason = ""
    progress.changed_at = now


@_apply.register
def _(
    event: events.AnswersExpired, progress: MoveProgress, now: float
) -> None:
    progress.settle()


@_apply.register
def _(event: events.StepLimited, progress: MoveProgress, now: float) -> None:
    progress.reason = event.reason


@_apply.register
def _(event: events.TargetReached, progress: MoveProgress, now: float) -> None:
    progress.finish()
    progress.reason = ""


@_apply.register
def _(event: events.TargetChanged, progress: MoveProgress, now: float) -> None:
    progress.reopen()
    progress.changed_at = now


@_apply.register
def _(
    event: events.MeasurementsStopped, progress: MoveProgress, now: float
) -> None:
    _hold(progress, HoldReason.MEASUREMENTS, now)


@_apply.register
def _(event: events.TargetHot, progress: MoveProgress, now: float) -> None:
    _hold(progress, HoldReason.HOT, now)
    progress.share = event.share
    progress.step += 1


@_apply.register
def _(event: events.Paused, progress: MoveProgress, now: float) -> None:
    _hold(progress, HoldReason.PAUSED, now)


@_apply.register
def _(event: events.Resumed, progress: MoveProgress, now: float) -> None:
    progress.resume()
    progress.reason = ""
    progress.changed_at = now


@_apply.register
def _(event: events.Cancelled, progress: MoveProgress, now: float) -> None:
    progress.cancel()
    progress.share = 0.0
    progress.step += 1
    progress.reason = ""
    progress.changed_at = now


@_apply.register
def _(event: events.Restarted, progress: MoveProgress, now: float) -> None:
    progress.restart()
    progress.reset(event.move)
    progress.changed_at = now


def _hold(progress: MoveProgress, reason: HoldReason, now: float) -> None:
    progress.hold()
    progress.reason = reason.value
    progress.changed_at = now
