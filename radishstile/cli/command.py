"""The `radishstile` command."""

import asyncio
import os
import sys

import fire
from fire.core import FireExit

from radishstile.cli.blocks import BlockList, read_block_list, upload
from radishstile.cli.caller import CallerClient
from radishstile.cli.client import OperatorClient, read_json_file
from radishstile.cli.output import render
from radishstile.cli.settings import ClientSettings, read_client_settings
from radishstile.errors import RadishstileError

SETTINGS_VARIABLE = "RADISHSTILE_SETTINGS"
DEFAULT_SETTINGS = "radishstile.ini"


class KeyCommands:
    """Issue and withdraw callers' keys."""

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run

    def issue(self, workspace: str):
        """Issue a key for WORKSPACE and print it once."""
        return self._run("issue-key", workspace=str(workspace))

    def withdraw(self, key_id: str):
        """Withdraw the key with the id KEY_ID."""
        return self._run("withdraw-key", key_id=str(key_id))


class DrainCommands:
    """Take an upstream or a region out of use."""

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run

    def upstream(self, name: str, undo: bool = False):
        """Send no new work to the upstream NAME; --undo takes it back."""
        return self._run("drain-upstream", upstream=str(name), undo=undo)

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
        return self._run(
            "drain-region",
            region=str(name),
            cap_per_s=cap_per_s,
            step=step,
            pace_s=pace_s,
        )


class BlockCommands:
    """Load the table of client blocks."""

    __slots__ = ("_run_upload",)

    def __init__(self, run_upload):
        self._run_upload = run_upload

    def load(self, file: str, sites: str):
        """Load the lines `CIDR,site` of FILE; --sites FILE maps to regions.

        The sites' file is a JSON object from site to region.
        """
        return self._run_upload(read_block_list(str(file), str(sites)))


class Commands:
    """Operate a radishstile fleet.

    `--json` prints results as JSON; `--settings FILE` names the client's
    settings (default: RADISHSTILE_SETTINGS, or radishstile.ini).
    """

    __slots__ = ("_settings", "_as_json", "key", "drain", "blocks")

    def __init__(self, settings: ClientSettings, as_json: bool):
        self._settings = settings
        self._as_json = as_json
        self.key = KeyCommands(self._run)
        self.drain = DrainCommands(self._run)
        self.blocks = BlockCommands(self._run_upload)

    def _run(self, command: str, **fields) -> str:
        client = self._open_client()
        result = asyncio.run(client.execute(command, **fields))
        return render(command, result, self._as_json)

    def _run_upload(self, blocks: BlockList) -> str:
        result = asyncio.run(upload(self._open_client(), blocks))
        return render("publish-blocks", result, self._as_json)

    def _open_client(self) -> OperatorClient:
        settings = self._settings
        return OperatorClient(settings.url, settings.operator, settings.token)

    def show(self, version: int = 0):
        """Show the configuration, or the one of VERSION."""
        return self._run("show", version=version)

    def patch(self, file: str, from_version: int):
        """Apply the patch in FILE, made from version FROM_VERSION."""
        patch = read_json_file(str(file))
        return self._run("patch", from_version=from_version, patch=patch)

    def history(self, limit: int = 20):
        """List who changed what, when and from which version."""
        return self._run("history", limit=limit)

    def diff(self, old: int, new: int):
        """Show what changed from version OLD to version NEW."""
        return self._run("diff", old=old, new=new)

    def move(self, name: str, **fields):
        """Plan a move NAME of a ROUTE's traffic, or --cancel it.

        Flags: --route, --from-region, --to-region, --cap-per-s,
        --target-share, --step, --pace-s, --cancel.
        """
        return self._run("move", name=str(name), **fields)

    def status(self):
        """Show hosts, versions, homes and headroom."""
        return self._run("status")

    def trace(self, trace_id: str):
        """Show the spans of one request."""
        return self._run("trace", trace_id=str(trace_id))

    def lookup(self, route: str, client: str = ""):
        """Ask which entry hosts a caller of ROUTE should use."""
        caller = CallerClient(self._settings.callers)
        result = asyncio.run(caller.look_up(str(route), str(client)))
        return render("lookup", result, self._as_json)

    def send(
        self,
        path: str,
        key: str = "",
        method: str = "GET",
        body: str = "",
        idempotency_key: str = "",
    ):
        """Send one request as a caller, for trying things."""
        caller = CallerClient(self._settings.callers)
        result = asyncio.run(
            caller.send(method, str(path), key, str(body), idempotency_key)
        )
        return render("send", result, self._as_json)


def main() -> None:
    """Run the command line; errors are one line and a non-zero exit."""
    arguments = sys.argv[1:]
    as_json = _take_flag(arguments, "--json")
    try:
        path = _take_value(arguments, "--settings")
        path = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
        commands = Commands(read_client_settings(path), as_json)
        fire.Fire(commands, command=arguments, name="radishstile")
    except RadishstileError as error:
        sys.exit(f"radishstile: {error}")
    except FireExit as error:
        sys.exit(error.code)


def _take_flag(arguments: list[str], flag: str) -> bool:
    if flag not in arguments:
        return False
    arguments.remove(flag)
    return True


def _take_value(arguments: list[str], flag: str) -> str | None:
    for place, argument in enumerate(arguments):
        if argument.startswith(flag + "="):
            del arguments[place]
            return argument.partition("=")[2]
        if argument == flag and place + 1 < len(arguments):
            value = arguments[place + 1]
            del arguments[place : place + 2]
            return value
    return None


if __name__ == "__main__":
    main()
