"""Grants slots to other hosts, and takes them back."""

import asyncio
import logging

from radishstile.entry.admission import ClaimTerms
from radishstile.entry.claims import Slot, SlotClient, decode_claim
from radishstile.entry.logs import log_fields
from radishstile.entry.metrics import EntryMetrics
from radishstile.entry.node import read_clock
from radishstile.errors import LoadReportError, RefusalError, WireError
from radishstile.member import Member
from radishstile.slot.claim import Claim, Ending
from radishstile.slot.holdings import Holding, Holdings
from radishstile.slot.load_report import LoadReport, decode_report
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages.slot import (
    ClaimSlot,
    HeldSlots,
    SlotDenied,
    SlotGranted,
    SlotQueued,
    SlotReport,
)

_LOG = logging.getLogger("radishstile.grants")

# Delay after which a waiting claim's host is told that it is queued, in
# seconds, and thereby that the leader is live.
QUEUED_NOTICE_DELAY_S = 0.1
# Interval of checks for slots to take back, in seconds.
CHECK_INTERVAL_S = 0.1


class RemoteGrants:
    """The slots that other hosts hold; see `Holdings`."""

    __slots__ = ("_slot_client", "_metrics", "_holdings", "_served")

    def __init__(self, slot_client: SlotClient, metrics: EntryMetrics):
        self._slot_client = slot_client
        self._metrics = metrics
        self._holdings = Holdings()
        # Ids of the claims whose exchanges are open.
        self._served: set[str] = set()

    async def run(self) -> None:
        """Take back the slots of hosts that can't be heard."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._take_back(
                self._holdings.take_expired(read_clock()), "no report"
            )

    def count_lost(self) -> int:
        """Return the number of held slots whose connection has ended."""
        return self._holdings.count_lost()

    async def serve(self, message: ClaimSlot, exchange: Exchange) -> None:
        """Answer a claim, and hold its slot until it is given back.

        Raises `WireError` if its id is in use, as the scheduler knows runs by
        the ids of their claims.
        """
        claim_id = message.claim_id
        if claim_id in self._served or self._holdings.has(claim_id):
            raise WireError("the id of a claim is in use")
        self._served.add(claim_id)
        try:
            await self._serve(message, exchange)
        finally:
            self._served.discard(claim_id)

    async def _serve(self, message: ClaimSlot, exchange: Exchange) -> None:
        claim, terms = decode_claim(message)
        try:
            slot = await self._acquire(claim, terms, exchange)
        except RefusalError as refusal:
            denied = SlotDenied(
                reason=refusal.reason.value, retry_after=refusal.retry_after
            )
            await exchange.send(denied)
            return
        peer = exchange.peer
        holding = Holding(
            peer.host,
            peer.incarnation,
            claim.claim_id,
            exchange.connection,
            slot,
            claim.deadline_at,
        )
        self._holdings.add(holding)
        report = None
        try:
            await exchange.send(
                SlotGranted(
                    upstream_id=slot.grant.upstream_id,
                    is_warm=slot.grant.is_warm,
                    expected_s=slot.grant.expected_s,
                )
            )
            report = await exchange.receive()
        finally:
            if report is None and exchange.is_disconnected:
                is_silent = exchange.connection.is_silent
                self._holdings.lose(holding, is_silent, read_clock())
            else:
                # Also if the host closed the exchange without a report.
                await self._end(holding.host, holding.claim_id, report)

    async def apply_report(self, host: str, report: SlotReport) -> None:
        """Take back a slot whose claim came by an earlier connection."""
        await self._end(host, report.claim_id, report)

    async def resume(
        self, peer: Member, connection: object, message: HeldSlots
    ) -> None:
        """Take back the slots that a host no longer holds as it connects."""
        ended = self._holdings.resume(
            peer.host,
            peer.incarnation,
            connection,
            set(message.claim_ids),
        )
        await self._take_back(ended, "not held after a reconnect")

    async def _take_back(self, holdings: list[Holding], why: str) -> None:
        for holding in holdings:
            _LOG.info(
                "grants: Slot taken back.",
                extra=log_fields(
                    host=holding.host, request=holding.claim_id, why=why
                ),
            )
            await holding.slot.release(Ending.ABANDONED, 0.0)

    async def _end(
        self, host: str, claim_id: str, report: SlotReport | None
    ) -> None:
        """Release a slot that is still held, as abandoned without a report."""
        holding = self._holdings.remove(host, claim_id)
        if holding is None:
            return
        if report is None:
            await holding.slot.release(Ending.ABANDONED, 0.0)
            return
        await holding.slot.release(
            Ending(report.ending),
            report.held_s,
            report.rate_limit,
            self._decode_load(report),
        )

    def _decode_load(self, report: SlotReport) -> LoadReport | None:
        """Return the load that a host passes on; count an impossible one.

        The slot is released either way.
        """
        try:
            return decode_report(report.load, read_clock())
        except LoadReportError:
            self._metrics.count_load("impossible")
            return None

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
