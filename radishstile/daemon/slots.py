"""Owner of a group's slots in one zone: dispatcher, probes, reports."""

import asyncio
import logging

import aiohttp

from radishstile.configuration.document import ConfiguredUpstream
from radishstile.daemon.handover import Handover
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peers
from radishstile.daemon.placements import UpstreamPlacements
from radishstile.daemon.resources import SlotsResource
from radishstile.daemon.shares import list_region_slots
from radishstile.errors import RadishstileError
from radishstile.fleet.roster import OwnerEntry
from radishstile.http.upstream import HEALTH_PATH
from radishstile.region.capacity import RegionShare
from radishstile.region.link import LinkBudget
from radishstile.region.settings import ANSWER_SHARE, RegionSettings
from radishstile.upstream.dispatcher import Dispatcher
from radishstile.upstream.health import HealthReport, LoadReport
from radishstile.upstream.pool import SlotPool
from radishstile.upstream.settings import QueueSettings
from radishstile.workspace.queue import FairQueue

_LOG = logging.getLogger("radishstile.slots")
_LOAD_PATH = "/load"
_REPORT_INTERVAL_S = 2.0
_REPORT_TIMEOUT_S = 1.0
_TICK_S = 0.5
_RATE_SMOOTHING = 0.2
_HEALTHY = "ok"
_FETCH_ERRORS = (
    aiohttp.ClientError,
    RadishstileError,
    TimeoutError,
    ValueError,
    KeyError,
)


class SlotsOwner:
    """Serves one `slots/GROUP/ZONE` for as long as this host owns it.

    `handover` tracks what the previous owner may have in flight; `rate_per_s`
    is the smoothed rate of answered requests.
    """

    __slots__ = (
        "resource",
        "dispatcher",
        "handover",
        "_node",
        "_upstreams",
        "_region_share",
        "_placements",
        "_links",
        "rate_per_s",
        "_last_completed",
    )

    def __init__(
        self,
        resource: SlotsResource,
        node: Node,
        peers: Peers,
        entry: OwnerEntry,
        share: RegionShare,
        placements: UpstreamPlacements,
    ):
        self.resource = resource
        self._node = node
        self._upstreams: list[ConfiguredUpstream] = []
        self._links: dict[str, LinkBudget] = {}
        self.rate_per_s = 0.0
        self._last_completed = 0
        self._region_share = share
        self._placements = placements
        self.dispatcher = Dispatcher(
            resource.name,
            SlotPool(node.settings.upstreams),
            FairQueue(QueueSettings()),
        )
        self.handover = Handover(
            resource.name,
            entry,
            node,
            peers,
            self.dispatcher,
            self._find_longest_deadline(),
        )
        self.apply_configuration()

    async def run(self) -> None:
        """Dispatch, probe and poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.dispatcher.run())
            group.create_task(self.handover.run())
            group.create_task(self._probe_down_upstreams())
            group.create_task(self._poll_reports())
            while True:
                self.dispatcher.apply_limit(
                    self._region_share.get_limit(read_clock())
                )
                await asyncio.sleep(_TICK_S)
                self._measure_rate()

    def apply_configuration(self) -> None:
        """Apply the configured upstreams and the region's limit."""
        configuration = self._node.configuration
        resource = self.resource
        self._upstreams = configuration.list_upstreams(
            resource.group, resource.zone
        )
        held_until = self._placements.list_held(read_clock())
        self.dispatcher.apply_upstreams(self._upstreams, held_until)
        self.dispatcher.apply_limit(self._region_share.get_limit(read_clock()))
        self._apply_links()

    def apply_leaving(self, names: frozenset[str]) -> None:
        """Send no new requests to the upstreams that are leaving."""
        self.dispatcher.apply_leaving(names)

    def _measure_rate(self) -> None:
        completed = self.dispatcher.completed
        rate_per_s = (completed - self._last_completed) / _TICK_S
        self._last_completed = completed
        self.rate_per_s += _RATE_SMOOTHING * (rate_per_s - self.rate_per_s)

    def find_link(self, region: str) -> LinkBudget | None:
        """Return the budget of the link to `region`, if it has a limit."""
        return self._links.get(region)

    def _find_longest_deadline(self) -> float:
        routes = self._node.configuration.routes.values()
        group = self.resource.group
        deadlines = [r.deadline_s for r in routes if r.group == group]
        return max(deadlines, default=0.0)

    def _apply_links(self) -> None:
        """Divide each link evenly among the region's owners of slots."""
        configuration = self._node.configuration
        region = configuration.zones.get(self.resource.zone)
        owner_count = max(1, len(list_region_slots(configuration, region)))
        share = ANSWER_SHARE / owner_count
        now = read_clock()
        links = {}
        for (source, target), mbit_per_s in configuration.links.items():
            if source != region:
                continue
            link = self._links.get(target)
            if link is None:
                link = LinkBudget(RegionSettings(), mbit_per_s, share, now)
            link.apply_rate(mbit_per_s, share, now)
            links[target] = link
        self._links = links

    async def _probe_down_upstreams(self) -> None:
        """Probe the health of down upstreams before they get requests."""
        while True:
            deadline = read_clock() + _REPORT_TIMEOUT_S
            lease = self.dispatcher.acquire_probe(deadline)
            if lease is None:
                await asyncio.sleep(_TICK_S)
                continue
            is_ok = await self._fetch_health(lease.address, lease.port)
            self.dispatcher.release_probe(lease, is_ok, is_over=True)

    async def _fetch_health(self, address: str, port: int) -> bool:
        try:
            report = await self._node.upstream_client.fetch_report(
                address, port, HEALTH_PATH, _REPORT_TIMEOUT_S
            )
            return report["status"] == _HEALTHY
        except _FETCH_ERRORS:
            return False

    async def _poll_reports(self) -> None:
        while True:
            await asyncio.gather(
                *(self._fetch_reports(entry) for entry in self._upstreams)
            )
            await asyncio.sleep(_REPORT_INTERVAL_S)

    async def _fetch_reports(self, entry: ConfiguredUpstream) -> None:
        """Read both endpoints; if one fails, don't report a guess."""
        fetch = self._node.upstream_client.fetch_report
        endpoint = entry.address, entry.port
        try:
            health = await fetch(*endpoint, HEALTH_PATH, _REPORT_TIMEOUT_S)
            load = await fetch(*endpoint, _LOAD_PATH, _REPORT_TIMEOUT_S)
            is_ok = health["status"] == _HEALTHY
            busy_share = load["busy"] / max(1, load["slots"])
        except _FETCH_ERRORS as error:
            _LOG.debug(
                "slots: The health report of %s can't be read: %s",
                entry.name,
                error,
            )
            return
        self.dispatcher.record_report(entry.name, HealthReport(is_ok))
        self.dispatcher.record_report(entry.name, LoadReport(busy_share))
