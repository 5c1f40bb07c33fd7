"""Layout of a test fleet: hosts, zones, upstreams and workspaces."""


class UpstreamSpec:
    """Group, zone and number of slots of an upstream."""

    __slots__ = ("name", "group", "zone", "slots")

    def __init__(self, name: str, group: str, zone: str, slots: int):
        self.name = name
        self.group = group
        self.zone = zone
        self.slots = slots


class FleetLayout:
    """A fleet that runs as processes, and its initial configuration.

    `zones` maps a zone to its region, `hosts` a host to its zone.
    `workspaces` and `routes` are as in the configuration document, `blocks`
    maps a block of client addresses to a region. `host_settings` holds
    further sections of each host's INI file, `upstream_settings` further
    lines of the upstreams' INI file.
    """

    __slots__ = (
        "zones",
        "hosts",
        "upstreams",
        "workspaces",
        "routes",
        "link_mbit_per_s",
        "host_settings",
        "service_s",
        "blocks",
        "upstream_settings",
    )

    def __init__(
        self,
        zones: dict[str, str],
        hosts: dict[str, str],
        upstreams: list[UpstreamSpec],
        workspaces: dict[str, dict],
        routes: dict[str, dict],
        host_settings: str = "",
        link_mbit_per_s: float = 4000,
        service_s: float = 0.01,
        blocks: dict[str, str] | None = None,
        upstream_settings: str = "",
    ):
        self.zones = zones
        self.hosts = hosts
        self.upstreams = upstreams
        self.workspaces = workspaces
        self.routes = routes
        self.host_settings = host_settings
        self.link_mbit_per_s = link_mbit_per_s
        self.service_s = service_s
        self.blocks = blocks or {}
        self.upstream_settings = upstream_settings

    @property
    def regions(self) -> list[str]:
        """Return the names of the regions."""
        return sorted(set(self.zones.values()))

    def make_configuration(self, ports: dict[str, int]) -> dict:
        """Return the configuration, with upstreams at the given ports."""
        groups: dict[str, dict] = {}
        for upstream in self.upstreams:
            group = groups.setdefault(upstream.group, {"upstreams": {}})
            group["upstreams"][upstream.name] = {
                "zone": upstream.zone,
                "address": "127.0.0.1",
                "port": ports[upstream.name],
                "slots": upstream.slots,
            }
        return {
            "regions": {region: {} for region in self.regions},
            "zones": {z: {"region": r} for z, r in self.zones.items()},
            "links": self._list_links(),
            "workspaces": self.workspaces,
            "groups": groups,
            "routes": self.routes,
            "blocks": [
                {"client": client, "region": region}
                for client, region in self.blocks.items()
            ],
        }

    def _list_links(self) -> list[dict]:
        return [
            {
                "from_region": source,
                "to_region": target,
                "mbit_per_s": self.link_mbit_per_s,
            }
            for source in self.regions
            for target in self.regions
            if source != target
        ]


ROUTES = {
    "payruns": {"path": "/payruns", "group": "pressdesk"},
    "batches": {
        "path": "/batches",
        "group": "pressdesk",
        "idempotent": False,
    },
    "slips": {"path": "/slips", "group": "sliparchive"},
}


def make_demo_layout() -> FleetLayout:
    """Return 4 hosts in 2 regions with 6 upstreams."""
    zones = {"akl-a": "akl", "wlg-a": "wlg"}
    hosts = {f"{zone}-{n}": zone for zone in zones for n in (1, 2)}
    upstreams = [
        UpstreamSpec("press-1", "pressdesk", "akl-a", 6),
        UpstreamSpec("press-2", "pressdesk", "akl-a", 6),
        UpstreamSpec("press-3", "pressdesk", "wlg-a", 6),
        UpstreamSpec("press-4", "pressdesk", "wlg-a", 6),
        UpstreamSpec("archive-1", "sliparchive", "akl-a", 3),
        UpstreamSpec("archive-2", "sliparchive", "wlg-a", 3),
    ]
    workspaces = {
        "bureau": {"rate_per_s": 200, "burst": 50},
        "employer": {"rate_per_s": 400, "burst": 100},
    }
    settings = "[lookup]\nttl_s = 1.0\n"
    blocks = {"10.0.0.0/16": "akl", "10.1.0.0/16": "wlg"}
    return FleetLayout(
        zones,
        hosts,
        upstreams,
        workspaces,
        ROUTES,
        settings,
        blocks=blocks,
    )


def make_production_layout(hosts: int = 22) -> FleetLayout:
    """Return a fleet of production size.

    It has 3 regions, 6 zones and 40 upstreams.
    """
    regions = ("akl", "wlg", "chc")
    zones = {f"{r}-{z}": r for r in regions for z in ("a", "b")}
    names = list(zones)
    host_zones = {}
    for number in range(hosts):
        zone = names[number % len(names)]
        host_zones[f"{zone}-{number // len(names) + 1}"] = zone
    upstreams = [
        UpstreamSpec(f"press-{n}", "pressdesk", names[n % 6], 6)
        for n in range(30)
    ]
    upstreams += [
        UpstreamSpec(f"archive-{n}", "sliparchive", names[n % 6], 3)
        for n in range(10)
    ]
    workspaces = {
        f"bureau-{n}": {"rate_per_s": 60, "burst": 30} for n in range(6)
    }
    workspaces["employer-0"] = {"rate_per_s": 150, "burst": 60}
    workspaces["employer-1"] = {"rate_per_s": 150, "burst": 60}
    blocks = {f"10.{n}.0.0/16": region for n, region in enumerate(regions)}
    return FleetLayout(
        zones, host_zones, upstreams, workspaces, ROUTES, blocks=blocks
    )
