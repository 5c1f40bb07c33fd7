"""Decides the next step of a planned move, on the host that owns it.

The owner writes each decision with a conditional update against the version
that it was based on, so a paused or replaced controller changes nothing.
"""

from collections.abc import Iterable, Mapping

from radishstile.configuration.document import Configuration, Move
from radishstile.shift import event as events
from radishstile.shift.limit import limit_step
from radishstile.shift.measurements import LoadMeasurements, TargetLoad
from radishstile.shift.progress import HoldReason, MoveProgress
from radishstile.shift.settings import MoveSettings

MIN_HOT_QUEUE_LENGTH = 1.0


class StepInputs:
    """The newest configuration and measurements, for one decision."""

    __slots__ = ("configuration", "measurements", "settings", "now")

    def __init__(
        self,
        configuration: Configuration,
        measurements: LoadMeasurements,
        settings: MoveSettings,
        now: float,
    ):
        self.configuration = configuration
        self.measurements = measurements
        self.settings = settings
        self.now = now


class MoveController:
    """Controls one move: its published progress and the stored version.

    `identity` names the incarnation that runs the controller. The caller
    writes each decision with `version` as the expected version, then calls
    `accept`; after a conflict or a lost answer it reads the object and calls
    `load`.
    """

    __slots__ = ("identity", "progress", "version", "_last_decision_at")

    def __init__(self, identity: str, move: Move, now: float):
        self.identity = identity
        self.progress = MoveProgress(move, identity, now)
        self.version = 0
        self._last_decision_at = now

    def load(self, record: dict, version: int, now: float) -> None:
        """Apply the stored progress; an older version is ignored."""
        if version < self.version:
            return
        self.progress = MoveProgress.from_record(record, self.identity, now)
        self.version = version

    def accept(self, progress: MoveProgress, version: int) -> None:
        """Apply the progress that this controller wrote as `version`."""
        self.progress = progress
        self.version = version

    def decide(self, inputs: StepInputs) -> MoveProgress | None:
        """Return the next progress to publish, or None to wait.

        After a pause of this process, hints that were queued in its sockets
        look fresh, so the settle time starts again.
        """
        since_last_s = inputs.now - self._last_decision_at
        self._last_decision_at = inputs.now
        if since_last_s > inputs.settings.max_age_s:
            self.progress.changed_at = inputs.now
        return decide(self.progress, inputs)


class _MoveContext:
    """A move with its load and its target's load; None if unknown."""

    __slots__ = ("move", "target", "load", "sharing_moves")

    def __init__(self, move: Move, inputs: StepInputs):
        configuration = inputs.configuration
        self.move = move
        group = configuration.routes[move.route].group
        zones = list_zones(configuration, move.to_region, group)
        measures = inputs.measurements
        self.target = measures.read_target(zones, group, inputs.now)
        self.load = measures.read_move(move.name, inputs.now)
        self.sharing_moves = _count_sharing_moves(
            configuration, move.to_region, group
        )


def list_zones(
    configuration: Configuration, region: str, group: str
) -> list[str]:
    """Return the zones of `region` with upstreams of `group`."""
    zones = {
        upstream.zone
        for upstream in configuration.upstreams.values()
        if upstream.group == group
        and configuration.zones[upstream.zone] == region
    }
    return sorted(zones)


def _count_sharing_moves(
    configuration: Configuration, region: str, group: str
) -> int:
    """Return the number of moves that use `group` in `region`."""
    routes = configuration.routes
    return sum(
        move.to_region == region and routes[move.route].group == group
        for move in configuration.moves.values()
    )


def collect_shares(
    moves: Iterable[Move], progresses: Mapping[str, MoveProgress]
) -> dict[str, float]:
    """Return each move's share; skip progress of another path."""
    return {
        move.name: progresses[move.name].share
        for move in moves
        if move.name in progresses and progresses[move.name].applies_to(move)
    }


def decide(progress: MoveProgress, inputs: StepInputs) -> MoveProgress | None:
    """Return the next progress to publish, or None to wait."""
    event = choose_event(progress, inputs)
    if event is None:
        return None
    return progress.apply(event, inputs.now)


