"""Takes slots over from an owner that serves until it is asked to stop."""

import asyncio
import logging

from radishstile.daemon.node import Node
from radishstile.daemon.peers import Peers
from radishstile.errors import RadishstileError
from radishstile.fleet.roster import OwnerEntry, PreviousOwnerState
from radishstile.upstream.dispatcher import Dispatcher
from radishstile.wire.messages.fleet import HandOver
from radishstile.wire.refusals import raise_for_error

_LOG = logging.getLogger("radishstile.handover")
_POLL_INTERVAL_S = 0.25
_CALL_TIMEOUT_S = 1.0


class Handover:
    """Tracks what the previous owner of one resource has in flight.

    `resolved` is set once the previous owner sends no more requests, so that
    this host knows all requests that may occupy a slot.
    """

    __slots__ = (
        "resolved",
        "_resource",
        "_entry",
        "_node",
        "_peers",
        "_dispatcher",
        "_max_deadline_s",
    )

    def __init__(
        self,
        resource: str,
        entry: OwnerEntry,
        node: Node,
        peers: Peers,
        dispatcher: Dispatcher,
        max_deadline_s: float,
    ):
        self.resolved = asyncio.Event()
        self._resource = resource
        self._entry = entry
        self._node = node
        self._peers = peers
        self._dispatcher = dispatcher
        self._max_deadline_s = max_deadline_s
        if entry.predecessor is None:
            self._apply_previous_state(entry.previous_state)
            self.resolved.set()
        else:
            dispatcher.await_handover(max_deadline_s)

    async def run(self) -> None:
        """Poll the previous owner until it has nothing in flight or ended."""
        predecessor = self._entry.predecessor
        if predecessor is None:
            return
        await self._wait_for_skipped_owner()
        while self._node.fleet.find_end_evidence(predecessor) is None:
            deadlines = await self._request_handover(predecessor)
            if deadlines is not None:
                self._dispatcher.apply_handover(deadlines)
                self.resolved.set()
            elif not self.resolved.is_set():
                # Only its end could show that it sends no more requests.
                self._dispatcher.await_handover(self._max_deadline_s)
            if deadlines == {}:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self._apply_end(predecessor)

    async def _wait_for_skipped_owner(self) -> None:
        """Wait for requests of an owner that ended before it asked.

        The resource was assigned to it after the predecessor, so it may have
        sent requests that nobody reports.
        """
        settings = self._node.settings.upstreams
        hold_s = {
            PreviousOwnerState.RELEASED: 0.0,
            PreviousOwnerState.CLOSED: settings.closed_grace_s,
            PreviousOwnerState.LOST: self._max_deadline_s
            + settings.deadline_margin_s,
        }[self._entry.previous_state]
        self._dispatcher.await_handover(hold_s + self._max_deadline_s)
        await asyncio.sleep(hold_s)

    async def _apply_end(self, predecessor: tuple[str, int]) -> None:
        end = self._node.fleet.find_previous_state(predecessor)
        _LOG.info(
            "handover: %s: State of the previous owner: %s.",
            self._resource,
            end.name,
        )
        if not self.resolved.is_set():
            self._apply_previous_state(end)
            self.resolved.set()
            return
        if end is PreviousOwnerState.CLOSED:
            await asyncio.sleep(self._node.settings.upstreams.closed_grace_s)
        if end is not PreviousOwnerState.LOST:
            self._dispatcher.apply_handover({})

    def _apply_previous_state(self, state: PreviousOwnerState) -> None:
        if state is PreviousOwnerState.RELEASED:
            self._dispatcher.record_clean_release()
        if state is PreviousOwnerState.CLOSED:
            self._dispatcher.take_over_after_close()
        if state is PreviousOwnerState.LOST:
            self._dispatcher.take_over(self._max_deadline_s)

    async def _request_handover(
        self, predecessor: tuple[str, int]
    ) -> dict[str, list[float]] | None:
        """Return the seconds until the deadline of each request in flight.

        They are listed by endpoint; None if the previous owner didn't answer.
        """
        member = self._node.fleet.find_member(predecessor)
        if member is None:
            return None
        message = HandOver(resource=self._resource, epoch=self._entry.epoch)
        try:
            reply = await self._peers.call(member, message, _CALL_TIMEOUT_S)
            raise_for_error(reply)
        except (RadishstileError, TimeoutError) as error:
            _LOG.info(
                "handover: %s: The previous owner did not answer: %s",
                self._resource,
                error,
            )
            return None
        return reply.deadlines
