"""Parts of the fleet's limits: who holds them, and until when.

Slots, rates and the other limits of a fleet are divided into as many parts as
hosts are registered. Each host owns one part and lends it to the leader that
it follows. Three rules keep the parts in use from summing to more than the
whole:

- A part is lent to one leader at a time: to another one only once the former
  has confirmed that it gave the part up, its process is gone, or the lease has
  run out. A lease lasts for `LEASE_S` of the leader's clock, from the value
  that the host returns to it, so neither delays nor clocks extend it.
- A host lends its part of the rates only once its registration is so old that
  every host that still admits requests has seen it.
- A registration that was removed counts in the divisor for as long. A host
  that stops keeps its registration.
"""

# Duration of a lease, in seconds of the leader's clock: three heartbeats, less
# the time for which the returned clock value is old already.
LEASE_S = 1.3
# Shortest time from the end of a process to the start of its host's next one,
# in seconds, which knows nothing of earlier leases.
RESTART_S = 1.0
# By how much the owner's view of a lease is longer, in seconds, as a leader
# applies the end of a lease a little late.
LEASE_MARGIN_S = 0.1
# Stands for the unknown leader that an earlier process may have lent to.
_EARLIER_LEADER = ""


class OwnPart:
    """To whom a host has lent its part.

    Times are in seconds of a clock that counts suspended time.
    """

    __slots__ = ("_leased_until",)

    def __init__(self, started_at: float):
        # By leader, the end of the lease on this host's clock.
        self._leased_until: dict[str, float] = {
            _EARLIER_LEADER: started_at + LEASE_S + LEASE_MARGIN_S - RESTART_S
        }

    def try_lend(self, leader: str, heard_at: float, now: float) -> bool:
        """Lend the part to a leader, or renew the lease, if it is free.

        `heard_at` is when this host received the leader's clock value that it
        returns now. Returns whether the part is lent to the leader.
        """
        if (
            heard_at + LEASE_S <= now
            or self.find_other_end(leader, now) is not None
        ):
            return False
        self._leased_until[leader] = max(
            heard_at + LEASE_S + LEASE_MARGIN_S,
            self._leased_until.get(leader, float("-inf")),
        )
        return True

    def release(self, leader: str) -> bool:
        """Record that a leader gave the part up; return whether it had it."""
        return self._leased_until.pop(leader, None) is not None

    def release_earlier(self) -> None:
        """Record that this host's name had no process before."""
        self._leased_until.pop(_EARLIER_LEADER, None)

    def find_other_end(self, leader: str, now: float) -> float | None:
        """Return when the leases of leaders other than this one have ended.

        Returns None if there is no such lease.
        """
        self._leased_until = {
            name: until
            for name, until in self._leased_until.items()
            if until > now
        }
        ends = [u for name, u in self._leased_until.items() if name != leader]
        return max(ends, default=None)


class PartLease:
    """A leader's lease of one part; `is_settled` is whether of rates too."""

    __slots__ = ("until", "is_settled")

    def __init__(self, until: float, is_settled: bool):
        self.until = until
        self.is_settled = is_settled


class HeldParts:
    """The parts that a leader holds, by their owners.

    Times are in seconds of the leader's clock, which counts suspended time.
    Heartbeats carry an order, the incarnation and the number of the sender's,
    as one may arrive late by a connection that was replaced.
    """

    __slots__ = ("_leases", "_orders")

    def __init__(self):
        self._leases: dict[str, PartLease] = {}
        self._orders: dict[str, tuple[int, int]] = {}

    def record(
        self, owner: str, order: tuple[int, int], lease: PartLease
    ) -> None:
        """Record a lease, unless the heartbeat that told it is late."""
        if not self._is_late(owner, order):
            self._leases[owner] = lease

    def give_up(self, owner: str, order: tuple[int, int]) -> None:
        """Give a part up, as its owner asks for."""
        if not self._is_late(owner, order):
            self.drop(owner)

    def drop(self, owner: str) -> None:
        """Stop using a part."""
        self._leases.pop(owner, None)

    def _is_late(self, owner: str, order: tuple[int, int]) -> bool:
        """Return whether a later heartbeat of the same process came before.

        Incarnations are not compared: a clock may have been set back.
        """
        incarnation, number = self._orders.get(owner, order)
        if incarnation == order[0] and number > order[1]:
            return True
        self._orders[owner] = order
        return False

    def list_held(self, now: float) -> set[str]:
        """Return the owners of all parts held."""
        self._expire(now)
        return set(self._leases)

    def list_settled(self, now: float) -> set[str]:
        """Return the owners of the parts held that are parts of rates."""
        self._expire(now)
        return {
            owner for owner, lease in self._leases.items() if lease.is_settled
        }

    def find_next_end(self) -> float:
        """Return when the first lease ends, infinite if there is none."""
        ends = (lease.until for lease in self._leases.values())
        return min(ends, default=float("inf"))

    def _expire(self, now: float) -> None:
        self._leases = {
            owner: lease
            for owner, lease in self._leases.items()
            if lease.until > now
        }


def measure_share(held: set[str], registered: set[str]) -> float:
    """Return what the parts held are of the whole.

    `registered` are the hosts that the whole is divided among.
    """
    return len(held) / max(1, len(held | registered))
