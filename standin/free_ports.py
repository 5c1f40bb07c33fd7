"""Free TCP ports on the loopback address."""

import random
import socket
from collections import deque

_LOOPBACK = "127.0.0.1"
# Below the ephemeral port range, so that no outgoing connection takes a port
# before its server listens on it.
_PORT_RANGE = range(15_000, 32_000)
# Ports that this process keeps reserved; the oldest are released first.
_RESERVATION_LIMIT = 256

# Bound to the UDP ports of the same numbers, so that other processes that
# draw ports at the same time leave out these until their servers listen.
_reservations: deque[socket.socket] = deque()


def find_free_ports(count: int) -> list[int]:
    """Return `count` free ports, and reserve them among callers of this.

    A reservation ends with the process, or after `_RESERVATION_LIMIT` more.
    """
    rng = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = rng.choice(_PORT_RANGE)
        if _is_listened_on(port):
            continue
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((_LOOPBACK, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        ports.append(port)
    while len(_reservations) > max(count, _RESERVATION_LIMIT):
        _reservations.popleft().close()
    return ports


def _is_listened_on(port: int) -> bool:
    """Return whether a TCP port is in use."""
    with socket.socket() as listener:
        try:
            listener.bind((_LOOPBACK, port))
        except OSError:
            return True
    return False
