"""Admits requests within their workspace's rate limit.

Each host spends its allotment of the limit and claims more from the owner.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import singledispatch

from radishstile.errors import PeerLostError, RefusalError
from radishstile.fleet.allotment import Allotment, Claim, Inquiry
from radishstile.outcome import Reason
from radishstile.workspace.limiter import RateLimiter, Reservation
from radishstile.workspace.settings import AdmissionSettings

CLAIM_TIMEOUT_S = 0.5
CLAIM_RETRY_DELAY_S = 0.25
MIN_WAIT_S = 0.001
MAX_RETRY_AFTER_S = 5.0

SendClaim = Callable[[Claim], Awaitable[list[Allotment | Inquiry]]]

_LOG = logging.getLogger("radishstile.admission")


@singledispatch
def apply_message(message, limiter: RateLimiter, now: float) -> None:
    """Apply a message of the limit's owner to a limiter."""
    raise TypeError(f"no handler for {type(message).__name__}")


@apply_message.register
def _apply_allotment(
    message: Allotment, limiter: RateLimiter, now: float
) -> None:
    limiter.apply(message, now)


@apply_message.register
def _apply_inquiry(message: Inquiry, limiter: RateLimiter, now: float) -> None:
    limiter.adopt(message.epoch, now)


class AdmissionQueue:
    """Requests of one workspace that wait for tokens, served in order.

    `head_lock` is held by the request at the head. `limiter_changed` wakes
    it, and `claim_wanted` wakes the task that sends claims.
    """

    __slots__ = (
        "limiter",
        "head_lock",
        "limiter_changed",
        "claim_wanted",
        "is_owner_unreachable",
    )

    def __init__(self, limiter: RateLimiter):
        self.limiter = limiter
        self.head_lock = asyncio.Lock()
        self.limiter_changed = asyncio.Event()
        self.claim_wanted = asyncio.Event()
        self.is_owner_unreachable = False


