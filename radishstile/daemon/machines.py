"""Follows the platform's lagging list of hosts and upstreams."""

import asyncio
import logging

from radishstile.daemon.homes import Homes
from radishstile.daemon.node import Node, read_clock
from radishstile.errors import PlatformError
from radishstile.fleet.state import MachineReport
from radishstile.platform.answer import MachineState

_LOG = logging.getLogger("radishstile.machines")
_INTERVAL_S = 2.0
_DUTY_CHECK_S = 1.0


class Machines:
    """Polls the list on hosts that have an upstream or a zone to look after.

    The list names machines and not incarnations. A machine shown as gone is
    evidence for an incarnation only if it was known here for longer than
    the list may lag, so that the list can't mean its predecessor.
    """

    __slots__ = ("_node", "_homes", "_known_since")

    def __init__(self, node: Node, homes: Homes):
        self._node = node
        self._homes = homes
        self._known_since: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Poll while this host has the duty."""
        while True:
            if not self._has_duty():
                await asyncio.sleep(_DUTY_CHECK_S)
                continue
            try:
                states = await self._node.store.list_machines()
            except PlatformError as error:
                _LOG.debug("machines: No list: %s", error)
            else:
                self.take_list(states)
            await asyncio.sleep(_INTERVAL_S)

    def take_list(self, states: dict[str, MachineState]) -> None:
        """Use one list: upstreams to avoid, and hosts that are gone."""
        away = {
            name
            for name, state in states.items()
            if state is not MachineState.LIVE
        }
        self._homes.apply_leaving(frozenset(away))
        now = read_clock()
        self._note_known(now)
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
        self._node.fleet.note_machines(reports, now)

    def _note_known(self, now: float) -> None:
        identities = self._node.fleet.roster.identities
        self._known_since = {
            identity: self._known_since.get(identity, now)
            for identity in identities
        }

    def _has_duty(self) -> bool:
        is_watcher = self._node.fleet.is_planner(read_clock())
        return is_watcher or bool(self._homes.list_slots())
