"""HTTP endpoints for host look-up, readiness and metrics."""

import json

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.node import (
    EntryNode,
    read_boottime_clock,
    read_clock,
)
from radishstile.entry.remote_grants import RemoteGrants
from radishstile.http.server import (
    GetRequest,
    Handler,
    HttpServer,
    ServerAnswer,
    ServerLimits,
)
from radishstile.member import Member

# How long callers may cache an answer, in seconds; it bounds how long they
# try a host that is gone.
TTL_S = 2.0
# Hosts that a zone needs for its callers to be kept within it; with fewer,
# one host would get all of them.
MIN_ZONE_HOSTS = 2
# The port on which metrics are served; the deploy file names it too.
METRICS_PORT = 9464
_JSON_HEADERS = {"Content-Type": "application/json; charset=utf-8"}


class Directory:
    """Serves look-ups, readiness checks and scrapes."""

    __slots__ = (
        "_node",
        "_leadership",
        "_admission",
        "_grants",
        "_metrics_port",
        "_servers",
    )

    def __init__(
        self,
        node: EntryNode,
        leadership: Leadership,
        admission: AdmissionController,
        grants: RemoteGrants,
        metrics_port: int,
    ):
        self._metrics_port = metrics_port
        self._node = node
        self._leadership = leadership
        self._admission = admission
        self._grants = grants
        self._servers: list[HttpServer] = []

    async def start(self) -> None:
        """Listen on the three endpoints."""
        file = self._node.file
        await self._listen(
            file.directory.address,
            file.directory.port,
            "/v1/resolve",
            self._answer_resolve,
        )
        await self._listen(
            file.readiness.address,
            file.readiness.port,
            "/v1/ready",
            self._answer_readiness,
        )
        await self._listen(
            file.address, self._metrics_port, "/metrics", self._answer_metrics
        )

    async def stop(self) -> None:
        """Close the sockets."""
        for server in self._servers:
            await server.stop()

    def list_addresses(self, zone: str) -> list[str]:
        """Return the addresses that callers of a zone should use.

        These are hosts of the zone only, if it has `MIN_ZONE_HOSTS`.
        """
        serving = self._list_serving()
        zone_hosts = [host for host in serving if host.zone == zone]
        chosen = zone_hosts if len(zone_hosts) >= MIN_ZONE_HOSTS else serving
        return sorted(f"{h.address}:{h.http_port}" for h in chosen)

    def _list_serving(self) -> list[Member]:
        node = self._node
        hosts = {host.host: host for host in node.list_region_hosts()}
        names = self._leadership.list_serving()
        serving = [hosts[name] for name in names if name in hosts]
        if serving:
            return serving
        return [] if node.is_leaving else [node.local_member]

    def _answer_resolve(self, request: GetRequest) -> ServerAnswer:
        addresses = self.list_addresses(request.query.get("zone", ""))
        if not addresses:
            return _make_json_answer(503, {"detail": "no host"})
        result = {"addresses": addresses, "ttl_s": TTL_S}
        return _make_json_answer(200, result)

    def _answer_readiness(self, request: GetRequest) -> ServerAnswer:
        is_ready = self._node.catalog is not None and not self._node.is_leaving
        return ServerAnswer(200 if is_ready else 503)

    def _answer_metrics(self, request: GetRequest) -> ServerAnswer:
        self._update_gauges()
        accept = request.find_header(b"accept")
        body, headers = self._node.metrics.render(accept)
        return ServerAnswer(200, body, headers)

    def _update_gauges(self) -> None:
        node = self._node
        state = node.metrics.state
        age_s = node.freshness.measure_age(read_boottime_clock())
        values = {
            "version": node.catalog.version if node.catalog else 0,
            "confirmed_age_s": min(age_s, 1e9),
            "store_era": node.era,
            "upstreams": node.registry.count(),
            "hosts": len(node.hosts),
            "slot_share": self._admission.scheduler.share,
            "slots_held": self._admission.scheduler.count_running(),
            "slots_unheard": self._grants.count_lost(),
            "claims_waiting": self._admission.scheduler.count_waiting(),
        }
        for name, value in values.items():
            state.set({"name": name}, value)
        counters = self._leadership.peers.counters
        for name in counters.__slots__:
            node.metrics.wire.set({"counter": name}, getattr(counters, name))
        scheduler = self._admission.scheduler
        node.metrics.update_shares(scheduler.report_shares())
        node.metrics.update_returns(scheduler.returns.counts)
        node.metrics.set_paces(scheduler.list_loads(), read_clock())
        for reason, count in scheduler.count_choices().items():
            node.metrics.choices.set({"reason": reason}, count)
        calls = node.store.calls
        for kind in ("reads", "writes", "watches", "lists", "failed"):
            node.metrics.store_calls.set({"kind": kind}, getattr(calls, kind))

    async def _listen(
        self, address: str, port: int, path: str, handler: Handler
    ) -> None:
        server = HttpServer(path, handler, ServerLimits())
        await server.start(address, port)
        self._servers.append(server)


def _make_json_answer(status: int, result: dict) -> ServerAnswer:
    return ServerAnswer(status, json.dumps(result).encode(), _JSON_HEADERS)
