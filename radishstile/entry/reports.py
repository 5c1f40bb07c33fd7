"""Sends reports on upstreams and on poison requests to other hosts.

Each region's leader counts the upstreams that a request crashes, and grants
slots of those that don't leave. Without the reports of others, a request
refused in one region would crash as many upstreams in the next one, and again
under a new leader.
"""

import logging

from radishstile.entry.admission import AdmissionController
from radishstile.entry.logs import log_fields
from radishstile.entry.node import read_clock
from radishstile.entry.peers import Peers
from radishstile.errors import WireError
from radishstile.wire.reports import encode_report

_LOG = logging.getLogger("radishstile.reports")


class ReportSender:
    """Sends new reports to the peers of this host.

    They are the next leaders of its region and, for a leader, those of remote
    regions. Each of them forwards the reports that were new to it.
    """

    __slots__ = ("_admission", "_peers")

    def __init__(self, admission: AdmissionController, peers: Peers):
        self._admission = admission
        self._peers = peers

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            message = encode_report(await self._admission.reports.get())
            self._peers.recent.add(message, read_clock())
            for peer in self._peers.list_connected():
                try:
                    await peer.client.notify(message)
                except WireError as error:
                    _LOG.info(
                        "reports: Report not sent.",
                        extra=log_fields(
                            host=peer.member.host, why=str(error)
                        ),
                    )
