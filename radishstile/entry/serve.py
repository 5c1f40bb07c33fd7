"""Runs an entry host: `python -m radishstile.entry.serve [SETTINGS]`.

This is what the platform starts on each machine. It imports nothing that only
a command line needs, as the memory of every host counts.
"""

import asyncio
import os
import signal
import sys
import time

import uvloop

from radishstile.entry.logs import configure_logging
from radishstile.entry.service import EntryHost
from radishstile.errors import SettingsError
from radishstile.platform.host_file import (
    HostFile,
    find_host_file,
    read_host_file,
)

_NS_PER_MS = 1_000_000
_BAD_SETTINGS = 2


def serve(settings: str = "") -> None:
    """Serve with the YAML file SETTINGS until SIGTERM.

    The platform names the file in RADISHSTILE_SETTINGS.
    """
    path, file = load_file(settings)
    configure_logging(file.host)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_host(path, file))
        end_process()


def load_file(settings: str) -> tuple[str, HostFile]:
    """Return the settings' path and content; exits if they are invalid."""
    try:
        path = settings or find_host_file()
        return path, read_host_file(path)
    except SettingsError as error:
        print(f"radishstile-entry: {error}", file=sys.stderr)
        sys.exit(_BAD_SETTINGS)


async def run_host(path: str, file: HostFile) -> None:
    """Run an entry host until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    # Distinguishes this start of the host from earlier ones.
    incarnation = time.time_ns() // _NS_PER_MS
    await EntryHost(file, path, incarnation).run(stop, reload)


def end_process() -> None:
    """Exit without the interpreter's teardown.

    Everything is closed and written by now, and the teardown would take a
    noticeable part of the grace period on a slow host.
    """
    sys.stdout.flush()
    os._exit(0)


if __name__ == "__main__":
    serve(*sys.argv[1:2])
