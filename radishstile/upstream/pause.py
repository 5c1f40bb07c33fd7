"""Pauses that upstreams have asked this host for, as they turned it away."""


class UpstreamPauses:
    """When each paused incarnation of an upstream may be asked again.

    Times are of the event loop's clock, in seconds. A pause holds for the host
    that was turned away; other hosts learn by their own requests.
    """

    __slots__ = ("_until",)

    def __init__(self):
        self._until: dict[tuple[str, int], float] = {}

    def begin(
        self, incarnation: tuple[str, int], pause_s: float, now: float
    ) -> bool:
        """Begin or extend a pause; return whether there was none.

        A shorter pause does not end one that was asked for before.
        """
        self._expire(now)
        known = self._until.get(incarnation)
        until = now + pause_s
        self._until[incarnation] = (
            until if known is None else max(known, until)
        )
        return known is None

    def is_paused(self, incarnation: tuple[str, int], now: float) -> bool:
        """Return whether an upstream must not be asked yet."""
        return self._until.get(incarnation, now) > now

    def list_paused(self, now: float) -> list[str]:
        """Return the ids of the upstreams that must not be asked yet."""
        self._expire(now)
        return [upstream_id for upstream_id, _ in self._until]

    def _expire(self, now: float) -> None:
        ended = [key for key, until in self._until.items() if until <= now]
        for key in ended:
            del self._until[key]
