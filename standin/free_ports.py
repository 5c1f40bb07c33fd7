"""Free TCP ports on the loopback address."""

import socket
from contextlib import ExitStack


def find_free_ports(count: int) -> list[int]:
    """Return `count` ports that were free a moment ago."""
    with ExitStack() as stack:
        ports = []
        for _ in range(count):
            bound = stack.enter_context(socket.socket())
            bound.bind(("127.0.0.1", 0))
            ports.append(bound.getsockname()[1])
        return ports
