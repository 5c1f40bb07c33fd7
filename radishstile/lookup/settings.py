"""Settings of look-ups."""


class LookupSettings:
    """Size, lifetime and balance of look-up answers.

    `ttl_s` is how long a caller may keep an answer, in seconds. `hosts` is
    the number of hosts named from the caller's region, `fallback_hosts` the
    number named from other regions. `buckets` is the number of groups that
    client blocks are hashed into; blocks of a bucket share one answer.
    `hot_weight` is the fraction of its usual share that a hot host keeps.
    """

    __slots__ = ("ttl_s", "hosts", "fallback_hosts", "buckets", "hot_weight")

    def __init__(
        self,
        ttl_s: float = 5.0,
        hosts: int = 3,
        fallback_hosts: int = 2,
        buckets: int = 8192,
        hot_weight: float = 0.5,
    ):
        self.ttl_s = ttl_s
        self.hosts = hosts
        self.fallback_hosts = fallback_hosts
        self.buckets = buckets
        self.hot_weight = hot_weight
