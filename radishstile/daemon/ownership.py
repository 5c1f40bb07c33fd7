"""Resources that the roster assigns to this host, and their services."""

import asyncio
import logging
from functools import singledispatchmethod

from radishstile.configuration.document import Move
from radishstile.daemon.allotments import LimitOwnerService
from radishstile.daemon.hint import decode_hint, encode_hint
from radishstile.daemon.journals import JournalOwner
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peers
from radishstile.daemon.placements import UpstreamPlacements
from radishstile.daemon.resources import (
    JournalResource,
    MoveResource,
    RateResource,
    Resource,
    SlotsResource,
    parse_resource,
)
from radishstile.daemon.shares import RegionShares
from radishstile.daemon.slots import SlotsOwner
from radishstile.errors import PeerLostError
from radishstile.fleet.allotment import Allotment, Claim, Inquiry
from radishstile.fleet.owner import LimitOwner
from radishstile.fleet.roster import OwnerEntry
from radishstile.region.settings import RegionSettings
from radishstile.route.candidates import ZoneHint
from radishstile.shift.cap import size_burst

_LOG = logging.getLogger("radishstile.ownership")
_RESTART_DELAY_S = 1.0


class OwnedResource:
    """A resource that this host owns under one epoch, and its service."""

    __slots__ = ("resource", "epoch", "service", "task")

    def __init__(self, resource: Resource, epoch: int, service, task):
        self.resource = resource
        self.epoch = epoch
        self.service = service
        self.task = task


