"""Runs stand-in servers as a process until SIGTERM or SIGINT."""

import asyncio
import logging
import signal
import sys

from radishstile.errors import SettingsError


def run_servers(read_settings, make_servers) -> int:
    """Run the servers that the settings file on the command line describes.

    `read_settings` reads settings from a path, and `make_servers` returns a
    list of servers for them.
    """
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    if len(sys.argv) != 2:
        print("usage: python -m MODULE SETTINGS.ini", file=sys.stderr)
        return 2
    try:
        settings = read_settings(sys.argv[1])
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    asyncio.run(_serve(make_servers(settings)))
    return 0


async def _serve(servers: list) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    for server in servers:
        await server.start()
    await stop.wait()
    async with asyncio.TaskGroup() as group:
        for server in servers:
            group.create_task(server.stop())
