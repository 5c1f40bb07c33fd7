"""State that all components of one daemon share."""

import asyncio
import random

from radishstile.configuration.document import Configuration
from radishstile.configuration.revision import HistoryEntry, Revision
from radishstile.configuration.store import EMPTY_VERSION, ConfigurationStore
from radishstile.daemon.metrics import Metrics
from radishstile.daemon.settings import DaemonSettings
from radishstile.daemon.tracing import Tracing
from radishstile.fleet.fleet import Fleet
from radishstile.http.upstream import UpstreamClient
from radishstile.member import Member
from radishstile.platform.store import StoreClient
from radishstile.route.match import RouteTable
from radishstile.wire.counters import WireCounters


class Node:
    """The host's identity, aggregates and clients of outside systems.

    `revision` and `configuration` are the newest that are in force; version
    0 is the empty document.
    """

    __slots__ = (
        "settings",
        "local_member",
        "fleet",
        "store",
        "ledger",
        "upstream_client",
        "tracing",
        "metrics",
        "wire_counters",
        "random",
        "revision",
        "configuration",
        "routes",
        "_zones",
        "is_stopping",
    )

    def __init__(self, settings: DaemonSettings, incarnation: int):
        host = settings.host
        self.settings = settings
        self.local_member = Member(
            host.name,
            incarnation,
            host.zone,
            host.region,
            host.address,
            host.peer_port,
            host.http_port,
        )
        self.fleet = Fleet(self.local_member, settings.fleet)
        self.random = random.Random()
        self.store = StoreClient(settings.platform, self.random)
        self.ledger = ConfigurationStore(self.store)
        self.upstream_client = UpstreamClient()
        self.tracing = Tracing(settings.tracing, host.name)
        self.metrics = Metrics()
        self.wire_counters = WireCounters()
        self.is_stopping = False
        entry = HistoryEntry(EMPTY_VERSION, "", "", EMPTY_VERSION, {})
        self.apply_revision(Revision(entry, {}))

    def apply_revision(self, revision: Revision) -> None:
        """Put `revision` in force."""
        configuration = Configuration(revision.version, revision.document)
        self.revision = revision
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self._zones = {
            group: sorted(
                {u.zone for u in configuration.list_upstreams(group)}
            )
            for group in configuration.groups
        }

    def list_zones(self, group: str) -> list[str]:
        """Return the zones that have upstreams of `group`."""
        return self._zones[group]

    def find_region(self, zone: str) -> str:
        """Return the region of a configured zone."""
        return self.configuration.zones[zone]


def read_clock() -> float:
    """Return the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()
