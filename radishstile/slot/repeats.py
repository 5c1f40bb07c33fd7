"""Recognises refused requests that are repeated without an invitation."""

from collections import OrderedDict

from radishstile.slot.claim import Claim
from radishstile.slot.reservations import (
    ExpiryQueue,
    Key,
    has_same_deadline,
    make_key,
)

# Time for which a refusal is remembered, in seconds: callers come back within
# a third of the time that they have left, nearly all of them within 2 s.
MEMORY_S = 2.0
# Refusals that are remembered for one fingerprint, and for all.
MAX_PER_FINGERPRINT = 16
MAX_REFUSALS = 4096
# Weight of a new return in the share of those that keep their deadline: about
# ten decide, as all callers of a deployment do the same.
EXACT_WEIGHT = 0.1
# Repeats that are being decided.
MAX_OPEN = 2048


class RefusalRegister:
    """Recent refusals, each of which accounts for one repeat.

    Callers that read one object send the same request. Where callers that
    return name the time that is left, their deadlines tell them apart.
    """

    __slots__ = ("_by_key", "_expiries", "_open", "_exact_share")

    def __init__(self):
        self._by_key: dict[Key, list[Claim]] = {}
        # Moving average of the returns whose deadline had not changed.
        self._exact_share = 0.0
        self._expiries = ExpiryQueue()
        # Ids of the claims that count as repeats.
        self._open: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expiries)

    def add(self, claim: Claim, now: float) -> None:
        """Remember a refused claim."""
        self._expire(now)
        key = make_key(claim)
        held = self._by_key.get(key, [])
        if len(held) >= MAX_PER_FINGERPRINT or len(self) >= MAX_REFUSALS:
            return
        held.append(claim)
        self._by_key[key] = held
        expires_at = min(now + MEMORY_S, claim.deadline_at)
        self._expiries.add(claim, expires_at)

    def take(self, claim: Claim, now: float) -> bool:
        """Forget a refusal that a claim may repeat; return whether one was.

        Of several, it is the one with the most similar deadline.
        """
        self._expire(now)
        held = self._by_key.get(make_key(claim))
        if not held:
            return False
        refused = min(
            held, key=lambda h: abs(h.deadline_at - claim.deadline_at)
        )
        is_exact = has_same_deadline(refused, claim)
        if self._exact_share > 0.5 and not is_exact:
            return False
        self._forget(refused)
        return True

    def record_return(self, is_exact: bool) -> None:
        """Note whether a return, recognised by its time, kept its deadline."""
        self._exact_share += EXACT_WEIGHT * (is_exact - self._exact_share)

    def open(self, claim_id: str) -> None:
        """Count a claim as a repeat until it is decided."""
        self._open[claim_id] = None
        if len(self._open) > MAX_OPEN:
            self._open.popitem(last=False)

    def close(self, claim_id: str) -> bool:
        """Return whether a claim that is now decided is a repeat."""
        if claim_id not in self._open:
            return False
        del self._open[claim_id]
        return True

    def _forget(self, claim: Claim) -> None:
        key = make_key(claim)
        held = self._by_key.get(key, [])
        if claim not in held:
            return
        held.remove(claim)
        if not held:
            del self._by_key[key]

    def _expire(self, now: float) -> None:
        while (claim := self._expiries.take(now)) is not None:
            self._forget(claim)
