"""The typed and validated configuration document."""

import ipaddress

import jsonschema

from radishstile.configuration.schema import DOCUMENT
from radishstile.errors import ConfigurationError

DEFAULT_DEADLINE_S = 30.0
DEFAULT_BODY_LIMIT_BYTES = 1_048_576
DEFAULT_SLOW_START_S = 10.0
DEFAULT_STEP = 0.05
DEFAULT_PACE_S = 30.0


class Workspace:
    """A customer: its API keys, rate limit and weight in queues.

    `rate_per_s` is in requests a second, `burst` in requests; `keys` maps a
    key's id to the SHA-256 of its secret, in hexadecimal.
    """

    __slots__ = ("name", "rate_per_s", "burst", "weight", "keys")

    def __init__(self, name: str, record: dict):
        self.name = name
        self.rate_per_s = float(record["rate_per_s"])
        self.burst = int(record["burst"])
        self.weight = float(record.get("weight", 1))
        self.keys = {
            key_id: key["hash"]
            for key_id, key in record.get("keys", {}).items()
        }


class Route:
    """A path prefix, its upstream group and its limits.

    An open route (`is_open`) also serves callers without an API key.
    """

    __slots__ = (
        "name",
        "path",
        "group",
        "is_open",
        "is_idempotent",
        "workspaces",
        "deadline_s",
        "body_limit_bytes",
    )

    def __init__(self, name: str, record: dict):
        self.name = name
        self.path = record["path"]
        self.group = record["group"]
        self.is_open = record.get("open", False)
        self.is_idempotent = record.get("idempotent", True)
        self.workspaces = frozenset(record.get("workspaces", ()))
        self.deadline_s = float(record.get("deadline_s", DEFAULT_DEADLINE_S))
        self.body_limit_bytes = record.get(
            "body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES
        )

    def matches(self, path: str) -> bool:
        """Return whether `path` is the route's path or below it."""
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class ConfiguredUpstream:
    """An upstream's configuration: its endpoint, zone and slots."""

    __slots__ = (
        "name",
        "group",
        "zone",
        "address",
        "port",
        "slots",
        "is_draining",
        "slow_start_s",
    )

    def __init__(self, name: str, group: str, record: dict):
        self.name = name
        self.group = group
        self.zone = record["zone"]
        self.address = record["address"]
        self.port = record["port"]
        self.slots = record["slots"]
        self.is_draining = record.get("state", "active") == "draining"
        self.slow_start_s = float(
            record.get("slow_start_s", DEFAULT_SLOW_START_S)
        )


class Move:
    """A planned move of one route's traffic between two regions.

    `cap_per_s` limits the moved load in requests a second; `step` is the
    share added every `pace_s` seconds up to `target_share`.
    """

    __slots__ = (
        "name",
        "route",
        "from_region",
        "to_region",
        "cap_per_s",
        "target_share",
        "step",
        "pace_s",
        "is_paused",
    )

    def __init__(self, name: str, record: dict):
        self.name = name
        self.route = record["route"]
        self.from_region = record["from_region"]
        self.to_region = record["to_region"]
        self.cap_per_s = float(record["cap_per_s"])
        self.target_share = float(record.get("target_share", 1))
        self.step = float(record.get("step", DEFAULT_STEP))
        self.pace_s = float(record.get("pace_s", DEFAULT_PACE_S))
        self.is_paused = record.get("paused", False)


class Block:
    """A network of client addresses and the region that serves it."""

    __slots__ = ("network", "region")

    def __init__(self, record: dict):
        try:
            self.network = ipaddress.ip_network(record["client"])
        except ValueError as error:
            raise ConfigurationError(f"blocks: {error}") from error
        self.region = record["region"]


