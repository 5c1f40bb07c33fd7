"""Admits requests by their workspace's rate, and asks homes for more."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import singledispatch

from radishstile.errors import PeerLostError, RefusalError
from radishstile.fleet.allotment import Allotment, Claim, Inquiry
from radishstile.outcome import Reason
from radishstile.workspace.limiter import Limiter, Reservation
from radishstile.workspace.settings import AdmissionSettings

CLAIM_TIMEOUT_S = 0.5
RETRY_S = 0.25
MIN_WAIT_S = 0.001
MAX_RETRY_AFTER_S = 5.0

SendClaim = Callable[[Claim], Awaitable[list[Allotment | Inquiry]]]

_LOG = logging.getLogger("radishstile.gate")


@singledispatch
def deliver(message, limiter: Limiter, now: float) -> None:
    """Let a limiter obey a message of its home."""
    raise TypeError(f"no rule for {type(message).__name__}")


@deliver.register
def _deliver_allotment(
    message: Allotment, limiter: Limiter, now: float
) -> None:
    limiter.apply(message, now)


@deliver.register
def _deliver_inquiry(message: Inquiry, limiter: Limiter, now: float) -> None:
    limiter.adopt(message.epoch, now)


class Lane:
    """The requests of one workspace that wait here, first come first."""

    __slots__ = ("limiter", "turn", "changed", "asked", "is_cut_off")

    def __init__(self, limiter: Limiter):
        self.limiter = limiter
        self.turn = asyncio.Lock()
        self.changed = asyncio.Event()
        self.asked = asyncio.Event()
        self.is_cut_off = False


class Gate:
    """Holds a lane for each workspace.

    `send_claim` carries a claim to the resource's home and returns the
    messages that came back; it raises `PeerLostError` where the home can't
    be reached. Neither it nor the gate calls the store. While the home is
    away, requests are admitted by what is held here, and those that find
    nothing are refused as overloaded, not as above their rate.
    """

    __slots__ = ("settings", "_send_claim", "_lanes")

    def __init__(self, settings: AdmissionSettings, send_claim: SendClaim):
        self.settings = settings
        self._send_claim = send_claim
        self._lanes: dict[str, Lane] = {}

    def add(self, workspace: str, limiter: Limiter) -> None:
        """Open a lane; `run` must be started for it."""
        self._lanes[workspace] = Lane(limiter)

    def remove(self, workspace: str) -> None:
        """Close the lane of a workspace that is no longer configured."""
        self._lanes.pop(workspace, None)

    def find_limiter(self, workspace: str) -> Limiter:
        """Return the limiter of a lane that was added."""
        return self._lanes[workspace].limiter

    def deliver(self, workspace: str, message: Allotment | Inquiry) -> None:
        """Take in a message that a home sent without being asked."""
        lane = self._lanes.get(workspace)
        if lane is None:
            return
        deliver(message, lane.limiter, _read_clock())
        lane.changed.set()
        lane.asked.set()

    async def admit(self, workspace: str, deadline: float) -> Reservation:
        """Return a token for one request, or raise `RefusalError`.

        `deadline` is in seconds of the loop's clock.
        """
        lane = self._lanes.get(workspace)
        if lane is None:
            raise RefusalError(Reason.NOT_CURRENT)
        now = _read_clock()
        limiter = lane.limiter
        limiter.note_arrival(now)
        if limiter.waiting == 0:
            reservation = limiter.reserve(now)
            if reservation is not None:
                _wake_claims(lane, now)
                return reservation
        if limiter.is_vain(now):
            raise _refuse(lane, now)
        return await self._wait(lane, deadline)

    def try_take(self, workspace: str, now: float) -> bool:
        """Spend a token at once, or return False where none is held.

        Its demand makes this host's next claim ask for more.
        """
        lane = self._lanes.get(workspace)
        if lane is None:
            return False
        lane.limiter.note_arrival(now)
        reservation = lane.limiter.reserve(now)
        _wake_claims(lane, now)
        return reservation is not None and reservation.spend(now)

    async def run(self, workspace: str) -> None:
        """Send the claims of one workspace until its lane is closed."""
        lane = self._lanes[workspace]
        while self._lanes.get(workspace) is lane:
            now = _read_clock()
            lane.asked.clear()
            claim = lane.limiter.make_claim(now)
            if claim is None:
                delay_s = lane.limiter.claim_due_at(now) - now
                await _wait_event(lane.asked, delay_s)
                continue
            await self._exchange(lane, claim)

    async def _exchange(self, lane: Lane, claim: Claim) -> None:
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                messages = await self._send_claim(claim)
        except (PeerLostError, TimeoutError):
            if not lane.is_cut_off:
                _LOG.warning("Gate: home of %s is away.", claim.resource)
            lane.is_cut_off = True
            await asyncio.sleep(RETRY_S)
            return
        lane.is_cut_off = False
        for message in messages:
            deliver(message, lane.limiter, _read_clock())
        lane.changed.set()

    async def _wait(self, lane: Lane, deadline: float) -> Reservation:
        bound = _read_clock() + self.settings.admit_wait_s
        lane.limiter.note_waiting(1)
        lane.asked.set()
        try:
            async with asyncio.timeout_at(min(deadline, bound)):
                async with lane.turn:
                    return await _take_token(lane)
        except TimeoutError:
            if deadline < bound:
                raise RefusalError(Reason.DEADLINE) from None
            raise _refuse(lane, _read_clock()) from None
        finally:
            lane.limiter.note_waiting(-1)


def _wake_claims(lane: Lane, now: float) -> None:
    """Wake the lane's own task where it has something to claim."""
    if lane.limiter.claim_due_at(now) <= now:
        lane.asked.set()


async def _take_token(lane: Lane) -> Reservation:
    """Wait at the head of the lane until a token is there."""
    while True:
        now = _read_clock()
        lane.changed.clear()
        reservation = lane.limiter.reserve(now)
        if reservation is not None:
            return reservation
        await _wait_event(lane.changed, lane.limiter.time_to_token(now))


async def _wait_event(event: asyncio.Event, delay_s: float) -> None:
    """Wait for an event, at most `delay_s` seconds.

    A wait below the clock's resolution would come back at the same time.
    """
    if delay_s == float("inf"):
        await event.wait()
        return
    try:
        async with asyncio.timeout(max(MIN_WAIT_S, delay_s)):
            await event.wait()
    except TimeoutError:
        return


def _refuse(lane: Lane, now: float) -> RefusalError:
    """Return the refusal of a request that got no token.

    Where the home has not answered, the fleet can't say that the workspace
    is above its rate, hence its caller isn't told so.
    """
    limiter = lane.limiter
    wait_s = limiter.time_to_token(now, limiter.waiting + 1)
    retry_after = min(MAX_RETRY_AFTER_S, wait_s)
    if lane.is_cut_off or not limiter.is_answered:
        return RefusalError(Reason.OVERLOADED, retry_after=retry_after)
    return RefusalError(Reason.RATE_EXCEEDED, retry_after=retry_after)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
