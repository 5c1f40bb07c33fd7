"""Chooses whom a host asks for its first list of a kind of stored objects."""


class FirstListSources:
    """The peers that had no list to give, since the store was asked last.

    Peers save the store calls when many hosts start together. But one that has
    started itself may have none of the kind, so each is asked once, and then
    the store.
    """

    __slots__ = ("_failed",)

    def __init__(self):
        self._failed: set[str] = set()

    def choose(self, peers: list[str]) -> str | None:
        """Return the first of some peers to ask, or None for the store."""
        for peer in peers:
            if peer not in self._failed:
                return peer
        return None

    def record_failure(self, peer: str | None) -> None:
        """Record that a peer, or the store where it is None, gave no list."""
        if peer is None:
            self._failed.clear()
        else:
            self._failed.add(peer)
