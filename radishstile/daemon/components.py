"""The components of a daemon."""


class Components:
    """References to the node and to each service of a daemon."""

    __slots__ = (
        "node",
        "replication",
        "peers",
        "owned_resources",
        "allotments",
        "steering",
        "moves",
        "blocks",
        "machines",
        "poison",
        "links",
        "target_selector",
        "non_idempotent",
        "sessions",
    )
