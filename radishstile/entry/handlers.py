"""Handles the messages of other hosts."""

import asyncio
import logging
from functools import singledispatchmethod

from radishstile.entry.admission import AdmissionController, ClaimTerms
from radishstile.entry.claims import Slot, SlotClient, decode_claim
from radishstile.entry.leadership import Leadership
from radishstile.entry.loans import Loans
from radishstile.entry.node import read_clock
from radishstile.entry.replica import Replica
from radishstile.entry.sources import encode_changes, encode_listing
from radishstile.errors import HistoryLostError, RefusalError, WireError
from radishstile.slot.claim import Claim, Ending
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.fleet import ReportCrash, ReportSuccess
from radishstile.wire.messages.slot import (
    BorrowSlots,
    ClaimSlot,
    FollowLead,
    MirrorQuery,
    MirrorReply,
    ReportRates,
    SlotDenied,
    SlotGranted,
    SlotQueued,
)
from radishstile.wire.reports import decode_report

_LOG = logging.getLogger("radishstile.handlers")

# Delay after which a waiting claim's host is told that it is queued, in
# seconds, and thereby that the leader is live.
QUEUED_NOTICE_DELAY_S = 0.1


class MessageHandler:
    """Handles each message that opens an exchange with a peer."""

    __slots__ = (
        "_leadership",
        "_slot_client",
        "_loans",
        "_replica",
        "_admission",
    )

    def __init__(
        self,
        leadership: Leadership,
        slot_client: SlotClient,
        loans: Loans,
        replica: Replica,
        admission: AdmissionController,
    ):
        self._admission = admission
        self._leadership = leadership
        self._slot_client = slot_client
        self._loans = loans
        self._replica = replica

    async def __call__(self, message: Message, exchange: Exchange) -> None:
        """Handle one message."""
        await self._handle(message, exchange)

    @singledispatchmethod
    async def _handle(self, message, exchange: Exchange) -> None:
        raise WireError(f"unsupported message {type(message).__name__}")

    @_handle.register
    async def _(self, message: FollowLead, exchange: Exchange) -> None:
        host = exchange.peer.host
        await exchange.send(self._leadership.answer_heartbeat(message, host))

    @_handle.register
    async def _(
        self, message: ReportCrash | ReportSuccess, exchange: Exchange
    ) -> None:
        self._admission.apply_report(decode_report(message))

    @_handle.register
    async def _(self, message: ReportRates, exchange: Exchange) -> None:
        for upstream_id, per_s in message.rates.items():
            self._admission.record_rate(upstream_id, per_s, read_clock())

    @_handle.register
    async def _(self, message: BorrowSlots, exchange: Exchange) -> None:
        await exchange.send(self._loans.lend(message))

    @_handle.register
    async def _(self, message: MirrorQuery, exchange: Exchange) -> None:
        mirror = self._replica.find_mirror(message.kind)
        try:
            if message.revision < 0:
                reply = encode_listing(mirror.list_all())
            else:
                reply = encode_changes(
                    await mirror.watch(message.revision, message.wait_s)
                )
        except HistoryLostError:
            reply = MirrorReply(objects=[], revision=0, is_lost=True)
        await exchange.send(reply)

    @_handle.register
    async def _(self, message: ClaimSlot, exchange: Exchange) -> None:
        claim, terms = decode_claim(message)
        try:
            slot = await self._acquire(claim, terms, exchange)
        except RefusalError as refusal:
            await exchange.send(
                SlotDenied(
                    reason=refusal.reason.value,
                    retry_after=refusal.retry_after,
                )
            )
            return
        ending, held_s, rate_limit = Ending.ABANDONED, 0.0, None
        try:
            await exchange.send(
                SlotGranted(
                    upstream_id=slot.grant.upstream_id,
                    is_warm=slot.grant.is_warm,
                    expected_s=slot.grant.expected_s,
                )
            )
            report = await exchange.receive()
            ending, held_s = Ending(report.ending), report.held_s
            rate_limit = report.rate_limit
        finally:
            # Also if the connection is lost or the caller disconnects.
            await slot.release(ending, held_s, rate_limit)

    async def _acquire(
        self, claim: Claim, terms: ClaimTerms, exchange: Exchange
    ) -> Slot:
        """Wait for a slot, and tell the host if the claim is queued."""
        task = asyncio.ensure_future(
            self._slot_client.claim_as_leader(claim, terms)
        )
        try:
            await asyncio.wait({task}, timeout=QUEUED_NOTICE_DELAY_S)
            if not task.done():
                left_s = claim.deadline_at - read_clock()
                await exchange.send(SlotQueued(wait_s=left_s))
            return await task
        except BaseException:
            await _cancel_claim(task)
            raise


async def _cancel_claim(task: asyncio.Task) -> None:
    """Cancel a claim; a slot that was granted meanwhile is released."""
    task.cancel()
    try:
        slot = await task
    except (asyncio.CancelledError, RefusalError):
        return
    await slot.release(Ending.ABANDONED, 0.0)
