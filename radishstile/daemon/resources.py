"""Resources that have an owner, and which of them a configuration needs."""

from collections.abc import Iterable

from radishstile.configuration.document import Configuration
from radishstile.run.partition import name_resource as name_journal
from radishstile.run.settings import RunSettings


class RateResource:
    """The rate and burst of one workspace."""

    __slots__ = ("workspace",)

    def __init__(self, workspace: str):
        self.workspace = workspace

    @property
    def name(self) -> str:
        """Return the resource's name in the roster."""
        return f"rate/{self.workspace}"


class MoveResource:
    """The rate cap of one planned move of traffic."""

    __slots__ = ("move",)

    def __init__(self, move: str):
        self.move = move

    @property
    def name(self) -> str:
        """Return the resource's name in the roster."""
        return f"move/{self.move}"


class SlotsResource:
    """The slots of a group's upstreams in one zone."""

    __slots__ = ("group", "zone")
    prefix = "slots/"

    def __init__(self, group: str, zone: str):
        self.group = group
        self.zone = zone

    @property
    def name(self) -> str:
        """Return the resource's name in the roster."""
        return f"{self.prefix}{self.group}/{self.zone}"


class JournalResource:
    """One partition of the journal of non-idempotent requests."""

    __slots__ = ("partition",)

    def __init__(self, partition: int):
        self.partition = partition

    @property
    def name(self) -> str:
        """Return the resource's name in the roster."""
        return name_journal(self.partition)


Resource = RateResource | MoveResource | SlotsResource | JournalResource


def parse_resource(name: str) -> Resource | None:
    """Return the resource with this name, or None for an unknown kind."""
    kind, _, rest = name.partition("/")
    if kind == "rate":
        return RateResource(rest)
    if kind == "move":
        return MoveResource(rest)
    if kind == "slots":
        return SlotsResource(*rest.split("/"))
    if kind == "journal":
        return JournalResource(int(rest))
    return None


def list_required(
    configuration: Configuration, runs: RunSettings
) -> dict[str, str | None]:
    """Return each resource by name, with its preferred zone or None."""
    wanted: dict[str, str | None] = {}
    for workspace in configuration.workspaces:
        wanted[RateResource(workspace).name] = None
    for upstream in configuration.upstreams.values():
        resource = SlotsResource(upstream.group, upstream.zone)
        wanted[resource.name] = upstream.zone
    for move in configuration.moves:
        wanted[MoveResource(move).name] = None
    for partition in range(runs.partitions):
        wanted[name_journal(partition)] = None
    return wanted


def list_transferable(names: Iterable[str]) -> frozenset[str]:
    """Return the resources whose owner hands them over while it still runs."""
    prefix = SlotsResource.prefix
    return frozenset(name for name in names if name.startswith(prefix))
