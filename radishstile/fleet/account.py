"""Accounting of one holder by the owner of a limit."""

from radishstile.fleet.allotment import Allotment, Claim, Identity


class HolderAccount:
    """A holder's last claim and the allotments it has not acknowledged.

    `max_rate` and `max_burst` are upper bounds over every state that the
    holder can be in, whichever of the messages in flight arrive.
    """

    __slots__ = (
        "holder",
        "serial",
        "number",
        "sent_number",
        "rate",
        "burst",
        "borrowed",
        "returned",
        "demand",
        "waiting",
        "pending",
        "sent_at",
    )

    def __init__(self, holder: Identity):
        self.holder = holder
        self.serial = 0
        self.number = 0
        self.sent_number = 0
        self.rate = 0.0
        self.burst = 0
        self.borrowed = 0
        self.returned = 0.0
        self.demand = 0.0
        self.waiting = 0
        self.pending: list[Allotment] = []
        self.sent_at = 0.0

    @property
    def max_rate(self) -> float:
        """Return the highest rate that the holder can have."""
        return max([self.rate, *(item.rate for item in self.pending)])

    @property
    def max_burst(self) -> float:
        """Return the most tokens that the holder can have or receive.

        In each possible state of the holder, the tokens of the later
        allotments are still in flight.
        """
        in_flight = sum(item.level for item in self.pending)
        at_once = sum(item.at_once for item in self.pending)
        largest = self.burst + in_flight
        for item in self.pending:
            in_flight -= item.level
            largest = max(largest, item.burst + in_flight)
        return largest + self.borrowed + at_once

    @property
    def current_rate(self) -> float:
        """Return the rate of the last allotment, or of a newer claim."""
        return self.pending[-1].rate if self.pending else self.rate

    @property
    def current_burst(self) -> int:
        """Return the burst of the last allotment, or of a newer claim."""
        return self.pending[-1].burst if self.pending else self.burst

    def apply(self, claim: Claim) -> float:
        """Apply a claim and return the tokens that it gives back.

        A claim older than the last one applied changes nothing. Tokens
        returned before an allotment in flight are not counted, since the
        holder can have received them again with it.
        """
        if claim.serial <= self.serial:
            return 0.0
        if claim.number != self.number:
            self.returned = 0.0
        self.serial = claim.serial
        self.number = claim.number
        self.rate = claim.rate
        self.burst = claim.burst
        self.borrowed = claim.borrowed
        self.demand = claim.demand
        self.waiting = claim.waiting
        self.pending = [
            item for item in self.pending if item.number > claim.number
        ]
        if self.pending:
            return 0.0
        refund = max(0.0, claim.returned - self.returned)
        self.returned = max(self.returned, claim.returned)
        return refund

    def record_issued(self, allotment: Allotment, now: float) -> None:
        """Record an allotment that is about to be sent."""
        self.sent_number = allotment.number
        self.pending.append(allotment)
        self.sent_at = now
