"""Typed operator commands."""

import inspect

from radishstile.errors import OperatorError


class Command:
    """Base class of the commands; their slots are the fields."""

    __slots__ = ()


class ShowConfiguration(Command):
    """Show the newest version of the configuration, or the given one."""

    __slots__ = ("version",)

    def __init__(self, version: int = 0):
        self.version = version


class SubmitPatch(Command):
    """Apply a patch to the given version of the configuration."""

    __slots__ = ("from_version", "patch")

    def __init__(self, from_version: int, patch: object):
        self.from_version = from_version
        self.patch = patch


class ListHistory(Command):
    """List the newest entries of the history."""

    __slots__ = ("limit",)

    def __init__(self, limit: int = 20):
        self.limit = limit


class DiffVersions(Command):
    """Show the JSON Patch from one version to another."""

    __slots__ = ("old", "new")

    def __init__(self, old: int, new: int):
        self.old = old
        self.new = new


class IssueKey(Command):
    """Issue a new key for a workspace."""

    __slots__ = ("workspace",)

    def __init__(self, workspace: str):
        self.workspace = workspace


class RevokeKey(Command):
    """Revoke a key by its id."""

    __slots__ = ("key_id",)

    def __init__(self, key_id: str):
        self.key_id = key_id


class DrainUpstream(Command):
    """Stop sending new requests to an upstream, or resume (`undo`)."""

    __slots__ = ("upstream", "undo")

    def __init__(self, upstream: str, undo: bool = False):
        self.upstream = upstream
        self.undo = undo


class DrainRegion(Command):
    """Move the traffic of all routes out of a region, under a cap.

    `cap_per_s` is in requests a second over all moves; `step` and `pace_s`
    apply to each move.
    """

    __slots__ = ("region", "cap_per_s", "step", "pace_s")

    def __init__(
        self,
        region: str,
        cap_per_s: float,
        step: float = 0.05,
        pace_s: float = 30,
    ):
        self.region = region
        self.cap_per_s = cap_per_s
        self.step = step
        self.pace_s = pace_s


class MoveTraffic(Command):
    """Create, change or delete (`cancel`) a move of a route's traffic."""

    __slots__ = (
        "name",
        "route",
        "from_region",
        "to_region",
        "cap_per_s",
        "target_share",
        "step",
        "pace_s",
        "cancel",
    )

    def __init__(
        self,
        name: str,
        route: str = "",
        from_region: str = "",
        to_region: str = "",
        cap_per_s: float = 0,
        target_share: float = 1,
        step: float = 0.05,
        pace_s: float = 30,
        cancel: bool = False,
    ):
        self.name = name
        self.route = route
        self.from_region = from_region
        self.to_region = to_region
        self.cap_per_s = cap_per_s
        self.target_share = target_share
        self.step = step
        self.pace_s = pace_s
        self.cancel = cancel


class PutBlocks(Command):
    """Store one chunk of a block table; `body` is its content in Base64."""

    __slots__ = ("digest", "body")

    def __init__(self, digest: str, body: str):
        self.digest = digest
        self.body = body


class PublishBlocks(Command):
    """Activate a block table whose chunks are stored.

    `sites` maps each site to its region, in the order of their indexes in
    the table; `digests` are the digests of the chunks, in order.
    """

    __slots__ = ("sites", "digests")

    def __init__(self, sites: dict, digests: list):
        self.sites = sites
        self.digests = digests


class ShowStatus(Command):
    """Show members, versions, owners and headroom as known by this host."""

    __slots__ = ()


class FindTrace(Command):
    """Show the spans of one trace from all reachable hosts."""

    __slots__ = ("trace_id",)

    def __init__(self, trace_id: str):
        self.trace_id = trace_id


COMMANDS = {
    "show": ShowConfiguration,
    "patch": SubmitPatch,
    "history": ListHistory,
    "diff": DiffVersions,
    "issue-key": IssueKey,
    "withdraw-key": RevokeKey,
    "drain-upstream": DrainUpstream,
    "drain-region": DrainRegion,
    "move": MoveTraffic,
    "put-blocks": PutBlocks,
    "publish-blocks": PublishBlocks,
    "status": ShowStatus,
    "trace": FindTrace,
}

_NUMBER_TYPES = (int, float)


def make_command(name: str, fields: object) -> Command:
    """Return a command by name; raise `OperatorError` if it is invalid."""
    command_type = COMMANDS.get(name)
    if command_type is None:
        raise OperatorError(f"no command {name!r}")
    if not isinstance(fields, dict):
        raise OperatorError(f"{name}: expected an object of fields")
    parameters = inspect.signature(command_type).parameters
    for field, value in fields.items():
        _check_field(name, field, value, parameters)
    for field, parameter in parameters.items():
        is_required = parameter.default is inspect.Parameter.empty
        if is_required and field not in fields:
            raise OperatorError(f"{name}: {field} is missing")
    return command_type(**fields)


def _check_field(name: str, field: str, value: object, parameters) -> None:
    if field not in parameters:
        raise OperatorError(f"{name}: unknown field {field!r}")
    field_type = parameters[field].annotation
    if field_type is object:
        return
    is_number = isinstance(value, _NUMBER_TYPES) and not isinstance(
        value, bool
    )
    is_valid = is_number if field_type is float else type(value) is field_type
    if not is_valid:
        raise OperatorError(f"{name}: {field}: expected {field_type.__name__}")