class RateAdmission:
    """Keeps an admission queue for each workspace.

    `send_claim` sends a claim to the limit's owner and returns the owner's
    messages; it raises `PeerLostError` if the owner is unreachable. Neither
    it nor this class calls the store. While the owner is unreachable, the
    host admits requests within its allotment and refuses the rest as
    overloaded rather than rate-exceeded.
    """

    __slots__ = ("settings", "_send_claim", "_queues")

    def __init__(self, settings: AdmissionSettings, send_claim: SendClaim):
        self.settings = settings
        self._send_claim = send_claim
        self._queues: dict[str, AdmissionQueue] = {}

    def add(self, workspace: str, limiter: RateLimiter) -> None:
        """Add a workspace; the caller must start `run_claims` for it."""
        self._queues[workspace] = AdmissionQueue(limiter)

    def remove(self, workspace: str) -> None:
        """Remove a workspace that is no longer configured."""
        self._queues.pop(workspace, None)

    def find_limiter(self, workspace: str) -> RateLimiter:
        """Return the limiter of a workspace that was added."""
        return self._queues[workspace].limiter

    def accept(self, workspace: str, message: Allotment | Inquiry) -> None:
        """Apply a message that the owner pushed without a claim."""
        queue = self._queues.get(workspace)
        if queue is None:
            return
        apply_message(message, queue.limiter, _read_clock())
        queue.limiter_changed.set()
        queue.claim_wanted.set()

    async def admit(self, workspace: str, deadline: float) -> Reservation:
        """Reserve a token for one request, or raise `RefusalError`.

        `deadline` is in seconds of the loop's clock.
        """
        queue = self._queues.get(workspace)
        if queue is None:
            raise RefusalError(Reason.NOT_CURRENT)
        now = _read_clock()
        limiter = queue.limiter
        limiter.record_arrival(now)
        if limiter.waiting == 0:
            reservation = limiter.reserve(now)
            if reservation is not None:
                _wake_claim_task(queue, now)
                return reservation
        if limiter.is_wait_futile(now):
            raise _build_refusal(queue, now)
        return await self._wait_for_token(queue, deadline)

    def try_take(self, workspace: str, now: float) -> bool:
        """Spend a token without waiting; return False if none is free.

        The call counts as demand in this host's next claim either way.
        """
        queue = self._queues.get(workspace)
        if queue is None:
            return False
        queue.limiter.record_arrival(now)
        reservation = queue.limiter.reserve(now)
        _wake_claim_task(queue, now)
        return reservation is not None and reservation.spend(now)

    async def run_claims(self, workspace: str) -> None:
        """Send the claims of one workspace until it is removed."""
        queue = self._queues[workspace]
        while self._queues.get(workspace) is queue:
            now = _read_clock()
            queue.claim_wanted.clear()
            claim = queue.limiter.make_claim(now)
            if claim is None:
                delay_s = queue.limiter.claim_due_at(now) - now
                await _wait_event(queue.claim_wanted, delay_s)
                continue
            await self._exchange_claim(queue, claim)

    async def _exchange_claim(
        self, queue: AdmissionQueue, claim: Claim
    ) -> None:
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                messages = await self._send_claim(claim)
        except (PeerLostError, TimeoutError):
            if not queue.is_owner_unreachable:
                _LOG.warning(
                    "admission: owner of %s is unreachable", claim.resource
                )
            queue.is_owner_unreachable = True
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)
            return
        queue.is_owner_unreachable = False
        for message in messages:
            apply_message(message, queue.limiter, _read_clock())
        queue.limiter_changed.set()

    async def _wait_for_token(
        self, queue: AdmissionQueue, deadline: float
    ) -> Reservation:
        wait_end = _read_clock() + self.settings.admit_wait_s
        queue.limiter.record_waiting(1)
        queue.claim_wanted.set()
        try:
            async with asyncio.timeout_at(min(deadline, wait_end)):
                async with queue.head_lock:
                    return await _reserve_at_head(queue)
        except TimeoutError:
            if deadline < wait_end:
                raise RefusalError(Reason.DEADLINE) from None
            raise _build_refusal(queue, _read_clock()) from None
        finally:
            queue.limiter.record_waiting(-1)


def _wake_claim_task(queue: AdmissionQueue, now: float) -> None:
    """Wake the task that sends the queue's claims if one is due."""
    if queue.limiter.claim_due_at(now) <= now:
        queue.claim_wanted.set()


async def _reserve_at_head(queue: AdmissionQueue) -> Reservation:
    """Wait at the head of the queue until a token can be reserved."""
    while True:
        now = _read_clock()
        queue.limiter_changed.clear()
        reservation = queue.limiter.reserve(now)
        if reservation is not None:
            return reservation
        await _wait_event(
            queue.limiter_changed, queue.limiter.time_until_available(now)
        )


async def _wait_event(event: asyncio.Event, delay_s: float) -> None:
    """Wait for an event, at most `delay_s` seconds.

    A wait shorter than the clock's resolution would end without time
    having passed, so that callers would spin.
    """
    if delay_s == float("inf"):
        await event.wait()
        return
    try:
        async with asyncio.timeout(max(MIN_WAIT_S, delay_s)):
            await event.wait()
    except TimeoutError:
        return


def _build_refusal(queue: AdmissionQueue, now: float) -> RefusalError:
    """Return the refusal for a request that got no token.

    The reason is `RATE_EXCEEDED` only if the owner is reachable and has
    answered: otherwise nobody knows whether the workspace exceeds its rate.
    """
    limiter = queue.limiter
    wait_s = limiter.time_until_available(now, limiter.waiting + 1)
    retry_after = min(MAX_RETRY_AFTER_S, wait_s)
    if queue.is_owner_unreachable or not limiter.has_owner_answered:
        return RefusalError(Reason.OVERLOADED, retry_after=retry_after)
    return RefusalError(Reason.RATE_EXCEEDED, retry_after=retry_after)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