def choose_event(
    progress: MoveProgress, inputs: StepInputs
) -> events.MoveEvent | None:
    """Return the next event of the move, or None to wait."""
    move = inputs.configuration.moves.get(progress.name)
    if move is None:
        is_over = progress.state == "cancelled"
        return None if is_over else events.Cancelled()
    if progress.state == "cancelled" or not progress.applies_to(move):
        return events.Restarted(move)
    context = _MoveContext(move, inputs)
    if is_hot(context.target, inputs.settings):
        return _step_back(progress, context, inputs.settings)
    if move.is_paused:
        return _hold(progress, events.Paused(), HoldReason.PAUSED)
    if context.target is None or context.load is None:
        return _hold_unmeasured(progress)
    return _EVENT_CHOOSERS[progress.state](progress, context, inputs)


def is_hot(target: TargetLoad | None, settings: MoveSettings) -> bool:
    """Return whether a target is known to have too few free slots."""
    if target is None:
        return False
    if target.free < settings.hot_free * target.slots:
        return True
    hot_queue = max(MIN_HOT_QUEUE_LENGTH, settings.hot_queue * target.slots)
    return target.queued > hot_queue


def _step_back(
    progress: MoveProgress, context: _MoveContext, settings: MoveSettings
) -> events.MoveEvent | None:
    if progress.share == 0:
        return None
    # A measurement from before the last step back took effect doesn't show
    # its result.
    is_held = progress.reason == HoldReason.HOT.value
    seen_s = context.target.measured_at - progress.changed_at
    if is_held and seen_s < settings.step_back_pace_s:
        return None
    decrease = max(context.move.step, progress.share * settings.step_back)
    return events.TargetHot(max(0.0, progress.share - decrease))


def _hold(
    progress: MoveProgress, event: events.MoveEvent, reason: HoldReason
) -> events.MoveEvent | None:
    is_held = progress.state == "held" and progress.reason == reason.value
    return None if is_held else event


def _hold_unmeasured(progress: MoveProgress) -> events.MoveEvent | None:
    if progress.state not in ("stepping", "settling"):
        return None
    return events.MeasurementsStopped()


def _choose_stepping(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> events.MoveEvent | None:
    if inputs.now - progress.changed_at < inputs.settings.answer_ttl_s:
        return None
    return events.AnswersExpired()


def _choose_settling(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> events.MoveEvent | None:
    if not _has_settled(progress, context, inputs):
        return None
    if progress.share == context.move.target_share:
        return events.TargetReached()
    return _choose_step(progress, context, inputs)


def _choose_held(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> events.MoveEvent | None:
    target = context.target
    if target.free <= inputs.settings.reserve * target.slots:
        return None
    return events.Resumed()


def _choose_done(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> events.MoveEvent | None:
    if progress.share == context.move.target_share:
        return None
    return events.TargetChanged()


def _has_settled(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> bool:
    """Return whether the load after the last step has been measured.

    Callers follow a step within the TTL of their look-up answers, and
    measurements are at most `max_age_s` old, so after both times the
    measurements include the load that the step moved.
    """
    settings = inputs.settings
    settle_s = settings.answer_ttl_s + settings.max_age_s
    wait_s = max(context.move.pace_s, settle_s)
    return inputs.now - progress.changed_at >= wait_s


def _choose_step(
    progress: MoveProgress, context: _MoveContext, inputs: StepInputs
) -> events.MoveEvent | None:
    limited = limit_step(
        progress.share,
        context.move,
        context.target,
        context.load,
        context.sharing_moves,
        inputs.settings,
    )
    if limited.reason is None:
        return events.StepDue(limited.share)
    if progress.reason == limited.reason.value:
        return None
    return events.StepLimited(limited.reason.value)


_EVENT_CHOOSERS = {
    "planned": _choose_step,
    "stepping": _choose_stepping,
    "settling": _choose_settling,
    "held": _choose_held,
    "done": _choose_done,
}
