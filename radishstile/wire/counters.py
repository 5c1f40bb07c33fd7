"""Counters of the peer connections, exported by the daemon."""


class WireCounters:
    """Totals since the process started.

    `wrong_replies` are messages of another type than their exchange expects,
    and `failed_tasks` are peers' tasks and handlers that ended with an
    unexpected error.
    """

    __slots__ = (
        "frames_in",
        "frames_out",
        "bytes_in",
        "bytes_out",
        "refused_frames",
        "refused_handshakes",
        "dropped_parts",
        "dropped_tells",
        "reconnects",
        "silent_connections",
        "wrong_replies",
        "failed_tasks",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
