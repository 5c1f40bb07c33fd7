"""The registered entry hosts and their leader order by region."""

from collections.abc import Iterable

from radishstile.member import Member


class RegisteredHost:
    """An entry host and its number of cores.

    `registered_at` is when its name was registered first, in seconds since
    the epoch by its own clock. A host that `is_stopped` serves nobody until it
    starts again, but still owns its part of the fleet's limits.
    """

    __slots__ = ("member", "cores", "registered_at", "is_stopped")

    def __init__(
        self,
        member: Member,
        cores: float,
        registered_at: float = 0.0,
        is_stopped: bool = False,
    ):
        self.member = member
        self.cores = cores
        self.registered_at = registered_at
        self.is_stopped = is_stopped

    @property
    def name(self) -> str:
        """Return the host's name."""
        return self.member.host

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RegisteredHost) and (
            (self.member, self.cores, self.is_stopped)
            == (other.member, other.cores, other.is_stopped)
        )

    __hash__ = None


class HostTable:
    """The registered hosts by name; `local_host` is always among them.

    `is_loaded` is whether a complete list was applied. Times are of the event
    loop's clock, in seconds.

    A leader works for its whole region, so hosts are ordered by cores, most
    first, then by name. All hosts compute the same order, also those that
    start together and still know earlier incarnations of each other.
    """

    __slots__ = (
        "local_host",
        "is_loaded",
        "_by_name",
        "_removed_at",
        "_orders",
    )

    def __init__(self, local_host: RegisteredHost):
        self.local_host = local_host
        self.is_loaded = False
        self._by_name: dict[str, RegisteredHost] = {}
        self._removed_at: dict[str, float] = {}
        # Leader orders by region, cached until the hosts change.
        self._orders: dict[str, list[Member]] = {}

    def __len__(self) -> int:
        return len(self._by_name.keys() | {self.local_host.name})

    def find(self, name: str) -> RegisteredHost | None:
        """Return the registered host of that name, if any."""
        return self._by_name.get(name)

    def is_local_first(self) -> bool:
        """Return whether the local host is the preferred leader of its region.

        False until the other hosts are known.
        """
        local = self.local_host.member
        order = self.list_leader_order(local.region)
        return self.is_loaded and order[0] == local

    def put(self, host: RegisteredHost) -> None:
        """Add or replace a host."""
        self._by_name[host.name] = host
        self._removed_at.pop(host.name, None)
        self._orders.clear()

    def remove(self, name: str, now: float) -> None:
        """Remove a host, if it is known."""
        if self._by_name.pop(name, None) is not None:
            self._removed_at[name] = now
        self._orders.clear()

    def replace_all(self, hosts: Iterable[RegisteredHost], now: float) -> None:
        """Replace all hosts by a complete list."""
        self.is_loaded = True
        before = self._by_name
        self._by_name = {host.name: host for host in hosts}
        for name in before.keys() - self._by_name.keys():
            self._removed_at[name] = now
        for name in self._by_name.keys() & self._removed_at.keys():
            del self._removed_at[name]
        self._orders.clear()

    def list_owners(self, kept_s: float, now: float) -> set[str]:
        """Return the hosts that limits of the fleet are divided among.

        Those whose registration was removed count for `kept_s` seconds more.
        """
        self._removed_at = {
            name: removed_at
            for name, removed_at in self._removed_at.items()
            if now - removed_at <= kept_s
        }
        return self._by_name.keys() | self._removed_at.keys()

    def list_regions(self) -> list[str]:
        """Return the regions that have hosts."""
        regions = {
            host.member.region
            for host in self._by_name.values()
            if not host.is_stopped
        }
        return sorted(regions | {self.local_host.member.region})

    def list_members(self) -> list[Member]:
        """Return all registered hosts, stopped ones too, and the local one."""
        known = {**self._by_name, self.local_host.name: self.local_host}
        return [host.member for host in known.values()]

    def list_names(self, region: str) -> list[str]:
        """Return all registered hosts of a region, stopped ones too."""
        return [
            host.name
            for host in self._by_name.values()
            if host.member.region == region
        ]

    def list_leader_order(self, region: str) -> list[Member]:
        """Return the hosts of a region, the preferred leader first.

        Stopped hosts are left out.
        """
        ordered = self._orders.get(region)
        if ordered is None:
            ordered = self._orders[region] = self._sort_leader_order(region)
        return ordered

    def _sort_leader_order(self, region: str) -> list[Member]:
        known = {**self._by_name, self.local_host.name: self.local_host}
        hosts = [
            host
            for host in known.values()
            if host.member.region == region and not host.is_stopped
        ]
        hosts.sort(key=lambda host: (-host.cores, host.name))
        return [host.member for host in hosts]
