"""Loans in use, and how a new leader takes over those of its predecessor."""

from radishstile.slot.loan_limiter import UNLIMITED_S, LoanRateLimiter


class Loan:
    """What this region has borrowed from another.

    `lender` identifies the process that lent it. By service, `wanted` are the
    slots asked for and `slots` those in use: as asked for where the lender had
    them, else as lent.
    """

    __slots__ = ("lender", "wanted", "slots", "renewed_at")

    def __init__(self):
        self.lender: tuple[str, int] = ("", 0)
        self.wanted: dict[str, float] = {}
        self.slots: dict[str, float] = {}
        self.renewed_at = float("-inf")

    def record(self, service: str, lent: float) -> None:
        """Record the slots of a service that the lender has granted."""
        wanted = self.wanted.get(service, 0.0)
        is_whole = abs(wanted - lent) < 1
        self.slots[service] = wanted if is_whole else lent


class LoanHandover:
    """Lifts and sets the limit of loans after a change of the leader.

    Lenders are found one after the other, so each is asked for the earlier
    loan by itself. Times are the event loop's, in seconds.
    """

    __slots__ = (
        "_limiter",
        "_led_since",
        "_asked",
        "_is_continued",
        "_has_lost_loan",
    )

    def __init__(self, limiter: LoanRateLimiter):
        self._limiter = limiter
        self._led_since = float("-inf")
        # Regions whose first answers have come since this host leads, and
        # whether one continues a loan of its predecessor or knew of none.
        self._asked: set[str] = set()
        self._is_continued = False
        self._has_lost_loan = False

    def start(self, led_since: float) -> None:
        """Let loans follow the plan at once until a lender continues one."""
        self._led_since = led_since
        self._asked.clear()
        self._is_continued = self._has_lost_loan = False
        self._limiter.start(led_since)

    def is_first_request(self, region: str, now: float) -> bool:
        """Return whether a lender may know a loan of the predecessor."""
        led_s = now - self._led_since
        return region not in self._asked and led_s < UNLIMITED_S

    def record_answer(
        self,
        region: str,
        slots: dict[str, float],
        is_continued: bool,
        now: float,
    ) -> None:
        """Limit changes, or lift the limit if a lender knows of no loan.

        Limits hold once a lender continues a loan. Another one whose leader
        was replaced as well has lost its loan, and what ran there has moved:
        limited growth would keep it out for the rest of a wave of demand.
        """
        is_wanted = any(map(round, slots.values()))
        if not is_continued and not is_wanted:
            # The plan may not know its load yet.
            return
        self._asked.add(region)
        self._is_continued |= is_continued
        self._has_lost_loan |= not is_continued
        if not self._is_continued:
            return
        self._limiter.resume()
        if not self._has_lost_loan:
            return
        for service in slots:
            self._limiter.lift_growth(service, now)
