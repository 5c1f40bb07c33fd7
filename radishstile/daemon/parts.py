"""The parts of one daemon, as its front ends reach them."""


class Parts:
    """Holds the node and its services together."""

    __slots__ = (
        "node",
        "replication",
        "peers",
        "homes",
        "lanes",
        "steering",
        "moves",
        "blocks",
        "machines",
        "harm",
        "links",
        "chooser",
        "purchases",
        "entry",
    )
