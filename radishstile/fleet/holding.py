"""The allotment of a resource that a holder has applied."""

from radishstile.fleet.allotment import Allotment


class Holding:
    """What one incarnation holds of one resource.

    `rate` is in units a second and `burst` in whole units.
    """

    __slots__ = ("resource", "epoch", "number", "rate", "burst")

    def __init__(self, resource: str, epoch: int = 0):
        self.resource = resource
        self.epoch = epoch
        self.number = 0
        self.rate = 0.0
        self.burst = 0

    def adopt_epoch(self, epoch: int) -> bool:
        """Keep the allotment under a newer epoch, with new numbering."""
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self.number = 0
        return True

    def apply(self, allotment: Allotment) -> bool:
        """Apply `allotment` if it is the newest of the adopted epoch.

        An allotment of another epoch is dropped: its owner cannot have
        accounted for what is held here.
        """
        if allotment.epoch != self.epoch:
            return False
        if allotment.number <= self.number:
            return False
        self.number = allotment.number
        self.rate = allotment.rate
        self.burst = allotment.burst
        return True

    def shrink(self, rate: float, burst: int) -> None:
        """Reduce the allotment to at most `rate` and `burst`."""
        self.rate = min(self.rate, rate)
        self.burst = min(self.burst, burst)