class Configuration:
    """One version of the configuration.

    `sites` maps a site of the block table to its region, and `block_table`
    is the digest of the table's manifest, or empty. `links` maps (from
    region, to region) to Mbit/s; `zones` maps a zone to its region;
    `capacities` maps a region to its maximum of requests in flight, if set.
    """

    __slots__ = (
        "version",
        "document",
        "capacities",
        "zones",
        "links",
        "workspaces",
        "upstreams",
        "routes",
        "blocks",
        "moves",
        "sites",
        "block_table",
    )

    def __init__(self, version: int, document: dict):
        validate_schema(document)
        self.version = version
        self.document = document
        regions = document.get("regions", {})
        self.capacities = {
            name: record["capacity"]
            for name, record in regions.items()
            if "capacity" in record
        }
        self.zones = {
            name: record["region"]
            for name, record in document.get("zones", {}).items()
        }
        self.links = {
            (link["from_region"], link["to_region"]): link["mbit_per_s"]
            for link in document.get("links", ())
        }
        self.workspaces = _build_all(Workspace, document.get("workspaces", {}))
        self.routes = _build_all(Route, document.get("routes", {}))
        self.moves = _build_all(Move, document.get("moves", {}))
        self.sites = document.get("sites", {})
        self.block_table = document.get("block_table", "")
        self.blocks = [Block(block) for block in document.get("blocks", ())]
        self.upstreams = {
            name: ConfiguredUpstream(name, group, record)
            for group, entry in document.get("groups", {}).items()
            for name, record in entry["upstreams"].items()
        }
        _check_references(self)

    @property
    def regions(self) -> list[str]:
        """Return the names of the regions."""
        return list(self.document.get("regions", {}))

    @property
    def groups(self) -> list[str]:
        """Return the names of the upstream groups."""
        return list(self.document.get("groups", {}))

    def list_upstreams(
        self, group: str, zone: str | None = None
    ) -> list[ConfiguredUpstream]:
        """Return the upstreams of `group`, only those of `zone` if given."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.group == group and zone in (None, upstream.zone)
        ]


def _build_all(kind: type, records: dict) -> dict:
    return {name: kind(name, record) for name, record in records.items()}


def validate_schema(document: dict) -> None:
    """Raise `ConfigurationError` if `document` violates the schema."""
    validator = jsonschema.Draft202012Validator(DOCUMENT)
    error = jsonschema.exceptions.best_match(validator.iter_errors(document))
    if error is not None:
        path = "/".join(str(part) for part in error.absolute_path)
        raise ConfigurationError(f"{path or 'document'}: {error.message}")


def _check_references(configuration: Configuration) -> None:
    regions = set(configuration.regions)
    for path, kind, name, known in _list_references(configuration, regions):
        if name not in known:
            raise ConfigurationError(f"{path}: unknown {kind} {name!r}")
    _check_unique_names(configuration)
    _check_unique_endpoints(configuration)


def _list_references(configuration: Configuration, regions: set):
    """Yield each reference: its path, kind, name and the known names."""
    for zone, region in configuration.zones.items():
        yield f"zones/{zone}", "region", region, regions
    for link in configuration.links:
        for region in link:
            yield "links", "region", region, regions
    for block in configuration.blocks:
        yield f"blocks/{block.network}", "region", block.region, regions
    for site, region in configuration.sites.items():
        yield f"sites/{site}", "region", region, regions
    for name, upstream in configuration.upstreams.items():
        yield f"upstreams/{name}", "zone", upstream.zone, configuration.zones
    for name, route in configuration.routes.items():
        yield f"routes/{name}", "group", route.group, configuration.groups
        for workspace in route.workspaces:
            known = configuration.workspaces
            yield f"routes/{name}", "workspace", workspace, known
    for name, move in configuration.moves.items():
        yield f"moves/{name}", "route", move.route, configuration.routes
        yield f"moves/{name}", "region", move.from_region, regions
        yield f"moves/{name}", "region", move.to_region, regions


def _check_unique_names(configuration: Configuration) -> None:
    seen: set[str] = set()
    for workspace in configuration.workspaces.values():
        for key_id in workspace.keys:
            if key_id in seen:
                path = f"workspaces/{workspace.name}"
                raise ConfigurationError(f"{path}: key {key_id!r} repeats")
            seen.add(key_id)
    count = sum(
        len(group["upstreams"])
        for group in configuration.document.get("groups", {}).values()
    )
    if count != len(configuration.upstreams):
        raise ConfigurationError("groups: duplicate upstream name")


def _check_unique_endpoints(configuration: Configuration) -> None:
    """Reject two upstreams at one endpoint: its slots would count twice."""
    seen: dict[tuple[str, int], str] = {}
    for name, upstream in configuration.upstreams.items():
        endpoint = upstream.address, upstream.port
        other = seen.setdefault(endpoint, name)
        if other != name:
            path = f"upstreams/{name}"
            detail = f"same address and port as {other!r}"
            raise ConfigurationError(f"{path}: {detail}")