class OwnedResources:
    """Runs a service for each resource that the roster gives this host."""

    __slots__ = (
        "_node",
        "_peers",
        "allotments",
        "_owned",
        "_leaving_upstreams",
        "_throttled_rates",
        "_shares",
        "_placements",
        "_handed_over",
        "_requested_epochs",
        "_resource_closed",
    )

    def __init__(self, node: Node, peers: Peers):
        self._node = node
        self._peers = peers
        self.allotments = None
        self._owned: dict[str, OwnedResource] = {}
        self._leaving_upstreams: frozenset[str] = frozenset()
        # Rates of moves throttled below their caps, in requests per second.
        self._throttled_rates: dict[str, float] = {}
        self._shares = RegionShares(RegionSettings())
        self._placements = UpstreamPlacements(RegionSettings())
        # Closed services of slots, kept until the process ends, and the epochs
        # of the owners that asked for them.
        self._handed_over: dict[str, SlotsOwner] = {}
        self._requested_epochs: dict[str, int] = {}
        self._resource_closed = asyncio.Event()

    async def sync(self, group: asyncio.TaskGroup) -> None:
        """Update the services to match the roster and the configuration."""
        self._shares.apply(self._node.configuration, read_clock())
        self._placements.apply(self._node.configuration, read_clock())
        entries = self._list_entries()
        for name in list(self._owned):
            entry = entries.get(name)
            is_kept = entry and entry.epoch == self._owned[name].epoch
            if not is_kept and not self._awaits_handover(name):
                self._close(name)
        for name, entry in entries.items():
            if entry.epoch < self._requested_epochs.get(name, 0):
                continue
            if name in self._owned:
                await self._update(self._owned[name].resource, name)
            else:
                self._open(name, entry, group)

    def list_slots_owners(self) -> list[SlotsOwner]:
        """Return the services of the slots that are served here."""
        return [
            owned.service
            for owned in self._owned.values()
            if type(owned.resource) is SlotsResource
        ]

    def make_hints(self) -> dict[str, list[int]]:
        """Return the encoded load hints of the slots served here."""
        return {
            slots.resource.name: encode_hint(slots.dispatcher)
            for slots in self.list_slots_owners()
        }

    def measure_hint(self, name: str, now: float) -> ZoneHint | None:
        """Return the present load hint of one resource, or None."""
        service = self.find_service(name)
        if service is None:
            return None
        return decode_hint(encode_hint(service.dispatcher), now)

    def find_service(self, name: str):
        """Return the service of a resource, or None if there is none here."""
        owned = self._owned.get(name)
        return None if owned is None else owned.service

    async def receive_claim(self, claim: Claim) -> list[Allotment | Inquiry]:
        """Apply a claim; raises `PeerLostError` if it is not served here."""
        service = self.find_service(claim.resource)
        if service is None:
            raise PeerLostError(f"{claim.resource} is not served here")
        return await service.receive(claim)

    def close_older_epoch(self, name: str, epoch: int) -> None:
        """Close the service of an older epoch, ahead of the roster.

        The newer owner has asked for the allotments held here, so none may be
        issued under the older epoch after the answer.
        """
        owned = self._owned.get(name)
        if owned is not None and owned.epoch < epoch:
            self._close(name)

    def may_serve(self, name: str) -> bool:
        """Return whether this host owns a resource or awaits its handover."""
        return self._node.fleet.is_owner(name) or self._awaits_handover(name)

    def _awaits_handover(self, name: str) -> bool:
        """Return whether the next owner has yet to ask for the handover."""
        identity = self._node.local_member.identity
        entry = self._node.fleet.roster.owners.get(name)
        if name not in self._owned or entry is None:
            return False
        if self._node.fleet.find_end_evidence(identity) is not None:
            return False
        return (
            entry.predecessor == identity
            and self._owned[name].epoch < entry.epoch
        )

    def hand_over(self, name: str, epoch: int) -> dict | None:
        """Hand slots over to the owner of `epoch`; return what is in flight.

        Returns None as long as this host doesn't know what is in flight.
        """
        self._requested_epochs[name] = max(
            epoch, self._requested_epochs.get(name, 0)
        )
        owned = self._owned.get(name)
        if owned is not None and owned.epoch < epoch:
            if not owned.service.handover.resolved.is_set():
                return None
            self._close(name)
        slots = self._handed_over.get(name)
        if slots is None:
            return {}
        if not slots.handover.resolved.is_set():
            return None
        return slots.dispatcher.hand_over()

    def apply_leaving(self, names: frozenset[str]) -> None:
        """Apply the platform's list of upstreams that are leaving or gone."""
        if names == self._leaving_upstreams:
            return
        self._leaving_upstreams = names
        for slots in self.list_slots_owners():
            slots.apply_leaving(names)

    async def throttle_move(self, name: str, rate_per_s: float | None) -> None:
        """Limit a move served here below its cap; None lifts the limit."""
        self._throttled_rates.pop(name, None)
        if rate_per_s is not None:
            self._throttled_rates[name] = rate_per_s
        resource = MoveResource(name)
        if resource.name in self._owned:
            await self._update(resource, resource.name)

    async def release_all(self) -> None:
        """Wait for running requests, and release every resource.

        Slots are handed to their next owner first, if the roster names one in
        time.
        """
        await self._wait_for_successors()
        for slots in self.list_slots_owners():
            slots.dispatcher.close()
        async with asyncio.TaskGroup() as group:
            for name, owned in list(self._owned.items()):
                group.create_task(self._release(name, owned))
            for slots in self._handed_over.values():
                group.create_task(slots.dispatcher.wait_drained())

    async def _release(self, name: str, owned: OwnedResource) -> None:
        await self._drain(owned.resource, owned.service)
        self._node.fleet.release(name)

    async def _wait_for_successors(self) -> None:
        fleet = self._node.fleet
        if not fleet.list_entry_members(read_clock()):
            return
        wait_s = self._node.settings.fleet.handover_wait_s
        try:
            async with asyncio.timeout(wait_s):
                while self.list_slots_owners():
                    self._resource_closed.clear()
                    await self._resource_closed.wait()
        except TimeoutError:
            _LOG.info("ownership: No host has taken over the slots yet.")

    def _list_entries(self) -> dict[str, OwnerEntry]:
        fleet = self._node.fleet
        return {
            name: entry
            for name, entry in fleet.roster.owners.items()
            if entry.identity == self._node.local_member.identity
            and fleet.is_owner(name)
        }

    def _open(
        self, name: str, entry: OwnerEntry, group: asyncio.TaskGroup
    ) -> None:
        resource = parse_resource(name)
        service = self._make_service(resource, entry)
        if service is None:
            return
        task = group.create_task(self._run(resource, service))
        self._owned[name] = OwnedResource(resource, entry.epoch, service, task)
        _LOG.info("ownership: Serving %s, epoch %d.", name, entry.epoch)

    async def _run(self, resource: Resource, service) -> None:
        name = resource.name
        may_restart = True
        while may_restart:
            try:
                await service.run()
            except Exception:
                # A failed service must not cancel the others in the group.
                _LOG.exception("ownership: Service of %s failed.", name)
            may_restart = await self._wait_restart(resource)
        owned = self._owned.get(name)
        if owned is not None and owned.service is service:
            # The next sync opens it again if this host still owns it.
            del self._owned[name]

    @singledispatchmethod
    async def _wait_restart(self, resource: Resource) -> bool:
        """Return whether a failed service runs again with its state."""
        return False

    @_wait_restart.register
    async def _(self, resource: SlotsResource) -> bool:
        # A new service would not know which slots are occupied.
        await asyncio.sleep(_RESTART_DELAY_S)
        return True

    def _close(self, name: str) -> None:
        owned = self._owned.pop(name)
        self._stop(owned.resource, owned.service)
        owned.task.cancel()
        self._resource_closed.set()
        _LOG.info("ownership: No longer serving %s.", name)

    @singledispatchmethod
    def _make_service(self, resource: Resource | None, entry: OwnerEntry):
        return None

    @_make_service.register
    def _(self, resource: RateResource, entry: OwnerEntry):
        workspace = self._node.configuration.workspaces.get(resource.workspace)
        if workspace is None:
            return None
        return self._make_limit_owner(
            resource.name, entry, workspace.rate_per_s, workspace.burst
        )

    @_make_service.register
    def _(self, resource: MoveResource, entry: OwnerEntry):
        move = self._node.configuration.moves.get(resource.move)
        if move is None:
            return None
        rate_per_s, burst = self._limit_move(move)
        return self._make_limit_owner(resource.name, entry, rate_per_s, burst)

    @_make_service.register
    def _(self, resource: SlotsResource, entry: OwnerEntry):
        slots = SlotsOwner(
            resource,
            self._node,
            self._peers,
            entry,
            self._shares.find(resource.name),
            self._placements,
        )
        slots.apply_leaving(self._leaving_upstreams)
        return slots

    @_make_service.register
    def _(self, resource: JournalResource, entry: OwnerEntry):
        return JournalOwner(resource.partition, self._node)

    def _limit_move(self, move: Move) -> tuple[float, int]:
        """Return the rate in requests per second and the burst of a move."""
        burst = int(size_burst(move, self._node.settings.moves))
        throttled = self._throttled_rates.get(move.name, move.cap_per_s)
        return min(move.cap_per_s, throttled), burst

    def _make_limit_owner(
        self, name: str, entry: OwnerEntry, rate: float, burst: int
    ) -> LimitOwnerService:
        members = self._node.fleet.roster.identities
        owner = LimitOwner(
            name, entry.epoch, rate, burst, members, read_clock()
        )
        return LimitOwnerService(
            owner, self._node, self._peers, self.allotments
        )

    @singledispatchmethod
    async def _update(self, resource: Resource, name: str) -> None:
        """Apply a new configuration to a service."""

    @_update.register
    async def _(self, resource: RateResource, name: str) -> None:
        workspace = self._node.configuration.workspaces.get(resource.workspace)
        if workspace is not None:
            await self.find_service(name).set_limit(
                workspace.rate_per_s, workspace.burst
            )

    @_update.register
    async def _(self, resource: MoveResource, name: str) -> None:
        move = self._node.configuration.moves.get(resource.move)
        if move is not None:
            limit = self._limit_move(move)
            await self.find_service(name).set_limit(*limit)

    @_update.register
    async def _(self, resource: SlotsResource, name: str) -> None:
        self.find_service(name).apply_configuration()

    @singledispatchmethod
    def _stop(self, resource: Resource, service) -> None:
        """Keep a service from issuing or dispatching any more."""

    @_stop.register(RateResource)
    @_stop.register(MoveResource)
    def _(self, resource: Resource, service: LimitOwnerService) -> None:
        service.close()

    @_stop.register
    def _(self, resource: SlotsResource, service: SlotsOwner) -> None:
        service.dispatcher.hand_over()
        self._handed_over[resource.name] = service

    @singledispatchmethod
    async def _drain(self, resource: Resource, service) -> None:
        """Stop a service and wait until its resource can be released."""
        self._stop(resource, service)

    @_drain.register
    async def _(self, resource: SlotsResource, service: SlotsOwner) -> None:
        service.dispatcher.close()
        await service.handover.resolved.wait()
        await service.dispatcher.wait_drained()

    @_drain.register
    async def _(self, resource: JournalResource, service: JournalOwner):
        await service.writer.drain()
