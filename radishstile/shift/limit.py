"""Limits one step of a planned move by its cap and the target's headroom."""

from radishstile.configuration.document import Move
from radishstile.shift.measurements import MoveLoad, TargetLoad
from radishstile.shift.progress import HoldReason
from radishstile.shift.settings import MoveSettings


class LimitedStep:
    """The share to publish, or the reason why no step is possible."""

    __slots__ = ("share", "reason")

    def __init__(self, share: float, reason: HoldReason | None = None):
        self.share = share
        self.reason = reason


def limit_step(
    share: float,
    move: Move,
    target: TargetLoad,
    load: MoveLoad,
    sharing_moves: int,
    settings: MoveSettings,
) -> LimitedStep:
    """Return the next share towards the move's target share.

    The target's headroom is divided evenly among `sharing_moves` moves, as
    their controllers don't see each other's steps in time.
    """
    if move.target_share <= share:
        return LimitedStep(max(move.target_share, share - move.step))
    wanted = min(move.target_share, share + move.step) - share
    headroom_per_s = measure_headroom(target, settings) / sharing_moves
    by_cap = _limit_share(move.cap_per_s - load.wanted_per_s, load)
    by_headroom = _limit_share(headroom_per_s, load)
    allowed = min(wanted, by_cap, by_headroom)
    if allowed == wanted:
        return LimitedStep(min(move.target_share, share + wanted))
    if allowed >= settings.min_step:
        return LimitedStep(share + allowed)
    reason = HoldReason.CAP if by_cap <= by_headroom else HoldReason.HEADROOM
    return LimitedStep(share, reason)


def _limit_share(headroom_per_s: float, load: MoveLoad) -> float:
    """Return the share of the offered load that fits the headroom."""
    if headroom_per_s <= 0:
        return 0.0
    if load.offered_per_s <= 0:
        return 1.0
    return headroom_per_s / load.offered_per_s


def measure_headroom(target: TargetLoad, settings: MoveSettings) -> float:
    """Return the load that the target can add, in requests a second.

    Requests of added load meet cold caches and take longer than others.
    """
    free = target.free - settings.reserve * target.slots
    if free <= 0:
        return 0.0
    if target.rate_per_s <= 0 or target.in_flight <= 0:
        # Nothing runs there, so the service time is unknown: allow one
        # request a second for each free slot.
        return free
    service_s = target.in_flight / target.rate_per_s
    return free / (service_s * settings.cold_factor)
