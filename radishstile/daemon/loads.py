"""Measures the load of local slots and queries that of other owners."""

import asyncio

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.ownership import OwnedResources
from radishstile.daemon.peers import Peers
from radishstile.daemon.resources import SlotsResource
from radishstile.errors import RefusalError, WireError
from radishstile.member import Member
from radishstile.shift.controller import list_zones
from radishstile.shift.measurements import TargetHint
from radishstile.shift.meter import LoadMeter
from radishstile.wire.messages.fleet import LoadQuery, LoadReply
from radishstile.wire.refusals import raise_for_error

_SAMPLE_INTERVAL_S = 0.1
_QUERY_TIMEOUT_S = 1.0


class LoadMonitor:
    """Samples the slots owned here, and queries other owners for theirs."""

    __slots__ = ("_node", "_peers", "_owned_resources", "_meters")

    def __init__(
        self, node: Node, peers: Peers, owned_resources: OwnedResources
    ):
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources
        self._meters: dict[str, LoadMeter] = {}

    async def run(self) -> None:
        """Sample while moves are configured, and close each interval."""
        samples = round(
            self._node.settings.moves.report_s / _SAMPLE_INTERVAL_S
        )
        while True:
            for _ in range(max(1, samples)):
                await asyncio.sleep(_SAMPLE_INTERVAL_S)
                if self._node.configuration.moves:
                    self.sample()
            for meter in self._meters.values():
                meter.end_interval()

    def sample(self) -> None:
        """Take one sample of each slots resource owned here."""
        meters = {}
        for slots in self._owned_resources.list_slots_owners():
            name = slots.resource.name
            hints = slots.dispatcher.hints()
            meter = meters[name] = self._meters.get(name) or LoadMeter()
            meter.add(hints.free, hints.slots - hints.free, hints.queued)
        self._meters = meters

    def list_rows(self) -> list[list]:
        """Return a row of `TargetHint` fields for each owned slots resource.

        A resource not yet measured for a whole interval has no row.
        """
        rows = []
        for slots in self._owned_resources.list_slots_owners():
            meter = self._meters.get(slots.resource.name)
            means = None if meter is None else meter.means
            if means is None:
                continue
            load = [
                means.free,
                means.in_flight,
                means.queued,
                slots.rate_per_s,
            ]
            rows.append([slots.resource.zone, slots.resource.group, *load])
        return rows

    async def query_region(self, region: str, group: str) -> list[TargetHint]:
        """Return the hints from the owners of a group's slots in a region.

        Owners are queried concurrently; those that don't answer are left
        out. Ages count from the query, so a late answer has a high age.
        """
        owners = self._find_owners(region, group)
        queried_at = read_clock()
        replies = await asyncio.gather(
            *(self.query(owner) for owner in owners)
        )
        age_s = read_clock() - queried_at
        rows = [row for reply in replies if reply for row in reply.rows]
        return [TargetHint(*row, age_s=age_s) for row in rows]

    async def query(self, owner: Member) -> LoadReply | None:
        """Return one owner's answer, or None if it doesn't answer."""
        if owner == self._node.local_member:
            return LoadReply(rows=self.list_rows(), moved={})
        try:
            reply = await self._peers.call(
                owner, LoadQuery(), _QUERY_TIMEOUT_S
            )
            raise_for_error(reply)
        except (WireError, RefusalError, TimeoutError):
            return None
        return reply

    def _find_owners(self, region: str, group: str) -> set[Member]:
        zones = list_zones(self._node.configuration, region, group)
        owners = {
            self._node.fleet.find_owner(SlotsResource(group, zone).name)
            for zone in zones
        }
        return owners - {None}
