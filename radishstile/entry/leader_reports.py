"""Tells a host's new leader what upstreams have said of themselves.

A new leader knows only what its own requests have met. Without the rest it
would send each upstream in need as many requests as it has slots, and grant
slots of upstreams that leave.
"""

import logging

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import WireError
from radishstile.wire.messages.slot import ReportRates
from radishstile.wire.reports import encode_report

_LOG = logging.getLogger("radishstile.rates")

# Age up to which the last answer of an upstream counts, in seconds.
MAX_AGE_S = 10.0


class LeaderReportSender:
    """Sends rate limits and leaving upstreams to each leader it follows."""

    __slots__ = ("_node", "_admission", "_leadership")

    def __init__(
        self,
        node: EntryNode,
        admission: AdmissionController,
        leadership: Leadership,
    ):
        self._node = node
        self._admission = admission
        self._leadership = leadership

    async def run(self) -> None:
        """Send reports until cancelled."""
        informed = ""
        while True:
            host = await self._inform(informed)
            if host == informed:
                await self._leadership.wait_change()
            informed = host

    async def _inform(self, informed: str) -> str:
        """Send a report if the leader is not the one that was informed.

        Returns the leader's name, or an empty one if this host leads.
        """
        leader = self._leadership.find_leader()
        if leader is None:
            return ""
        host = leader.member.host
        if host == informed:
            return host
        since = read_clock() - MAX_AGE_S
        rates = self._admission.scheduler.list_rates(since)
        leaving = self._node.registry.list_leaving()
        reports = [ReportRates(rates=rates), *map(encode_report, leaving)]
        if rates or leaving:
            for report in reports:
                self._leadership.peers.recent.add(report, read_clock())
        try:
            for report in reports:
                await leader.client.notify(report)
        except WireError as error:
            _LOG.info(
                "rates: Reports on upstreams not sent.",
                extra=log_fields(lead=host, why=str(error)),
            )
        return host
