"""Which client blocks planned moves have moved, from published shares."""

from collections.abc import Iterable, Mapping

import xxhash

from radishstile.configuration.document import Move

_HASH_RANGE = 1 << 64


class Place:
    """The region for a request, and the name of the move that chose it."""

    __slots__ = ("region", "move")

    def __init__(self, region: str, move: str | None = None):
        self.region = region
        self.move = move


class _PublishedMove:
    """A move with its published share, ready to be compared."""

    __slots__ = ("name", "to_region", "seed", "limit")

    def __init__(self, move: Move, share: float):
        self.name = move.name
        self.to_region = move.to_region
        self.seed = xxhash.xxh3_64_intdigest(move.name.encode())
        bounded = min(max(share, 0.0), 1.0)
        self.limit = int(bounded * _HASH_RANGE)

    def has_moved(self, block: bytes) -> bool:
        """Return whether `block` is within the published share."""
        return xxhash.xxh3_64_intdigest(block, self.seed) < self.limit


class Placement:
    """Places client blocks by all planned moves and their shares.

    `shares` maps a move's name to its published share; a move without one
    moves nothing. Moves out of the same region on the same route go by name,
    and each takes its share of the blocks that those before it left. Only
    the client's own region counts: moves are not chained.
    """

    __slots__ = ("_moves",)

    def __init__(self, moves: Iterable[Move], shares: Mapping[str, float]):
        self._moves: dict[tuple[str, str], list[_PublishedMove]] = {}
        for move in sorted(moves, key=lambda move: move.name):
            share = shares.get(move.name, 0.0)
            if share <= 0 or move.from_region == move.to_region:
                continue
            source = (move.route, move.from_region)
            published = _PublishedMove(move, share)
            self._moves.setdefault(source, []).append(published)

    def place(self, route: str, region: str, block: bytes) -> Place:
        """Return where requests of `block` for `route` should run.

        `region` is the client's own region.
        """
        for move in self._moves.get((route, region), ()):
            if move.has_moved(block):
                return Place(move.to_region, move.name)
        return Place(region)
