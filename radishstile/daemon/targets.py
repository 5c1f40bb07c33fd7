"""Chooses the zones that a request may run in, sorted by preference."""

import asyncio

from radishstile.call import CallerRequest
from radishstile.configuration.document import Route
from radishstile.daemon.links import LinkBudgets
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.ownership import OwnedResources
from radishstile.daemon.peers import Peers
from radishstile.daemon.replication import Replication
from radishstile.daemon.resources import SlotsResource
from radishstile.daemon.steering import Steering, SteeringDecision
from radishstile.lookup.address import ClientAddress
from radishstile.member import Member
from radishstile.route.candidates import (
    Candidate,
    Location,
    ZoneHint,
    order_candidates,
)
from radishstile.route.settings import ChoiceSettings

_DEFAULT_DELAY_S = 0.1
_RECHECK_INTERVAL_S = 0.25
_APPLY_DELAY_S = 0.01


class Target:
    """The owner of a group's slots in one zone."""

    __slots__ = ("zone", "region", "owner")

    def __init__(self, zone: str, region: str, owner: Member):
        self.zone = zone
        self.region = region
        self.owner = owner


class TargetSelector:
    """Sorts the owners of a group's slots by preference for a request."""

    __slots__ = (
        "_node",
        "_peers",
        "_owned_resources",
        "_steering",
        "_settings",
        "_replication",
        "_links",
        "_ownerless_since",
    )

    def __init__(
        self,
        node: Node,
        peers: Peers,
        owned_resources: OwnedResources,
        steering: Steering,
        replication: Replication,
        links: LinkBudgets,
    ):
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources
        self._steering = steering
        self._settings = ChoiceSettings()
        self._replication = replication
        self._links = links
        self._ownerless_since: dict[str, float] = {}

    async def wait_targets(
        self, caller_request: CallerRequest, route: Route, deadline: float
    ) -> list[Target]:
        """Return the owners to try, sorted by preference.

        Requests wait for an owner that is being replaced, for up to
        `home_wait_s` after the first one found no owner. Later requests get
        an empty list at once.
        """
        client = ClientAddress.parse(caller_request.client_address)
        steer = await self._steering.steer(route.name, client)
        while True:
            targets = self._sort_targets(route, steer)
            now = read_clock()
            if targets:
                self._ownerless_since.pop(route.group, None)
                return targets
            since = self._ownerless_since.setdefault(route.group, now)
            limit = since + self._node.settings.fleet.home_wait_s
            if now >= min(limit, deadline):
                return []
            await self.wait_change(min(limit, deadline))

    async def wait_change(self, until: float) -> None:
        """Wait for a new roster or configuration, at most until `until`."""
        until = min(until, read_clock() + _RECHECK_INTERVAL_S)
        try:
            async with asyncio.timeout_at(until):
                await self._replication.changed.wait()
        except TimeoutError:
            return
        # Other tasks of this host apply the same change; let them go first.
        await asyncio.sleep(_APPLY_DELAY_S)

    def _sort_targets(
        self, route: Route, steer: SteeringDecision
    ) -> list[Target]:
        now = read_clock()
        targets = self._list_targets(route.group)
        candidates = [
            self._make_candidate(target, route.group, now)
            for target in targets.values()
            if target.region not in steer.excluded_regions
        ]
        local_member = self._node.local_member
        ordered = order_candidates(
            self._settings,
            Location(local_member.region, local_member.zone),
            candidates,
            now,
            self._node.random,
            steer.region,
        )
        return [targets[candidate.zone] for candidate in ordered]

    def _list_targets(self, group: str) -> dict[str, Target]:
        node = self._node
        targets = {}
        for zone in node.list_zones(group):
            owner = node.fleet.find_owner(SlotsResource(group, zone).name)
            if owner is not None:
                targets[zone] = Target(zone, node.find_region(zone), owner)
        return targets

    def _make_candidate(
        self, target: Target, group: str, now: float
    ) -> Candidate:
        hint = self.find_hint(group, target.zone, now)
        delay_s = self._peers.find_delay(target.owner)
        return Candidate(
            target.region,
            target.zone,
            _DEFAULT_DELAY_S if delay_s is None else delay_s,
            self._links.measure_headroom(target.region, now),
            hint,
        )

    def find_hint(self, group: str, zone: str, now: float) -> ZoneHint | None:
        """Return the known load of `group` in `zone`, or None."""
        resource = SlotsResource(group, zone).name
        owner = self._node.fleet.find_owner(resource)
        if owner is None:
            return None
        if owner == self._node.local_member:
            return self._owned_resources.measure_hint(resource, now)
        return self._peers.find_hint(owner, resource)
