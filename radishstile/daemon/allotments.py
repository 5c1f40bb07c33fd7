"""Allotments of rates and caps, as this host owns or holds them."""

import asyncio
import logging

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peers
from radishstile.daemon.resources import MoveResource, RateResource
from radishstile.errors import PeerLostError, RefusalError, WireError
from radishstile.fleet.allotment import (
    Allotment,
    Claim,
    Inquiry,
    OutgoingMessage,
)
from radishstile.fleet.owner import LimitOwner
from radishstile.wire.messages.fleet import ClaimRight, GrantRight
from radishstile.wire.records import decode_record
from radishstile.wire.refusals import raise_for_error
from radishstile.workspace.admission import RateAdmission
from radishstile.workspace.limiter import RateLimiter

_LOG = logging.getLogger("radishstile.allotments")
_TICK_INTERVAL_S = 0.25
_OPENING_INTERVAL_S = 0.01
_CLAIM_TIMEOUT_S = 0.5


class LimitOwnerService:
    """Owns one limit: answers claims and recalls idle allotments."""

    __slots__ = ("owner", "_node", "_peers", "_allotments", "_ended_members")

    def __init__(
        self,
        owner: LimitOwner,
        node: Node,
        peers: Peers,
        allotments: "HeldAllotments",
    ):
        self.owner = owner
        self._node = node
        self._peers = peers
        self._allotments = allotments
        self._ended_members: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Ask the other hosts for their allotments, then divide the limit.

        An inquiry is lost if the host is not connected yet or has not read
        the roster, so inquiries are repeated after short delays at first.
        """
        delay_s = _OPENING_INTERVAL_S
        await self._send(self.owner.list_inquiries())
        while True:
            await asyncio.sleep(delay_s)
            await self._send(self._update_members())
            await self._send(self.owner.tick(read_clock()))
            is_opening = not self.owner.is_open
            delay_s = (
                min(_TICK_INTERVAL_S, 2 * delay_s)
                if is_opening
                else _TICK_INTERVAL_S
            )

    async def receive(self, claim: Claim) -> list[Allotment | Inquiry]:
        """Apply a claim and return the messages for its holder."""
        outgoing = self.owner.receive(claim, read_clock())
        replies = [d.message for d in outgoing if d.holder == claim.holder]
        await self._send([d for d in outgoing if d.holder != claim.holder])
        return replies

    async def set_limit(self, rate: float, burst: int) -> None:
        """Apply the limit of a new configuration."""
        if (rate, burst) == (self.owner.rate, self.owner.burst):
            return
        await self._send(self.owner.set_limit(rate, burst, read_clock()))

    def close(self) -> None:
        """Issue no more allotments."""
        self.owner.close(read_clock())

    def _update_members(self) -> list[OutgoingMessage]:
        now = read_clock()
        for identity in self._node.fleet.roster.identities:
            self.owner.add_member(identity, now)
        outgoing = []
        for end in self._node.fleet.list_ended():
            if end.identity not in self._ended_members:
                self._ended_members.add(end.identity)
                outgoing += self.owner.record_ended(end.identity, now)
        return outgoing

    async def _send(self, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            await self._send_one(outgoing)

    async def _send_one(self, outgoing: OutgoingMessage) -> None:
        if outgoing.holder == self._node.local_member.identity:
            self._allotments.accept(outgoing.message)
            return
        member = self._node.fleet.find_member(outgoing.holder)
        if member is not None:
            await self._peers.notify(member, encode_grant([outgoing.message]))


class HeldAllotments:
    """Allotments that this host holds, with a limiter for each limit."""

    __slots__ = ("admission", "_node", "_peers", "_owned_resources", "_tasks")

    def __init__(self, node: Node, peers: Peers, owned_resources):
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources
        self._tasks: dict[str, asyncio.Task] = {}
        self.admission = RateAdmission(node.settings.limits, self._send_claim)

    def sync(self, group: asyncio.TaskGroup) -> None:
        """Add and remove limiters to match the configuration."""
        configuration = self._node.configuration
        wanted = [RateResource(name).name for name in configuration.workspaces]
        wanted += [MoveResource(name).name for name in configuration.moves]
        for resource in self._tasks.keys() - set(wanted):
            self.admission.remove(resource)
            self._tasks.pop(resource).cancel()
        for resource in wanted:
            if resource not in self._tasks:
                self._add_limiter(resource, group)
        self._update_registration()

    def accept(self, message: Allotment | Inquiry) -> None:
        """Apply a message that the owner of a limit sent unasked."""
        self.admission.accept(message.resource, message)

    def _add_limiter(self, resource: str, group: asyncio.TaskGroup) -> None:
        limiter = RateLimiter(
            resource,
            self._node.local_member.identity,
            self._node.settings.limits,
            read_clock(),
            self._is_registered(),
        )
        self.admission.add(resource, limiter)
        self._tasks[resource] = group.create_task(
            self.admission.run_claims(resource)
        )

    def _is_registered(self) -> bool:
        fleet = self._node.fleet
        return fleet.roster.is_registered(self._node.local_member.identity)

    def _update_registration(self) -> None:
        if not self._is_registered():
            return
        for resource in self._tasks:
            self.admission.find_limiter(resource).is_registered = True

    async def _send_claim(self, claim: Claim) -> list[Allotment | Inquiry]:
        owner = self._node.fleet.find_owner(claim.resource)
        if owner is None:
            raise PeerLostError(f"{claim.resource} has no owner")
        if owner == self._node.local_member:
            return await self._owned_resources.receive_claim(claim)
        message = ClaimRight(claim=claim.to_record())
        try:
            reply = await self._peers.call(owner, message, _CLAIM_TIMEOUT_S)
            raise_for_error(reply)
            return decode_record(decode_grant, reply)
        except (RefusalError, WireError) as error:
            raise PeerLostError(f"{owner.host}: {error}") from error


def encode_grant(messages: list[Allotment | Inquiry]) -> GrantRight:
    """Return the message that carries allotments and inquiries."""
    allotments = [m.to_record() for m in messages if type(m) is Allotment]
    inquiries = [m.to_record() for m in messages if type(m) is Inquiry]
    return GrantRight(allotments=allotments, inquiries=inquiries)


def decode_grant(message: GrantRight) -> list[Allotment | Inquiry]:
    """Return the allotments and inquiries that a message carries."""
    inquiries = [Inquiry.from_record(row) for row in message.inquiries]
    allotments = [Allotment.from_record(row) for row in message.allotments]
    return inquiries + allotments
