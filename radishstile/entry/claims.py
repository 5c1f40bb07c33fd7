"""Claims slots locally or from the leader that schedules them."""

import itertools
import logging

from radishstile.entry.admission import AdmissionController, ClaimTerms
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import read_clock
from radishstile.entry.peers import Peer
from radishstile.errors import PeerLostError, RefusalError, WireError
from radishstile.outcome import Outcome, Reason
from radishstile.slot.claim import Claim, Ending, Grant
from radishstile.slot.load_report import LoadReport, encode_report
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.slot import (
    ClaimSlot,
    SlotDenied,
    SlotGranted,
    SlotQueued,
    SlotReport,
)

_LOG = logging.getLogger("radishstile.claims")

# Timeout of a leader's first answer to a claim, in seconds; a live one
# answers within `QUEUED_NOTICE_DELAY_S`.
FIRST_ANSWER_TIMEOUT_S = 0.4
# Retry-After in seconds where no leader answers: about the time until the
# next one is followed.
LEADER_LOST_RETRY_S = 0.5
# Claims, to the leader and its successors, before the caller is refused.
CLAIM_ATTEMPTS = 3


class LocalSlot:
    """A slot granted by this host's scheduler."""

    __slots__ = ("grant", "_claim", "_admission")

    def __init__(
        self, grant: Grant, claim: Claim, admission: AdmissionController
    ):
        self.grant = grant
        self._claim = claim
        self._admission = admission

    async def release(
        self,
        ending: Ending,
        held_s: float,
        rate_limit: float | None = None,
        load: LoadReport | None = None,
    ) -> None:
        """Give the slot back, with the rate limit and load that were named."""
        self._admission.record_rate(
            self.grant.upstream_id, rate_limit, read_clock() - held_s
        )
        # Applied first, as it may explain the run's duration.
        self._admission.record_load(self.grant.upstream_id, load)
        self._admission.release(self._claim, self.grant, ending, held_s)


class RemoteSlot:
    """A slot granted by a peer; it is held until it is reported there."""

    __slots__ = ("grant", "_exchange", "_leader", "_admission")

    def __init__(
        self,
        grant: Grant,
        exchange: Exchange,
        leader: Peer,
        admission: AdmissionController,
    ):
        self.grant = grant
        self._exchange = exchange
        self._leader = leader
        self._admission = admission

    async def release(
        self,
        ending: Ending,
        held_s: float,
        rate_limit: float | None = None,
        load: LoadReport | None = None,
    ) -> None:
        """Give the slot back, with the rate limit and load that were named.

        This host keeps the rate limit too, as it may lead later, or lose its
        leader. A load would be out of date by then.
        """
        self._admission.record_rate(
            self.grant.upstream_id, rate_limit, read_clock() - held_s
        )
        report = SlotReport(
            claim_id=self.grant.claim_id,
            ending=ending.value,
            held_s=held_s,
            rate_limit=rate_limit,
            load=encode_report(load, read_clock()),
        )
        self._leader.held.discard(report.claim_id)
        try:
            await self._send(report)
        except WireError as error:
            # The next connection tells the leader that it is not held.
            _LOG.info("claims: Slot report not sent: %s", error)
        finally:
            self._exchange.close()

    async def _send(self, report: SlotReport) -> None:
        if self._exchange.is_disconnected:
            await self._leader.client.notify(report)
            return
        await self._exchange.send(report)
        # Flushes the report before the exchange is closed.
        self._exchange.mark_closed()


Slot = LocalSlot | RemoteSlot


