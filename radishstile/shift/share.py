"""Assigns client blocks to regions by the shares of planned moves."""

from collections.abc import Iterable, Mapping, Sequence

import xxhash

from radishstile.configuration.document import Move

_HASH_RANGE = 1 << 64


class Destination:
    """The region for a request, and the move that applies to it, if any."""

    __slots__ = ("region", "move")

    def __init__(self, region: str, move: str | None = None):
        self.region = region
        self.move = move


class PublishedMove:
    """A move with its published share as a bound for block hashes.

    A block is moved if its hash is below the share, so a moved block stays
    moved while the share increases.
    """

    __slots__ = ("name", "to_region", "_seed", "_hash_bound")

    def __init__(self, move: Move, share: float):
        self.name = move.name
        self.to_region = move.to_region
        self._seed = xxhash.xxh3_64_intdigest(move.name.encode())
        bounded = min(max(share, 0.0), 1.0)
        self._hash_bound = int(bounded * _HASH_RANGE)

    def has_moved(self, block: bytes) -> bool:
        """Return whether `block` is within the published share."""
        return xxhash.xxh3_64_intdigest(block, self._seed) < self._hash_bound


class Placement:
    """Maps client blocks to regions by all planned moves.

    `shares` maps a move's name to its published share; a move without one
    moves nothing. Moves of one route out of one region apply in order of
    their names, each to the blocks that the previous ones have not moved.
    Moves are not chained: only the client's own region is considered.
    `names` are the names of the moves.
    """

    __slots__ = ("names", "_moves")

    def __init__(self, moves: Iterable[Move], shares: Mapping[str, float]):
        self.names: list[str] = []
        self._moves: dict[tuple[str, str], list[PublishedMove]] = {}
        for move in sorted(moves, key=lambda move: move.name):
            if move.from_region == move.to_region:
                continue
            self.names.append(move.name)
            source = (move.route, move.from_region)
            published = PublishedMove(move, shares.get(move.name, 0.0))
            self._moves.setdefault(source, []).append(published)

    def list_moves(self, route: str, region: str) -> Sequence[PublishedMove]:
        """Return the moves of `route` out of `region`, in order."""
        return self._moves.get((route, region), ())

    def find_destination(
        self, route: str, region: str, block: bytes
    ) -> Destination:
        """Return where to run requests of `block` for `route`.

        `region` is the client's own region.
        """
        for move in self.list_moves(route, region):
            if move.has_moved(block):
                return Destination(move.to_region, move.name)
        return Destination(region)
