"""The `radishstile` command."""

import asyncio
import io
import os
import sys
from contextlib import redirect_stderr, redirect_stdout

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from radishstile.cli.output import render
from radishstile.cli.pending import (
    LoadBlocksCommand,
    LookupCommand,
    PatchCommand,
    PendingCommand,
    SendCommand,
    get_command_name,
    run_command,
)
from radishstile.cli.settings import read_client_settings
from radishstile.errors import RadishstileError

SETTINGS_VARIABLE = "RADISHSTILE_SETTINGS"
DEFAULT_SETTINGS = "radishstile.ini"
_USAGE_ERROR_STATUS = 2


class KeyCommands:
    """Issue and withdraw callers' keys."""

    __slots__ = ()

    @SetParseFn(str)
    def issue(self, workspace: str):
        """Issue a key for WORKSPACE and print it once."""
        return PendingCommand("issue-key", {"workspace": workspace})

    @SetParseFn(str)
    def withdraw(self, key_id: str):
        """Withdraw the key with the id KEY_ID."""
        return PendingCommand("withdraw-key", {"key_id": key_id})


class DrainCommands:
    """Take an upstream or a region out of use."""

    __slots__ = ()

    @SetParseFn(str, "name")
    def upstream(self, name: str, undo: bool = False):
        """Send no new work to the upstream NAME; --undo takes it back."""
        return PendingCommand(
            "drain-upstream", {"upstream": name, "undo": undo}
        )

    @SetParseFn(str, "name")
    def region(
        self,
        name: str,
        cap_per_s: float,
        step: float = 0.05,
        pace_s: float = 30,
    ):
        """Move all traffic out of the region NAME, at most CAP_PER_S.

        Each PACE_S seconds another STEP of the clients moves.
        """
        fields = {
            "region": name,
            "cap_per_s": cap_per_s,
            "step": step,
            "pace_s": pace_s,
        }
        return PendingCommand("drain-region", fields)


class BlockCommands:
    """Load the table of client blocks."""

    __slots__ = ()

    @SetParseFn(str)
    def load(self, file: str, sites: str):
        """Load the lines `CIDR,site` of FILE; --sites FILE maps to regions.

        The sites' file is a JSON object from site to region.
        """
        return LoadBlocksCommand(file, sites)


class Commands:
    """Operate a radishstile fleet.

    `--json` prints results as JSON; `--settings FILE` names the client's
    settings (default: RADISHSTILE_SETTINGS, or radishstile.ini).
    """

    __slots__ = ("key", "drain", "blocks")

    def __init__(self):
        self.key = KeyCommands()
        self.drain = DrainCommands()
        self.blocks = BlockCommands()

    def show(self, version: int = 0):
        """Show the configuration, or the one of VERSION."""
        return PendingCommand("show", {"version": version})

    @SetParseFn(str, "file")
    def patch(self, file: str, from_version: int):
        """Apply the patch in FILE, made from version FROM_VERSION."""
        return PatchCommand(file, {"from_version": from_version})

    def history(self, limit: int = 20):
        """List who changed what, when and from which version."""
        return PendingCommand("history", {"limit": limit})

    def diff(self, old: int, new: int):
        """Show what changed from version OLD to version NEW."""
        return PendingCommand("diff", {"old": old, "new": new})

    @SetParseFn(str, "name", "route", "from_region", "to_region")
    def move(
        self,
        name: str,
        route: str | None = None,
        from_region: str | None = None,
        to_region: str | None = None,
        cap_per_s: float | None = None,
        target_share: float | None = None,
        step: float | None = None,
        pace_s: float | None = None,
        cancel: bool = False,
    ):
        """Plan a move NAME of a ROUTE's traffic, or --cancel it."""
        fields = {
            "name": name,
            "route": route,
            "from_region": from_region,
            "to_region": to_region,
            "cap_per_s": cap_per_s,
            "target_share": target_share,
            "step": step,
            "pace_s": pace_s,
            "cancel": cancel,
        }
        set_fields = {key: v for key, v in fields.items() if v is not None}
        return PendingCommand("move", set_fields)

    def status(self):
        """Show hosts, versions, homes and headroom."""
        return PendingCommand("status", {})

    @SetParseFn(str)
    def trace(self, trace_id: str):
        """Show the spans of one request."""
        return PendingCommand("trace", {"trace_id": trace_id})

    @SetParseFn(str)
    def lookup(self, route: str, client: str = ""):
        """Ask which entry hosts a caller of ROUTE should use."""
        return LookupCommand({"route": route, "client": client})

    @SetParseFn(str)
    def send(
        self,
        path: str,
        key: str = "",
        method: str = "GET",
        body: str = "",
        idempotency_key: str = "",
    ):
        """Send one request as a caller, for trying things."""
        fields = {
            "method": method,
            "path": path,
            "key": key,
            "body": body,
            "idempotency": idempotency_key,
        }
        return SendCommand(fields)


def main() -> None:
    """Run the command line; errors print one line and exit non-zero."""
    arguments = sys.argv[1:]
    as_json = _pop_flag(arguments, "--json")
    path = _pop_option(arguments, "--settings")
    path = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    command = _parse(arguments)
    try:
        settings = read_client_settings(path)
        result = asyncio.run(run_command(command, settings))
    except RadishstileError as error:
        sys.exit(f"radishstile: {error}")
    print(render(get_command_name(command), result, as_json))


def _parse(arguments: list[str]) -> PendingCommand:
    """Return the parsed command; help and usage errors exit."""
    output = io.StringIO()
    try:
        with redirect_stdout(output), redirect_stderr(output):
            command = fire.Fire(
                Commands(), arguments, "radishstile", serialize=_hide_command
            )
    except FireExit as error:
        if error.code:
            _exit_with_usage_error(output.getvalue())
        command = None
    if not isinstance(command, PendingCommand):
        # Fire printed help, or the command was incomplete.
        print(_drop_info_lines(output.getvalue()))
        sys.exit(0)
    return command


def _hide_command(result: object) -> object:
    return "" if isinstance(result, PendingCommand) else result


def _exit_with_usage_error(text: str) -> None:
    """Exit with the first line of Fire's error output."""
    error = text.strip().partition("\n")[0].removeprefix("ERROR: ")
    print(f"radishstile: {error}; see radishstile --help", file=sys.stderr)
    sys.exit(_USAGE_ERROR_STATUS)


def _drop_info_lines(text: str) -> str:
    lines = text.strip().splitlines()
    kept = [line for line in lines if not line.startswith("INFO: ")]
    return "\n".join(kept).strip()


def _pop_flag(arguments: list[str], flag: str) -> bool:
    if flag not in arguments:
        return False
    arguments.remove(flag)
    return True


def _pop_option(arguments: list[str], flag: str) -> str | None:
    for index, argument in enumerate(arguments):
        if argument.startswith(flag + "="):
            del arguments[index]
            return argument.partition("=")[2]
        if argument == flag and index + 1 < len(arguments):
            value = arguments[index + 1]
            del arguments[index : index + 2]
            return value
    return None


if __name__ == "__main__":
    main()
