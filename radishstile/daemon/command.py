"""The `radishstiled` command."""

import asyncio
import signal
import sys
import time

import fire
import uvloop

from radishstile.daemon.logs import configure_logging
from radishstile.daemon.service import Daemon
from radishstile.daemon.settings import DaemonSettings, read_daemon_settings
from radishstile.errors import SettingsError

_NS_PER_MS = 1_000_000
_SETTINGS_ERROR_EXIT_CODE = 2


def serve(settings: str) -> None:
    """Run the daemon with the INI file SETTINGS until SIGTERM."""
    try:
        loaded = read_daemon_settings(str(settings))
    except SettingsError as error:
        print(f"radishstiled: {error}", file=sys.stderr)
        sys.exit(_SETTINGS_ERROR_EXIT_CODE)
    configure_logging(loaded.logging, loaded.host.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_daemon(loaded))


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Must exceed the incarnations of earlier processes of this host.
    incarnation = time.time_ns() // _NS_PER_MS
    await Daemon(settings, incarnation).run(stop)


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name="radishstiled")


if __name__ == "__main__":
    main()
