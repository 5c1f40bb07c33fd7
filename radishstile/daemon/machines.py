"""Polls the platform's list of machines, which lags behind."""

import asyncio
import logging

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.ownership import OwnedResources
from radishstile.daemon.peers import Peers
from radishstile.daemon.resources import SlotsResource
from radishstile.errors import PlatformError
from radishstile.fleet.state import MachineReport
from radishstile.member import Member
from radishstile.platform.answer import MachineState
from radishstile.wire.messages.fleet import MachinesPush

_LOG = logging.getLogger("radishstile.machines")
_POLL_INTERVAL_S = 2.0


class MachineListPoller:
    """Polls the list on one host of each zone and notifies slot owners.

    The list names machines and not incarnations. An entry that says gone is
    evidence for the end of an incarnation only if the incarnation has been
    in the roster here for longer than the list may lag; until then the
    entry may mean an earlier one.
    """

    __slots__ = (
        "_node",
        "_peers",
        "_owned_resources",
        "_known_since",
        "_notified",
    )

    def __init__(
        self, node: Node, peers: Peers, owned_resources: OwnedResources
    ):
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources
        self._known_since: dict[tuple[str, int], float] = {}
        self._notified: dict[tuple[str, int], frozenset[str]] = {}

    async def run(self) -> None:
        """Poll while this host is the planner."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not self._node.fleet.is_planner(read_clock()):
                continue
            try:
                states = await self._node.store.list_machines()
            except PlatformError as error:
                _LOG.debug(
                    "machines: Reading the platform's list failed: %s", error
                )
                continue
            await self._notify_owners(self.apply_list(states))

    async def _notify_owners(self, unavailable: frozenset[str]) -> None:
        """Send the list to each slot owner that does not have it yet."""
        for owner in self._list_slot_owners():
            if self._notified.get(owner.identity, frozenset()) == unavailable:
                continue
            message = MachinesPush(away=sorted(unavailable))
            if await self._peers.notify(owner, message):
                self._notified[owner.identity] = unavailable

    def _list_slot_owners(self) -> list[Member]:
        fleet = self._node.fleet
        slot_owners = {
            fleet.find_owner(name)
            for name in fleet.roster.owners
            if name.startswith(SlotsResource.prefix)
        }
        others = slot_owners - {None, self._node.local_member}
        return sorted(others, key=lambda member: member.host)

    def apply_list(self, states: dict[str, MachineState]) -> frozenset[str]:
        """Apply one list; return the machines that must get no work."""
        unavailable = frozenset(
            name
            for name, state in states.items()
            if state is not MachineState.LIVE
        )
        self._owned_resources.apply_leaving(unavailable)
        now = read_clock()
        self._record_known(now)
        gone = {
            name
            for name, state in states.items()
            if state is MachineState.GONE
        }
        reports = [
            MachineReport(host, incarnation, is_gone=True)
            for (host, incarnation), since in self._known_since.items()
            if host in gone
            and now - since > self._node.settings.fleet.list_lag_limit_s
        ]
        self._node.fleet.record_machines(reports, now)
        return unavailable

    def _record_known(self, now: float) -> None:
        identities = self._node.fleet.roster.identities
        self._known_since = {
            identity: self._known_since.get(identity, now)
            for identity in identities
        }
