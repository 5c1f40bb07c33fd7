"""Parsed commands, and how each of them runs."""

from functools import singledispatch

from radishstile.cli.blocks import read_block_list, upload_block_list
from radishstile.cli.caller import CallerClient
from radishstile.cli.client import OperatorClient, read_json_file
from radishstile.cli.settings import ClientSettings


class PendingCommand:
    """A command and its fields, run after the whole line is parsed.

    Fire applies leftover arguments to the result of a command and reports
    usage errors only then, so a command must have no effect before.
    """

    __slots__ = ("_command", "_fields")

    def __init__(self, command: str, fields: dict):
        self._command = command
        self._fields = fields


class PatchCommand(PendingCommand):
    """Reads a patch from a file and submits it."""

    __slots__ = ("_file",)

    def __init__(self, file: str, fields: dict):
        super().__init__("patch", fields)
        self._file = file


class LoadBlocksCommand(PendingCommand):
    """Builds a block table from files and uploads it."""

    __slots__ = ("_file", "_sites")

    def __init__(self, file: str, sites: str):
        super().__init__("publish-blocks", {})
        self._file = file
        self._sites = sites


class LookupCommand(PendingCommand):
    """Asks for entry hosts as a caller."""

    __slots__ = ()

    def __init__(self, fields: dict):
        super().__init__("lookup", fields)


class SendCommand(PendingCommand):
    """Sends a request as a caller."""

    __slots__ = ()

    def __init__(self, fields: dict):
        super().__init__("send", fields)


def get_command_name(command: PendingCommand) -> str:
    """Return the name of a command.

    A function, since Fire exposes the public members of a result.
    """
    return command._command


@singledispatch
async def run_command(
    command: PendingCommand, settings: ClientSettings
) -> object:
    """Run a command; raises `RadishstileError`."""
    return await _execute(command, settings, command._fields)


@run_command.register
async def _(command: PatchCommand, settings: ClientSettings) -> object:
    patch = read_json_file(command._file)
    return await _execute(
        command, settings, {**command._fields, "patch": patch}
    )


@run_command.register
async def _(command: LoadBlocksCommand, settings: ClientSettings) -> object:
    blocks = read_block_list(command._file, command._sites)
    return await upload_block_list(_open_client(settings), blocks)


@run_command.register
async def _(command: LookupCommand, settings: ClientSettings) -> object:
    return await CallerClient(settings.callers).look_up(**command._fields)


@run_command.register
async def _(command: SendCommand, settings: ClientSettings) -> object:
    return await CallerClient(settings.callers).send(**command._fields)


async def _execute(
    command: PendingCommand, settings: ClientSettings, fields: dict
) -> object:
    return await _open_client(settings).execute(command._command, **fields)


def _open_client(settings: ClientSettings) -> OperatorClient:
    return OperatorClient(settings.url, settings.operator, settings.token)
