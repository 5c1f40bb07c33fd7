"""Handles the messages of other hosts."""

from functools import singledispatchmethod

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.loans import Loans
from radishstile.entry.node import read_clock
from radishstile.entry.remote_grants import RemoteGrants
from radishstile.entry.replica import Replica
from radishstile.entry.sources import (
    encode_changes,
    encode_listing,
    split_reply,
)
from radishstile.errors import HistoryLostError, WireError
from radishstile.platform.revision import Revision
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.fleet import ReportCrash, ReportSuccess
from radishstile.wire.messages.slot import (
    BorrowSlots,
    ClaimSlot,
    FollowLead,
    HeldSlots,
    MirrorQuery,
    MirrorReply,
    ReportLeaving,
    ReportRates,
    SlotReport,
)
from radishstile.wire.reports import decode_report


class MessageHandler:
    """Handles each message that opens an exchange with a peer."""

    __slots__ = (
        "_leadership",
        "_grants",
        "_loans",
        "_replica",
        "_admission",
    )

    def __init__(
        self,
        leadership: Leadership,
        grants: RemoteGrants,
        loans: Loans,
        replica: Replica,
        admission: AdmissionController,
    ):
        self._admission = admission
        self._leadership = leadership
        self._grants = grants
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
        state = self._leadership.answer_heartbeat(message, exchange.peer)
        await exchange.send(state)

    @_handle.register
    async def _(
        self,
        message: ReportCrash | ReportSuccess | ReportLeaving,
        exchange: Exchange,
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
                    await mirror.watch(
                        Revision(message.revision), message.wait_s
                    )
                )
        except HistoryLostError:
            reply = MirrorReply(
                objects=[], revision=0, is_lost=True, has_more=False
            )
        for page in split_reply(reply):
            await exchange.send(page)

    @_handle.register
    async def _(self, message: ClaimSlot, exchange: Exchange) -> None:
        await self._grants.serve(message, exchange)

    @_handle.register
    async def _(self, message: SlotReport, exchange: Exchange) -> None:
        await self._grants.apply_report(exchange.peer.host, message)

    @_handle.register
    async def _(self, message: HeldSlots, exchange: Exchange) -> None:
        await self._grants.resume(exchange.peer, exchange.connection, message)
