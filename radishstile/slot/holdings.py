"""Slots that a leader has granted to other hosts, until they are given back.

A connection that ends tells nothing of the requests that hold slots: its host
may go on with them. Each of these slots stays occupied until the host reports
its end or leaves it out of a list of those that it holds, until the host's
process is gone, or until the claim's deadline, when no host lets a request go
on.
"""

# Time in which a live host connects again after its connection was closed, in
# seconds. One that does not has ended.
RECONNECT_TIMEOUT_S = 0.5
# Time after a claim's deadline in which its run ends at the upstream, in
# seconds: the host aborts the connection at the deadline.
RUN_END_S = 0.2


class Holding:
    """A slot that a host holds by a claim.

    `connection` is the one that the claim came by. `deadline_at` is the
    claim's, and `ends_at` the time at which the slot is taken back without a
    report, infinite while the connection is open; both are on the event loop's
    clock, in seconds.
    """

    __slots__ = (
        "host",
        "incarnation",
        "claim_id",
        "connection",
        "slot",
        "deadline_at",
        "ends_at",
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        claim_id: str,
        connection: object,
        slot: object,
        deadline_at: float,
    ):
        self.host = host
        self.incarnation = incarnation
        self.claim_id = claim_id
        self.connection = connection
        self.slot = slot
        self.deadline_at = deadline_at
        self.ends_at = float("inf")

    @property
    def is_lost(self) -> bool:
        """Return whether the connection of the claim has ended."""
        return self.ends_at < float("inf")


class Holdings:
    """The slots held by other hosts, by host and claim."""

    __slots__ = ("_by_host",)

    def __init__(self):
        self._by_host: dict[str, dict[str, Holding]] = {}

    def add(self, holding: Holding) -> None:
        """Add a slot that was granted."""
        held = self._by_host.setdefault(holding.host, {})
        held[holding.claim_id] = holding

    def has(self, claim_id: str) -> bool:
        """Return whether a host holds a slot by a claim."""
        return any(claim_id in held for held in self._by_host.values())

    def remove(self, host: str, claim_id: str) -> Holding | None:
        """Remove a slot that was given back, if it is still held."""
        held = self._by_host.get(host, {})
        holding = held.pop(claim_id, None)
        if not held:
            self._by_host.pop(host, None)
        return holding

    def lose(self, holding: Holding, is_silent: bool, now: float) -> None:
        """Limit a slot whose connection has ended.

        After silence the host may go on; after a close it does so only if it
        connects again.
        """
        holding.ends_at = holding.deadline_at + RUN_END_S
        if not is_silent:
            holding.ends_at = min(holding.ends_at, now + RECONNECT_TIMEOUT_S)

    def resume(
        self,
        host: str,
        incarnation: int,
        connection: object,
        claim_ids: set[str],
    ) -> list[Holding]:
        """Apply what a host holds as it opens a connection.

        Returns the slots that it no longer holds, which are removed. Claims
        that came by the new connection itself may be missing in `claim_ids`.
        """
        ended = []
        for holding in list(self._by_host.get(host, {}).values()):
            if holding.connection is connection:
                continue
            is_same_process = holding.incarnation == incarnation
            if is_same_process and holding.claim_id in claim_ids:
                holding.ends_at = holding.deadline_at + RUN_END_S
                continue
            ended.append(self.remove(host, holding.claim_id))
        return ended

    def take_expired(self, now: float) -> list[Holding]:
        """Remove and return the slots whose time has passed."""
        expired = [
            holding
            for held in self._by_host.values()
            for holding in held.values()
            if holding.ends_at <= now
        ]
        for holding in expired:
            self.remove(holding.host, holding.claim_id)
        return expired

    def count_lost(self) -> int:
        """Return the number of slots whose connection has ended."""
        return sum(
            holding.is_lost
            for held in self._by_host.values()
            for holding in held.values()
        )
