"""Enforces the cap of planned moves: one token for each moved request."""

from collections.abc import Mapping
from typing import Protocol

from radishstile.configuration.document import Move
from radishstile.shift.measurements import MoveHint
from radishstile.shift.settings import MoveSettings
from radishstile.shift.share import Destination, Placement

RESOURCE_PREFIX = "move/"
MIN_BURST = 1.0
MIN_INTERVAL_S = 0.001


class Budget(Protocol):
    """The tokens of one move's cap that this host may spend."""

    def try_take(self, now: float) -> bool:
        """Spend one token; return False if there is none."""


def name_resource(move: Move) -> str:
    """Return the name of the resource for the cap of `move`."""
    return RESOURCE_PREFIX + move.name


def size_burst(move: Move, settings: MoveSettings) -> float:
    """Return the burst of the move's budget, in requests."""
    return max(MIN_BURST, move.cap_per_s * settings.burst_s)


class _RequestCounts:
    """Requests counted for a move since its last hint.

    `offered` are those of its route and source region, `wanted` those within
    its share, and `moved` those that got a token.
    """

    __slots__ = ("offered", "wanted", "moved", "started_at")

    def __init__(self, now: float):
        self.offered = 0
        self.wanted = 0
        self.moved = 0
        self.started_at = now


class CapEnforcer:
    """Moves a request only if a token of the move's cap is available.

    A request without a token stays in its source region, so the cap holds
    for any published share and any skew of the load.
    """

    __slots__ = ("_placement", "_budgets", "_counts")

    def __init__(
        self,
        placement: Placement,
        budgets: Mapping[str, Budget],
        now: float,
    ):
        self._budgets = budgets
        self._counts: dict[str, _RequestCounts] = {}
        self.replace_placement(placement, now)

    def replace_placement(self, placement: Placement, now: float) -> None:
        """Use the placement of newer shares or a newer configuration."""
        self._placement = placement
        known = self._counts
        self._counts = {
            name: known.get(name) or _RequestCounts(now)
            for name in placement.names
        }

    def choose_region(
        self, route: str, region: str, block: bytes, now: float
    ) -> Destination:
        """Return where to run a request of a client in `region`.

        A destination with a move's name and the client's own region means
        that the move had no token for the request.
        """
        for move in self._placement.list_moves(route, region):
            counter = self._counts[move.name]
            counter.offered += 1
            if not move.has_moved(block):
                continue
            counter.wanted += 1
            budget = self._budgets.get(move.name)
            if budget is None or not budget.try_take(now):
                return Destination(region, move.name)
            counter.moved += 1
            return Destination(move.to_region, move.name)
        return Destination(region)

    def record_moved(self, move: str) -> None:
        """Count a request that got its token after a wait."""
        counter = self._counts.get(move)
        if counter is not None:
            counter.moved += 1

    def collect_hints(self, source: str, now: float) -> list[MoveHint]:
        """Return each move's rates since the last hints; reset the counts.

        `source` is the name of this host.
        """
        hints = [
            _make_hint(name, counter, source, now)
            for name, counter in self._counts.items()
        ]
        self._counts = {name: _RequestCounts(now) for name in self._counts}
        return hints


def _make_hint(
    move: str, counter: _RequestCounts, source: str, now: float
) -> MoveHint:
    span_s = max(now - counter.started_at, MIN_INTERVAL_S)
    return MoveHint(
        source,
        move,
        offered_per_s=counter.offered / span_s,
        wanted_per_s=counter.wanted / span_s,
        moved_per_s=counter.moved / span_s,
    )
