"""Commands of the command line, made before any of them runs."""

from functools import singledispatch

from radishstile.cli.blocks import read_block_list, upload
from radishstile.cli.caller import CallerClient
from radishstile.cli.client import OperatorClient, read_json_file
from radishstile.cli.settings import ClientSettings


class Job:
    """A command with its fields, to be run once all arguments are known.

    Fire applies what is left of the command line to the result of a command
    and fails only then, so nothing may have been done before.
    """

    __slots__ = ("_command", "_fields")

    def __init__(self, command: str, fields: dict):
        self._command = command
        self._fields = fields


class PatchJob(Job):
    """Reads a patch from a file and submits it."""

    __slots__ = ("_file",)

    def __init__(self, file: str, fields: dict):
        super().__init__("patch", fields)
        self._file = file


class BlocksJob(Job):
    """Builds a block table from files and uploads it."""

    __slots__ = ("_file", "_sites")

    def __init__(self, file: str, sites: str):
        super().__init__("publish-blocks", {})
        self._file = file
        self._sites = sites


class LookupJob(Job):
    """Asks for entry hosts as a caller."""

    __slots__ = ()

    def __init__(self, fields: dict):
        super().__init__("lookup", fields)


class SendJob(Job):
    """Sends a request as a caller."""

    __slots__ = ()

    def __init__(self, fields: dict):
        super().__init__("send", fields)


def get_name(job: Job) -> str:
    """Return the name of a job's command.

    It is no property, since Fire offers the public members of a result.
    """
    return job._command


@singledispatch
async def run_job(job: Job, settings: ClientSettings) -> object:
    """Run a job; raises `RadishstileError`."""
    return await _operate(job, settings, job._fields)


@run_job.register
async def _(job: PatchJob, settings: ClientSettings) -> object:
    patch = read_json_file(job._file)
    return await _operate(job, settings, {**job._fields, "patch": patch})


@run_job.register
async def _(job: BlocksJob, settings: ClientSettings) -> object:
    blocks = read_block_list(job._file, job._sites)
    return await upload(_open_client(settings), blocks)


@run_job.register
async def _(job: LookupJob, settings: ClientSettings) -> object:
    return await CallerClient(settings.callers).look_up(**job._fields)


@run_job.register
async def _(job: SendJob, settings: ClientSettings) -> object:
    return await CallerClient(settings.callers).send(**job._fields)


async def _operate(job: Job, settings: ClientSettings, fields: dict) -> object:
    return await _open_client(settings).execute(job._command, **fields)


def _open_client(settings: ClientSettings) -> OperatorClient:
    return OperatorClient(settings.url, settings.operator, settings.token)