class SlotClient:
    """Claims slots for requests, at this host or at a leader."""

    __slots__ = ("_leadership", "_admission", "_region", "_numbers")

    def __init__(
        self,
        leadership: Leadership,
        admission: AdmissionController,
        region: str,
    ):
        self._leadership = leadership
        self._admission = admission
        self._region = region
        self._numbers = itertools.count()

    async def claim(self, claim: Claim, terms: ClaimTerms) -> Slot:
        """Return a slot granted by the region's leader.

        Raises `RefusalError`.
        """
        for _ in range(CLAIM_ATTEMPTS):
            leader = self._leadership.find_leader()
            if leader is None:
                return await self.claim_as_leader(claim, terms)
            try:
                return await self._claim_from(leader, claim, terms)
            except (WireError, TimeoutError) as error:
                leader.suspect()
                _LOG.warning(
                    "claims: Leader lost during a claim.",
                    extra=log_fields(
                        request=claim.claim_id,
                        lead=leader.member.host,
                        why=type(error).__name__,
                    ),
                )
        raise RefusalError(
            Reason.PEER_LOST,
            Outcome.NOT_RUN,
            LEADER_LOST_RETRY_S,
            "no leader of this region answers",
        )

    async def claim_as_leader(self, claim: Claim, terms: ClaimTerms) -> Slot:
        """Return a slot of this host's scheduler or of a remote leader.

        A claim whose regions exclude this one goes to the leaders of those
        regions. Raises `RefusalError`.
        """
        if not claim.regions or self._region in claim.regions:
            grant = await self._admission.acquire(claim, terms)
            return LocalSlot(grant, claim, self._admission)
        for region in sorted(claim.regions):
            leader = self._leadership.find_leader_of(region)
            if leader is None:
                continue
            try:
                return await self._claim_from(leader, claim, terms)
            except (WireError, TimeoutError) as error:
                leader.suspect()
                _LOG.warning(
                    "claims: Remote leader lost during a claim.",
                    extra=log_fields(
                        request=claim.claim_id,
                        region=region,
                        why=type(error).__name__,
                    ),
                )
        raise RefusalError(
            Reason.NO_UPSTREAM,
            Outcome.NOT_RUN,
            LEADER_LOST_RETRY_S,
            "no leader of the allowed regions answers",
        )

    async def _claim_from(
        self, leader: Peer, claim: Claim, terms: ClaimTerms
    ) -> Slot:
        """Return a slot granted by a peer.

        Raises `RefusalError`, `WireError` and `TimeoutError`.
        """
        # An earlier claim for the same request may have been granted without
        # this host having heard of it.
        claim_id = f"{claim.claim_id}.{next(self._numbers)}"
        leader.held.add(claim_id)
        exchange = None
        try:
            exchange = await leader.client.open(
                encode_claim(claim_id, claim, terms)
            )
            message = await exchange.receive(FIRST_ANSWER_TIMEOUT_S)
            if type(message) is SlotQueued:
                left_s = max(0.0, claim.deadline_at - read_clock())
                message = await exchange.receive(left_s)
            grant = _decode_answer(message, claim_id)
        except BaseException:
            leader.held.discard(claim_id)
            if exchange is not None:
                exchange.close()
            raise
        return RemoteSlot(grant, exchange, leader, self._admission)


def encode_claim(claim_id: str, claim: Claim, terms: ClaimTerms) -> ClaimSlot:
    """Return the message for a claim, with times relative to now."""
    now = read_clock()
    return ClaimSlot(
        claim_id=claim_id,
        service=claim.service,
        route=claim.route,
        object_key=claim.object_key,
        priority=claim.priority,
        zone=claim.zone,
        regions=sorted(claim.regions),
        excluded=sorted(claim.excluded),
        objective_s=terms.objective_s,
        objective_left_s=claim.objective_at - now,
        deadline_left_s=claim.deadline_at - now,
        workspace=claim.workspace,
        is_charged=terms.is_charged,
        fingerprint=claim.fingerprint,
    )


def decode_claim(message: ClaimSlot) -> tuple[Claim, ClaimTerms]:
    """Return a message's claim, with its times based on now."""
    now = read_clock()
    claim = Claim(
        message.claim_id,
        message.service,
        message.route,
        message.object_key,
        message.priority,
        message.zone,
        frozenset(message.regions),
        frozenset(message.excluded),
        now,
        now + message.objective_left_s,
        now + message.deadline_left_s,
        message.workspace,
        message.fingerprint,
    )
    return claim, ClaimTerms(message.is_charged, message.objective_s)


def _decode_answer(message: Message, claim_id: str) -> Grant:
    if type(message) is SlotGranted:
        return Grant(
            claim_id,
            message.upstream_id,
            message.is_warm,
            message.expected_s,
        )
    if type(message) is SlotDenied:
        raise RefusalError(
            Reason(message.reason),
            Outcome.NOT_RUN,
            message.retry_after,
            "the leader denied the claim",
        )
    raise PeerLostError(f"unexpected answer: {type(message).__name__}")
