"""The owner of a resource's limit, which divides it by demand."""

from collections.abc import Iterable

from radishstile.fleet.account import HolderAccount
from radishstile.fleet.allotment import (
    Allotment,
    Claim,
    Identity,
    Inquiry,
    OutgoingMessage,
)
from radishstile.fleet.share import Share, divide_limit
from radishstile.workspace.bucket import TokenBucket

RESEND_INTERVAL_S = 0.25
MAX_PENDING_ALLOTMENTS = 8
OVERLOAD_AFTER_S = 0.4


class LimitOwner:
    """The only owner of a resource's limit in one epoch.

    The pool is the unallotted part: the limit less the most that each holder
    can have. It starts empty and opens when each of `members` has claimed
    what it holds or has ended. No allotment expires by time.
    """

    __slots__ = (
        "resource",
        "epoch",
        "rate",
        "burst",
        "is_closed",
        "_pool",
        "_members",
        "_awaited",
        "_ended",
        "_accounts",
        "_within_limit_at",
    )

    def __init__(
        self,
        resource: str,
        epoch: int,
        rate: float,
        burst: int,
        members: Iterable[Identity],
        now: float,
    ):
        self.resource = resource
        self.epoch = epoch
        self.rate = rate
        self.burst = burst
        self.is_closed = False
        self._pool = TokenBucket(0.0, 0.0, now)
        self._members = set(members)
        self._awaited = set(self._members)
        self._ended: set[Identity] = set()
        self._accounts: dict[Identity, HolderAccount] = {}
        self._within_limit_at = now
        self._resize_pool(now)

    @property
    def is_open(self) -> bool:
        """Return whether the pool may be allotted."""
        return not self._awaited and not self.is_closed

    @property
    def pool(self) -> TokenBucket:
        """Return the part of the limit that no holder can have."""
        return self._pool

    def sum_allotted(self) -> tuple[float, float]:
        """Return the most rate and burst that all holders can have."""
        accounts = self._accounts.values()
        rate = sum(item.max_rate for item in accounts)
        burst = sum(item.max_burst for item in accounts)
        return rate, burst

    def list_inquiries(self) -> list[OutgoingMessage]:
        """Return an inquiry for each member that has not claimed yet."""
        return [self._inquire(holder) for holder in sorted(self._awaited)]

    def close(self, now: float) -> None:
        """Stop allotting: another owner has a newer epoch."""
        self.is_closed = True
        self._resize_pool(now)

    def add_member(self, identity: Identity, now: float) -> None:
        """Allow a newly registered incarnation an allotment."""
        if identity in self._ended or identity in self._members:
            return
        self._members.add(identity)
        self._resize_pool(now)

    def record_ended(
        self, identity: Identity, now: float
    ) -> list[OutgoingMessage]:
        """Reclaim the allotment of an incarnation that has ended."""
        self._ended.add(identity)
        self._members.discard(identity)
        has_opened = self._stop_awaiting(identity)
        self._accounts.pop(identity, None)
        self._resize_pool(now)
        outgoing = self._rebalance(now)
        if has_opened:
            self._grant_all_waiting(now, outgoing)
        return outgoing

    def set_limit(
        self, rate: float, burst: int, now: float
    ) -> list[OutgoingMessage]:
        """Change the limit; reductions go out before increases."""
        self.rate = rate
        self.burst = burst
        self._resize_pool(now)
        return self._rebalance(now)

    def receive(self, claim: Claim, now: float) -> list[OutgoingMessage]:
        """Apply a claim and return the messages to send."""
        if claim.epoch > self.epoch:
            self.close(now)
        if self.is_closed or claim.holder in self._ended:
            return []
        if claim.epoch < self.epoch:
            return [self._inquire(claim.holder)]
        account = self._open_account(claim.holder)
        if claim.serial <= account.serial:
            return []
        returned = account.apply(claim)
        self._record_demand(now)
        has_opened = self._stop_awaiting(claim.holder)
        self._resize_pool(now)
        self._pool.add(returned)
        if not self.is_open:
            return []
        outgoing = self._rebalance(now)
        if has_opened:
            self._grant_all_waiting(now, outgoing)
        else:
            self._grant_waiting(account, now, outgoing)
        return outgoing

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Resend unacknowledged allotments and divide by current demand."""
        self._record_demand(now)
        if not self.is_open:
            return self.list_inquiries() if not self.is_closed else []
        resent = [
            OutgoingMessage(account.holder, account.pending[-1])
            for account in self._accounts.values()
            if account.pending and now - account.sent_at >= RESEND_INTERVAL_S
        ]
        for message in resent:
            self._accounts[message.holder].sent_at = now
        return resent + self._rebalance(now)

    def _stop_awaiting(self, holder: Identity) -> bool:
        """Stop awaiting a holder's claim; return whether this opened."""
        was_open = self.is_open
        self._awaited.discard(holder)
        return self.is_open and not was_open

    def _open_account(self, holder: Identity) -> HolderAccount:
        return self._accounts.setdefault(holder, HolderAccount(holder))

    def _inquire(self, holder: Identity) -> OutgoingMessage:
        return OutgoingMessage(holder, Inquiry(self.resource, self.epoch))

    def _resize_pool(self, now: float) -> None:
        """Set the pool to what no holder can have."""
        if not self.is_open:
            self._pool.resize(0.0, 0.0, now)
            return
        allotted_rate, allotted_burst = self.sum_allotted()
        rate = max(0.0, self.rate - allotted_rate)
        burst = max(0.0, self.burst - allotted_burst)
        self._pool.resize(rate, burst, now)

    def _rebalance(self, now: float) -> list[OutgoingMessage]:
        """Reduce holders above their share, then raise those below it."""
        if not self.is_open:
            return []
        accounts = [
            account
            for holder, account in self._accounts.items()
            if holder in self._members
        ]
        shares = divide_limit(self.rate, self.burst, accounts)
        is_short = self._is_pool_short(accounts, shares)
        outgoing = []
        for account, share in zip(accounts, shares, strict=True):
            if is_short and share.is_exceeded_by(account):
                outgoing.append(self._recall(account, share, now))
        for account, share in zip(accounts, shares, strict=True):
            if not account.pending and share.is_unmet_by(account):
                self._grow(account, share, now, outgoing)
        return outgoing

    def _is_pool_short(
        self, accounts: list[HolderAccount], shares: list[Share]
    ) -> bool:
        """Return whether holders need more than the pool has."""
        pool = self._pool
        shortfall = sum(
            share.measure_shortfall(account)
            for account, share in zip(accounts, shares, strict=True)
        )
        held = sum(account.current_rate for account in accounts)
        bursts = sum(account.current_burst for account in accounts)
        is_over = held > self.rate or bursts > self.burst
        return is_over or shortfall > pool.rate_per_s

    def _recall(
        self, account: HolderAccount, share: Share, now: float
    ) -> OutgoingMessage:
        rate = min(account.current_rate, share.rate)
        burst = min(account.current_burst, share.burst)
        allotment = self._build_allotment(account, rate, burst, now)
        account.record_issued(allotment, now)
        return OutgoingMessage(account.holder, allotment)

    def _grow(
        self,
        account: HolderAccount,
        share: Share,
        now: float,
        outgoing: list[OutgoingMessage],
    ) -> None:
        pool = self._pool
        more_rate = min(share.rate - account.rate, pool.rate_per_s)
        more_burst = min(share.burst - account.burst, int(pool.burst))
        more_rate = max(0.0, more_rate)
        more_burst = max(0, more_burst)
        if account.burst + more_burst < 1:
            return
        if more_rate <= 0 and more_burst <= 0:
            return
        level = self._choose_level(account, more_burst)
        allotment = self._build_allotment(
            account, account.rate + more_rate, account.burst + more_burst, now
        )
        allotment.level = level
        pool.take(level)
        account.record_issued(allotment, now)
        self._resize_pool(now)
        outgoing.append(OutgoingMessage(account.holder, allotment))

    def _choose_level(self, account: HolderAccount, more_burst: int) -> float:
        """Return the tokens to deliver: a fair part, or those waited for."""
        if self._pool.burst <= 0:
            return 0.0
        part = self._pool.level * more_burst / self._pool.burst
        awaited = min(account.waiting, self._pool.level, more_burst)
        return min(more_burst, max(part, awaited))

    def _build_allotment(
        self, account: HolderAccount, rate: float, burst: int, now: float
    ) -> Allotment:
        allotment = Allotment(
            self.resource, self.epoch, account.sent_number + 1, rate, burst
        )
        overload_s = now - self._within_limit_at
        allotment.is_exhausted = overload_s > OVERLOAD_AFTER_S
        return allotment

    def _record_demand(self, now: float) -> None:
        """Record when demand was last within the limit.

        Demand that moves between hosts counts twice until the first host's
        next claim, so only demand that stays above the limit is overload.
        """
        accounts = self._accounts.values()
        demand = sum(item.demand for item in accounts)
        if demand <= self.rate:
            self._within_limit_at = now

    def _grant_all_waiting(
        self, now: float, outgoing: list[OutgoingMessage]
    ) -> None:
        """Grant tokens to requests that have waited for the pool to open."""
        for account in self._accounts.values():
            self._grant_waiting(account, now, outgoing)

    def _grant_waiting(
        self,
        account: HolderAccount,
        now: float,
        outgoing: list[OutgoingMessage],
    ) -> None:
        """Grant tokens to the requests that wait at the holder."""
        granted = sum(item.level for item in account.pending)
        granted += sum(item.at_once for item in account.pending)
        wanted = account.waiting - granted
        at_once = min(int(wanted), int(self._pool.level))
        if wanted <= 0 or len(account.pending) >= MAX_PENDING_ALLOTMENTS:
            return
        allotment = self._build_allotment(
            account, account.current_rate, account.current_burst, now
        )
        if at_once > 0:
            allotment.at_once = at_once
            self._pool.take(at_once)
        account.record_issued(allotment, now)
        self._resize_pool(now)
        outgoing.append(OutgoingMessage(account.holder, allotment))
